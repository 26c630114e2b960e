"""The speeds that an agent has requested of the best-effort runs of one worker.

A worker does not report the speeds of its runs, so what it was ordered has to be kept here.  One
order a run is under way at a time, and the newest speed requested is ordered until an order of it
is confirmed: one without an answer may have been carried out, or not.
"""

from collections.abc import Iterable

import attrs

from .throttling import PAUSED

RunKey = tuple[str, int]
"""Name of a task and number of its run."""


@attrs.define
class RunSpeeds:
    """Speeds by run, in percent of full speed; a run that is not in here was never ordered one."""

    requested_percent_by_run: dict[RunKey, int | None]
    """Speed last requested; None if it is not known: an earlier agent may have requested any."""

    _maybe_paused_runs: set[RunKey] = attrs.field(factory=set)
    _runs_in_order: set[RunKey] = attrs.field(factory=set)
    """The runs whose newest speed is being ordered."""

    def request(self, run: RunKey, speed_percent: int) -> bool:
        """Take note of a new speed; return whether nothing orders speeds of the run yet."""
        self.requested_percent_by_run[run] = speed_percent
        if speed_percent == PAUSED:
            self._maybe_paused_runs.add(run)
        if run in self._runs_in_order:
            return False
        self._runs_in_order.add(run)
        return True

    def confirm(self, run: RunKey, speed_percent: int) -> bool:
        """Take note that a speed is in force; return whether it is the one last requested."""
        if self.requested_percent_by_run.get(run) != speed_percent:
            return False
        if speed_percent != PAUSED:
            self._maybe_paused_runs.discard(run)
        return True

    def end_order(self, run: RunKey) -> None:
        """Take note that nothing orders speeds of a run any more."""
        self._runs_in_order.discard(run)

    def forget(self, run: RunKey) -> None:
        """Drop what is kept of a run that is gone."""
        self.requested_percent_by_run.pop(run, None)
        self._maybe_paused_runs.discard(run)

    def maybe_paused(self, runs: Iterable[RunKey]) -> set[RunKey]:
        """Return which of some runs may be paused: until an order to go on is confirmed."""
        return self._maybe_paused_runs.intersection(runs)
