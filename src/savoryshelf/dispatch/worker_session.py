"""The leader's dealings with one life of a worker.

One green thread keeps a look open while runs may exist here; each order has a
green thread of its own.  A run is taken to be gone only when the worker lists
its end, when a look sent after the order was settled does not list it, when
another life answers, or when every lease has surely ended.
"""

import random

import attrs
import eventlet
from eventlet.event import Event
from eventlet.semaphore import Semaphore

from ..observability import metrics
from ..observability.logs import log_event
from ..tasks.worker import Worker
from ..wire.generated.ttypes import RunEnd, RunOutcome
from .placement import WorkerView
from .throttling import ColocationHistory
from .worker_api import (
    Life,
    LifeOver,
    Look,
    OrderRejected,
    RunningRow,
    StartOrder,
    StartVerdict,
    WorkerUnanswered,
)
from .worker_clock import SLOWEST_RATE, WorkerClock

LOOK_WAIT_MS = 2000
"""How long a worker holds a look back while nothing ends: the longest it allows."""

SHARED_LOOK_WAIT_MS = 400
"""The same where runs fill beside serving ones: a slow one has to show within a second."""

RETRY_SECONDS = 0.25
"""Pause between calls to a worker that does not answer; jittered by half."""

STOP_LAG_SECONDS = 1.0
"""How long a confirmed stop may take to show in a look: a stop and one held look."""

BARRED_SECONDS = 3.0
"""How long an image that had to yield stays away: a serving run's own load peaks that long."""

PARALLEL_ORDERS = 4
"""Orders under way to one worker: more connections cost more than they save."""

IDLE_CHECK_SECONDS = 0.5
"""How often a link with nothing to do looks whether its life has been replaced."""


@attrs.define
class Sighting:
    """When a run's order was last settled, by this host's clock: looks sent later list it."""

    settled_at: float


