"""Log lines of the ends of incarnations, of the runs that they released, and of crashes."""

from collections.abc import Iterable

import attrs

from ..observability.logs import log_event
from ..tasks.job import Crash
from ..tasks.ledger import IncarnationEnd, TaskLedger

RUNS_PER_LINE = 40
MAX_LINES = 25
"""Bounds of the lines that name the runs which the end of one incarnation released."""


def log_crash_notes(ends: Iterable[IncarnationEnd]) -> None:
    """Log each task for which a crash was counted."""
    for end in ends:
        for note in end.crash_notes:
            log_event("task:suspected", **attrs.asdict(note))


def log_given_up(name: str, crashes: Iterable[Crash], ledger: TaskLedger) -> None:
    """Log a task whose job has failed for the crashes of workers, with what each crash was."""
    log_event("task:given_up", task=name, crashes=describe_crashes(crashes, ledger))


def describe_crashes(crashes: Iterable[Crash], ledger: TaskLedger) -> list[dict]:
    """Return what is known of crashes, for the log."""
    described = []
    for crash in crashes:
        worker = ledger.worker_by_incarnation.get(crash.incarnation)
        described.append(
            {
                "worker": crash.incarnation[0],
                "born": crash.incarnation[1],
                "run": crash.run,
                "on_start": crash.on_start,
                "sole": crash.is_sole,
                "certain": crash.is_certain,
                "proven": crash.is_proven,
                "replaced": crash.is_replaced,
                "lost_with": worker.record.lost_with if worker else None,
            }
        )
    return described


def log_incarnation_ends(ends: Iterable[IncarnationEnd]) -> None:
    """Log each incarnation whose end was committed, with the runs that this released."""
    for end in ends:
        names = [f"{task}:{run}" for task, run in sorted(end.released_runs)]
        lines = [
            names[first : first + RUNS_PER_LINE] for first in range(0, len(names), RUNS_PER_LINE)
        ][:MAX_LINES]
        worker_id, born_ms = end.incarnation
        for number, line in enumerate(lines or [[]], 1):
            log_event(
                "worker:life_ended", worker=worker_id, born=born_ms,
                decided_by=end.agent_id or "leader", announced=end.announced, runs=len(names),
                released=line, line=number, not_named=len(names) - sum(map(len, lines)),
            )  # fmt: skip
