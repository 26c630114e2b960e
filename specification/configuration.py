"""Configuration: racing operators, resends after lost answers, entry hosts that never go back.

Two operators each make one change from the version they saw.  Answers are
lost, so each may send its change again.  Entry hosts hear of versions late,
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
NO_OLDER_VERSION = "an entry host never takes an older version"
CONFIRMED_READ = "a restarted entry host reads from a leader that is confirmed"
GUARDS = (COMPARE_VERSION, REMEMBER_OPERATION, NO_OLDER_VERSION, CONFIRMED_READ)

# State: history (tuple of operators, one per version), per operator (version
# it saw or NOTHING, first outcome or NOTHING, answers differed), per entry
# (version in force, highest ever in force).
_START = ((), ((UNSET, UNSET, False),) * 2, ((0, 0),) * 2)


def _set(values, index, value):
    return tuple(value if i == index else each for i, each in enumerate(values))


@specification("configuration", GUARDS)
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards in place."""

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
                taken = _set(entries, e, (version, max(highest, version)))
                steps.append((f"entry {e} hears {version}", (history, operators, taken)))
            # A restart forgets; the first read after it decides what is in force.
            oldest = len(history) if CONFIRMED_READ in guards else 0
            for read in range(oldest, len(history) + 1):
                restarted = _set(entries, e, (read, max(highest, read)))
                steps.append((f"entry {e} restarts, reads {read}", (history, operators, restarted)))
        return steps

    def _operator(state, o):
        history, operators, entries = state
        base_version, outcome, differed = operators[o]
        if base_version == UNSET:
            after_read = _set(operators, o, (len(history), UNSET, False))
            yield f"operator {o} looks", (history, after_read, entries)
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
        after_reply = _set(operators, o, (base_version, first, changed))
        yield f"operator {o} sends", (new_history, after_reply, entries)

    def one_winner_a_version(state):
        """Two changes made from the same version are not both accepted."""
        accepted_from = [
            base_version
            for o, (base_version, *_) in enumerate(state["operators"])
            if o in state["history"]
        ]
        return len(accepted_from) == len(set(accepted_from))

    def a_change_is_applied_once(state):
        return len(state["history"]) == len(set(state["history"]))

    def a_resend_gets_the_first_outcome(state):
        return not any(differed for _, _, differed in state["operators"])

    def an_entry_never_goes_back(state):
        return all(in_force == highest for in_force, highest in state["entries"])

    return Protocol(
        name="configuration",
        candidate=False,
        fields=("history", "operators", "entries"),
        initial=_START,
        transitions=transitions,
        invariants={
            "one winner from a version": one_winner_a_version,
            "a change is applied once": a_change_is_applied_once,
            "a resend hears the first outcome": a_resend_gets_the_first_outcome,
            "an entry host never goes back": an_entry_never_goes_back,
        },
    )
