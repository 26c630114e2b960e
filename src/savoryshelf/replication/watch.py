"""Tells why a replica has no leader, or that its thread is stuck, from another green thread.

A leader also tells which voters acknowledge nothing.

A replica that is stuck for another reason than its disk is stopped, and its process with it: while
the rest of that answers calls, nobody else can tell that this voter never votes.
"""

import math
from collections.abc import Callable
from typing import Any, Protocol

import attrs
import eventlet
import greenlet

from ..clock import Clock
from ..errors import SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..observability.stacks import error_frame_names, frame_names
from .core import Replica
from .membership import host_name, membership_kind, voter_ids
from .types import Election, Role

CHECK_INTERVAL_SECONDS = 0.5
"""How often the replica is looked at."""

WITHOUT_LEADER_SECONDS = 2.0
"""Time without a leader after which that is logged: an election takes less."""

STUCK_SECONDS = 2.0
"""Time without a completed turn of the replica's thread after which that is logged."""

MAX_HUNG_SECONDS = 3.0
"""How long a thread may be stuck without a write in progress until its replica is stopped.

Many times the longest turn, and a restart takes a second or two.
"""

LOG_INTERVAL_SECONDS = 5.0
"""Time between two lines while either lasts."""

VOTER_SILENT_TIMEOUTS = 5
"""Time without a reply of a voter, in election timeouts, after which its leader logs that, once.

A host that is started again replies sooner, and a leader without a majority leads no longer.
"""

RECEPTION_LOG_SECONDS = 1.0
"""Time between two lines of a replica that is no voter on what it receives of the log."""

RECEPTION_SECONDS = 10.0
"""A replica that is no voter for longer logs that as seldom as other things that last.

A replacement takes less than half of this time.
"""

RECEPTION_SILENT_SECONDS = 0.6
"""Time without progress after which a line tells why: three heartbeat intervals."""

STANDSTILL_SECONDS = 1.0
"""After a check that comes later than this, the replica gets a moment to read what has arrived."""

MAX_PEERS = 12
"""Bound on the members, and on other senders, that one line describes."""

MAX_SENDERS = 32
"""Bound on the replica ids whose last message is remembered."""


class ReplicaStuck(SavoryshelfError):
    """The replica's thread has completed no turn for long, and waits for no write."""

    def __init__(self, seconds: float):
        super().__init__(f"the replica's thread has completed no turn for {seconds:.1f} s")


class WatchedReplica(Protocol):
    """What the watch reads of a ``ReplicaService``."""

    core: Replica

    @property
    def thread(self) -> greenlet.greenlet | None:
        """Return the green thread that runs the replica."""

    @property
    def turn_completed_at(self) -> float:
        """Return when that thread last completed a turn."""

    @property
    def waiting_messages(self) -> int:
        """Return how many messages and requests wait for that thread."""

    def write_delays(self, now: float) -> dict[str, float]:
        """Return for how long the present write has been in progress, if there is one."""

    @property
    def write_began_at(self) -> float | None:
        """Return when the write began that the thread waits for, if it does."""

    @property
    def waits_for_disk(self) -> bool:
        """Return whether that thread waits for a write which the disk is still at."""

    def address_of(self, replica_id: str) -> str:
        """Return the address of a replica's host, or an empty string if it is not known."""

    def sender_state(self, replica_id: str) -> dict[str, Any]:
        """Return the state of the sender to another replica."""

    def stop(self, error: Exception | None = None) -> None:
        """Stop the replica."""


@attrs.define
class _Episode:
    """A time in which something is wrong, and when it was logged last."""

    began_at: float
    logged_at: float


