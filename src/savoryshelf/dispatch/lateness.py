"""Classifies steps by how late their job will be against the latency objective of its queue.

A late job is worth little to its caller and a very late one nothing, so steps of jobs
that can still be on time are scheduled first and the others use the remaining
capacity.  What matters is when the job can end at the earliest, not its age: a job that
cannot be on time any more would only make others late too.
"""

import math

from ..tasks.job import Job, StepGroup

VERY_LATE_FACTOR = 3.0
"""Multiple of its objective after which a job is worth nothing to its caller.

This is a requirement of the users.
"""

YIELD_FACTOR = 2.0 * VERY_LATE_FACTOR
"""Multiple of its objective up to which a very late job yields to all that can still be in time."""

ON_TIME, LATE, VERY_LATE = range(3)


def latency_objective_ms(job: Job) -> float:
    """Return the time in which the queue promises to complete the job.

    It grows with the job's estimated critical path.
    """
    return job.queue.target_latency_ms + job.queue.stretch * critical_path_ms(job)


def critical_path_ms(job: Job) -> int:
    """Return the estimated duration of the longest chain of dependent steps."""
    return max(_remaining_ms_by_step(job), default=0)


def lateness_of(group: StepGroup, wall_ms: int) -> int:
    """Return ON_TIME, LATE or VERY_LATE by the earliest end of the job after this step.

    A job with a long-running step is always ON_TIME.
    """
    earliest_end_ms, objective_ms = _earliest_end_and_objective_ms(group, wall_ms)
    if earliest_end_ms <= objective_ms:
        return ON_TIME
    return LATE if earliest_end_ms <= VERY_LATE_FACTOR * objective_ms else VERY_LATE


def has_yielded_long(group: StepGroup, wall_ms: int) -> bool:
    """Return whether a job has been very late for so long that it yields no more."""
    earliest_end_ms, objective_ms = _earliest_end_and_objective_ms(group, wall_ms)
    return earliest_end_ms > YIELD_FACTOR * objective_ms


def seconds_of_worth(group: StepGroup, wall_ms: int) -> float:
    """Return within how many seconds the step has to start for its job not to be VERY_LATE."""
    earliest_end_ms, objective_ms = _earliest_end_and_objective_ms(group, wall_ms)
    return (VERY_LATE_FACTOR * objective_ms - earliest_end_ms) / 1000


def _earliest_end_and_objective_ms(group: StepGroup, wall_ms: int) -> tuple[float, float]:
    """Return the age at which the job can end if the step starts now, and its objective."""
    job = group.job
    if any(step.lasting for step in job.spec.steps):
        return 0.0, math.inf
    age_ms = wall_ms - max(job.accepted_ms, job.due_ms(group.occurrence))
    remaining_ms = _remaining_ms_by_step(job)
    objective_ms = job.queue.target_latency_ms + job.queue.stretch * max(remaining_ms)
    return age_ms + remaining_ms[group.number], objective_ms


def _remaining_ms_by_step(job: Job) -> list[int]:
    """Return the estimated duration of the longest chain from each step to the job's end."""
    steps = job.spec.steps
    remaining_ms = [step.estimated_ms for step in steps]
    for number in range(len(steps) - 1, -1, -1):
        for predecessor in steps[number].after or []:
            remaining_ms[predecessor] = max(
                remaining_ms[predecessor],
                steps[predecessor].estimated_ms + remaining_ms[number],
            )
    return remaining_ms
