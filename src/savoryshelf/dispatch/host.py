"""A control host for jobs of many tasks, assembled from its components.

The platform's adapter starts it and routes its own HTTP calls to ``task_service``.
"""

import math
import random
import time

import attrs
import eventlet

from ..clock import SystemClock
from ..control.repair import TARGET_VOTERS, GroupRepair
from ..disk import LocalDisk
from ..errors import PeerUnreachable
from ..observability.bounded import BoundedLog
from ..observability.logs import log_event
from ..observability.stacks import error_frame_names
from ..replication.membership import (
    MembershipChangeRefused,
    find_member,
    host_name,
    membership_kind,
    voter_ids,
)
from ..replication.seed_bootstrap import bootstrap_identity
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.storage import ReplicaStorage
from ..replication.transport import PeerTransport
from ..replication.types import NotLeading, Timing
from ..tasks.state_machine import TaskStateMachine
from ..wire.generated import ControlService, ttypes
from ..wire.generated.ttypes import RaftMessage
from ..wire.peers import PeerClient, PeerServer
from .agent import Agent, NoLeader
from .handler import TaskControlHandler
from .joining import GroupJoiner, KnownAddresses
from .leader_term import DispatchSettings, LeaderTerm
from .task_service import TaskService
from .worker_api import WorkerApi

JOIN_RETRY_SECONDS = 0.4
"""Pause between attempts to join the group, in seconds; jittered by a quarter either way.

A host whose disk is available again must be a full member within a few seconds.
"""

REPAIR_INTERVAL_SECONDS = 0.1
"""Pause between the steps of a replica replacement, in seconds; it takes three to five steps."""

LEADER_CHECK_INTERVAL_SECONDS = 0.05
"""How often a host checks whether it leads, in seconds; short compared with an election."""

LEADER_TIMEOUT_SECONDS = 2.0
"""Time without contact from a leader, in seconds, after which a member asks to join again.

The group may have removed the member without its knowledge.
"""


REPORT_TIMEOUT_SECONDS = 0.5
"""Timeout of an agent's report; its permission outlasts one that is lost."""

LEAVE_SHARE = 0.4
"""Share of the time for a drain in which the workers of this host may get another agent."""

LEAVE_CHECK_SECONDS = 0.02

MAX_LEAVE_SECONDS = 2.0
"""Time for which a host that stops tries to leave the group, if it has to: an election at most."""

LEAVE_CALL_SECONDS = 0.5
"""Timeout of a request to leave the group: a connection and a commit across regions."""


@attrs.frozen(kw_only=True)
class TaskControlSettings:
    """Settings of a control host."""

    ip: str
    peer_port: int
    failure_domain: str
    seed_ips: list[str]
    is_first_start: bool
    data_folder: str
    cluster_key: str = attrs.field(repr=False)
    dispatch: DispatchSettings
    timing: Timing = attrs.field(factory=Timing)


@attrs.frozen
class _AddressByIp:
    """Maps the name of a host, here its IP address, to its peer address; all use one port.

    The membership cannot be used for this, because a learner has to answer the leader
    before its log contains the membership.
    """

    _port: int

    def get(self, ip: str) -> str:
        return f"{ip}:{self._port}"


