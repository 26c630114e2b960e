"""Crashes of workers that may be a task's doing: which ones count, and when a task is given up.

A task that crashes the workers that start it leaves the same trace each time: the worker ends
soon after the start.  Runs that a worker has outlived for a while are not suspected of a crash
on starting, but a task under which worker after worker crashes is given up in the end, too.

Giving up is final, so only crashes that are proven count for it.  A worker that has been silent
beyond its lease may only have been cut off; its crash keeps a task from being started too often,
until the worker answers again.  Workers that were lost at the same time have a common cause.
"""

from collections.abc import Callable, Iterable, Mapping

import attrs

from ..wire.generated.ttypes import ContactLoss, RunAge
from .job import Crash, IncarnationKey, Task, gang_members
from .worker import Worker

SURVIVAL_MS = 200
"""Time that a worker has to outlive the start of a run for the run to be no suspect of a crash.

A crash on starting comes within some ten ms; more time adds innocent suspects to each crash.
"""

ACQUITTAL_MS = 30_000
"""Time that a worker has to outlive the start of a run for all earlier crashes not to count."""

MAX_ATTRIBUTED_CRASHES = 2
"""Workers that may crash on starting a task, the last of them with no other suspect."""

MAX_SUSPECTED_CRASHES = 3
"""Workers that may crash on starting a task, each with other suspects."""

MIN_CERTAIN_CRASHES = 2
"""Workers that must have crashed under a task for certain for the two bounds above to apply.

For a task that is held it is enough that they have crashed for certain, in doubt whether under it.
"""

MAX_UNCERTAIN_CRASHES = 4
"""Workers that may crash on a task that was sent to them, whether or not it had started."""

MAX_CRASHES = 3
"""Workers that may crash under a task at any time of its runs before few more starts follow."""

MAX_LATER_CRASHES = 2
"""Crashes under a task after those of ``MAX_CRASHES`` workers, until it is given up."""

MIN_LOST_TOGETHER = 3
"""Workers lost at the same time whose crashes are put down to a common cause.

Two tasks that crash their workers may be started in one pass.
"""

MAX_LOSS_SPAN_MS = 3000
"""Longest time taken to pass between the crash of a worker and the first call that shows it, in ms.

A long poll and its timeout; a worker without runs is asked nothing for longer than that.
"""


@attrs.frozen
class CrashNote:
    """What a crash changed for a task that it counts for."""

    task: str
    run: int
    on_start: bool
    is_sole: bool
    is_certain: bool
    is_proven: bool | None
    suspects: int
    """How many tasks or gangs are suspects of this crash."""

    lost_with: int | None
    """How many other workers were lost at the same time, as far as known yet; None if unknown."""

    crashes: int
    workers: int
    """How many crashes count for the task, or for its gang, and of how many workers."""


def _is_any(crash: Crash) -> bool:
    return True


def _is_proven(crash: Crash) -> bool:
    return bool(crash.is_proven)


def _is_final(crash: Crash) -> bool:
    """Return whether a crash can't be withdrawn any more."""
    return bool(crash.is_proven) or crash.is_replaced


def record_loss(worker: Worker, loss: ContactLoss, at_ms: int, workers: Iterable[Worker]) -> None:
    """Record when contact with an incarnation was lost, and which others were lost with it."""
    record = worker.record
    record.lost_before_ms = at_ms - loss.unanswered_ms
    record.lost_after_ms = max(at_ms - loss.heard_ms, record.lost_before_ms - MAX_LOSS_SPAN_MS)
    record.lost_with = 0
    for other in workers:
        if other.record.lost_with is None or other.key[0] == worker.key[0]:
            continue
        if (
            record.lost_after_ms <= other.record.lost_before_ms
            and other.record.lost_after_ms <= record.lost_before_ms
        ):
            record.lost_with += 1
            other.record.lost_with += 1


