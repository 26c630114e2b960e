"""Membership: a lost disk, its replacement, a second loss, and changes during elections.

The last replica starts with an empty disk and is not a voter.  An election and
an acknowledgement are one step each: this model checks which logs and memberships
can coexist, and ``election`` checks the interleaving of messages.  An entry is a
term and the voters it sets, or an empty set for a command.

Here the last replica may become a voter while its log is empty.  The product
adds it only once it keeps pace with the leader, when it may lack the entries of
the last round trip.  The model holds for any log of the new voter, so that rule
serves availability after a second loss, not safety.
"""

import attrs
from minicheck import Protocol

from .model import bound, specification

MAX_TERM = 3
COMMAND = frozenset()
"""In place of the voters, in an entry that changes no membership."""

NEW_IDENTITY = "a replica that lost its disk returns under a new identity"
ONE_CHANGE = "a membership change waits for the previous one to commit"
OWN_TERM = "no membership change before a commit in the leader's term"


@attrs.frozen
class Bounds:
    """Bounds of the model; replicas are numbered from 0.

    ``fresh_replica`` starts with an empty disk, at most ``max_losses`` disks are
    lost, and only voters in ``removable`` may be removed.
    """

    first_voters: frozenset[int]
    fresh_replica: int
    max_log: int
    max_losses: int
    removable: frozenset[int]

    @property
    def replicas(self) -> range:
        """Return the numbers of all replicas; ``fresh_replica`` is the last one."""
        return range(self.fresh_replica + 1)


@specification("repair", (NEW_IDENTITY, ONE_CHANGE), refuted_only_at_full_bounds=(ONE_CHANGE,))
def make_repair(guards: frozenset[str]) -> Protocol:
    """Return the model of three voters and one fresh replica, with up to two lost disks."""
    voters = frozenset({0, 1, 2})
    return _make(guards | {OWN_TERM}, Bounds(voters, 3, bound(3, small=2), 2, voters))


@specification("membership", (OWN_TERM,), refuted_only_at_full_bounds=(OWN_TERM,))
def make_membership(guards: frozenset[str]) -> Protocol:
    """Return the model of four voters and a fifth replica.

    The even size lets membership changes conflict with elections.
    """
    voters = frozenset({0, 1, 2, 3})
    return _make(
        guards | {NEW_IDENTITY, ONE_CHANGE}, Bounds(voters, 4, bound(2, small=1), 0, frozenset({0}))
    )


def _voters(log, initial_voters: frozenset) -> frozenset:
    return next((voters for _, voters in reversed(log) if voters), initial_voters)


