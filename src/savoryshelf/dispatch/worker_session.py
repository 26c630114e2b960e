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
    CallRejected,
    IncarnationReplaced,
    PollResult,
    RunStatus,
    StartRequest,
    StartResult,
    WorkerIncarnation,
    WorkerUnresponsive,
)
from .worker_clock import MIN_CLOCK_RATE, WorkerClock

POLL_WAIT_MS = 2000
"""How long a worker holds a look back while nothing ends: the longest it allows."""

SHARED_POLL_WAIT_MS = 400
"""The same where runs fill beside serving ones: a slow one has to show within a second."""

RETRY_SECONDS = 0.25
"""Pause between calls to a worker that does not answer; jittered by half."""

STOP_LAG_SECONDS = 1.0
"""How long a confirmed stop may take to show in a look: a stop and one held look."""

IMAGE_EXCLUSION_SECONDS = 3.0
"""How long an image that had to yield stays away: a serving run's own load peaks that long."""

MAX_CONCURRENT_CALLS = 4
"""Orders under way to one worker: more connections cost more than they save."""

IDLE_CHECK_SECONDS = 0.5
"""How often a link with nothing to do looks whether its life has been replaced."""


@attrs.define
class CallCompletion:
    """When a run's order was last settled, by this host's clock: looks sent later list it."""

    completed_at: float


