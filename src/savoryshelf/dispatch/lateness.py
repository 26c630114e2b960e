"""How late a job is against what its queue promises.

A job that is late earns little and one that is hopeless nothing, so those that
can still be on time go before them; the late ones take the room that is left.
"""

from ..tasks.job import Job

VERY_LATE_FACTOR = 3.0
"""Beyond so many times its objective a job earns its caller nothing (the users' figure)."""

ON_TIME, LATE, VERY_LATE = range(3)


def latency_objective_ms(job: Job) -> float:
    """Return the time in which the queue promises the job, by its estimated longest chain."""
    return job.queue.target_latency_ms + job.queue.stretch * critical_path_ms(job)


def critical_path_ms(job: Job) -> int:
    """Return the estimated work along the longest chain of steps."""
    end_ms_by_step: list[int] = []
    for step in job.spec.steps:
        start_ms = max((end_ms_by_step[predecessor] for predecessor in step.after or []), default=0)
        end_ms_by_step.append(start_ms + step.estimated_ms)
    return max(end_ms_by_step, default=0)


def lateness_of(job: Job, occurrence: int, wall_ms: int) -> int:
    """Return ON_TIME, LATE or HOPELESS; lasting work is never late."""
    if any(step.lasting for step in job.spec.steps):
        return ON_TIME
    age_ms = wall_ms - max(job.accepted_ms, job.due_ms(occurrence))
    objective_ms = latency_objective_ms(job)
    if age_ms <= objective_ms:
        return ON_TIME
    return LATE if age_ms <= VERY_LATE_FACTOR * objective_ms else VERY_LATE
