"""Quorums and changes of voters where disks are lost for good.

A vote or an acknowledgement is one step at the voter and may be counted at any later time, also
once its disk is lost; a deposed leader acts on until it votes in, or follows, a later term.
The model gives each judge more than it may have: it may know of any loss and any commit at
once.  A new voter may hold any log.  Term 1 has a leader from the beginning.

One voter of the latest committed membership keeps its disk.  States that differ only in the numbers
of the replicas are explored once, as far as ``_canonical`` finds them.

Two rules of the product are no guards here.  That a leader has committed an entry of its term
before it removes a lost voter follows from the entry since the loss.  ``min_copies`` keeps the
number of losses that the group bears; it matters from the second removal of five on, which
the bounds don't reach.
"""

import random
from functools import lru_cache
from typing import NamedTuple

import attrs
from minicheck import Protocol

from .model import bound, specification

FOLLOWER, CANDIDATE, LEADER, LOST = range(4)

THRESHOLD = "survivors are a quorum only if they meet every other quorum"
JOINT_ELECTIONS = "a candidate asks the voters before an uncommitted change, too"
JOINT_COMMITS = "a change is committed by a quorum of the voters before it, too"
ONE_CHANGE = "a change of voters waits for the one before it to commit"
ENTRY = "a lost voter is removed once an entry since the loss is committed, not a heartbeat"
CONFIRMED = "a lost voter is removed once something since the loss is confirmed"
GUARDS = frozenset({THRESHOLD, JOINT_ELECTIONS, JOINT_COMMITS, ONE_CHANGE, ENTRY, CONFIRMED})


