"""Client of the control leader.

Starts from seed addresses, learns the other control hosts from the group itself,
and follows the leader hints in their answers.  Without a leader it asks all of them at once
in the background, since hosts that are gone do not refuse a connection.
"""

import random

import eventlet
from eventlet.event import Event
from thrift.Thrift import TException

from ..clock import Clock
from ..errors import PeerUnreachable, SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..observability.unforeseen import UnforeseenErrors
from ..wire.generated import ControlService, ttypes
from ..wire.generated.ttypes import JobAnswer, JobAnswerKind, JobCall, JobVerb
from ..wire.peers import PeerPool
from .addresses import AddressBook

CALL_TIMEOUT_SECONDS = 0.9
"""Timeout of one call attempt: enough for a commit across regions on a slow disk."""

RETRY_DELAY_SECONDS = 0.05
"""Delay between call attempts; jittered by ±50 %."""

GROUP_REFRESH_SECONDS = 2.0
"""Interval at which the members of the group are polled."""

SEARCH_INTERVAL_SECONDS = 0.5
"""Interval at which every known address is asked while no leader is known; jittered by ±50 %."""

MIN_SEARCH_INTERVAL_SECONDS = 0.15
"""The same while calls wait for a leader, each of which asks for a search; jittered alike."""

GROUP_TIMEOUT_SECONDS = 1.5
"""Time for asking a host for its view of the group, including a new connection."""

MAX_LEADER_CONTACT_AGE_SECONDS = 6.0
"""This host stays ready for this long after it last knew the leader; an election takes less."""


class LeaderUnavailable(SavoryshelfError):
    """No leader answered in time.

    ``outcome_unknown`` tells whether the request may have been executed.
    """

    def __init__(self, outcome_unknown: bool, detail: str):
        super().__init__(detail)
        self.outcome_unknown = outcome_unknown