class WorkerSession:
    """Orders to one life, on behalf of one term of leadership."""

    def __init__(self, term, worker: Worker, lease_ms: int):
        self._term = term
        self.worker = worker
        record = worker.record
        self.incarnation = WorkerIncarnation(
            record.life.worker_id, record.life.born_ms, record.address
        )
        self.clock = WorkerClock()
        self.status_by_run: dict[tuple[str, int], RunStatus] = {}
        self.speed_percent_by_run: dict[tuple[str, int], int] = {}
        """Pace last ordered, by run."""

        self.baseline_by_image: dict[str, float] = {}
        """Occupancy that serving runs take by themselves, as of the last look."""

        self._excluded_until_by_image: dict[str, float] = {}
        self._history = ColocationHistory()
        self.last_contact_at = float("-inf")
        self.is_unresponsive = False
        self.is_shutting_down = False
        """Whether the worker said that it ends: its next silence is its end."""

        self.is_state_known = not worker.task_by_run
        """Whether what runs here is known: at a takeover, only after the first look."""

        self._lease_ms = lease_ms
        self._taken_over_at = term.now()
        self._confirmed_at_by_run: dict[tuple[str, int], float] = {
            run: term.now() for run in worker.task_by_run
        }
        self._stopped_at_by_run: dict[tuple[str, int], float] = {}
        self._starts_in_flight: set[tuple[str, int]] = set()
        self._stops_in_flight: set[tuple[str, int]] = set()
        self._call_slots = Semaphore(MAX_CONCURRENT_CALLS)
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
        is_responsive = self.is_state_known and not self.is_unresponsive
        now = self._term.now()
        excluded = frozenset(i for i, until in self._excluded_until_by_image.items() if now < until)
        return WorkerView(
            self.worker, is_responsive, self.status_by_run, self.baseline_by_image, excluded
        )

    def exclude_image(self, image: str) -> None:
        """Keep a filling image away for a while: one run of it had to yield here."""
        self._excluded_until_by_image[image] = self._term.now() + IMAGE_EXCLUSION_SECONDS

    def start(self, task: str, run: int) -> None:
        """Send a committed intent."""
        self._starts_in_flight.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_start, task, run)

    def stop(self, task: str, run: int) -> None:
        """Stop a run, for as long as it takes."""
        if self.is_stopping(task, run) or (task, run) in self._starts_in_flight:
            return
        self._stops_in_flight.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_stop, task, run)

    def is_stopping(self, task: str, run: int) -> bool:
        """Return whether a stop is under way, or was confirmed so lately that looks may lag."""
        if (task, run) in self._stops_in_flight:
            return True
        stopped_at = self._stopped_at_by_run.get((task, run))
        return stopped_at is not None and self._term.now() - stopped_at < STOP_LAG_SECONDS

    def set_speed(self, task: str, run: int, speed_percent: int) -> None:
        """Slow a run down, or let it go again; a lost order is repeated by the next decision."""
        if self.speed_percent_by_run.get((task, run), 100) != speed_percent:
            self.speed_percent_by_run[task, run] = speed_percent
            eventlet.spawn_n(self._send_speed, task, run, speed_percent)

    def lease_has_expired(self) -> bool:
        """Return whether nothing ordered before now can still run in this life."""
        now = self._term.now()
        elapsed = now - self._taken_over_at
        if elapsed * 1000 * MIN_CLOCK_RATE < self._lease_ms + self._term.takeover_slack_ms:
            # An earlier leader may have given a lease up to this long.
            return False
        if not self.clock.has_reading:
            return True
        return self.clock.all_deadlines_passed(now)

    # ------------------------------------------------------------------- the look

    def _run(self) -> None:
        while not self.is_closed:
            if not self.worker.task_by_run and self.is_state_known and self.clock.has_reading:
                self._wait_for_work()
                continue
            try:
                self._poll(self._poll_wait_ms())
            except IncarnationReplaced as error:
                self._term.incarnation_ended(self, str(error))
                return
            except CallRejected as error:
                self._term.poll_rejected(self, str(error))
                self._wait_before_retry()
            except WorkerUnresponsive as error:
                self._mark_unresponsive(error)
                if self.is_shutting_down or self.lease_has_expired():
                    why = "it left" if self.is_shutting_down else "silent beyond its lease"
                    self._term.incarnation_ended(self, why)
                    return
                self._wait_before_retry()

    def _poll_wait_ms(self) -> int:
        if not self.is_state_known or self.is_unresponsive:
            return 0
        steps = [task.step.spec for task in self.worker.task_by_run.values()]
        is_shared = any(step.filling for step in steps) and any(step.target_ms for step in steps)
        return SHARED_POLL_WAIT_MS if is_shared else POLL_WAIT_MS

    def _wait_for_work(self) -> None:
        if self._wake.ready():
            self._wake = Event()
        with eventlet.Timeout(IDLE_CHECK_SECONDS, False):
            self._wake.wait()

    def _wait_before_retry(self) -> None:
        eventlet.sleep(RETRY_SECONDS * random.uniform(0.5, 1.5))

    def _poll(self, wait_ms: int) -> None:
        sent_at = self._term.now()
        # A silent worker's lease must be able to run out, so it is not extended
        # by a call whose answer may not come either.
        renews_lease = self.clock.has_reading and not self.is_unresponsive
        deadline_ms = self.clock.extend_deadline(sent_at, self._lease_ms) if renews_lease else 0
        seen_end = self.worker.record.seen_end
        result = self._term.worker_api.poll(
            self.incarnation, self._term.fencing_token, seen_end, deadline_ms, wait_ms
        )
        now = self._term.now()
        self.last_contact_at = now
        if self.is_unresponsive:
            log_event("worker:answers_again", worker=self.incarnation.worker_id)
        self.is_unresponsive = False
        self.clock.record_reading(result.clock_ms, now)
        if deadline_ms == 0 and (result.running or self.worker.task_by_run):
            # This look only read the clock: the lease must be extended.
            self._renew_lease()
        self._process_poll(result, sent_at)

    def _renew_lease(self) -> None:
        deadline_ms = self.clock.extend_deadline(self._term.now(), self._lease_ms)
        seen_end = self.worker.record.seen_end
        self._term.worker_api.poll(
            self.incarnation, self._term.fencing_token, seen_end, deadline_ms, 0
        )

    def _process_poll(self, result: PollResult, sent_at: float) -> None:
        self.status_by_run = {(status.task, status.run): status for status in result.running}
        ends = [
            RunEnd(end.task, end.run, end.outcome, end.checkpoint, end.number)
            for end in result.ends
            if end.number > self.worker.record.seen_end
        ]
        ended_runs = {(end.task, end.run) for end in ends}
        ends += self._missing_runs(ended_runs, sent_at)
        if ends:
            seen_end = max(end.number for end in ends)
            self._term.settle_ends(self, seen_end, ends)
        self.is_state_known = True
        self._stop_unexpected_runs(ended_runs)
        self._expire_exclusions()
        self._term.poll_completed(self, self._history)

    def _expire_exclusions(self) -> None:
        now = self._term.now()
        for image in [i for i, until in self._excluded_until_by_image.items() if until <= now]:
            del self._excluded_until_by_image[image]

    def _missing_runs(self, ended_runs: set, sent_at: float) -> list[RunEnd]:
        """Return ends for the runs which this look should list, and does not."""
        missing = []
        for key in self.worker.task_by_run:
            if key in self._starts_in_flight or key in self.status_by_run or key in ended_runs:
                continue
            if self._confirmed_at_by_run.get(key, float("inf")) < sent_at:
                missing.append(RunEnd(*key, RunOutcome.NEVER_RAN, "", 0))
                log_event(
                    "run:vanished", task=key[0], run=key[1], worker=self.incarnation.worker_id
                )
        return missing

    def _stop_unexpected_runs(self, ended_runs: set) -> None:
        runs_to_stop = self._term.ledger.runs_to_stop
        for key in self.status_by_run:
            is_assigned = key in self.worker.task_by_run
            if key not in ended_runs and (not is_assigned or key in runs_to_stop):
                self.stop(*key)
        for key in self._confirmed_at_by_run.keys() - self.worker.task_by_run.keys():
            self._confirmed_at_by_run.pop(key, None)
            self._stopped_at_by_run.pop(key, None)
            self.speed_percent_by_run.pop(key, None)

    def _mark_unresponsive(self, error: Exception) -> None:
        if not self.is_unresponsive:
            log_event("worker:silent", worker=self.incarnation.worker_id, why=str(error))
        self.is_unresponsive = True
        self._term.wake()

    # ---------------------------------------------------------------------- orders

    def _send_start(self, task: str, run: int) -> None:
        key = (task, run)
        try:
            with self._call_slots:
                result = self._call_start(task, run)
        except WorkerUnresponsive as error:
            # It may arrive later: only a confirmed stop makes it harmless.
            metrics.RETRIES.labels("start unanswered").inc()
            log_event(
                "run:in_doubt",
                task=task,
                run=run,
                worker=self.incarnation.worker_id,
                why=str(error),
            )
            self._starts_in_flight.discard(key)
            self.stop(task, run)
            return
        except IncarnationReplaced:
            self._starts_in_flight.discard(key)
            self._term.incarnation_ended(self, "another life answers")
            return
        self._starts_in_flight.discard(key)
        if result is None:
            return
        if result is StartResult.STARTED:
            self._confirmed_at_by_run[key] = self._term.now()
            assigned_task = self.worker.task_by_run.get(key)
            if key in self._term.ledger.runs_to_stop:
                self.stop(task, run)
            elif assigned_task is not None:
                self._term.run_started(self, assigned_task, run)
            return
        metrics.RETRIES.labels(f"start {result.value}").inc()
        log_event(
            "run:rejected", task=task, run=run, worker=self.incarnation.worker_id, why=result.value
        )
        self._term.start_rejected(self, task, run, result)

    def _call_start(self, task: str, run: int) -> StartResult | None:
        assigned_task = self.worker.task_by_run.get((task, run))
        if assigned_task is None or not self._term.may_call_workers():
            return None
        if not self.clock.has_reading:
            self._poll(0)
        now = self._term.now()
        request = StartRequest(
            task=task,
            run=run,
            body=assigned_task.step.job.spec.body,
            deadline_ms=self.clock.extend_deadline(now, self._lease_ms),
            fencing_token=self._term.fencing_token,
            checkpoint=assigned_task.checkpoint,
        )
        result, clock_ms = self._term.worker_api.start(self.incarnation, request)
        if clock_ms is not None:
            self.clock.record_reading(clock_ms, self._term.now())
        return result

    def _send_stop(self, task: str, run: int) -> None:
        key = (task, run)
        try:
            while not self.is_closed and self._term.may_call_workers():
                try:
                    self._term.worker_api.stop(
                        self.incarnation, task, run, self._term.fencing_token
                    )
                    break
                except WorkerUnresponsive:
                    metrics.RETRIES.labels("stop unanswered").inc()
                    self._wait_before_retry()
                except (CallRejected, IncarnationReplaced):
                    break
        finally:
            self._stops_in_flight.discard(key)
        was_running = key in self.status_by_run
        self._stopped_at_by_run[key] = self._term.now()
        self._confirmed_at_by_run[key] = self._term.now()
        if not was_running and key in self.worker.task_by_run:
            self._poll_now()

    def _poll_now(self) -> None:
        """Learn at once what a confirmed stop left, rather than when the open look returns."""
        try:
            self._poll(0)
        except (WorkerUnresponsive, CallRejected, IncarnationReplaced) as error:
            log_event("worker:look_failed", worker=self.incarnation.worker_id, why=str(error))

    def _send_speed(self, task: str, run: int, speed_percent: int) -> None:
        try:
            self._term.worker_api.set_speed(
                self.incarnation, task, run, speed_percent, self._term.fencing_token
            )
        except (WorkerUnresponsive, CallRejected, IncarnationReplaced) as error:
            self.speed_percent_by_run.pop((task, run), None)
            log_event(
                "run:pace_failed", task=task, worker=self.incarnation.worker_id, why=str(error)
            )