class TaskControlHost:
    """One control host: its replica, its agent, and the leader's work while it leads.

    ``program_age_seconds`` is for how long its program has run: imports may take seconds.
    """

    def __init__(
        self, settings: TaskControlSettings, worker_api: WorkerApi, program_age_seconds: float = 0.0
    ):
        self._settings = settings
        self._term: LeaderTerm | None = None
        self._leader_client: PeerClient | None = None
        self._clock = SystemClock()
        self._started_at = self._clock.monotonic()
        self._processor_seconds_before = time.process_time()
        self._is_stopping = False
        self._reason_logged = ""
        """Why this host asks to be added, as it was logged last; empty if it does not ask."""

        self._asks_since = self._started_at
        self._leader_unknown = BoundedLog("call:leader_unknown", self._clock)
        self._known_addresses = KnownAddresses()
        self._address_by_ip = _AddressByIp(settings.peer_port)
        self._peers: PeerServer | None = None
        self.update_seeds(settings.seed_ips)
        self._disk = LocalDisk(settings.data_folder)
        storage = ReplicaStorage(self._disk)
        self.identity = bootstrap_identity(
            storage, settings.ip, settings.seed_ips, settings.peer_port, settings.is_first_start
        )
        own_member = ttypes.Member(
            self.identity.replica_id, self.own_address, settings.failure_domain, False
        )
        self._joiner = GroupJoiner(own_member, settings.cluster_key, self._clock)
        self.state_machine = TaskStateMachine()
        self.replica = ReplicaService(
            replica_id=self.identity.replica_id,
            initial_membership=self.identity.genesis,
            storage=storage,
            state_machine=self.state_machine,
            transport=PeerTransport(settings.cluster_key),
            address_by_host=self._address_by_ip,
            clock=self._clock,
            timing=settings.timing,
            rng=random.Random(),
            # Agents start runs once they know that the intents are committed.
            announces_commits=True,
            began_at=self._started_at - program_age_seconds,
        )
        self.agent = Agent(
            self.replica,
            self.state_machine,
            worker_api,
            self._clock,
            settings.dispatch,
            self._report_to_leader,
        )
        self.repair = GroupRepair(self.replica, replaces_unresponsive=True)
        self.task_service = TaskService(self.replica, self.state_machine, self._clock)

    @property
    def own_address(self) -> str:
        """Return the address at which peers reach this host."""
        return f"{self._settings.ip}:{self._settings.peer_port}"

    def update_seeds(self, seed_ips: list[str]) -> None:
        """Adopt the seeds of changed settings."""
        self._known_addresses.update_seeds([f"{ip}:{self._settings.peer_port}" for ip in seed_ips])

    def start(self) -> None:
        """Start serving peers and taking part in the group."""
        self._peers = PeerServer(
            ControlService,
            self.own_address,
            lambda: TaskControlHandler(self._settings.cluster_key, self, self._leader_unknown),
        )
        self.replica.start()
        log_event(
            "control:started",
            replica=self.identity.replica_id,
            seconds=round(self._clock.monotonic() - self._started_at, 3),
            processor_s=round(time.process_time() - self._processor_seconds_before, 3),
            disk_s=round(self._disk.seconds, 3),
        )
        for activity in (self._maintain_membership, self._repair_group, self._lead):
            eventlet.spawn(self._run_activity, activity)
        self.agent.start(self._run_activity)

    def drain(self, limit_seconds: float) -> None:
        """Hand the workers over, answer the calls of peers that have arrived, accept no others.

        ``limit_seconds`` does not include the time for leaving a group with too many voters.
        """
        self._is_stopping = True
        self.agent.leave()
        with eventlet.Timeout(MAX_LEAVE_SECONDS, False):
            self._leave_group()
        began_at = self._clock.monotonic()
        with eventlet.Timeout(LEAVE_SHARE * limit_seconds, False):
            while self.agent.session_by_incarnation and not self.replica.is_leader:
                eventlet.sleep(LEAVE_CHECK_SECONDS)
        self._peers.drain(max(0.0, limit_seconds - (self._clock.monotonic() - began_at)))

    def _leave_group(self) -> None:
        """Give up this host's vote if the group has more voters than its target, or soon will."""
        own_id = self.identity.replica_id
        while self._is_surplus_member():
            if len(voter_ids(self.replica.core.log.membership)) <= TARGET_VOTERS:
                # Another host has been added and becomes a voter once it has caught up.
                eventlet.sleep(REPAIR_INTERVAL_SECONDS)
                continue
            try:
                if self.replica.is_leader:
                    self.repair.request_leave(own_id)
                else:
                    self._call_leader("remove_replica", own_id)
                return
            except (
                NoLeader, NotLeading, MembershipChangeRefused, OutcomeUnknown, PeerUnreachable,
                ttypes.NotLeader, ttypes.Refused, ttypes.Unavailable,
            ) as error:  # fmt: skip
                log_event("control:leave_failed", why=repr(error))
            eventlet.sleep(REPAIR_INTERVAL_SECONDS)

    def _is_surplus_member(self) -> bool:
        membership = self.replica.core.log.membership
        hosts = {host_name(member.replica_id) for member in membership.members}
        return self.identity.replica_id in voter_ids(membership) and len(hosts) > TARGET_VOTERS

    def _call_leader(self, method: str, *arguments) -> None:
        address = self.replica.leader_address
        if not address:
            raise NoLeader("no leader is known")
        client = PeerClient(ControlService, address, self._settings.cluster_key)
        try:
            client.call(
                method, *arguments, timeout=LEAVE_CALL_SECONDS, total_timeout=LEAVE_CALL_SECONDS
            )
        finally:
            client.close()

    def deliver(self, messages: list[RaftMessage]) -> None:
        """Take messages from other replicas, also those for a disk that this host lost."""
        for sender_ip in {host_name(message.sender) for message in messages}:
            if sender_ip:
                self._known_addresses.record_sender(self._address_by_ip.get(sender_ip))
        self.replica.deliver(messages)

    def receive_report(self, report: ttypes.AgentReport) -> ttypes.AgentReply:
        """Take an agent's report; raises NotLeader if this host does not lead."""
        if self._term is None or not self.replica.is_leader:
            raise ttypes.NotLeader(self.replica.leader_address, self.replica.leader_name)
        return self._term.receive_report(report)

    def _report_to_leader(self, report: ttypes.AgentReport) -> ttypes.AgentReply:
        if self.replica.is_leader:
            return self.receive_report(report)
        address = self.replica.leader_address
        if not address:
            raise NoLeader("no leader is known")
        if self._leader_client is None or self._leader_client.address != address:
            if self._leader_client is not None:
                self._leader_client.close()
            self._leader_client = PeerClient(
                ControlService, address, self._settings.cluster_key, "agent"
            )
        return self._leader_client.call(
            "report", report, timeout=REPORT_TIMEOUT_SECONDS, total_timeout=REPORT_TIMEOUT_SECONDS
        )

    def wait(self) -> None:
        """Block until the replica stops; raise the error that stopped it."""
        self.replica.wait()

    def _run_activity(self, activity) -> None:
        try:
            activity()
        except Exception as error:
            # Without this activity the host would remain a member and do nothing useful.
            log_event(
                "control:duty_failed", duty=activity.__name__, error=repr(error),
                stack=error_frame_names(error),
            )  # fmt: skip
            self.replica.stop(error)

    # ------------------------------------------------------------- periodic activities

    def _lead(self) -> None:
        while True:
            core = self.replica.core
            # Infinite unless this host leads and has applied an entry of its own term.
            if core.seconds_since_quorum_contact(self._clock.monotonic()) == float("inf"):
                eventlet.sleep(LEADER_CHECK_INTERVAL_SECONDS)
                continue
            term = LeaderTerm(
                self.replica, self.state_machine, self._clock, self._settings.dispatch
            )
            self.task_service.on_change = term.wake
            self.task_service.occupancy_without_room = term.occupancy_without_room
            self._term = term
            seconds = round(self._clock.monotonic() - self._started_at, 2)
            log_event("control:leads", term=core.term, seconds_since_start=seconds)
            try:
                term.run()
            finally:
                self._term = None

    def _repair_group(self) -> None:
        while True:
            eventlet.sleep(REPAIR_INTERVAL_SECONDS)
            self.repair.step()

    def _maintain_membership(self) -> None:
        while True:
            membership = self.replica.core.log.membership
            contact_age = self._leader_contact_age()
            why = self._reason_to_join(contact_age)
            self._joiner.membership = membership_kind(membership, self.identity.replica_id)
            self._log_reason_to_join(why, contact_age)
            if why:
                self._joiner.ask_all(self._known_addresses.take_to_ask(membership))
            eventlet.sleep(JOIN_RETRY_SECONDS * random.uniform(0.75, 1.25))

    def _leader_contact_age(self) -> float:
        return self.replica.core.seconds_since_leader_contact(self._clock.monotonic())

    def _log_reason_to_join(self, why: str, contact_age: float) -> None:
        """Log once that asking begins, and why, and once that it is over."""
        if why == self._reason_logged:
            return
        now = self._clock.monotonic()
        what = {"membership": self._joiner.membership, "replica": self.identity.replica_id}
        if why:
            if not self._reason_logged:
                self._asks_since = now
            contact = {} if math.isinf(contact_age) else {"contact_s": round(contact_age, 2)}
            log_event("group:join_begins", why=why, **what, **contact)
        else:
            log_event("group:join_over", seconds=round(now - self._asks_since, 2), **what)
        self._reason_logged = why

    def _reason_to_join(self, contact_age: float) -> str:
        """Return why this host asks to be added; empty if it has no reason to."""
        if self._is_stopping:
            return ""
        if find_member(self.replica.core.log.membership, self.identity.replica_id) is None:
            return "not in the membership of its log"
        if contact_age > LEADER_TIMEOUT_SECONDS:
            return "no message from a leader"
        return ""