def record_crash(
    worker: Worker, worked: Iterable[RunAge], is_proven: bool | None
) -> list[CrashNote]:
    """Count a worker's crash for the tasks whose runs it ended; return what that changed.

    Runs that are not in ``worked`` are suspects, but whether they had started is not known.
    """
    worked_ms_by_run = {(age.task, age.run): age.worked_ms for age in worked}
    runs = [
        (task, run, worked_ms_by_run.get((task.name, run), 0))
        # In an order that is the same on each replica, also on one restored from a snapshot.
        for (_, run), task in sorted(worker.task_by_run.items(), key=lambda item: item[0])
        if worked_ms_by_run.get((task.name, run), 0) >= 0
    ]
    suspected_tasks = [task for task, _, worked_ms in runs if worked_ms < SURVIVAL_MS]
    suspects = {_unit(task) for task in suspected_tasks}
    # A run that was suspected before explains the crash better than one that has worked here.
    is_explained = any(is_suspect(task) for task in suspected_tasks)
    notes = []
    for task, run, worked_ms in runs:
        if task.done or task.step.job.is_ended:
            continue
        if worked_ms >= ACQUITTAL_MS:
            acquit(task)
            continue
        on_start = worked_ms < SURVIVAL_MS
        if is_explained and not on_start:
            continue
        if any(crash.incarnation == worker.key for crash in task.crashes):
            continue
        is_sole = on_start and len(suspects) == 1
        is_certain = (task.name, run) in worked_ms_by_run
        task.crashes.append(Crash(run, worker.key, on_start, is_sole, is_certain, is_proven))
        if on_start:
            task.failed_on = worker.key[0]
        counted = _crashes_of_unit(task)
        notes.append(
            CrashNote(
                task.name, run, on_start, is_sole, is_certain, is_proven, len(suspects),
                worker.record.lost_with, len(counted), _worker_count(counted),
            )
        )  # fmt: skip
    return notes


def acquit(task: Task) -> None:
    """Drop the crashes counted for a task, or for its gang: a run of it has worked well."""
    for member in gang_members(task):
        member.crashes.clear()


def withdraw_crash(task: Task, incarnation: IncarnationKey) -> None:
    """Drop an unproven crash of an incarnation that has turned out not to have ended."""
    task.crashes = [
        crash for crash in task.crashes if crash.is_proven or crash.incarnation != incarnation
    ]


def withdraw_unclassified_crash(task: Task, incarnation: IncarnationKey) -> None:
    """Drop a crash of an incarnation that an earlier version recorded."""
    task.crashes = [
        crash
        for crash in task.crashes
        if crash.is_proven is not None or crash.incarnation != incarnation
    ]


def note_replaced(task: Task, incarnation: IncarnationKey) -> None:
    """Note that the unproven crash of an incarnation will never be withdrawn."""
    task.crashes = [
        attrs.evolve(crash, is_replaced=True)
        if crash.incarnation == incarnation and not crash.is_proven
        else crash
        for crash in task.crashes
    ]


def is_suspect(task: Task) -> bool:
    """Return whether the task may have crashed a worker on starting there."""
    return any(crash.on_start for member in gang_members(task) for crash in member.crashes)


def must_give_up(task: Task, worker_by_incarnation: Mapping[IncarnationKey, Worker]) -> bool:
    """Return whether so many workers are known to have crashed under a task that its job fails."""
    proven = [crash for crash in _crashes_of_unit(task) if crash.is_proven]
    alone = [crash for crash in proven if _was_lost_alone(crash, worker_by_incarnation)]
    if _is_attributed(alone):
        return True
    # Without a start nothing more would ever be proven, so a task that is held is given up as
    # soon as that may be.
    counting = _counting(proven, worker_by_incarnation)
    has_crashed_workers = _worker_count(counting) >= MIN_CERTAIN_CRASHES
    if _has_too_many(task, worker_by_incarnation, _is_any if has_crashed_workers else _is_proven):
        return True
    # Nor would anything be withdrawn any more.  Workers that were silent together may have been
    # cut off together, and their runs lapsed before they were replaced.
    counting += [
        crash
        for crash in _crashes_of_unit(task, _is_final)
        if not crash.is_proven and _was_lost_alone(crash, worker_by_incarnation)
    ]
    has_crashed_workers = _worker_count(counting) >= MIN_CERTAIN_CRASHES
    return has_crashed_workers and _has_too_many(task, worker_by_incarnation, _is_final)


def must_hold(task: Task, worker_by_incarnation: Mapping[IncarnationKey, Worker]) -> bool:
    """Return whether a task must not be started, at least until less is held against it."""
    if not _crashes_of_unit(task):
        return False
    too_many = _has_too_many(task, worker_by_incarnation)
    return too_many or must_give_up(task, worker_by_incarnation)


