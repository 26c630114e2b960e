"""Classifies jobs by their lateness against the latency objective of their queue.

A late job is worth little to its caller and a very late one nothing, so jobs
that can still be on time are scheduled first and late ones use the remaining
capacity.
"""

from ..tasks.job import Job

VERY_LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is worth nothing to its caller.

This is a requirement of the users.
"""

ON_TIME, LATE, VERY_LATE = range(3)


def latency_objective_ms(job: Job) -> float:
    """Return the time in which the queue promises to complete the job.

    It grows with the job's estimated critical path.
    """
    return job.queue.target_latency_ms + job.queue.stretch * critical_path_ms(job)


def critical_path_ms(job: Job) -> int:
    """Return the estimated duration of the longest chain of dependent steps."""
    end_ms_by_step: list[int] = []
    for step in job.spec.steps:
        start_ms = max((end_ms_by_step[predecessor] for predecessor in step.after or []), default=0)
        end_ms_by_step.append(start_ms + step.estimated_ms)
    return max(end_ms_by_step, default=0)


def lateness_of(job: Job, occurrence: int, wall_ms: int) -> int:
    """Return ON_TIME, LATE or VERY_LATE; a job with a long-running step is always ON_TIME."""
    if any(step.lasting for step in job.spec.steps):
        return ON_TIME
    age_ms = wall_ms - max(job.accepted_ms, job.due_ms(occurrence))
    objective_ms = latency_objective_ms(job)
    if age_ms <= objective_ms:
        return ON_TIME
    return LATE if age_ms <= VERY_LATE_FACTOR * objective_ms else VERY_LATE
