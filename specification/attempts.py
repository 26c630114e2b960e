"""Attempts of one job: start intent, dispatch, settling, loss, eviction and resume.

There are two workers.  The start of an attempt goes to the worker it was placed
on and may arrive late or never.  When a worker's task lease expires, it stops
its run and refuses starts until it is adopted again.  The first step chooses
whether the job is repeatable, that is, may be started again after a run whose
outcome is unknown.  ``fresh_starts`` counts starts without a checkpoint; it and
``results`` stop at 2, which keeps the model finite.
"""

from minicheck import Protocol

from .model import specification

WORKERS = (0, 1)
MAX_ATTEMPT = 3
QUEUED, PLACED, DONE, UNKNOWN = range(4)
# States of the start message of an attempt; a REFUSED one has no effect if it still arrives.
NOT_SENT, SENT, STARTED, STOPPED, REFUSED = range(5)

NO_REPEAT = "an unrepeatable job whose outcome is unknown is not placed again"
REFUSE_BEFORE_NOT_RUN = "an attempt is reported as not run only after its worker refuses it"
MATCH_ATTEMPT = "an outcome settles only the attempt it names"
WAIT_FOR_TASK_LEASE = (
    "an unresponsive worker is considered lost only after its task lease has expired"
)
REFUSE_AFTER_EXPIRY = "a worker whose lease has expired refuses starts until it is adopted again"
ADOPT_NEW_EPOCH = "a worker that is adopted again refuses starts sent under the old epoch"
ONE_RESUME = "a resume needs the eviction of the previous attempt"
GUARDS = (
    NO_REPEAT,
    REFUSE_BEFORE_NOT_RUN,
    MATCH_ATTEMPT,
    WAIT_FOR_TASK_LEASE,
    REFUSE_AFTER_EXPIRY,
    ADOPT_NEW_EPOCH,
    ONE_RESUME,
)

# State: whether the job is repeatable; job state; attempt; whether there is a
# checkpoint; per attempt (message state, worker); per worker (running attempt
# or 0, lease has expired); reports in flight as (kind, attempt); fresh starts; results.
_UNSENT = ((NOT_SENT, -1),) * MAX_ATTEMPT
_IDLE = ((0, False),) * 2


def _with_item(values, index, value):
    return tuple(value if i == index else each for i, each in enumerate(values))


