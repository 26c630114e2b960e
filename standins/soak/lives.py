"""Why lives of workers ended, and what late orders excuse, from what the workers saw."""

import math
from collections.abc import Iterable, Iterator

import attrs

from ..platform import RunRecord, doubled_runs
from .waits import CONTACT_SECONDS, Span

CRASHES_UNTIL_GIVEN_UP = 2
"""A task may be given up once so many workers have ended with its run, or with the end of its run
unread: callers of the worker can't tell which of the two."""

TOGETHER_COUNT = 3
"""So many workers that go down at once do so for a cause of their own, not for a task's."""

CRASHES_ON_START_UNTIL_GIVEN_UP = 5
"""Three workers may crash under a task, and two more starts may follow, whatever the cause."""

ON_START_SECONDS = 0.25
"""A crash that a task causes on starting comes within this time of the start."""

BUDGET_WORKERS = 3
BUDGET_STARTS = 3
"""After crashes of so many workers under a task, so many more starts are too many."""

CALL_SECONDS = 1.0
"""The longest time of one call: within it, a caller that has heard of a new life can act on it."""

STOP_SECONDS = 2 * CALL_SECONDS
"""One call to decide which of two runs has to end, and one to stop it."""

FENCED = "the life had answered a higher token"
USED = "the life had been ordered to start another run"
HEARD_OF = "the life had been heard of"
LISTED = "the run had been listed when the other one began"
KEPT = "the run had been listed, and both went on"
"""How callers could have prevented that a late order makes a task run twice."""


@attrs.frozen
class LatePair:
    """Two runs of a task that may not both have been, one of them ordered of a former life.

    ``reason`` is one of the above, or empty if no caller could have prevented it.
    """

    late: RunRecord
    other: RunRecord
    overlap_seconds: float
    reason: str
    was_called_before: bool
    """Whether the life had answered a call, with a lower token, before the late start."""


def given_up_at(records: Iterable[RunRecord]) -> float:
    """Return from when on a task with these runs may be given up; inf if it may not."""
    lost = [(max(r.ended_at, r.lost_at), r) for r in records if r.is_lost]
    workers: set[str] = set()
    lives_on_start: dict[tuple[str, int], str] = {}
    for at, record in sorted(lost, key=lambda each: each[0]):
        if record.workers_down < TOGETHER_COUNT:
            workers.add(record.worker_id)
        if at - record.started_at <= ON_START_SECONDS:
            lives_on_start[record.worker_id, record.incarnation] = record.worker_id
        if len(workers) >= CRASHES_UNTIL_GIVEN_UP:
            return at
        is_spent = len(lives_on_start) >= CRASHES_ON_START_UNTIL_GIVEN_UP
        if is_spent and len(set(lives_on_start.values())) >= BUDGET_WORKERS:
            return at
    return math.inf


def starts_beyond_budget(records: Iterable[RunRecord]) -> list[RunRecord]:
    """Return the starts of a task that are too many after workers crashed right after its starts.

    A start that the worker survived is no doing of the task, and one that was ordered of a former
    life of a worker none of its callers.
    """
    crashed = [
        record
        for record in sorted(records, key=lambda record: record.started_at)
        if record.outcome == "crashed" and not record.is_late
        and record.ended_at - record.started_at <= ON_START_SECONDS
    ]  # fmt: skip
    for position in range(len(crashed)):
        if len({record.worker_id for record in crashed[:position]}) >= BUDGET_WORKERS:
            return crashed[position + BUDGET_STARTS - 1 :]
    return []


def late_pairs(seen) -> Iterator[LatePair]:
    """Yield the pairs of runs that may not both have been, with a run ordered of a former life."""
    core_faults = list(_core_faults(seen))
    workers = {worker.worker_id: worker for worker in seen.deployment.workers}
    for earlier, later in doubled_runs(seen.records()):
        for late, other in ((later, earlier), (earlier, later)):
            if late.is_late:
                life = _Life(workers[late.worker_id], late, core_faults, seen.deployment)
                overlap = min(earlier.ended_at, later.ended_at) - later.started_at
                yield LatePair(
                    late, other, max(0.0, overlap), life.reason(other), life.was_called_before
                )
                break


def _core_faults(seen) -> Iterator[float]:
    """Yield when a control host was not in touch; the last SIGCONT of a series goes to all."""
    for host in seen.deployment.hosts:
        if host.role == "core":
            for since, until in seen.deployment.cuts_of(host):
                yield from (since + CALL_SECONDS * n for n in range(int(until - since) + 1))
                yield until
            yield from (end.at for end in host.exits)
            yield from host.starts
            names = ["", *(name for _, name in host.signals)]
            for before, (at, name) in zip(names, host.signals, strict=False):
                if name != "SIGHUP" and (name != "SIGCONT" or before == "SIGSTOP"):
                    yield at


class _Life:
    """The life that carried out an order meant for a former one, as its callers heard of it."""

    def __init__(self, worker, late: RunRecord, core_faults: list[float], deployment):
        self._late = late
        self._answers = sorted(worker.answers(late.incarnation))
        self._runs = [r for r in worker.records if r.incarnation == late.incarnation]
        self._core_faults = core_faults
        self._cuts: list[Span] = deployment.partitions_of(late.worker_id)

    def reason(self, other: RunRecord) -> str:
        """Return how callers could have prevented that both runs were; "" if they could not.

        A caller that hears of a new life, by an answer or a heartbeat, can call it at once with a
        higher token than any order to former ones, which are refused from then on; and the first
        list after a late start tells it of the run, so that it starts no other and ends one of
        the two.  Until it has heard, nothing that it knows tells the late start from none.
        """
        late = self._late
        if any(
            at < late.started_at and token > late.fencing_token for at, _, token in self._answers
        ):
            return FENCED
        if any(run.started_at < late.started_at and not run.is_late for run in self._runs):
            return USED
        if self._heard_at(-math.inf, CALL_SECONDS) + CALL_SECONDS < late.started_at:
            return HEARD_OF
        # Its order may have been carried out late, too.
        ordered_at = other.ordered_at or other.started_at
        if self._known_at(CALL_SECONDS) + CALL_SECONDS < ordered_at:
            return LISTED
        if self._known_at(STOP_SECONDS) + STOP_SECONDS < min(late.ended_at, other.ended_at):
            return KEPT
        return ""

    @property
    def was_called_before(self) -> bool:
        """Return whether the life had answered a call before the late start."""
        return any(
            at < self._late.started_at and kind != "heartbeat" for at, kind, _ in self._answers
        )

    def _known_at(self, seconds: float) -> float:
        """Return when callers knew the late run, or would have if they had asked for a list."""
        began_at = self._late.started_at
        asked_at = self._heard_at(-math.inf, seconds + CALL_SECONDS) + CALL_SECONDS
        return min(self._heard_at(began_at, seconds, "hold"), max(began_at, asked_at))

    def _heard_at(self, since: float, seconds: float, kind: str = "") -> float:
        """Return the first sign of the life after which callers could act undisturbed."""
        for at, each, _ in self._answers:
            is_cut = any(first < at + seconds and until > at for first, until in self._cuts)
            is_core_disturbed = any(
                at - CONTACT_SECONDS < fault < at + seconds for fault in self._core_faults
            )
            if at >= since and kind in ("", each) and not is_cut and not is_core_disturbed:
                return at
        return math.inf
