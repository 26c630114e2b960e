"""Runs one replica in a green thread, the only one that changes the Raft core and its disk.

Other threads send requests through a mailbox, and may read the core's state.
Requests that arrive while a write is being synced share the next write, which
gives group commit.
"""

import contextlib
import math
import random
import time
from collections.abc import Callable
from typing import Protocol

import attrs
import eventlet
import greenlet
from eventlet.event import Event
from eventlet.queue import Empty, Queue

from ..clock import Clock
from ..errors import SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..observability.stacks import error_frame_names
from ..wire.generated.ttypes import (
    DiskLost,
    EntryKind,
    LogEntry,
    Member,
    Membership,
    RaftMessage,
    RaftPayload,
    SnapshotFile,
)
from .core import Replica
from .delays import Delay, RecentDelays, StandstillWatch
from .membership import MembershipChangeRefused, find_member, host_name
from .storage import ReplicaStorage
from .types import EndedLeadership, NotLeading, Ready, Role, Timing
from .watch import ReplicaWatch

TICK_SECONDS = 0.05
SNAPSHOT_INTERVAL_ENTRIES = 5000

TRAILING_ENTRIES = 1000
"""Entries kept before a snapshot, so that a slow follower need not be sent the snapshot."""

MAX_MAILBOX_BATCH = 256

MAX_APPLY_SECONDS = 0.03
"""Processor time of committed entries that are applied before messages and ticks are looked at.

Five hosts that share a processor stay below a heartbeat interval together.  Each pause lets all
other green threads run, and a new leader serves nobody before it has applied the last entry.
"""


class StateMachine(Protocol):
    """The replicated state machine; it must be deterministic."""

    def apply(self, payload: bytes):
        """Apply one committed command and return its outcome."""

    def snapshot(self) -> bytes:
        """Return the serialised state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with one that ``snapshot`` returned."""


class OutcomeUnknown(SavoryshelfError):
    """Leadership was lost while a command was in flight; it may still be committed."""

    def __init__(self):
        super().__init__(
            "leadership was lost before the command was committed; it may still be committed"
        )


@attrs.frozen
class _MessageReceived:
    message: RaftMessage


@attrs.frozen
class _CommandProposed:
    payload: bytes
    completion: Event


@attrs.frozen
class _ReadRequested:
    completion: Event


@attrs.frozen
class _MembershipChangeRequested:
    change: Callable[[Replica], int]
    completion: Event


@attrs.define
class _PendingProposal:
    term: int
    completion: Event


