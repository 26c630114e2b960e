"""The ledger of batch jobs, replicated to every control host.

A job has at most one attempt that may be running.  The next attempt may start
only after the previous one is settled.  An outcome names its attempt, so that a
late or duplicate outcome finds the attempt settled and changes nothing; an
evicted job is therefore resumed only once.
"""

import enum
from collections.abc import Callable, Iterator

import attrs

from ..errors import InvariantBroken
from ..outcomes import Accepted, Refusal
from ..registry import registry_decorator
from ..wire.generated.ttypes import (
    AttemptKey,
    AttemptOutcome,
    AttemptStart,
    OutcomeKind,
    SubmitJob,
)

MAX_EVENTS = 60
"""Bound on the events kept in the history of a job, its first event included."""


class JobState(enum.Enum):
    """State of a batch job."""

    QUEUED = "queued"
    RUNNING = "running"
    EVICTING = "evicting"
    CANCELLING = "cancelling"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    """The job may not be repeated, and it is not known yet whether its attempt ran."""


PLACED_STATES = frozenset({JobState.RUNNING, JobState.EVICTING, JobState.CANCELLING})
ENDED_STATES = frozenset({JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN})


@attrs.define
class JobEvent:
    """One event in a job's history, which operators can read."""

    at_ms: int
    event: str
    detail: str = ""


@attrs.define
class Job:
    """A batch job, its newest attempt and its event history (``story``).

    The names of the fields are part of the snapshot format.
    """

    job_id: str
    team: str
    key: str
    class_name: str
    body: bytes
    body_digest: str
    urgent: bool
    repeatable: bool
    max_failures: int
    submitted_ms: int
    trace_id: str = ""
    state: JobState = JobState.QUEUED
    attempt: int = 0
    worker_id: str = ""
    worker_incarnation: str = ""
    last_worker_id: str = ""
    """Worker of the last attempt that ended without a result."""

    checkpoint_id: str = ""
    failures: int = 0
    evictions: int = 0
    started_ms: int = 0
    ended_ms: int = 0
    reason: str = ""
    result: bytes = b""
    story: list[JobEvent] = attrs.field(factory=list)

    def add_event(self, at_ms: int, event: str, detail: str = "") -> None:
        """Append an event; beyond ``MAX_EVENTS`` the oldest are dropped, except the first."""
        self.story.append(JobEvent(at_ms, event, detail))
        del self.story[1 : len(self.story) - MAX_EVENTS + 1]

    @property
    def incarnation_key(self) -> tuple[str, str]:
        """Return the id and the incarnation of the worker that has the newest attempt."""
        return self.worker_id, self.worker_incarnation

    @property
    def is_placed(self) -> bool:
        """Return whether an attempt may be running."""
        return self.state in PLACED_STATES

    @property
    def is_ended(self) -> bool:
        """Return whether the job has ended; an unknown one may still be queued again."""
        return self.state in ENDED_STATES


_HANDLER_BY_OUTCOME: dict[OutcomeKind, Callable] = {}


_handles_outcome = registry_decorator(_HANDLER_BY_OUTCOME)
"""Registers the function that settles an attempt with that outcome."""