class Membership(NamedTuple):
    """A set of voters as bits, the least number of copies, and how the set came about."""

    voters: int
    min_copies: int
    removes_lost: bool = False

    @property
    def quorum(self) -> int:
        """Return the number of voters in a quorum."""
        count = self.voters.bit_count()
        return max(count // 2 + 1, min(count, self.min_copies))

    @property
    def copies(self) -> int:
        """Return how many voters hold what is committed, by the loss of how many it is lost."""
        count = self.voters.bit_count()
        return min(count, max(count - count // 2, self.min_copies))

    @property
    def fewest_survivors(self) -> int:
        """Return how many voters must be left to go on once the disks of the others are lost."""
        return self.voters.bit_count() - self.copies + 1


class Replica(NamedTuple):
    """One replica; of one whose disk is lost only ``role`` and ``lost_at`` are kept.

    The log has a pair of each entry's term and the membership it sets, or None for a command.
    ``granted`` are the votes for a candidate, as bits, and ``acked`` the lengths that the replicas
    have acknowledged to a leader.  ``lost_at`` has, by term, how long the log of a leader was that
    was in office at the loss, else 0.
    """

    term: int
    log: tuple
    role: int = FOLLOWER
    granted: int = 0
    acked: tuple = ()
    lost_at: tuple = ()


class State(NamedTuple):
    """The state: ``committed`` has pairs of an entry and the term in which it was committed first.

    ``led`` are the terms that had a leader, as bits.
    """

    replicas: tuple
    committed: tuple
    base: Membership
    led: int
    has_second_leader: bool = False
    has_conflict: bool = False


@attrs.frozen
class Bounds:
    """Bounds of the model: the first ``voters`` replicas vote, the others are new."""

    voters: int
    replicas: int
    min_copies: int
    max_term: int
    max_log: int
    max_losses: int
    ordinary_changes: bool

    @property
    def initial(self) -> State:
        """Return the state in which replica 0 leads term 1 and all logs are empty."""
        leader = Replica(1, (), LEADER, 0, (0,) * self.replicas)
        new = (Replica(0, ()),) * (self.replicas - self.voters)
        replicas = (leader, *(Replica(1, ()),) * (self.voters - 1), *new)
        return State(replicas, (), Membership((1 << self.voters) - 1, self.min_copies), 1 << 1)


def _position(log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def _members(bits: int) -> list[int]:
    return [i for i in range(bits.bit_length()) if bits >> i & 1]


def _lost(replicas) -> int:
    return sum(1 << i for i, replica in enumerate(replicas) if replica.role == LOST)


def _with(replicas, i, replica):
    return (*replicas[:i], replica, *replicas[i + 1 :])


def _index_of_change(log) -> int:
    return next((i for i in reversed(range(len(log))) if log[i][1]), -1)


def _membership(log, base) -> Membership:
    index = _index_of_change(log)
    return log[index][1] if index >= 0 else base


# ------------------------------------------------------------------------ symmetry


@lru_cache(1 << 16)
def _permuted_bits(bits: int, new_number) -> int:
    return sum(1 << new for old, new in enumerate(new_number) if bits >> old & 1)


def _permuted_entry(entry, new_number):
    term, membership = entry
    if membership is None:
        return entry
    return term, membership._replace(voters=_permuted_bits(membership.voters, new_number))


@lru_cache(1 << 16)
def _permuted_log(log, new_number):
    return tuple(_permuted_entry(entry, new_number) for entry in log)


@lru_cache(1 << 16)
def _changes_in(log) -> tuple:
    """Return the changes of voters in a log, with what doesn't depend on numbers first."""
    return tuple(
        ((i, term, m.voters.bit_count(), m.min_copies, m.removes_lost), m.voters)
        for i, (term, m) in enumerate(log)
        if m
    )


@lru_cache(1 << 16)
def _log_seen_by(log, i: int) -> tuple:
    """Return the log as it looks to a replica, whatever the numbers of the others are."""
    terms = tuple(term for term, _ in log)
    return terms, tuple((change, voters >> i & 1) for change, voters in _changes_in(log))


def _canonical(state: State) -> State:
    """Renumber the replicas by what tells them apart."""
    replicas = state.replicas
    active = [
        (r.term, r.role, _log_seen_by(r.log, j), r.granted.bit_count(), j)
        for j, r in enumerate(replicas)
        if CANDIDATE <= r.role <= LEADER
    ]
    active = [replicas[j] for *_, j in sorted(active)]
    changes = sorted({change for r in replicas if r.log for change in _changes_in(r.log)})
    keys = [
        (
            r.role,
            r.term,
            r.lost_at,
            state.base.voters >> i & 1,
            _log_seen_by(r.log, i),
            [a.acked[i] if a.acked else a.granted >> i & 1 for a in active],
            [voters >> i & 1 for _, voters in changes],
        )
        for i, r in enumerate(replicas)
    ]
    order = sorted(range(len(replicas)), key=keys.__getitem__)
    if order == list(range(len(replicas))):
        return state
    new_number = [0] * len(order)
    for new, old in enumerate(order):
        new_number[old] = new
    new_number = tuple(new_number)

    def permuted(r: Replica) -> Replica:
        return Replica(
            r.term,
            _permuted_log(r.log, new_number),
            r.role,
            _permuted_bits(r.granted, new_number),
            tuple(r.acked[old] for old in order) if r.acked else (),
            r.lost_at,
        )

    return State(
        tuple(permuted(replicas[old]) for old in order),
        tuple((_permuted_entry(entry, new_number), term) for entry, term in state.committed),
        state.base._replace(voters=_permuted_bits(state.base.voters, new_number)),
        *state[3:],
    )


# --------------------------------------------------------------------- transitions


@attrs.frozen
class _Rules:
    guards: frozenset[str]
    bounds: Bounds

    def transitions(self, state: State):
        """Return the steps from a state, each with its name; none after a broken invariant."""
        if state.has_conflict or state.has_second_leader:
            return
        for i, replica in enumerate(state.replicas):
            if replica.role == LOST:
                continue
            if replica.role != LEADER:
                yield from self._campaign(state, i)
            if replica.role == CANDIDATE:
                yield from self._votes(state, i)
                yield from self._lead(state, i)
            if replica.role == LEADER:
                yield from self._append(state, i)
                yield from self._replicate(state, i)
                yield from self._commit(state, i)
            yield from self._lose(state, i)

    def _memberships(self, state: State, log, guard: str) -> list[Membership]:
        """Return those of which a quorum is needed by whoever has this log."""
        index = _index_of_change(log)
        after = _membership(log, state.base)
        if index < 0 or after.removes_lost or self._is_committed(state, log, index):
            return [after]
        before = _membership(log[:index], state.base)
        return [after, before] if guard in self.guards else [after]

    @staticmethod
    def _is_committed(state: State, log, index: int) -> bool:
        return index < len(state.committed) and state.committed[index][0] == log[index]

    def _is_quorum(self, state: State, membership: Membership, present: int) -> bool:
        voters = membership.voters
        count = (voters & present).bit_count()
        if count >= membership.quorum:
            return True
        fewest = membership.fewest_survivors if THRESHOLD in self.guards else 1
        return count >= fewest and not voters & ~present & ~_lost(state.replicas)

    def _is_quorum_of_change(self, state: State, memberships: list, present: int) -> bool:
        """Return whether the replicas are a quorum after a change that may not be committed.

        A quorum by size needs none of the voters before if it meets all their survivors anyway.
        """
        after, before = memberships[0], memberships[-1]
        added = (after.voters & ~before.voters).bit_count()
        meets = after.quorum - added + before.fewest_survivors > before.voters.bit_count()
        if meets and (after.voters & present).bit_count() >= after.quorum:
            return True
        return all(self._is_quorum(state, each, present) for each in memberships)

    def _campaign(self, state: State, i: int):
        replica = state.replicas[i]
        memberships = self._memberships(state, replica.log, JOINT_ELECTIONS)
        if not memberships[0].voters >> i & 1:
            return
        for term in range(replica.term + 1, self.bounds.max_term + 1):
            after = Replica(term, replica.log, CANDIDATE, 1 << i)
            yield (
                f"{i} campaigns in {term}",
                state._replace(replicas=_with(state.replicas, i, after)),
            )

    def _votes(self, state: State, i: int):
        candidate = state.replicas[i]
        asked = 0
        for membership in self._memberships(state, candidate.log, JOINT_ELECTIONS):
            asked |= membership.voters
        for j in _members(asked & ~candidate.granted):
            voter = state.replicas[j]
            if voter.role == LOST or voter.term >= candidate.term:
                continue
            if _position(voter.log) > _position(candidate.log):
                continue
            granted = candidate._replace(granted=candidate.granted | 1 << j)
            replicas = _with(state.replicas, i, granted)
            replicas = _with(replicas, j, Replica(candidate.term, voter.log))
            yield f"{j} votes for {i}", state._replace(replicas=replicas)

    def _lead(self, state: State, i: int):
        candidate = state.replicas[i]
        memberships = self._memberships(state, candidate.log, JOINT_ELECTIONS)
        if not self._is_quorum_of_change(state, memberships, candidate.granted):
            return
        log = (*candidate.log, (candidate.term, None))
        acked = tuple(len(log) if j == i else 0 for j in range(len(state.replicas)))
        leader = Replica(candidate.term, log, LEADER, 0, acked)
        term_bit = 1 << candidate.term
        yield (
            f"{i} leads",
            state._replace(
                replicas=_with(state.replicas, i, leader),
                led=state.led | term_bit,
                has_second_leader=bool(state.led & term_bit),
            ),
        )

    def _append(self, state: State, i: int):
        leader = state.replicas[i]
        if len(leader.log) >= self.bounds.max_log:
            return
        for name, membership in [("a command", None), *self._changes(state, i)]:
            log = (*leader.log, (leader.term, membership))
            acked = _with(leader.acked, i, len(log))
            after = leader._replace(log=log, acked=acked)
            yield f"{i} appends {name}", state._replace(replicas=_with(state.replicas, i, after))

    def _changes(self, state: State, i: int):
        leader = state.replicas[i]
        log, now = leader.log, _membership(leader.log, state.base)
        index = _index_of_change(log)
        if ONE_CHANGE in self.guards and index >= 0 and not self._is_committed(state, log, index):
            return
        copies = max(now.min_copies, now.copies)
        removable = sum(
            1 << j
            for j in _members(now.voters & _lost(state.replicas))
            if self._may_remove_lost(state, leader, now, j)
        )
        for removed in {removable, *(1 << j for j in _members(removable))} - {0, now.voters}:
            yield (
                f"the removal of lost {_members(removed)}",
                Membership(now.voters & ~removed, copies, True),
            )
        if not self.bounds.ordinary_changes or not self._has_committed_since(state, leader, 0):
            return
        for j, replica in enumerate(state.replicas):
            if now.voters >> j & 1 and now.voters != 1 << j:
                yield f"the removal of {j}", Membership(now.voters & ~(1 << j), copies)
            if not now.voters >> j & 1 and replica.role != LOST and not replica.term:
                yield f"the promotion of {j}", Membership(now.voters | 1 << j, now.min_copies)

    def _may_remove_lost(self, state: State, leader: Replica, now: Membership, j: int) -> bool:
        if CONFIRMED not in self.guards:
            return True
        if ENTRY in self.guards:
            return self._has_committed_since(
                state, leader, state.replicas[j].lost_at[leader.term - 1]
            )
        following = sum(
            1 << k
            for k, replica in enumerate(state.replicas)
            if replica.role != LOST and replica.term <= leader.term
        )
        return self._is_quorum(state, now, following)

    def _has_committed_since(self, state: State, leader: Replica, length: int) -> bool:
        """Return whether an entry of its term after the first ``length`` ones is committed."""
        return any(
            leader.log[index][0] == leader.term and self._is_committed(state, leader.log, index)
            for index in range(length, len(leader.log))
        )

    def _replicate(self, state: State, i: int):
        leader = state.replicas[i]
        for j, other in enumerate(state.replicas):
            if j == i or other.role == LOST or other.term > leader.term:
                continue
            if other.term == leader.term and other.log == leader.log:
                continue
            acked = _with(leader.acked, j, len(leader.log))
            replicas = _with(state.replicas, i, leader._replace(acked=acked))
            replicas = _with(replicas, j, Replica(leader.term, leader.log))
            yield f"{i} replicates to {j}", state._replace(replicas=replicas)

    def _commit(self, state: State, i: int):
        leader = state.replicas[i]
        memberships = self._memberships(state, leader.log, JOINT_COMMITS)
        for length in range(len(leader.log), 0, -1):
            if leader.log[length - 1][0] != leader.term:
                return
            if self._is_committed(state, leader.log, length - 1):
                return
            holding = sum(1 << j for j, acked in enumerate(leader.acked) if acked >= length)
            if self._is_quorum_of_change(state, memberships, holding):
                yield f"{i} commits {length}", self._with_committed(state, leader, length)
                return

    @staticmethod
    def _with_committed(state: State, leader: Replica, length: int) -> State:
        known = state.committed
        conflict = any(
            entry != committed
            for entry, (committed, _) in zip(leader.log[:length], known, strict=False)
        )
        added = tuple((entry, leader.term) for entry in leader.log[len(known) : length])
        return state._replace(committed=known + added, has_conflict=conflict)

    def _lose(self, state: State, i: int):
        lost = _lost(state.replicas)
        now = _membership(tuple(entry for entry, _ in state.committed), state.base)
        if lost.bit_count() >= self.bounds.max_losses or not now.voters & ~lost & ~(1 << i):
            return
        lost_at = [0] * self.bounds.max_term
        for replica in state.replicas:
            if replica.role == LEADER:
                lost_at[replica.term - 1] = len(replica.log)
        after = Replica(0, (), LOST, lost_at=tuple(lost_at))
        yield f"the disk of {i} is lost", state._replace(replicas=_with(state.replicas, i, after))


# ---------------------------------------------------------------------- properties


def _one_leader_per_term(state) -> bool:
    return not state["has_second_leader"]


def _no_conflict(state) -> bool:
    return not state["has_conflict"]


def _later_leaders_hold_what_is_committed(state) -> bool:
    return all(
        index < len(replica.log) and replica.log[index] == entry
        for replica in state["replicas"]
        if replica.role == LEADER
        for index, (entry, term) in enumerate(state["committed"])
        if replica.term > term
    )


_INVARIANTS = {
    "at most one leader per term": _one_leader_per_term,
    "no two leaders commit different entries at one index": _no_conflict,
    "a later leader holds every committed entry": _later_leaders_hold_what_is_committed,
}


@specification("lost-disks", (THRESHOLD, CONFIRMED, ENTRY), refuted_only_at_full_bounds=(ENTRY,))
def make_lost_disks(guards: frozenset[str]) -> Protocol:
    """Return the model of five voters; at small bounds, of the four that one removal leaves."""
    voters = bound(5, small=4)
    bounds = Bounds(voters, voters, bound(0, small=3), 2, 2, 3, ordinary_changes=False)
    return _make(guards | {JOINT_ELECTIONS, JOINT_COMMITS, ONE_CHANGE}, bounds)


@specification("lost-disks-changes", (JOINT_ELECTIONS, JOINT_COMMITS))
def make_changes(guards: frozenset[str]) -> Protocol:
    """Return the model of the three voters that two removals leave, and a successor."""
    bounds = Bounds(3, 4, 3, bound(3, small=2), 2, 3, ordinary_changes=True)
    return _make(guards | {THRESHOLD, ONE_CHANGE, ENTRY, CONFIRMED}, bounds)


@specification("lost-disks-removals", (ONE_CHANGE,), refuted_only_at_full_bounds=(ONE_CHANGE,))
def make_removals(guards: frozenset[str]) -> Protocol:
    """Return the model of four voters of which live ones are removed, too."""
    bounds = Bounds(4, 4, 3, 2, bound(3, small=2), bound(3, small=2), ordinary_changes=True)
    others = {THRESHOLD, JOINT_ELECTIONS, JOINT_COMMITS, ENTRY, CONFIRMED}
    return _make(guards | others, bounds)


WALKED = Bounds(5, 6, 0, 3, 5, 4, ordinary_changes=True)
"""Too large to be exhausted: five voters and a successor, with all kinds of steps."""

_WEIGHT_BY_WORD = {
    "campaigns": 1,
    "votes": 4,
    "leads": 3,
    "command": 1,
    "removal": 4,
    "promotion": 2,
    "replicates": 4,
    "commits": 6,
    "disk": 1,
}
"""How often a walk takes a step with this word in its name, if there is one."""


def walk(guards: frozenset[str], seed: int, steps: int) -> list[str] | None:
    """Walk at random from the first state of ``WALKED``; return the steps to a fault, if any.

    With an odd seed a candidate is in flight first, with the vote of a disk that is lost since.
    """
    rng = random.Random(seed)
    rules, state, taken = _Rules(guards, WALKED), WALKED.initial, []
    if seed % 2:
        taken = ["1 campaigns in 2", "4 votes for 1", "the disk of 4 is lost"]
        for name in taken:
            state = dict(rules.transitions(state))[name]
    for _ in range(steps):
        found_by_word = {}
        for name, after in rules.transitions(state):
            word = next(word for word in _WEIGHT_BY_WORD if word in name)
            found_by_word.setdefault(word, []).append((name, after))
        if not found_by_word:
            return None
        weights = [_WEIGHT_BY_WORD[word] for word in found_by_word]
        [found] = rng.choices(list(found_by_word.values()), weights)
        name, state = rng.choice(found)
        taken.append(name)
        if not all(holds(state._asdict()) for holds in _INVARIANTS.values()):
            return taken
    return None


def _make(guards: frozenset[str], bounds: Bounds) -> Protocol:
    rules = _Rules(guards, bounds)
    return Protocol(
        name="lost disks",
        candidate=False,
        fields=State._fields,
        initial=_canonical(bounds.initial),
        transitions=lambda state: [
            (name, _canonical(after)) for name, after in rules.transitions(state)
        ],
        invariants=_INVARIANTS,
    )
