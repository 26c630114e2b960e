"""Membership: a lost disk, its repair, a second loss, and changes which race elections.

Replicas 0 to 2 vote at first; 3 is a fresh disk.  An election and an
acknowledgement are one step each: what is asked here is which logs and
memberships can meet, not which messages cross (``election`` asks that).  An
entry is a term and the membership it sets, or none for a command.

The fresh disk may be let in before it holds anything.  The product lets it in
only afterwards; that this model holds without shows that the rule serves
availability after a second loss, not safety.
"""

from minicheck import Protocol

from .model import bound, specification

REPLICAS = range(4)
FRESH = 3
MAX_TERM = 3
MAX_LOG = bound(3, small=2)
MAX_LOSSES = 2
COMMAND = frozenset()
FIRST_VOTERS = frozenset({0, 1, 2})

NEW_IDENTITY = "a lost disk comes back under a new identity"
ONE_CHANGE = "a change of membership waits for the one before"
OWN_TERM = "no change of membership before a commit in the leader's term"
GUARDS = (NEW_IDENTITY, ONE_CHANGE, OWN_TERM)

# State: per replica None (its disk is gone for good) or (term, log, leads);
# the committed log; how many disks were lost.
_START = (((0, (), False),) * 4, (), 0)


def _voters(log) -> frozenset:
    return next((voters for _, voters in reversed(log) if voters), FIRST_VOTERS)


def _age(log) -> tuple[int, int]:
    return (log[-1][0] if log else 0, len(log))


def _common_length(log, committed) -> int:
    """Return how much of what was committed this log holds."""
    agreeing = [a == b for a, b in zip(log, committed, strict=False)]
    return agreeing.index(False) if False in agreeing else len(agreeing)


def _set(values, index, value):
    return tuple(value if i == index else each for i, each in enumerate(values))


def _is_majority(found, voters) -> bool:
    return 2 * len(voters & set(found)) > len(voters)


@specification("repair", GUARDS)
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards in place."""

    def transitions(state):
        replicas, committed, losses = state
        steps = []
        for i in REPLICAS:
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
        voters = _voters(log)
        if leads or i not in voters or term >= MAX_TERM:
            return
        new_term = term + 1
        granting = [
            j
            for j in voters
            if replicas[j] is not None
            and (j == i or replicas[j][0] < new_term)
            and _age(replicas[j][1]) <= _age(log)
        ]
        if not _is_majority(granting, voters):
            return
        after = replicas
        for j in granting:
            after = _set(after, j, (new_term, replicas[j][1], j == i))
        yield f"elect {i} in {new_term}", (after, committed, losses)

    def _lead(state, i):
        replicas, committed, losses = state
        term, log, _ = replicas[i]
        if len(log) < MAX_LOG:
            grown = (term, (*log, (term, COMMAND)), True)
            yield f"append {i}", (_set(replicas, i, grown), committed, losses)
            for voters in _changes(state, i):
                changed = (term, (*log, (term, voters)), True)
                name = f"{i} sets voters {sorted(voters)}"
                yield name, (_set(replicas, i, changed), committed, losses)
        for j in REPLICAS:
            other = replicas[j]
            if j == i or other is None or other[0] > term or (other[0] == term and other[2]):
                continue
            if other[:2] != (term, log):
                copied = _set(replicas, j, (term, log, False))
                yield f"{i} replicates to {j}", (copied, committed, losses)
        for length in range(len(committed) + 1, len(log) + 1):
            holding = [
                j
                for j in REPLICAS
                if replicas[j] is not None
                and replicas[j][0] == term
                and replicas[j][1][:length] == log[:length]
            ]
            if log[length - 1][0] == term and _is_majority(holding, _voters(log)):
                yield f"{i} commits {length}", (replicas, log[:length], losses)

    def _changes(state, i):
        replicas, committed, losses = state
        term, log, _ = replicas[i]
        voters = _voters(log)
        if OWN_TERM in guards and not any(entry[0] == term for entry in committed):
            return
        known = _common_length(log, committed)
        if ONE_CHANGE in guards and any(set_ for _, set_ in log[known:]):
            return
        for j in voters:
            if len(voters) > 1:
                yield voters - {j}
        if FRESH not in voters:
            yield voters | {FRESH}

    def _lose(state, i):
        replicas, committed, losses = state
        voters = _voters(committed)
        whole = len(voters) >= 3 and all(replicas[v] is not None for v in voters)
        if losses >= MAX_LOSSES or i not in voters or not whole:
            return
        after = None if NEW_IDENTITY in guards else (0, (), False)
        yield f"lose disk {i}", (_set(replicas, i, after), committed, losses + 1)

    def a_leader_holds_every_commit(state):
        committed = state["committed"]
        alive = [r for r in state["replicas"] if r is not None]
        newest = max(term for term, _, _ in alive)
        return all(
            log[: len(committed)] == committed
            for term, log, leads in alive
            if leads and term == newest
        )

    def one_leader_a_term(state):
        terms = [r[0] for r in state["replicas"] if r is not None and r[2]]
        return len(terms) == len(set(terms))

    def nobody_without_a_commit_can_be_elected(state):
        committed, voters = state["committed"], _voters(state["committed"])
        lacking = [
            j
            for j, r in enumerate(state["replicas"])
            if r is not None and r[1][: len(committed)] != committed
        ]
        return not _is_majority(lacking, voters)

    return Protocol(
        name="repair",
        candidate=False,
        fields=("replicas", "committed", "losses"),
        initial=_START,
        transitions=transitions,
        invariants={
            "one leader a term": one_leader_a_term,
            "a leader holds every commit": a_leader_holds_every_commit,
            "a majority without a commit does not exist": nobody_without_a_commit_can_be_elected,
        },
    )