@attrs.define
class Ledger:
    """All jobs of one shard, with indexes of the queued and the placed ones.

    The names of the fields are part of the snapshot format.
    """

    by_id: dict[str, Job] = attrs.field(factory=dict)
    _queued_by_id: dict[str, Job] = attrs.field(init=False, factory=dict)
    _placed_by_incarnation: dict[tuple[str, str], dict[str, Job]] = attrs.field(
        init=False, factory=dict
    )
    """By worker id and incarnation, then by job id."""

    def __attrs_post_init__(self):
        """Build the indexes, which are not part of a snapshot."""
        for job in self.by_id.values():
            self._index(job)

    def submit(
        self, job: SubmitJob, repeatable: bool, max_failures: int, at_ms: int
    ) -> Accepted | Refusal:
        """Accept a job; a resend is a duplicate and changes nothing.

        Refused if the key was used for another body or class.
        """
        existing = self.by_id.get(job.job_id)
        if existing is not None:
            if existing.body_digest != job.body_digest or existing.class_name != job.class_name:
                return Refusal(
                    "key_reused", "the key was used for a different request; choose a new key"
                )
            return Accepted(duplicate=True)
        accepted = Job(
            job_id=job.job_id,
            team=job.team,
            key=job.key,
            class_name=job.class_name,
            body=job.body,
            body_digest=job.body_digest,
            urgent=job.urgent,
            repeatable=repeatable,
            max_failures=max_failures,
            submitted_ms=at_ms,
            trace_id=job.trace_id or "",
        )
        accepted.add_event(at_ms, "accepted", "urgent" if job.urgent else "")
        self.by_id[job.job_id] = accepted
        self._index(accepted)
        return Accepted()

    def start(self, start: AttemptStart, at_ms: int) -> bool:
        """Record the start intent of an attempt; return whether it is valid."""
        job = self.by_id.get(start.job_id)
        if job is None or job.state is not JobState.QUEUED or start.attempt != job.attempt + 1:
            return False
        self._unindex(job)
        job.attempt = start.attempt
        job.state = JobState.RUNNING
        job.worker_id = start.worker_id
        job.worker_incarnation = start.worker_incarnation
        job.started_ms = at_ms
        event = "resumed" if job.checkpoint_id else "placed"
        job.add_event(at_ms, event, f"attempt {start.attempt} on {start.worker_id}")
        self._index(job)
        return True

    def settle(self, outcome: AttemptOutcome, at_ms: int) -> bool:
        """Record the outcome of an attempt; return whether this changed anything.

        An outcome from another incarnation than that of the attempt changes nothing.
        """
        job = self.by_id.get(outcome.key.job_id)
        if job is None or job.attempt != outcome.key.attempt:
            return False
        if (
            outcome.worker_id
            and (outcome.worker_id, outcome.worker_incarnation) != job.incarnation_key
        ):
            return False
        resolves_unknown = job.state is JobState.UNKNOWN and outcome.kind in (
            OutcomeKind.FINISHED,
            OutcomeKind.FAILED,
            OutcomeKind.NOT_RUN,
        )
        if not job.is_placed and not resolves_unknown:
            return False
        self._unindex(job)
        _HANDLER_BY_OUTCOME[outcome.kind](job, outcome, at_ms)
        self._index(job)
        return True

    def request_eviction(self, key: AttemptKey, reason: str, at_ms: int) -> bool:
        """Request a checkpoint and a stop; return whether the attempt was running."""
        job = self.by_id.get(key.job_id)
        if job is None or job.attempt != key.attempt or job.state is not JobState.RUNNING:
            return False
        job.state = JobState.EVICTING
        job.add_event(at_ms, "evicting", reason)
        return True

    def cancel(self, job_id: str, at_ms: int) -> Accepted | Refusal:
        """Cancel a job; a job that has ended keeps its state."""
        job = self.by_id.get(job_id)
        if job is None:
            return Refusal("no_such_job", f"job {job_id} does not exist, or its record has expired")
        if job.state is JobState.QUEUED:
            self._unindex(job)
            _end_job(job, JobState.CANCELLED, at_ms, "cancelled before it started")
        elif job.is_placed and job.state is not JobState.CANCELLING:
            job.state = JobState.CANCELLING
            job.add_event(at_ms, "cancelling")
        else:
            return Accepted(duplicate=True)
        return Accepted()

    def settle_lost_worker(self, worker_id: str, incarnation: str, at_ms: int) -> int:
        """Settle as lost all attempts on one incarnation of a worker; return how many."""
        lost = self.placed_on(worker_id, incarnation)
        for job in lost:
            outcome = AttemptOutcome(
                AttemptKey(job.job_id, job.attempt, 0), OutcomeKind.LOST, f"{worker_id} was lost"
            )
            self.settle(outcome, at_ms)
        return len(lost)

    def expire(self, ended_before_ms: int) -> int:
        """Delete jobs that ended before that time; return how many."""
        expired = [
            job.job_id
            for job in self.by_id.values()
            if job.is_ended and job.ended_ms < ended_before_ms
        ]
        for job_id in expired:
            del self.by_id[job_id]
        return len(expired)

    def queued(self) -> list[Job]:
        """Return the jobs that wait to be placed."""
        return list(self._queued_by_id.values())

    def placed(self) -> Iterator[Job]:
        """Yield the jobs that have an attempt which may be running."""
        for by_id in self._placed_by_incarnation.values():
            yield from by_id.values()

    def placed_on(self, worker_id: str, incarnation: str) -> list[Job]:
        """Return the jobs with an attempt that may be running in that incarnation of the worker."""
        return list(self._placed_by_incarnation.get((worker_id, incarnation), {}).values())

    def incarnations_with_attempts(self) -> list[tuple[str, str]]:
        """Return the key of each incarnation on which an attempt may be running."""
        return list(self._placed_by_incarnation)

    def _index(self, job: Job) -> None:
        if job.state is JobState.QUEUED:
            self._queued_by_id[job.job_id] = job
        elif job.is_placed:
            self._placed_by_incarnation.setdefault(job.incarnation_key, {})[job.job_id] = job

    def _unindex(self, job: Job) -> None:
        self._queued_by_id.pop(job.job_id, None)
        jobs_on_incarnation = self._placed_by_incarnation.get(job.incarnation_key)
        if jobs_on_incarnation is not None:
            jobs_on_incarnation.pop(job.job_id, None)
            if not jobs_on_incarnation:
                del self._placed_by_incarnation[job.incarnation_key]