class ReplicaService:
    """Runs one replica of a control group in this process.

    ``began_at`` is when this program began on the clock, if that is known; ``processor_time``
    returns the seconds that this thread has had a processor.
    """

    def __init__(
        self,
        replica_id: str,
        initial_membership: Membership,
        storage: ReplicaStorage,
        state_machine: StateMachine,
        transport,
        address_by_host: dict[str, str],
        clock: Clock,
        timing: Timing,
        rng: random.Random,
        snapshot_every: int = SNAPSHOT_INTERVAL_ENTRIES,
        announces_commits: bool = False,
        began_at: float | None = None,
        processor_time: Callable[[], float] = time.thread_time,
    ):
        recovered = storage.recover()
        self.core = Replica(
            replica_id,
            initial_membership,
            recovered,
            timing,
            rng,
            clock.monotonic(),
            began_at=began_at,
        )
        self.state_machine = state_machine
        if recovered.snapshot:
            state_machine.restore(recovered.snapshot.state)
        self._storage = storage
        self._transport = transport
        self._address_by_host = address_by_host
        self._clock = clock
        self._snapshot_every = snapshot_every
        self._announces_commits = announces_commits
        self._processor_time = processor_time
        self._mailbox: Queue = Queue()
        self._pending_proposal_by_index: dict[int, _PendingProposal] = {}
        self._pending_read_by_id: dict[int, Event] = {}
        self._apply_events: list[Event] = []
        self._watch = ReplicaWatch(self, clock)
        self._standstills = StandstillWatch(clock, self._watch.check)
        self._syncs = RecentDelays()
        self._last_sync: Delay | None = None
        self._write_began_at: float | None = None
        self._turn_completed_at = clock.monotonic()
        self._logged_leadership: EndedLeadership | None = None
        self._was_first_campaign = False
        self._logged_refusals: dict | None = None
        """What was logged last of a failed election, since a leader was heard."""

        self._logged_lost_ids: set[str] = set()
        self._thread = None
        self._watch_thread = None

    # ------------------------------------------------- called by other threads

    def start(self) -> None:
        """Start the green threads that run the replica and watch for standstills."""
        self._turn_completed_at = self._clock.monotonic()
        self._watch_thread = eventlet.spawn(self._watch_without_end)
        self._thread = eventlet.spawn(self._run)

    def wait(self) -> None:
        """Block until the replica stops; raise the error that stopped it."""
        self._thread.wait()

    def stop(self, error: Exception | None = None) -> None:
        """Stop the replica abruptly, as a crash would; ``wait`` raises ``error`` if given."""
        self._watch_thread.kill()
        self._thread.kill(*([error] if error else []))

    def deliver(self, messages: list[RaftMessage]) -> None:
        """Queue messages from other replicas for processing."""
        self._watch.record_senders({message.sender for message in messages})
        for message in messages:
            self._mailbox.put(_MessageReceived(message))

    def member_ids(self) -> list[str]:
        """Return the replica ids of the members in this replica's log."""
        return [member.replica_id for member in self.core.log.membership.members]

    def record_successor(self, replica_id: str, earlier_ids: list[str]) -> None:
        """Take note that a replica runs on its host, where earlier ones have lost their disks.

        Its message must be later than the knowledge of ``earlier_ids``; those of other hosts are
        ignored.
        """
        own_id = self.core.replica_id
        for earlier_id in earlier_ids:
            if earlier_id != replica_id and host_name(earlier_id) == host_name(replica_id):
                payload = RaftPayload(disk_lost=DiskLost(earlier_id))
                message = RaftMessage(replica_id, own_id, 0, payload, self.core.shard)
                self._mailbox.put(_MessageReceived(message))

    def propose(self, payload: bytes):
        """Block until a command is committed and applied; return its outcome.

        Raises NotLeading if the command was not proposed, and OutcomeUnknown
        if leadership was lost, so that it may or may not be committed later.
        """
        completion = Event()
        self._mailbox.put(_CommandProposed(payload, completion))
        return completion.wait()

    def confirm_leadership(self) -> None:
        """Block until a quorum confirms this leader and all earlier commits are applied.

        This is the barrier before a linearizable read.  Raises NotLeading if
        this replica is not the leader or loses leadership meanwhile.
        """
        completion = Event()
        self._mailbox.put(_ReadRequested(completion))
        completion.wait()

    def change_membership(self, change: Callable[[Replica], int]) -> None:
        """Block until a membership change is committed; ``change`` calls a method of the core.

        Raises MembershipChangeRefused, NotLeading or OutcomeUnknown.
        """
        completion = Event()
        self._mailbox.put(_MembershipChangeRequested(change, completion))
        completion.wait()

    def await_membership_change(self, limit_seconds: float) -> None:
        """Block until this leader may change the membership, it leads no longer, or the limit."""
        with eventlet.Timeout(limit_seconds, False):
            while self.is_leader and self.core.must_commit_before_change:
                self.next_apply_event().wait()

    def next_apply_event(self) -> Event:
        """Return an event that is sent after entries are applied or a snapshot is installed."""
        event = Event()
        self._apply_events.append(event)
        return event

    def send_apply_events(self) -> None:
        """Send the events returned by ``next_apply_event``, also if nothing was applied."""
        events, self._apply_events = self._apply_events, []
        for event in events:
            event.send(None)

    @property
    def is_leader(self) -> bool:
        """Return whether this replica is leader in its own view, which may be out of date.

        ``confirm_leadership`` also asks a quorum.
        """
        return self.core.role is Role.LEADER

    @property
    def leader_address(self) -> str:
        """Return the address of the leader, or an empty string if it is not known."""
        return self.address_of(self.core.leader_id) if self.core.leader_id else ""

    @property
    def leader_name(self) -> str:
        """Return the host name of the leader, or an empty string if it is not known."""
        return host_name(self.core.leader_id) if self.core.leader_id else ""

    # -------------------------------------------------------- read by the watch

    @property
    def thread(self) -> greenlet.greenlet | None:
        """Return the green thread that runs the replica, once it is started."""
        return self._thread

    @property
    def turn_completed_at(self) -> float:
        """Return when that thread last completed a turn, or was started."""
        return self._turn_completed_at

    @property
    def waiting_messages(self) -> int:
        """Return how many messages and requests wait for that thread."""
        return self._mailbox.qsize()

    def write_delays(self, now: float) -> dict[str, float]:
        """Return for how long the present write has been in progress, if there is one.

        ``write_s`` is as the replica's thread has it, ``disk_write_s`` as the disk does: a write
        that has ended there while the thread still waits was not reported back.
        """
        delays = {}
        if self._write_began_at is not None:
            delays["write_s"] = now - self._write_began_at
            disk_seconds = self._storage.write_in_progress_seconds()
            if disk_seconds is not None:
                delays["disk_write_s"] = disk_seconds
        return delays

    @property
    def write_began_at(self) -> float | None:
        """Return when the write began that the replica's thread waits for, if it does."""
        return self._write_began_at

    @property
    def waits_for_disk(self) -> bool:
        """Return whether the replica's thread waits for a write which the disk is still at."""
        return self._write_began_at is not None and (
            self._storage.write_in_progress_seconds() != 0.0
        )

    def address_of(self, replica_id: str) -> str:
        """Return the address of a replica's host, or an empty string if it is not known."""
        # This host's settings take precedence: it may reach other hosts by
        # other addresses than those in the initial membership.
        configured = self._address_by_host.get(host_name(replica_id))
        if configured:
            return configured
        member: Member | None = find_member(self.core.log.membership, replica_id)
        return member.address if member is not None else ""

    def sender_state(self, replica_id: str) -> dict:
        """Return the state of the sender to another replica, as far as the transport tells it."""
        address = self.address_of(replica_id)
        # Transports of tests may not tell.
        describe = getattr(self._transport, "sender_state", None)
        return describe(address) if describe is not None and address else {}

    def _watch_without_end(self) -> None:
        try:
            self._standstills.run()
        except Exception as error:
            # Nobody else would miss a replica that is stuck.
            log_event(
                "replica:stopped", why="its watch has ended", error=repr(error),
                stack=error_frame_names(error),
            )  # fmt: skip
            # This green thread is stopped as well.
            eventlet.spawn_n(self.stop, error)

    # ---------------------------------------------- run by the replica's thread

    def _run(self) -> None:
        while True:
            for event in self._take_mailbox_batch():
                self._handle(event)
            self.core.tick(self._clock.monotonic())
            self._log_lost_contact()
            self._process_all_ready()
            if self._announces_commits and self._mailbox.empty():
                # With more proposals waiting, their entries carry the commit index.
                self.core.announce_commit()
                self._process_all_ready()
            self._fail_pending_unless_leader()
            self._turn_completed_at = self._clock.monotonic()

    def _log_lost_contact(self) -> None:
        """Log that this leadership has ended, or that a leader is missed, and what may be why."""
        core, ended = self.core, self.core.ended_leadership
        if ended is not None and ended is not self._logged_leadership:
            self._logged_leadership = ended
            log_event(
                "replica:leadership_ended", term=ended.term, why=ended.why,
                contact_s=_rounded_by_host(ended.contact_ages),
                reply_s=_rounded_by_host(ended.reply_ages), **self._recent_delays(),
                **({"heard": ended.heard} if ended.heard else {}),
            )  # fmt: skip
        if core.is_first_campaign and not self._was_first_campaign:
            contact_age = core.seconds_since_leader_contact(core.now)
            contact = {} if math.isinf(contact_age) else {"leader_contact_s": round(contact_age, 2)}
            log_event("replica:campaigns", term=core.term + 1, **contact, **self._recent_delays())
        self._was_first_campaign = core.is_first_campaign
        self._log_failed_election()
        self._log_lost_disks()

    def _log_failed_election(self) -> None:
        """Log who did not vote for this replica, once for each change while no leader is heard."""
        election = self.core.failed_election
        if election is None:
            self._logged_refusals = None
            return
        refusals = {host_name(key): why for key, why in election.refusals.items()}
        outcome = {
            "vote": "pre-vote" if election.pre_vote else "vote",
            "granted": sorted(host_name(each) for each in election.granted),
            "refused": dict(sorted(refusals.items())),
            "unanswered": sorted(host_name(each) for each in election.unanswered),
        }
        if election.lost:
            outcome["lost"] = sorted(election.lost)
        if election.yielded_to:
            outcome["yielded_to"] = host_name(election.yielded_to)
        if outcome != self._logged_refusals:
            self._logged_refusals = outcome
            log_event("replica:election_failed", term=election.term, **outcome)

    def _log_lost_disks(self) -> None:
        """Log each member of which this replica learns that its disk is gone, once."""
        lost_ids = set(self.core.lost_member_ids)
        for lost_id in sorted(lost_ids - self._logged_lost_ids):
            log_event(
                "replica:disk_lost", replica=lost_id, role=self.core.role.value, term=self.core.term
            )
        self._logged_lost_ids = lost_ids

    def _recent_delays(self) -> dict:
        """Return what this host was kept waiting by in the last seconds, for a log line."""
        now = self._clock.monotonic()
        standstill, sync = self._standstills.longest(now), self._syncs.longest(now)
        delays = {
            "stood_still_s": standstill.seconds,
            "stood_still_processor_s": standstill.processor_seconds,
            "longest_sync_s": sync.seconds,
        }
        if standstill.seconds:
            delays["stood_still_s_ago"] = now - standstill.ended_at
        if self._last_sync is not None:
            delays["last_sync_s"] = self._last_sync.seconds
            delays["last_sync_s_ago"] = now - self._last_sync.ended_at
        rounded = {key: round(seconds, 3) for key, seconds in delays.items()}
        if standstill.seconds_by_activity:
            rounded["stood_still_in"] = standstill.seconds_by_activity
        return rounded

    @contextlib.contextmanager
    def _measured_sync(self):
        began_at = self._write_began_at = self._clock.monotonic()
        try:
            yield
        finally:
            self._write_began_at = None
        now = self._clock.monotonic()
        self._last_sync = Delay(now, now - began_at)
        self._syncs.record(self._last_sync)

    def _process_all_ready(self) -> None:
        """Do what is due; now and then messages and ticks go before entries left to be applied."""
        began_at = self._processor_time()
        while not (ready := self.core.take_ready()).is_empty():
            self._process_ready(ready)
            used_seconds = self._processor_time() - began_at
            if self.core.has_more_committed and used_seconds >= MAX_APPLY_SECONDS:
                return

    def _take_mailbox_batch(self) -> list:
        events = []
        if self.core.has_more_committed:
            # Lets messages in.
            eventlet.sleep()
        else:
            with contextlib.suppress(Empty):
                events.append(self._mailbox.get(timeout=TICK_SECONDS))
        while len(events) < MAX_MAILBOX_BATCH and not self._mailbox.empty():
            events.append(self._mailbox.get_nowait())
        return events

    def _handle(self, event) -> None:
        match event:
            case _MessageReceived(message):
                self.core.receive(message, self._clock.monotonic())
            case _CommandProposed(payload, completion):
                self._submit(completion, lambda: self.core.propose([payload])[0])
            case _MembershipChangeRequested(change, completion):
                self._submit(completion, lambda: change(self.core))
            case _ReadRequested(completion):
                self._request_read(completion)

    def _submit(self, completion: Event, propose: Callable[[], int]) -> None:
        try:
            index = propose()
        except (NotLeading, MembershipChangeRefused) as error:
            completion.send_exception(error)
            return
        self._pending_proposal_by_index[index] = _PendingProposal(self.core.term, completion)

    def _request_read(self, completion: Event) -> None:
        try:
            self._pending_read_by_id[self.core.request_read()] = completion
        except NotLeading as error:
            completion.send_exception(error)

    def _process_ready(self, ready: Ready) -> None:
        self._send_all(ready.messages_before_sync)
        if ready.snapshot_to_install:
            self._install(ready.snapshot_to_install)
        if ready.record:
            with self._measured_sync():
                self._storage.write(ready.record)
            metrics.LOG_WRITES.inc()
        self.core.advance(ready)
        self._send_all(ready.messages)
        for entry in ready.committed:
            self._apply(entry)
        for read_id in ready.confirmed_reads:
            self._pending_read_by_id.pop(read_id).send(None)
        if ready.committed:
            self.send_apply_events()
            self._compact_if_due()

    def _apply(self, entry: LogEntry) -> None:
        outcome = None
        if entry.kind == EntryKind.COMMAND:
            outcome = self.state_machine.apply(entry.payload)
        metrics.LOG_COMMITS.inc()
        proposal = self._pending_proposal_by_index.pop(entry.index, None)
        if proposal is None:
            return
        if proposal.term == entry.term:
            proposal.completion.send(outcome)
        else:
            proposal.completion.send_exception(OutcomeUnknown())

    def _install(self, snapshot: SnapshotFile) -> None:
        with self._measured_sync():
            self._storage.write_snapshot(snapshot, self.core.term, self.core.voted_for, [])
        self.state_machine.restore(snapshot.state)
        self.send_apply_events()

    def _compact_if_due(self) -> None:
        applied, log = self.core.applied_index, self.core.log
        snapshot_index = self.core.snapshot.last_index if self.core.snapshot else 0
        if applied - snapshot_index < self._snapshot_every:
            return
        snapshot = SnapshotFile(
            applied, log.term_at(applied), log.membership_at(applied), self.state_machine.snapshot()
        )
        later_entries = log.entries(applied + 1, log.last_index)
        term, voted_for = self.core.term, self.core.voted_for
        with self._measured_sync():
            self._storage.write_snapshot(
                snapshot, term, voted_for, later_entries, self.core.known_commit_index
            )
        self.core.compact(snapshot, min(TRAILING_ENTRIES, self._snapshot_every))

    def _fail_pending_unless_leader(self) -> None:
        metrics.LEADER.set(1 if self.is_leader else 0)
        if self.is_leader:
            return
        reads, self._pending_read_by_id = self._pending_read_by_id, {}
        for completion in reads.values():
            completion.send_exception(NotLeading(self.core.leader_id))
        proposals, self._pending_proposal_by_index = self._pending_proposal_by_index, {}
        for proposal in proposals.values():
            proposal.completion.send_exception(OutcomeUnknown())

    def _send_all(self, messages: list[RaftMessage]) -> None:
        for message in messages:
            address = self.address_of(message.recipient)
            if address:
                self._transport.send(address, message)


def _rounded_by_host(seconds_by_id: dict[str, float]) -> dict[str, float]:
    return {host_name(key): round(seconds, 2) for key, seconds in seconds_by_id.items()}