class ReplicaWatch:
    """Looks at a replica from time to time, and logs what keeps it without a leader."""

    def __init__(self, replica: WatchedReplica, clock: Clock):
        self._replica = replica
        self._clock = clock
        self._started_at = self._checked_at = clock.monotonic()
        self._resumed_at = float("-inf")
        self._led_at = float("-inf")
        """When this replica was last seen to lead."""

        self._heard_at_by_sender: dict[str, float] = {}
        self._without_leader: _Episode | None = None
        self._stuck: _Episode | None = None
        self._hung_since: float | None = None
        self._write_seen: float | None = None
        """When the write began that the thread waited for at the latest check."""

        self._has_failed = False
        self._silent_since_by_voter: dict[str, float] = {}
        """The voters that were logged as silent in the term that this replica leads, and since
        when."""

        self._followed_term = 0
        self._receiving: _Episode | None = None
        """The time in which this replica is no voter by its own log."""

    def record_senders(self, sender_ids: set[str]) -> None:
        """Note that messages of these replicas have arrived just now."""
        now = self._clock.monotonic()
        for sender_id in sender_ids:
            # Moved to the end, so that the first one is the one heard longest ago.
            self._heard_at_by_sender.pop(sender_id, None)
            self._heard_at_by_sender[sender_id] = now
        while len(self._heard_at_by_sender) > MAX_SENDERS:
            del self._heard_at_by_sender[next(iter(self._heard_at_by_sender))]

    def check(self) -> None:
        """Look at the replica if that is due; never raises."""
        now = self._clock.monotonic()
        if now - self._checked_at < CHECK_INTERVAL_SECONDS:
            return
        if now - self._checked_at > STANDSTILL_SECONDS:
            self._resumed_at = now
        self._checked_at = now
        try:
            self._check(now)
        except Exception as error:
            if not self._has_failed:
                self._has_failed = True
                log_event("replica:watch_failed", error=repr(error), stack=error_frame_names(error))

    def _check(self, now: float) -> None:
        contact_age = self._replica.core.seconds_since_leader_contact(now)
        turn_age = now - self._replica.turn_completed_at
        metrics.LEADER_CONTACT_SECONDS.set(contact_age)
        metrics.REPLICA_TURN_SECONDS.set(turn_age)
        if self._replica.core.role is Role.LEADER:
            self._led_at = now
        if now - self._resumed_at < CHECK_INTERVAL_SECONDS:
            self._hung_since = None
            return
        self._without_leader = self._follow(
            self._without_leader, now, now - max(now - contact_age, self._led_at, self._started_at),
            WITHOUT_LEADER_SECONDS, self._log_without_leader, self._log_leader_again,
        )  # fmt: skip
        self._stuck = self._follow(
            self._stuck, now, turn_age, STUCK_SECONDS, self._log_stuck, self._log_goes_on
        )
        self._stop_if_hung(now, turn_age)
        self._follow_voters(now)
        self._follow_reception(now)

    @staticmethod
    def _follow(
        episode: _Episode | None, now: float, age: float, limit: float,
        log: Callable[[float, float], None], log_end: Callable[[float], None],
    ) -> _Episode | None:  # fmt: skip
        """Log that something begins, goes on or ends; return it if it is not over."""
        if age <= limit:
            if episode is not None:
                log_end(now - age - episode.began_at)
            return None
        if episode is None or now - episode.logged_at >= LOG_INTERVAL_SECONDS:
            log(now, age)
            return _Episode(episode.began_at if episode else now - age, now)
        return episode

    # --------------------------------------------------------- without a leader

    def _log_without_leader(self, now: float, seconds: float) -> None:
        core, log = self._replica.core, self._replica.core.log
        members = log.membership.members
        has_had_one = now - seconds > self._started_at
        log_event(
            "replica:without_leader",
            why="no message from a leader" if has_had_one else "no leader since the start",
            led_s=_rounded(now - self._led_at),
            seconds=round(seconds, 2), role=core.role.value, term=core.term,
            voted_for=core.voted_for, membership=membership_kind(log.membership, core.replica_id),
            voters=[each.replica_id for each in members if each.voter],
            learners=[each.replica_id for each in members if not each.voter],
            lost=core.lost_member_ids, min_copies=log.membership.min_copies,
            membership_index=log.membership_index, last_index=log.last_index,
            last_term=log.last_term, commit_index=core.commit_index,
            applied_index=core.applied_index, campaigns=core.campaigns,
            campaign_due_s=round(core.campaign_due_at - now, 2),
            may_vote_in_s=_rounded(max(0.0, core.votes_from - now)),
            **self._campaigns(), peers=self._peers(now), **self._own_thread(now),
        )  # fmt: skip

    def _log_leader_again(self, seconds: float) -> None:
        core = self._replica.core
        log_event(
            "replica:has_leader_again", leader=core.leader_id or "", term=core.term,
            without_s=round(seconds, 2),
        )  # fmt: skip

    def _campaigns(self) -> dict:
        core = self._replica.core
        described = {}
        if core.election is not None:
            described["campaign"] = _describe(core.election)
            described["campaign"]["state"] = (
                "in progress"
                if core.role in (Role.PRE_CANDIDATE, Role.CANDIDATE)
                else "yielded"
                if core.election.yielded_to
                else "ended by a later term"
            )
        if core.failed_election is not None:
            described["campaign_before"] = _describe(core.failed_election)
        return described

    def _peers(self, now: float) -> dict[str, dict]:
        """Return what is known of each other member, and of others that send messages."""
        core = self._replica.core
        members = [each.replica_id for each in core.log.membership.members]
        others = [each for each in self._heard_at_by_sender if each not in members]
        return {
            replica_id: {
                "heard_s": _rounded(now - self._heard_at_by_sender.get(replica_id, -math.inf)),
                **self._replica.sender_state(replica_id),
            }
            for replica_id in [*members[:MAX_PEERS], *others[-MAX_PEERS:]]
            if replica_id != core.replica_id
        }

    def _own_thread(self, now: float) -> dict:
        delays = {"turn_s": now - self._replica.turn_completed_at}
        delays.update(self._replica.write_delays(now))
        return {
            "mailbox": self._replica.waiting_messages,
            **{key: round(seconds, 2) for key, seconds in delays.items()},
        }

    # ----------------------------------------------- a replica that is no voter

    def _follow_reception(self, now: float) -> None:
        """Log from time to time what a replica that is no voter receives, and that it is one."""
        core = self._replica.core
        if membership_kind(core.log.membership, core.replica_id) == "voter":
            if self._receiving is not None:
                self._log_reception(now)
            self._receiving = None
            return
        if self._receiving is None:
            self._receiving = _Episode(now, float("-inf"))
        is_new = now - self._receiving.began_at <= RECEPTION_SECONDS
        interval = RECEPTION_LOG_SECONDS if is_new else LOG_INTERVAL_SECONDS
        # Checks come a little late, and not each by as much.
        if now - self._receiving.logged_at >= interval - CHECK_INTERVAL_SECONDS / 2:
            self._receiving.logged_at = now
            self._log_reception(now)

    def _log_reception(self, now: float) -> None:
        core = self._replica.core
        received = core.reception
        why = received.stalls_by(core.log.last_index, now, RECEPTION_SILENT_SECONDS)
        log_event(
            "replica:receives_log",
            membership=membership_kind(core.log.membership, core.replica_id),
            replica=core.replica_id, leader=received.sender, term=core.term,
            since_s=_rounded(now - received.began_at), heard_s=_rounded(now - received.heard_at),
            progress_s=_rounded(now - received.progressed_at),
            entries=received.entries, snapshot_bytes=received.snapshot_bytes,
            snapshots=received.snapshots, rejected=received.rejected,
            last_index=core.log.last_index, last_term=core.log.last_term,
            leader_commit_index=received.leader_commit_index,
            **({"why": why} if why else {}), **self._own_thread(now),
        )  # fmt: skip

    # -------------------------------------------------------- voters of a leader

    def _follow_voters(self, now: float) -> None:
        """Log voters that acknowledge nothing, and those that do so again, once each."""
        core = self._replica.core
        if core.role is not Role.LEADER:
            return
        if core.term != self._followed_term:
            self._followed_term, self._silent_since_by_voter = core.term, {}
        silent_before, self._silent_since_by_voter = self._silent_since_by_voter, {}
        progress_by_id = core.leader_state.progress_by_id
        for voter_id in voter_ids(core.log.membership):
            if voter_id not in progress_by_id:
                continue
            acked_at = progress_by_id[voter_id].acked_at
            silent_since = silent_before.get(voter_id)
            # While this replica's thread stands, replies that have arrived are not read.
            seconds = core.now - acked_at
            if seconds > VOTER_SILENT_TIMEOUTS * core.timing.election_timeout:
                if silent_since is None:
                    silent_since = acked_at
                    self._log_voter_silent(now, voter_id, seconds)
                self._silent_since_by_voter[voter_id] = silent_since
            elif silent_since is not None:
                log_event(
                    "replica:voter_back", voter=voter_id,
                    address=self._replica.address_of(voter_id),
                    silent_s=round(acked_at - silent_since, 2),
                )  # fmt: skip

    def _log_voter_silent(self, now: float, voter_id: str, seconds: float) -> None:
        heard_at = self._heard_at_by_sender.get(voter_id, -math.inf)
        log_event(
            "replica:voter_silent", why="it has acknowledged nothing",
            voter=voter_id, address=self._replica.address_of(voter_id), seconds=round(seconds, 2),
            heard_s=_rounded(now - heard_at), **self._replica.sender_state(voter_id),
        )  # fmt: skip

    # ------------------------------------------------------------ a stuck thread

    def _log_stuck(self, now: float, seconds: float) -> None:
        thread = self._replica.thread
        log_event(
            "replica:stuck", why="the replica's thread has completed no turn",
            seconds=round(seconds, 2), role=self._replica.core.role.value,
            term=self._replica.core.term, has_ended=thread is None or bool(thread.dead),
            stack=frame_names(thread.gr_frame) if thread is not None else [],
            **self._own_thread(now),
        )  # fmt: skip

    def _stop_if_hung(self, now: float, seconds: float) -> None:
        """Stop a replica whose thread is stuck, unless its disk is slow or refuses a write."""
        write_before, self._write_seen = self._write_seen, self._replica.write_began_at
        # One write after another is slow, and not stuck, even if each has just ended.
        goes_on = self._write_seen != write_before
        if seconds <= STUCK_SECONDS or goes_on or self._replica.waits_for_disk:
            self._hung_since = None
            return
        if self._hung_since is None:
            self._hung_since = now
        if now - self._hung_since > MAX_HUNG_SECONDS:
            self._hung_since = now
            log_event("replica:stopped", why="its thread is stuck", seconds=round(seconds, 2))
            # This runs in a green thread that is stopped as well.
            eventlet.spawn_n(self._replica.stop, ReplicaStuck(seconds))

    def _log_goes_on(self, seconds: float) -> None:
        log_event("replica:goes_on", stuck_s=round(seconds, 2))


def _describe(election: Election) -> dict:
    described = {
        "vote": "pre-vote" if election.pre_vote else "vote",
        "term": election.term,
        "granted": sorted(host_name(each) for each in election.granted),
        "refused": {host_name(k): why for k, why in sorted(election.refusals.items())},
        "unanswered": sorted(host_name(each) for each in election.unanswered),
    }
    if election.lost:
        described["lost"] = sorted(election.lost)
    if election.yielded_to:
        described["yielded_to"] = host_name(election.yielded_to)
    return described


def _rounded(seconds: float) -> float | None:
    return None if math.isinf(seconds) else round(seconds, 2)
