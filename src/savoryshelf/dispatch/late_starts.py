"""Start calls that went unanswered: a worker may still carry them out, also after a restart.

Its next process has seen neither a token nor a stop, and its clock has begun anew, so it takes an
order for the one before until a call shows it a higher token.  So where such a start may exist,
a session keeps a poll open, which tells of the end of the process, then looks for the next one in
short intervals, and calls it under a token that is higher than those of all unanswered starts.
"""

import attrs

CALL_TOKENS = 1000
"""Tokens of calls under one token of the ledger: a session raises its own after lost answers."""

LATE_SECONDS = 15.0
"""How long an unanswered start may still be carried out, in seconds.

The platform says "seconds" and gives no bound; this is more than two of its longest leases.
"""

MIN_LOOK_SECONDS = 0.02
"""Shortest pause between two looks for the next process, in seconds: a few round trips."""

LOOK_SHARE = 0.05
"""Pause between two looks as a share of the time in which the worker has been silent.

So the number of looks grows with the logarithm of that time: about 75 in the 6 s of a lease.
"""

MAX_LOOKS_PER_SECOND = 200
"""Bound on the looks of an agent in short intervals: a refused one takes 0.3 ms of processor."""


def call_token(fencing_token: int, number: int) -> int:
    """Return the token that a worker is shown by the calls of a session after so many raises."""
    return fencing_token * CALL_TOKENS + number


def look_pause(silent_seconds: float) -> float:
    """Return the pause before the next look at a worker that has been silent for so long."""
    return max(MIN_LOOK_SECONDS, LOOK_SHARE * silent_seconds)


@attrs.define
class LateStarts:
    """Until when each worker may carry out starts that went unanswered; times are seconds.

    By the worker's id, not by incarnation: a start may outlive several processes.
    """

    _until_by_worker_id: dict[str, float] = attrs.field(factory=dict)
    _counted_since: float = float("-inf")
    _looks: int = 0

    def note(self, worker_id: str, now: float) -> None:
        """Take note of a start that has gone unanswered."""
        self._until_by_worker_id[worker_id] = now + LATE_SECONDS

    def may_look(self, now: float) -> bool:
        """Count a look in a short interval; return whether the agent has not had too many yet."""
        if now - self._counted_since >= 1.0:
            self._counted_since, self._looks = now, 0
        self._looks += 1
        return self._looks <= MAX_LOOKS_PER_SECOND

    def are_possible(self, worker_id: str, now: float) -> bool:
        """Return whether the worker may still carry such a start out."""
        until = self._until_by_worker_id.get(worker_id)
        if until is not None and now >= until:
            del self._until_by_worker_id[worker_id]
        return until is not None and now < until
