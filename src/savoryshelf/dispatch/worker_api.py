"""The calls that agents make to workers, independent of the platform's names for them."""

import enum
from typing import Protocol

import attrs

from ..errors import SavoryshelfError
from ..wire.generated.ttypes import RunOutcome


class StartResult(enum.Enum):
    """A worker's answer to a start call, or that there was no call.

    The values are labels of the retry metric and reasons in the log.
    """

    STARTED = "started"
    FENCED = "fenced"
    """The worker has seen a higher fencing token, so another agent has taken over."""

    OVERTAKEN = "overtaken"
    """The worker has seen a higher token of the same session, which goes on."""

    STALE_RUN = "run too low"
    """The run's number is too low: this run or a later one of its task was stopped there."""

    TOO_LATE = "too late"
    """The deadline of the call had passed when it arrived."""

    NO_CAPACITY = "no room"
    INVALID_TICKET = "bad ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"
    NOT_SENT = "not sent"
    """The call has not been sent: the worker could not be reached, or did not answer before it."""


class WorkerUnresponsive(SavoryshelfError):
    """A call got no complete answer: it may have taken effect, or may still do so."""


class NotDelivered(WorkerUnresponsive):
    """No connection to the worker could be made, so the call has not reached it.

    Tells nothing about the worker's process and its runs.
    """


@attrs.frozen
class WorkerIncarnation:
    """One incarnation of a worker and its address; ``born_ms`` is its start on the wall clock."""

    worker_id: str
    born_ms: int
    address: str


class IncarnationReplaced(SavoryshelfError):
    """Another incarnation answers at the worker's address, so this one has ended."""

    def __init__(self, message: str, successor: WorkerIncarnation | None = None):
        """Take the incarnation that answers, if it is one of the same worker."""
        super().__init__(message)
        self.successor = successor


class CallRejected(SavoryshelfError):
    """The worker rejected a call without effect, for example because it is unhealthy."""


class Fenced(CallRejected):
    """The worker has seen a higher fencing token: another agent is responsible for it."""


class Overtaken(CallRejected):
    """The worker has seen a higher token of the same session, so it did nothing."""


@attrs.frozen
class StartRequest:
    """A call to start one run; ``deadline_ms`` is a time on the worker's own clock."""

    task: str
    run: int
    body: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class RunStatus:
    """A run as listed by its worker.

    ``progress_percent`` is the run's progress in percent.  ``gauge`` is the tail response
    time in ms of a serving run, and the processor time in use, in thousandths of
    a core, of any other.
    """

    task: str
    run: int
    checkpoint: str
    progress_percent: int
    gauge: int


@attrs.frozen
class EndedRun:
    """The end of a run as listed by its worker.

    ``number`` counts the ends of one incarnation from 1.  It and ``run`` fit into the fields of
    a ``RunEnd``: a report that cannot be encoded would end this host.
    """

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class PollResult:
    """All runs of a worker, the ends of runs not acknowledged yet, and its clock in ms."""

    clock_ms: int
    running: list[RunStatus]
    ends: list[EndedRun]
    unreadable_runs: int = 0
    """Listed runs that could not be read: any run that is not in ``running`` may exist."""

    unreadable_ends: int = 0
    """Listed ends that could not be read: any run that is not listed may have ended so."""

    unreadable_end_numbers: list[int] = attrs.field(factory=list)
    """The numbers of these ends, of those whose number could be read."""

    may_omit_ends: bool = False
    """Whether the worker may have more ends: a run that is not listed may have ended."""


class WorkerApi(Protocol):
    """Calls to a worker, each made to one incarnation: it reaches that one or none.

    All but ``disconnect`` raise WorkerUnresponsive if there is no complete answer, and
    IncarnationReplaced if another incarnation is at the address: without any effect, but that
    this one refuses all calls under a lower token from then on.
    """

    def start(
        self, incarnation: WorkerIncarnation, request: StartRequest
    ) -> tuple[StartResult, int | None]:
        """Start a run; return the result and the worker's clock in ms, if the answer has it."""

    def stop(self, incarnation: WorkerIncarnation, task: str, run: int, fencing_token: int) -> None:
        """Stop a run; a start call for it that arrives later is rejected.

        Raises CallRejected.
        """

    def poll(
        self,
        incarnation: WorkerIncarnation,
        fencing_token: int,
        seen_end: int,
        deadline_ms: int,
        wait_ms: int,
    ) -> PollResult:
        """Renew the lease, acknowledge ends up to ``seen_end``, and list runs and further ends.

        The worker answers once a run ends, or after ``wait_ms``.  With 0 as
        ``deadline_ms`` the lease is left as it is.  Raises CallRejected.
        """

    def set_speed(
        self,
        incarnation: WorkerIncarnation,
        task: str,
        run: int,
        speed_percent: int,
        fencing_token: int,
    ) -> None:
        """Throttle a run to ``speed_percent`` of full speed; raises CallRejected."""

    def disconnect(self, incarnation: WorkerIncarnation) -> None:
        """Close the idle connections to an incarnation; calls after that open new ones."""