def _end_job(job: Job, state: JobState, at_ms: int, reason: str) -> None:
    if state not in ENDED_STATES:
        raise InvariantBroken(f"{state} is not an end state (job {job.job_id})")
    job.state = state
    job.ended_ms = at_ms
    job.reason = reason
    if state is not JobState.UNKNOWN:
        # An unknown job is queued again if its attempt turns out not to have run;
        # the next attempt then needs the body.
        job.body = b""
    job.add_event(at_ms, state.value, reason)


def _requeue(job: Job, at_ms: int, event: str, detail: str) -> None:
    if job.state is JobState.CANCELLING:
        _end_job(job, JobState.CANCELLED, at_ms, detail or event)
        return
    job.state = JobState.QUEUED
    job.last_worker_id = job.worker_id
    job.worker_id = job.worker_incarnation = ""
    job.add_event(at_ms, event, detail)


@_handles_outcome(OutcomeKind.FINISHED)
def _finished(job: Job, outcome: AttemptOutcome, at_ms: int) -> None:
    job.result = outcome.result or b""
    _end_job(job, JobState.DONE, at_ms, "")


@_handles_outcome(OutcomeKind.FAILED)
def _failed(job: Job, outcome: AttemptOutcome, at_ms: int) -> None:
    job.failures += 1
    if job.state is JobState.CANCELLING:
        _end_job(job, JobState.CANCELLED, at_ms, outcome.reason)
    elif not job.repeatable:
        _end_job(job, JobState.FAILED, at_ms, f"{outcome.reason}; it may not be repeated")
    elif job.failures >= job.max_failures:
        _end_job(job, JobState.FAILED, at_ms, f"{outcome.reason}; failed {job.failures} times")
    else:
        _requeue(job, at_ms, "failed", outcome.reason)


@_handles_outcome(OutcomeKind.NOT_RUN)
def _not_run(job: Job, outcome: AttemptOutcome, at_ms: int) -> None:
    _requeue(job, at_ms, "not run", outcome.reason)


@_handles_outcome(OutcomeKind.EVICTED)
def _evicted(job: Job, outcome: AttemptOutcome, at_ms: int) -> None:
    job.evictions += 1
    job.checkpoint_id = outcome.checkpoint_id or job.checkpoint_id
    _requeue(job, at_ms, "evicted", outcome.reason)


@_handles_outcome(OutcomeKind.STOPPED)
def _stopped(job: Job, outcome: AttemptOutcome, at_ms: int) -> None:
    if job.state is JobState.CANCELLING:
        _end_job(job, JobState.CANCELLED, at_ms, "stopped")
    else:
        _lost(job, outcome, at_ms)


@_handles_outcome(OutcomeKind.LOST)
def _lost(job: Job, outcome: AttemptOutcome, at_ms: int) -> None:
    if job.repeatable:
        _requeue(job, at_ms, "lost", outcome.reason)
    elif job.state is JobState.CANCELLING:
        _end_job(job, JobState.CANCELLED, at_ms, f"{outcome.reason}; it may have run")
    else:
        _end_job(job, JobState.UNKNOWN, at_ms, f"{outcome.reason}; it may have run")
