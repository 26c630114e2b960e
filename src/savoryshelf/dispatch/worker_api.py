"""What the leader asks of a worker, whatever the platform calls it."""

import enum
from typing import Protocol

import attrs

from ..errors import SavoryshelfError
from ..wire.generated.ttypes import RunOutcome


class StartResult(enum.Enum):
    """What a worker answered to an order to start a run."""

    STARTED = "started"
    FENCED = "fenced"
    """It has seen a higher fencing token: another leader orders here."""

    STALE_RUN = "run too low"
    TOO_LATE = "too late"
    """The order's deadline had passed when it arrived."""

    NO_CAPACITY = "no room"
    INVALID_TICKET = "bad ticket"
    UNHEALTHY = "unhealthy"
    MALFORMED = "malformed"


class WorkerUnresponsive(SavoryshelfError):
    """A call got no whole answer: it may have been carried out, or may be later."""


class IncarnationReplaced(SavoryshelfError):
    """Another life answers at the worker's address, so this one has ended."""


class CallRejected(SavoryshelfError):
    """The worker did nothing: it is unhealthy, or the token is too low."""


@attrs.frozen
class WorkerIncarnation:
    """Where and as whom a worker is called."""

    worker_id: str
    born_ms: int
    address: str


@attrs.frozen
class StartRequest:
    """An order to start one run; ``deadline_ms`` is on the worker's own clock."""

    task: str
    run: int
    body: str
    deadline_ms: int
    fencing_token: int
    checkpoint: str = ""
    ticket: str = ""


@attrs.frozen
class RunStatus:
    """A run as its worker lists it.

    ``gauge`` is the tail of response times in ms for a serving task, and the
    thousandths of a core in use for any other.
    """

    task: str
    run: int
    checkpoint: str
    percent: int
    gauge: int


@attrs.frozen
class EndedRun:
    """An end as its worker lists it; ``number`` counts the ends of one life from 1."""

    number: int
    task: str
    run: int
    outcome: RunOutcome
    checkpoint: str


@attrs.frozen
class PollResult:
    """Everything a worker runs, and the ends it has not had acknowledged."""

    clock_ms: int
    running: list[RunStatus]
    ends: list[EndedRun]


class WorkerApi(Protocol):
    """The calls; each raises WorkerUnanswered, and LifeOver where another life answers."""

    def start(
        self, incarnation: WorkerIncarnation, request: StartRequest
    ) -> tuple[StartResult, int | None]:
        """Order a start; return the verdict and the worker's clock, if it told it."""

    def stop(self, incarnation: WorkerIncarnation, task: str, run: int, fencing_token: int) -> None:
        """Stop a run; one that has not arrived yet will be rejected when it does."""

    def poll(
        self,
        incarnation: WorkerIncarnation,
        fencing_token: int,
        seen_end: int,
        deadline_ms: int,
        wait_ms: int,
    ) -> PollResult:
        """Extend the lease and list what runs and what ended; waits for an end."""

    def set_speed(
        self,
        incarnation: WorkerIncarnation,
        task: str,
        run: int,
        speed_percent: int,
        fencing_token: int,
    ) -> None:
        """Let a run work at that share of its speed."""

    def disconnect(self, incarnation: WorkerIncarnation) -> None:
        """Close the connections to a life that is over."""
