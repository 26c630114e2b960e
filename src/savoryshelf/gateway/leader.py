"""Finds the control leader among hosts that nobody lists, and asks it."""

import random

import eventlet

from ..clock import Clock
from ..errors import PeerUnreachable, SavoryshelfError
from ..observability import metrics
from ..wire.generated import ControlService, ttypes
from ..wire.generated.ttypes import JobAnswer, JobCall
from ..wire.peers import PeerPool

TRY_SECONDS = 0.9
"""How long one host may take to answer: a commit across regions on a slow disk fits."""

PAUSE_SECONDS = 0.05
"""Between tries; jittered by half."""

GROUP_SECONDS = 2.0
"""Between looks at who makes up the group."""

KNOWN_FRESH_SECONDS = 6.0
"""A leader heard within this time makes this host ready: longer than an election takes."""


class NoAnswer(SavoryshelfError):
    """No leader answered in time; ``may_have_run`` says whether a try may have arrived."""

    def __init__(self, may_have_run: bool, detail: str):
        super().__init__(detail)
        self.may_have_run = may_have_run


class LeaderClient:
    """Calls to the leader; remembers it until another answers."""

    def __init__(self, seed_addresses: list[str], cluster_key: str, clock: Clock):
        self._cluster_key = cluster_key
        self._clock = clock
        self._addresses = set(seed_addresses)
        self._pool_by_address: dict[str, PeerPool] = {}
        self._leader = ""
        self._answered_at = float("-inf")

    def start(self) -> None:
        """Begin to follow who makes up the group."""
        eventlet.spawn(self._follow_group)

    def update_seeds(self, seed_addresses: list[str]) -> None:
        """Note seeds from new settings; the hosts known already stay known."""
        self._addresses.update(seed_addresses)

    @property
    def is_ready(self) -> bool:
        """Return whether a leader was known lately."""
        return self._clock.monotonic() - self._answered_at < KNOWN_FRESH_SECONDS

    def call(self, request: JobCall, seconds: float) -> JobAnswer:
        """Return the leader's answer; raises NoAnswer after that many seconds."""
        deadline = self._clock.monotonic() + seconds
        may_have_run, why = False, "no control host is known"
        while (left := deadline - self._clock.monotonic()) > 0:
            address = self._leader or random.choice(list(self._addresses))
            try:
                answer = self._ask(address, "job_call", request, min(left, TRY_SECONDS))
                self._note_leader(address)
                return answer
            except ttypes.NotLeader as error:
                self._follow(address, error.leader_address)
                why = f"{address} does not lead"
                if error.leader_address and error.leader_address != address:
                    continue
            except PeerUnreachable as error:
                may_have_run = may_have_run or error.sent
                why = str(error)
                self._follow(address, "")
            except ttypes.Unavailable as error:
                may_have_run = may_have_run or error.outcome_unknown
                why = error.reason
            metrics.RETRIES.labels("leader").inc()
            eventlet.sleep(PAUSE_SECONDS * random.uniform(0.5, 1.5))
        raise NoAnswer(may_have_run, why)

    def _ask(self, address: str, method: str, *arguments):
        pool = self._pool_by_address.get(address)
        if pool is None:
            pool = PeerPool(ControlService, address, self._cluster_key)
            self._pool_by_address[address] = pool
        *arguments, timeout = arguments
        return pool.call(method, *arguments, timeout=timeout)

    def _note_leader(self, address: str) -> None:
        self._leader = address
        self._answered_at = self._clock.monotonic()

    def _follow(self, asked: str, leader_address: str) -> None:
        if leader_address:
            self._addresses.add(leader_address)
        if self._leader in ("", asked):
            self._leader = leader_address if leader_address != asked else ""

    def _follow_group(self) -> None:
        while True:
            address = random.choice(list(self._addresses))
            try:
                view = self._ask(address, "group", TRY_SECONDS)
                self._addresses.update(view.addresses)
                if view.leader_address:
                    self._answered_at = self._clock.monotonic()
                    self._leader = self._leader or view.leader_address
            except (PeerUnreachable, ttypes.Unavailable):
                metrics.RETRIES.labels("group").inc()
            fresh = self._leader and self.is_ready
            pause = GROUP_SECONDS if fresh else 10 * PAUSE_SECONDS
            eventlet.sleep(pause * random.uniform(0.5, 1.5))