def must_give_up_without_evidence(task: Task) -> bool:
    """Return what earlier versions decided, to which all crashes were alike."""
    crashes = _crashes_of_unit(task)
    return _is_attributed(crashes) or _are_too_many(crashes)


def _has_too_many(
    task: Task,
    worker_by_incarnation: Mapping[IncarnationKey, Worker],
    counts: Callable[[Crash], bool] = _is_any,
) -> bool:
    """Return whether no further start may follow what is held against a task."""
    return any(
        _are_too_many(_counting(crashes, worker_by_incarnation))
        for crashes in (_crashes_of_unit(task, counts), *_crashes_by_member(task, counts))
    )


def _was_lost_alone(crash: Crash, worker_by_incarnation: Mapping[IncarnationKey, Worker]) -> bool:
    """Return whether a crash is known not to be one of several at the same time."""
    worker = worker_by_incarnation.get(crash.incarnation)
    lost_with = None if worker is None else worker.record.lost_with
    return lost_with is not None and lost_with + 1 < MIN_LOST_TOGETHER


def _counting(
    crashes: list[Crash], worker_by_incarnation: Mapping[IncarnationKey, Worker]
) -> list[Crash]:
    """Return the crashes without those that others share and whose run had worked before."""
    return [
        crash
        for crash in crashes
        if crash.on_start or _was_lost_alone(crash, worker_by_incarnation)
    ]


def _is_attributed(crashes: list[Crash]) -> bool:
    """Return whether a task explains these crashes better than the other suspects do."""
    on_start = [crash for crash in crashes if crash.on_start]
    limit = MAX_SUSPECTED_CRASHES
    if on_start and on_start[-1].is_sole:
        limit = MAX_ATTRIBUTED_CRASHES
    if not _has_certain(crashes):
        limit = MAX_UNCERTAIN_CRASHES
    return _worker_count(on_start) >= limit


def _are_too_many(crashes: list[Crash]) -> bool:
    """Return whether no further start may follow these crashes, whatever explains them."""
    if _has_certain(crashes) and len(crashes) >= MAX_CRASHES + MAX_LATER_CRASHES:
        # The workers that may run the task may be two that come back each time.
        return True
    for position in range(len(crashes)):
        if _worker_count(crashes[:position]) >= MAX_CRASHES:
            return len(crashes) - position >= MAX_LATER_CRASHES
    return False


def _has_certain(crashes: list[Crash]) -> bool:
    certain = [crash for crash in crashes if crash.is_certain]
    return _worker_count(certain) >= MIN_CERTAIN_CRASHES


def _unit(task: Task) -> tuple:
    """Return what a crash is counted for: a task, or the gang that starts together with it."""
    return (*task.step.key, -1 if task.step.spec.gang else task.index)


def _crashes_of_unit(task: Task, counts: Callable[[Crash], bool] = _is_any) -> list[Crash]:
    """Return the crashes of a task or of its gang in the order of the runs.

    Several workers may crash at once under one run of a gang, which is no doing of the gang:
    one of them counts.
    """
    crash_by_run: dict[int, Crash] = {}
    for member in gang_members(task):
        for crash in filter(counts, member.crashes):
            known = crash_by_run.get(crash.run)
            if known is None or _weight(crash) > _weight(known):
                crash_by_run[crash.run] = crash
    return [crash for _, crash in sorted(crash_by_run.items())]


def _crashes_by_member(task: Task, counts: Callable[[Crash], bool] = _is_any) -> list[list[Crash]]:
    """Return the crashes of each member of a gang, if the task is one; empty otherwise.

    Which crash counts for the gang may be of one worker in each run, and those of a member not.
    Earlier versions went by the gang alone, which their logs must not tell otherwise.
    """
    if not task.step.spec.gang:
        return []
    return [
        [crash for crash in filter(counts, member.crashes) if crash.is_proven is not None]
        for member in gang_members(task)
    ]


def _weight(crash: Crash) -> tuple:
    return bool(crash.is_proven), crash.is_certain, crash.on_start, crash.is_sole


def _worker_count(crashes: list[Crash]) -> int:
    return len({crash.incarnation[0] for crash in crashes})
