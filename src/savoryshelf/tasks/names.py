"""Names of tasks: job, occurrence, step and index, joined by dots."""

import attrs

from ..errors import SavoryshelfError


class MalformedTaskName(SavoryshelfError):
    """A text does not name a task."""

    def __init__(self, text: str):
        super().__init__(f"{text!r} does not name a task")


@attrs.frozen
class TaskName:
    """Where a task stands in its job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"


def parse_task_name(text: str) -> TaskName:
    """Return the parts of a task's name; raises MalformedTaskName."""
    job_id, *numbers = text.split(".")
    try:
        occurrence, step, index = map(int, numbers)
    except ValueError:
        raise MalformedTaskName(text) from None
    return TaskName(job_id, occurrence, step, index)
