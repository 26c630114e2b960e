"""Task names: job id, occurrence, step and index, joined by dots."""

import attrs

from ..errors import SavoryshelfError


class MalformedTaskName(SavoryshelfError):
    """A string is not a valid task name."""

    def __init__(self, text: str):
        super().__init__(f"{text!r} is not a task name of the form job.occurrence.step.index")


@attrs.frozen
class TaskName:
    """The parts of a task name: the job, and the position of the task in it."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_name(text: str) -> TaskName:
    """Parse a task name; raises MalformedTaskName if it is not valid."""
    job_id, *numbers = text.split(".")
    try:
        occurrence, step, index = map(int, numbers)
    except ValueError:
        raise MalformedTaskName(text) from None
    return TaskName(job_id, occurrence, step, index)