class WorkerLink:
    """Orders to one life, on behalf of one term of leadership."""

    def __init__(self, term, worker: Worker, lease_ms: int):
        self._term = term
        self.worker = worker
        record = worker.record
        self.life = Life(record.life.worker_id, record.life.born_ms, record.address)
        self.clock = WorkerClock()
        self.row_by_run: dict[tuple[str, int], RunningRow] = {}
        self.speed_percent_by_run: dict[tuple[str, int], int] = {}
        """Pace last ordered, by run."""

        self.baseline_by_image: dict[str, float] = {}
        """Occupancy that serving runs take by themselves, as of the last look."""

        self._barred_until_by_image: dict[str, float] = {}
        self._history = ColocationHistory()
        self.answered_at = float("-inf")
        self.is_silent = False
        self.has_left = False
        """Whether the worker said that it ends: its next silence is its end."""

        self.is_known = not worker.task_by_run
        """Whether what runs here is known: at a takeover, only after the first look."""

        self._lease_ms = lease_ms
        self._taken_over_at = term.now()
        self._settled_at_by_run: dict[tuple[str, int], float] = {
            run: term.now() for run in worker.task_by_run
        }
        self._stopped_at_by_run: dict[tuple[str, int], float] = {}
        self._sending: set[tuple[str, int]] = set()
        self._stopping: set[tuple[str, int]] = set()
        self._order_slots = Semaphore(PARALLEL_ORDERS)
        self._wake = Event()
        self.is_closed = False
        self._threads = [eventlet.spawn(self._run)]

    # ---------------------------------------------------------------- for the term

    def close(self) -> None:
        """Stop calling this life."""
        self.is_closed = True
        for thread in self._threads:
            thread.kill()

    def wake(self) -> None:
        """Tell the link that runs were placed here."""
        if not self._wake.ready():
            self._wake.send(None)

    def view(self) -> WorkerView:
        """Return this worker as it is seen now."""
        is_responsive = self.is_known and not self.is_silent
        now = self._term.now()
        barred = frozenset(i for i, until in self._barred_until_by_image.items() if now < until)
        return WorkerView(
            self.worker, is_responsive, self.row_by_run, self.baseline_by_image, barred
        )

    def bar(self, image: str) -> None:
        """Keep a filling image away for a while: one run of it had to yield here."""
        self._barred_until_by_image[image] = self._term.now() + BARRED_SECONDS

    def start(self, task: str, run: int) -> None:
        """Send a committed intent."""
        self._sending.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_start, task, run)

    def stop(self, task: str, run: int) -> None:
        """Stop a run, for as long as it takes."""
        if self.is_stopping(task, run) or (task, run) in self._sending:
            return
        self._stopping.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_stop, task, run)

    def is_stopping(self, task: str, run: int) -> bool:
        """Return whether a stop is under way, or was confirmed so lately that looks may lag."""
        if (task, run) in self._stopping:
            return True
        stopped_at = self._stopped_at_by_run.get((task, run))
        return stopped_at is not None and self._term.now() - stopped_at < STOP_LAG_SECONDS

    def pace(self, task: str, run: int, percent: int) -> None:
        """Slow a run down, or let it go again; a lost order is repeated by the next decision."""
        if self.speed_percent_by_run.get((task, run), 100) != percent:
            self.speed_percent_by_run[task, run] = percent
            eventlet.spawn_n(self._send_pace, task, run, percent)

    def lease_has_ended(self) -> bool:
        """Return whether nothing ordered before now can still run in this life."""
        now = self._term.now()
        since = now - self._taken_over_at
        if since * 1000 * SLOWEST_RATE < self._lease_ms + self._term.takeover_slack_ms:
            # An earlier leader may have given a lease up to this long.
            return False
        if not self.clock.is_known:
            return True
        return self.clock.has_passed(now)

    # ------------------------------------------------------------------- the look

    def _run(self) -> None:
        while not self.is_closed:
            if not self.worker.task_by_run and self.is_known and self.clock.is_known:
                self._rest()
                continue
            try:
                self._look(self._look_wait_ms())
            except LifeOver as error:
                self._term.life_over(self, str(error))
                return
            except OrderRejected as error:
                self._term.rejected(self, str(error))
                self._pause()
            except WorkerUnanswered as error:
                self._note_silence(error)
                if self.has_left or self.lease_has_ended():
                    why = "it left" if self.has_left else "silent beyond its lease"
                    self._term.life_over(self, why)
                    return
                self._pause()

    def _look_wait_ms(self) -> int:
        if not self.is_known or self.is_silent:
            return 0
        steps = [task.step.spec for task in self.worker.task_by_run.values()]
        is_shared = any(step.filling for step in steps) and any(step.target_ms for step in steps)
        return SHARED_LOOK_WAIT_MS if is_shared else LOOK_WAIT_MS

    def _rest(self) -> None:
        if self._wake.ready():
            self._wake = Event()
        with eventlet.Timeout(IDLE_CHECK_SECONDS, False):
            self._wake.wait()

    def _pause(self) -> None:
        eventlet.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _look(self, wait_ms: int) -> None:
        sent_at = self._term.now()
        # A silent worker's lease must be able to run out, so it is not extended
        # by a call whose answer may not come either.
        extends = self.clock.is_known and not self.is_silent
        deadline_ms = self.clock.deadline(sent_at, self._lease_ms) if extends else 0
        seen_end = self.worker.record.seen_end
        look = self._term.calls.look(self.life, self._term.fence, seen_end, deadline_ms, wait_ms)
        now = self._term.now()
        self.answered_at = now
        if self.is_silent:
            log_event("worker:answers_again", worker=self.life.worker_id)
        self.is_silent = False
        self.clock.read(look.clock_ms, now)
        if deadline_ms == 0 and (look.running or self.worker.task_by_run):
            # This look only read the clock: the lease must be extended.
            self._extend()
        self._digest(look, sent_at)

    def _extend(self) -> None:
        deadline_ms = self.clock.deadline(self._term.now(), self._lease_ms)
        seen_end = self.worker.record.seen_end
        self._term.calls.look(self.life, self._term.fence, seen_end, deadline_ms, 0)

    def _digest(self, look: Look, sent_at: float) -> None:
        self.row_by_run = {(row.task, row.run): row for row in look.running}
        ends = [
            RunEnd(end.task, end.run, end.outcome, end.checkpoint, end.number)
            for end in look.ends
            if end.number > self.worker.record.seen_end
        ]
        listed = {(end.task, end.run) for end in ends}
        ends += self._vanished(listed, sent_at)
        if ends:
            seen_end = max(end.number for end in ends)
            self._term.settle(self, seen_end, ends)
        self.is_known = True
        self._stop_strays(listed)
        self._forget_bars()
        self._term.looked(self, self._history)

    def _forget_bars(self) -> None:
        now = self._term.now()
        for image in [i for i, until in self._barred_until_by_image.items() if until <= now]:
            del self._barred_until_by_image[image]

    def _vanished(self, listed: set, sent_at: float) -> list[RunEnd]:
        """Return ends for the runs which this look should list, and does not."""
        vanished = []
        for key in self.worker.task_by_run:
            if key in self._sending or key in self.row_by_run or key in listed:
                continue
            if self._settled_at_by_run.get(key, float("inf")) < sent_at:
                vanished.append(RunEnd(*key, RunOutcome.NEVER_RAN, "", 0))
                log_event("run:vanished", task=key[0], run=key[1], worker=self.life.worker_id)
        return vanished

    def _stop_strays(self, ended: set) -> None:
        runs_to_stop = self._term.ledger.runs_to_stop
        for key in self.row_by_run:
            is_ours = key in self.worker.task_by_run
            if key not in ended and (not is_ours or key in runs_to_stop):
                self.stop(*key)
        for key in self._settled_at_by_run.keys() - self.worker.task_by_run.keys():
            self._settled_at_by_run.pop(key, None)
            self._stopped_at_by_run.pop(key, None)
            self.speed_percent_by_run.pop(key, None)

    def _note_silence(self, error: Exception) -> None:
        if not self.is_silent:
            log_event("worker:silent", worker=self.life.worker_id, why=str(error))
        self.is_silent = True
        self._term.wake()

    # ---------------------------------------------------------------------- orders

    def _send_start(self, task: str, run: int) -> None:
        key = (task, run)
        try:
            with self._order_slots:
                verdict = self._order_start(task, run)
        except WorkerUnanswered as error:
            # It may arrive later: only a confirmed stop makes it harmless.
            metrics.RETRIES.labels("start unanswered").inc()
            log_event(
                "run:in_doubt", task=task, run=run, worker=self.life.worker_id, why=str(error)
            )
            self._sending.discard(key)
            self.stop(task, run)
            return
        except LifeOver:
            self._sending.discard(key)
            self._term.life_over(self, "another life answers")
            return
        self._sending.discard(key)
        if verdict is None:
            return
        if verdict is StartVerdict.STARTED:
            self._settled_at_by_run[key] = self._term.now()
            held = self.worker.task_by_run.get(key)
            if key in self._term.ledger.runs_to_stop:
                self.stop(task, run)
            elif held is not None:
                self._term.started(self, held, run)
            return
        metrics.RETRIES.labels(f"start {verdict.value}").inc()
        log_event("run:rejected", task=task, run=run, worker=self.life.worker_id, why=verdict.value)
        self._term.start_rejected(self, task, run, verdict)

    def _order_start(self, task: str, run: int) -> StartVerdict | None:
        held = self.worker.task_by_run.get((task, run))
        if held is None or not self._term.may_order():
            return None
        if not self.clock.is_known:
            self._look(0)
        now = self._term.now()
        order = StartOrder(
            task=task,
            run=run,
            body=held.step.job.spec.body,
            deadline_ms=self.clock.deadline(now, self._lease_ms),
            fence=self._term.fence,
            checkpoint=held.checkpoint,
        )
        verdict, clock_ms = self._term.calls.start(self.life, order)
        if clock_ms is not None:
            self.clock.read(clock_ms, self._term.now())
        return verdict

    def _send_stop(self, task: str, run: int) -> None:
        key = (task, run)
        try:
            while not self.is_closed and self._term.may_order():
                try:
                    self._term.calls.stop(self.life, task, run, self._term.fence)
                    break
                except WorkerUnanswered:
                    metrics.RETRIES.labels("stop unanswered").inc()
                    self._pause()
                except (OrderRejected, LifeOver):
                    break
        finally:
            self._stopping.discard(key)
        was_listed = key in self.row_by_run
        self._stopped_at_by_run[key] = self._term.now()
        self._settled_at_by_run[key] = self._term.now()
        if not was_listed and key in self.worker.task_by_run:
            self._look_now()

    def _look_now(self) -> None:
        """Learn at once what a confirmed stop left, rather than when the open look returns."""
        try:
            self._look(0)
        except (WorkerUnanswered, OrderRejected, LifeOver) as error:
            log_event("worker:look_failed", worker=self.life.worker_id, why=str(error))

    def _send_pace(self, task: str, run: int, percent: int) -> None:
        try:
            self._term.calls.pace(self.life, task, run, percent, self._term.fence)
        except (WorkerUnanswered, OrderRejected, LifeOver) as error:
            self.speed_percent_by_run.pop((task, run), None)
            log_event("run:pace_failed", task=task, worker=self.life.worker_id, why=str(error))
