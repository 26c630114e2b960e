"""Configuration: concurrent operators, resends after lost replies, and monotonic versions.

Each of two operators makes one change based on the version it read.  Replies
may be lost, so each may resend its change.  Entry hosts receive versions late,
from any control host, and may restart.
"""

from minicheck import Protocol

from .model import specification

OPERATORS = (0, 1)
ENTRIES = (0, 1)
MAX_VERSION = 3
UNSET = -1

COMPARE_VERSION = "a change is accepted only from the version in force"
REMEMBER_OPERATION = "a resent change gets the result of the first one"
NO_OLDER_VERSION = "an entry host never applies an older version"
CONFIRMED_READ = "a restarted entry host reads from a leader confirmed by a quorum"
GUARDS = (COMPARE_VERSION, REMEMBER_OPERATION, NO_OLDER_VERSION, CONFIRMED_READ)

# State: history (the operator whose change made each version), per operator
# (version it read or UNSET, first result or UNSET, whether a resend got another
# version), per entry host (version in force, highest ever in force).  A result is
# the version that the change made, or 0 if the change was rejected.
_START = ((), ((UNSET, UNSET, False),) * 2, ((0, 0),) * 2)


def _with_item(values, index, value):
    return tuple(value if i == index else each for i, each in enumerate(values))


@specification("configuration", GUARDS)
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards active."""

    def transitions(state):
        history, operators, entries = state
        steps = []
        for o in OPERATORS:
            steps += _operator(state, o)
        for e in ENTRIES:
            in_force, highest = entries[e]
            for version in range(len(history) + 1):
                if version <= in_force and (NO_OLDER_VERSION in guards or version == in_force):
                    continue
                received = _with_item(entries, e, (version, max(highest, version)))
                steps.append((f"entry {e} receives {version}", (history, operators, received)))
            # A restart loses the version; the first read afterwards sets it.
            oldest = len(history) if CONFIRMED_READ in guards else 0
            for read in range(oldest, len(history) + 1):
                restarted = _with_item(entries, e, (read, max(highest, read)))
                steps.append((f"entry {e} restarts, reads {read}", (history, operators, restarted)))
        return steps

    def _operator(state, o):
        history, operators, entries = state
        base_version, outcome, differed = operators[o]
        if base_version == UNSET:
            after_read = _with_item(operators, o, (len(history), UNSET, False))
            yield f"operator {o} reads", (history, after_read, entries)
            return
        remembered = o in history and REMEMBER_OPERATION in guards
        if remembered:
            version, new_history = history.index(o) + 1, history
        elif base_version == len(history) or COMPARE_VERSION not in guards:
            if len(history) >= MAX_VERSION:
                return
            version, new_history = len(history) + 1, (*history, o)
        else:
            version, new_history = 0, history
        first = version if outcome == UNSET else outcome
        changed = differed or (outcome > 0 and version != outcome)
        after_reply = _with_item(operators, o, (base_version, first, changed))
        yield f"operator {o} sends", (new_history, after_reply, entries)

    def at_most_one_change_per_version(state):
        """Return whether at most one change based on each version was accepted."""
        accepted_from = [
            base_version
            for o, (base_version, *_) in enumerate(state["operators"])
            if o in state["history"]
        ]
        return len(accepted_from) == len(set(accepted_from))

    def change_is_applied_at_most_once(state):
        return len(state["history"]) == len(set(state["history"]))

    def resend_gets_first_outcome(state):
        return not any(differed for _, _, differed in state["operators"])

    def entry_host_never_reverts(state):
        return all(in_force == highest for in_force, highest in state["entries"])

    return Protocol(
        name="configuration",
        candidate=False,
        fields=("history", "operators", "entries"),
        initial=_START,
        transitions=transitions,
        invariants={
            "at most one change is accepted from each version": at_most_one_change_per_version,
            "a change is applied at most once": change_is_applied_at_most_once,
            "a resend gets the first outcome": resend_gets_first_outcome,
            "an entry host never reverts to an older version": entry_host_never_reverts,
        },
    )