def _log_position(log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def _common_length(log, committed) -> int:
    """Return the length of the prefix that the log shares with the committed log."""
    agreeing = [a == b for a, b in zip(log, committed, strict=False)]
    return agreeing.index(False) if False in agreeing else len(agreeing)


def _with_item(values, index, value):
    return tuple(value if i == index else each for i, each in enumerate(values))


def _is_majority(found, voters) -> bool:
    return 2 * len(voters & set(found)) > len(voters)


def _make(guards: frozenset[str], bounds: Bounds) -> Protocol:
    """Return the model with these guards active.

    State: per replica None (its disk was lost and its identity does not return) or
    (term, log, whether it leads); the committed log; the number of lost disks.
    """
    initial_voters = bounds.first_voters

    def transitions(state):
        replicas, committed, losses = state
        steps = []
        for i in bounds.replicas:
            if replicas[i] is None:
                continue
            steps += _elect(state, i)
            if replicas[i][2]:
                steps += _lead(state, i)
            steps += _lose(state, i)
        return steps

    def _elect(state, i):
        replicas, committed, losses = state
        term, log, leads = replicas[i]
        voters = _voters(log, initial_voters)
        if leads or i not in voters:
            return
        for new_term in range(term + 1, MAX_TERM + 1):
            yield from _elected(state, i, new_term)

    def _elected(state, i, new_term):
        replicas, committed, losses = state
        _, log, _ = replicas[i]
        voters = _voters(log, initial_voters)
        granting = [
            j
            for j in voters
            if replicas[j] is not None
            and (j == i or replicas[j][0] < new_term)
            and _log_position(replicas[j][1]) <= _log_position(log)
        ]
        if not _is_majority(granting, voters):
            return
        after = replicas
        for j in granting:
            after = _with_item(after, j, (new_term, replicas[j][1], j == i))
        yield f"elect {i} in {new_term}", (after, committed, losses)

    def _lead(state, i):
        replicas, committed, losses = state
        term, log, _ = replicas[i]
        if len(log) < bounds.max_log:
            after_append = (term, (*log, (term, COMMAND)), True)
            yield f"append {i}", (_with_item(replicas, i, after_append), committed, losses)
            for voters in _voters_after_change(state, i):
                changed = (term, (*log, (term, voters)), True)
                name = f"{i} sets voters {sorted(voters)}"
                yield name, (_with_item(replicas, i, changed), committed, losses)
        for j in bounds.replicas:
            other = replicas[j]
            if j == i or other is None or other[0] > term or (other[0] == term and other[2]):
                continue
            if other[:2] != (term, log):
                copied = _with_item(replicas, j, (term, log, False))
                yield f"{i} replicates to {j}", (copied, committed, losses)
        for length in range(len(committed) + 1, len(log) + 1):
            holding = [
                j
                for j in bounds.replicas
                if replicas[j] is not None
                and replicas[j][0] == term
                and replicas[j][1][:length] == log[:length]
            ]
            if log[length - 1][0] == term and _is_majority(holding, _voters(log, initial_voters)):
                yield f"{i} commits {length}", (replicas, log[:length], losses)

    def _voters_after_change(state, i):
        replicas, committed, losses = state
        term, log, _ = replicas[i]
        voters = _voters(log, initial_voters)
        if OWN_TERM in guards and not any(entry[0] == term for entry in committed):
            return
        common_length = _common_length(log, committed)
        if ONE_CHANGE in guards and any(new_voters for _, new_voters in log[common_length:]):
            return
        for j in voters & bounds.removable:
            if len(voters) > 1:
                yield voters - {j}
        if bounds.fresh_replica not in voters:
            yield voters | {bounds.fresh_replica}

    def _lose(state, i):
        replicas, committed, losses = state
        voters = _voters(committed, initial_voters)
        tolerates_loss = len(voters) >= 3 and all(replicas[v] is not None for v in voters)
        if losses >= bounds.max_losses or i not in voters or not tolerates_loss:
            return
        after = None if NEW_IDENTITY in guards else (0, (), False)
        yield f"lose disk {i}", (_with_item(replicas, i, after), committed, losses + 1)

    def latest_leader_holds_committed_entries(state):
        committed = state["committed"]
        alive = [r for r in state["replicas"] if r is not None]
        newest = max(term for term, _, _ in alive)
        return all(
            log[: len(committed)] == committed
            for term, log, leads in alive
            if leads and term == newest
        )

    def at_most_one_leader_per_term(state):
        terms = [r[0] for r in state["replicas"] if r is not None and r[2]]
        return len(terms) == len(set(terms))

    def no_majority_lacks_a_committed_entry(state):
        committed, voters = state["committed"], _voters(state["committed"], initial_voters)
        lacking = [
            j
            for j, r in enumerate(state["replicas"])
            if r is not None and r[1][: len(committed)] != committed
        ]
        return not _is_majority(lacking, voters)

    return Protocol(
        name="membership",
        candidate=False,
        fields=("replicas", "committed", "losses"),
        initial=(((0, (), False),) * len(bounds.replicas), (), 0),
        transitions=transitions,
        invariants={
            "at most one leader per term": at_most_one_leader_per_term,
            "the latest leader holds every committed entry": latest_leader_holds_committed_entries,
            "no majority of voters lacks a committed entry": no_majority_lacks_a_committed_entry,
        },
    )