class LeaderClient:
    """Calls the leader, and remembers its address for the next call."""

    def __init__(self, seed_addresses: list[str], cluster_key: str, clock: Clock):
        self._cluster_key = cluster_key
        self._clock = clock
        self._addresses = AddressBook(seed_addresses)
        self._pool_by_address: dict[str, PeerPool] = {}
        self._leader = ""
        self._last_contact_at = float("-inf")
        self._without_leader_since: float | None = clock.monotonic()
        self._stop_at = float("inf")
        self._probed_addresses: set[str] = set()
        self._wake = Event()
        self._errors = UnforeseenErrors("poll the control group")

    def start(self) -> None:
        """Start polling the members of the group in the background."""
        eventlet.spawn(self._maintain_group)

    def update_seeds(self, seed_addresses: list[str]) -> None:
        """Adopt the seed addresses of new settings."""
        self._addresses.update_seeds(seed_addresses)

    def stop_after(self, seconds: float) -> None:
        """End every call, also those in progress, ``seconds`` from now at the latest.

        A call attempt that has begun is finished.  It takes at most CALL_TIMEOUT_SECONDS,
        and longer by the time for opening its connection.
        """
        self._stop_at = self._clock.monotonic() + seconds

    @property
    def is_ready(self) -> bool:
        """Return whether the leader was known recently enough to serve callers."""
        return self._clock.monotonic() - self._last_contact_at < MAX_LEADER_CONTACT_AGE_SECONDS

    def call(self, request: JobCall, seconds: float) -> JobAnswer:
        """Return the leader's answer; raises LeaderUnavailable after ``seconds``."""
        deadline = self._clock.monotonic() + seconds
        outcome_is_unknown, detail = False, "no time was left to call a control host"
        while (remaining := min(deadline, self._stop_at) - self._clock.monotonic()) > 0:
            address = self._leader or self._addresses.choose()
            if not address:
                detail = "the settings name no control host"
                eventlet.sleep(RETRY_DELAY_SECONDS)
                continue
            try:
                answer = self._ask(address, "job_call", request, remaining)
                self._record_leader(address)
                if outcome_is_unknown and _says_not_accepted(request, answer):
                    # An earlier attempt may have been accepted, or may still arrive.
                    why = answer.reason or "no such queue"
                    raise LeaderUnavailable(True, f"refused after an attempt: {why}")
                return answer
            except ttypes.NotLeader as error:
                self._update_leader_hint(address, error.leader_address or "")
                detail = f"{address} is not the leader"
                self._note_leader_lost(address, detail)
                if self._leader and self._leader == error.leader_address:
                    continue
            except PeerUnreachable as error:
                outcome_is_unknown = outcome_is_unknown or error.sent
                detail = str(error)
                self._update_leader_hint(address, "")
            except ttypes.Unavailable as error:
                outcome_is_unknown = outcome_is_unknown or error.outcome_unknown
                detail = error.reason
            self._note_leader_lost(address, detail)
            metrics.RETRIES.labels("leader").inc()
            eventlet.sleep(RETRY_DELAY_SECONDS * random.uniform(0.5, 1.5))
        raise LeaderUnavailable(outcome_is_unknown, detail)

    def _ask(self, address: str, method: str, *arguments):
        """Call a method of a control host; the last argument is the time left, in seconds."""
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = PeerPool(ControlService, address, self._cluster_key)
            self._pool_by_address[address] = pool
        *arguments, seconds = arguments
        try:
            answer = pool.call(
                method, *arguments, timeout=CALL_TIMEOUT_SECONDS, total_timeout=seconds
            )
        except PeerUnreachable:
            if seconds >= CALL_TIMEOUT_SECONDS:
                # With less time left even a host that answers may not have been heard.
                self._addresses.record_failure(address)
            raise
        except ttypes.NotLeader:
            self._addresses.record_answer(address)
            raise
        self._addresses.record_answer(address)
        return answer

    def _record_leader(self, address: str) -> None:
        now = self._clock.monotonic()
        if self._without_leader_since is not None:
            seconds = round(now - self._without_leader_since, 2)
            log_event(
                "leader:found",
                address=address,
                seconds=seconds,
                known=len(self._addresses.current()),
            )
            self._without_leader_since = None
        self._leader = address
        self._last_contact_at = now

    def _note_leader_lost(self, address: str, why: str) -> None:
        """Log the first of the calls in a row that no leader answered."""
        if self._without_leader_since is None:
            self._without_leader_since = self._clock.monotonic()
            log_event("leader:lost", address=address, why=why, known=len(self._addresses.current()))

    def _update_leader_hint(self, called_address: str, leader_address: str) -> None:
        if self._leader not in ("", called_address):
            return
        # A follower names the leader that it last heard of, which may be the one that is lost.
        has_failed = self._addresses.has_failed(leader_address)
        self._leader = "" if has_failed or leader_address == called_address else leader_address
        if not self._leader:
            self._wake_up()

    # -------------------------------------------------------------- in the background

    def _wake_up(self) -> None:
        if not self._wake.ready():
            self._wake.send(None)

    def _maintain_group(self) -> None:
        """Poll a member of the group, or every known host while no leader is known."""
        while True:
            began_at, interval = self._clock.monotonic(), SEARCH_INTERVAL_SECONDS
            try:
                interval = self._begin_probes()
            except Exception as error:
                self._errors.log(error)
            with eventlet.Timeout(interval * random.uniform(0.5, 1.5), False):
                self._wake.wait()
            if self._wake.ready():
                self._wake = Event()
                pause = MIN_SEARCH_INTERVAL_SECONDS * random.uniform(0.5, 1.5)
                elapsed = self._clock.monotonic() - began_at
                eventlet.sleep(max(RETRY_DELAY_SECONDS, pause - elapsed))

    def _begin_probes(self) -> float:
        """Ask those that are due; return the interval until the next time, in seconds."""
        if self._leader and self.is_ready:
            addresses = [random.choice(self._addresses.current() or [self._leader])]
            interval = GROUP_REFRESH_SECONDS
        else:
            addresses = self._addresses.to_search(has_contact=self.is_ready)
            interval = SEARCH_INTERVAL_SECONDS
        for address in addresses:
            self._begin_probe(address)
        return interval

    def _begin_probe(self, address: str) -> None:
        if address not in self._probed_addresses:
            self._probed_addresses.add(address)
            eventlet.spawn_n(self._probe, address)

    def _probe(self, address: str) -> None:
        try:
            self._adopt_view(address, self._ask(address, "group", GROUP_TIMEOUT_SECONDS))
        except (PeerUnreachable, TException):
            metrics.RETRIES.labels("group").inc()
        except Exception as error:
            self._errors.log(error)
        finally:
            self._probed_addresses.discard(address)

    def _adopt_view(self, address: str, view: ttypes.GroupView) -> None:
        leader_address = view.leader_address
        if not leader_address:
            return
        self._addresses.update_members(view.addresses)
        self._last_contact_at = self._clock.monotonic()
        if self._leader:
            # Calls find out whether it still leads; one that is cut off may say so of itself.
            return
        if leader_address == address or not self._addresses.has_failed(leader_address):
            self._leader = leader_address


def _says_not_accepted(request: JobCall, answer: JobAnswer) -> bool:
    kinds = (JobAnswerKind.REFUSED, JobAnswerKind.NO_QUEUE)
    return request.verb == JobVerb.SUBMIT and answer.kind in kinds