@specification("attempts", GUARDS)
def make(guards: frozenset[str]) -> Protocol:
    """Return the model with these guards active."""

    def transitions(state):
        if state[0] is None:
            return [(f"repeatable {choice}", (choice, *state[1:])) for choice in (True, False)]
        return [*_control(state), *_network(state), *_workers(state), *_settle(state)]

    def _control(state):
        repeatable, job, attempt, checkpoint, sent, workers, reports, fresh_starts, results = state
        rest = (workers, reports, fresh_starts, results)
        if job == QUEUED and attempt < MAX_ATTEMPT:
            for w in WORKERS:
                if not workers[w][1]:
                    placed = _with_item(sent, attempt, (NOT_SENT, w))
                    next_state = (repeatable, PLACED, attempt + 1, checkpoint, placed, *rest)
                    yield f"place on {w}", next_state
        if job != PLACED:
            return
        message, worker = sent[attempt - 1]
        if message == NOT_SENT:
            in_flight = _with_item(sent, attempt - 1, (SENT, worker))
            yield "send", (repeatable, PLACED, attempt, checkpoint, in_flight, *rest)
        if message == SENT:
            # The start got no response: ask the worker, which then refuses an unknown attempt.
            refused = _with_item(sent, attempt - 1, (REFUSED, worker))
            after = refused if REFUSE_BEFORE_NOT_RUN in guards else sent
            yield "settle as not run", (repeatable, QUEUED, attempt, checkpoint, after, *rest)
        if workers[worker][1] or WAIT_FOR_TASK_LEASE not in guards:
            again = repeatable or NO_REPEAT not in guards
            after = QUEUED if again else UNKNOWN
            yield "worker lost", (repeatable, after, attempt, checkpoint, sent, *rest)
        if ONE_RESUME not in guards and checkpoint and attempt < MAX_ATTEMPT:
            yield "resume again", (repeatable, QUEUED, attempt, checkpoint, sent, *rest)

    def _network(state):
        repeatable, job, attempt, checkpoint, sent, workers, reports, fresh_starts, results = state
        for number, (message, w) in enumerate(sent, start=1):
            if message != SENT:
                continue
            running, expired = workers[w]
            if running or (expired and REFUSE_AFTER_EXPIRY in guards):
                continue
            started = _with_item(sent, number - 1, (STARTED, w))
            busy = _with_item(workers, w, (number, expired))
            fresh_starts_after = fresh_starts if checkpoint else min(fresh_starts + 1, 2)
            rest = (started, busy, reports, fresh_starts_after, results)
            yield f"start {number} arrives at {w}", (repeatable, job, attempt, checkpoint, *rest)

    def _workers(state):
        repeatable, job, attempt, checkpoint, sent, workers, reports, fresh_starts, results = state
        front = (repeatable, job, attempt, checkpoint)
        for w in WORKERS:
            running, expired = workers[w]
            stopped = _with_item(sent, running - 1, (STOPPED, w)) if running else sent
            if running:
                idle = _with_item(workers, w, (0, expired))
                for kind in ("finished", "evicted"):
                    new_reports = reports | {(kind, running)}
                    next_state = (*front, stopped, idle, new_reports, fresh_starts, results)
                    yield f"{w}: {running} {kind}", next_state
            if not expired:
                after_expiry = _with_item(workers, w, (0, True))
                next_state = (*front, stopped, after_expiry, reports, fresh_starts, results)
                yield f"lease of {w} expires", next_state
            else:
                # The new epoch makes the worker refuse starts sent under the old one.
                refused = tuple(
                    (REFUSED, at) if message == SENT and at == w else (message, at)
                    for message, at in sent
                )
                after = refused if ADOPT_NEW_EPOCH in guards else sent
                adopted = _with_item(workers, w, (running, False))
                if job != PLACED or sent[attempt - 1][1] != w:
                    next_state = (*front, after, adopted, reports, fresh_starts, results)
                    yield f"{w} is adopted again", next_state

    def _settle(state):
        repeatable, job, attempt, checkpoint, sent, workers, reports, fresh_starts, results = state
        # Reports may be late or repeated, so they stay in flight.
        for kind, number in sorted(reports):
            matches = number == attempt or MATCH_ATTEMPT not in guards
            if not matches or not (job == PLACED or (job == UNKNOWN and kind == "finished")):
                continue
            rest = (sent, workers, reports, fresh_starts)
            if kind == "finished":
                done = (repeatable, DONE, attempt, checkpoint, *rest, min(results + 1, 2))
                yield f"settle {number} as finished", done
            else:
                queued = (repeatable, QUEUED, attempt, True, *rest, results)
                yield f"settle {number} as evicted", queued

    def job_settled_as_not_run_never_started(state):
        """Return whether a queued unrepeatable job without a checkpoint has never started."""
        if state["repeatable"] or state["job"] != QUEUED or state["checkpoint"]:
            return True
        return state["fresh_starts"] == 0

    return Protocol(
        name="attempts",
        candidate=False,
        fields=(
            "repeatable",
            "job",
            "attempt",
            "checkpoint",
            "sent",
            "workers",
            "reports",
            "fresh_starts",
            "results",
        ),
        initial=(None, QUEUED, 0, False, _UNSENT, _IDLE, frozenset(), 0, 0),
        transitions=transitions,
        invariants={
            "an unrepeatable job starts at most once without a checkpoint": lambda s: (
                bool(s["repeatable"]) or s["fresh_starts"] <= 1
            ),
            "at most one attempt runs at a time": lambda s: (
                sum(1 for running, _ in s["workers"] if running) <= 1
            ),
            "the job has at most one result": lambda s: s["results"] <= 1,
            "a job settled as not run has not run": job_settled_as_not_run_never_started,
        },
    )
