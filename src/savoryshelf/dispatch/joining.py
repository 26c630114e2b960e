"""How a control host finds the leader of the group and asks it to be added.

Several of the addresses that a host knows may belong to hosts that are gone, and a host that
is gone does not refuse a connection.  So all addresses are asked at once, and the one that a
member names as the leader's is asked without a pause.
"""

from collections.abc import Callable

import eventlet

from ..clock import Clock
from ..errors import PeerUnreachable
from ..observability.logs import log_event
from ..wire.generated import ControlService, ttypes
from ..wire.generated.ttypes import Member, Membership
from ..wire.peers import PeerClient

JOIN_TIMEOUT_SECONDS = 1.0
"""Time for one attempt, in seconds: a connection and a commit across regions on a slow disk."""

MAX_EARLIER_SEEDS = 8
"""Bound on the seeds of earlier settings that are kept while no member of the group is known."""

MAX_SENDERS = 8
"""Bound on the addresses of senders that are kept between two attempts to join."""

MAX_LOGGED_ADDRESSES = 64
"""Bound on the addresses whose last outcome is kept; above it some are logged once more."""


class KnownAddresses:
    """The peer addresses at which a host looks for the group.

    Seeds of earlier settings count only while the host knows no membership: the newest
    settings may name hosts that are down or cut off, and hosts that have left are not
    asked for good.

    Members go on to send to the disk that this host lost, and their addresses may be in none of
    its settings: each sender is asked in the attempt after its message.  While this host knows no
    membership, it is asked in later ones too, since the leader soon removes that disk and then
    nobody sends any more.
    """

    def __init__(self):
        self._seeds: list[str] = []
        self._earlier_seeds: list[str] = []
        self._senders: dict[str, None] = {}
        """Whose messages arrived since the last attempt, or since the membership was unknown."""

    def update_seeds(self, seeds: list[str]) -> None:
        """Replace the seeds by those of newer settings."""
        earlier = [*self._seeds, *self._earlier_seeds]
        self._seeds = list(dict.fromkeys(seeds))
        kept = dict.fromkeys(each for each in earlier if each not in self._seeds)
        self._earlier_seeds = list(kept)[:MAX_EARLIER_SEEDS]

    def record_sender(self, address: str) -> None:
        """Note that another replica has sent a message from this address."""
        # Moved to the end, so that the first one is the one heard longest ago.
        self._senders.pop(address, None)
        self._senders[address] = None
        if len(self._senders) > MAX_SENDERS:
            del self._senders[next(iter(self._senders))]

    def take_to_ask(self, membership: Membership) -> list[str]:
        """Return the addresses to ask now, given the membership in this host's log."""
        members = [member.address for member in membership.members]
        known = [*members, *self._seeds, *([] if members else self._earlier_seeds)]
        asked = list(dict.fromkeys([*known, *self._senders]))
        if members:
            self._senders = {}
        return asked


class GroupJoiner:
    """Asks to be added to the group, with at most one attempt in progress at each address."""

    def __init__(self, member: Member, cluster_key: str, clock: Clock):
        self._member = member
        self.membership = ""
        """What this host's replica is by its log, for the log lines: voter, learner or none."""

        self._cluster_key = cluster_key
        self._clock = clock
        self._addresses_in_progress: set[str] = set()
        self._outcome_by_address: dict[str, str] = {}
        """The last outcome at each address; only changes are logged."""

    def ask_all(self, addresses: list[str]) -> None:
        """Begin an attempt at each address; it goes on in the background."""
        for address in addresses:
            self._begin(address, self._ask_and_follow)

    def _begin(self, address: str, attempt: Callable[[str], object]) -> None:
        if address == self._member.address or address in self._addresses_in_progress:
            return
        self._addresses_in_progress.add(address)
        eventlet.spawn_n(attempt, address)

    def _ask_and_follow(self, address: str) -> None:
        leader_address = self._ask(address)
        if leader_address:
            # A hint is followed once: two members may each take the other for the leader.
            self._begin(leader_address, self._ask)

    def _ask(self, address: str) -> str:
        """Ask the host at an address; return the address of the leader that it names."""
        client = PeerClient(ControlService, address, self._cluster_key)
        began_at, outcome, leader_address = self._clock.monotonic(), "failed", ""
        try:
            client.call(
                "join",
                self._member,
                timeout=JOIN_TIMEOUT_SECONDS,
                total_timeout=JOIN_TIMEOUT_SECONDS,
            )
            outcome = "accepted"
        except ttypes.NotLeader as error:
            leader_address = error.leader_address or ""
            outcome = f"not the leader, which is {leader_address or 'unknown'}"
        except (PeerUnreachable, ttypes.Unavailable) as error:
            outcome = str(error)
        finally:
            client.close()
            self._addresses_in_progress.discard(address)
            self._log_outcome(address, outcome, self._clock.monotonic() - began_at)
        return leader_address

    def _log_outcome(self, address: str, outcome: str, seconds: float) -> None:
        if self._outcome_by_address.get(address) == outcome:
            return
        if len(self._outcome_by_address) > MAX_LOGGED_ADDRESSES:
            self._outcome_by_address.clear()
        self._outcome_by_address[address] = outcome
        log_event(
            "group:join_asked", address=address, outcome=outcome, seconds=round(seconds, 2),
            membership=self.membership, replica=self._member.replica_id,
        )  # fmt: skip
