"""The leader's session with one incarnation of a worker.

One green thread long-polls the worker while runs may exist there; each start,
stop and speed call has a green thread of its own.  A run counts as ended
only in one of these cases:

- The worker reports its end.
- A poll does not list it, and was sent after the run's last start or stop was confirmed.
- Another incarnation answers at the worker's address.
- The worker does not answer after it announced its shutdown.
- Every lease of the worker has expired.
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
"""How long a worker holds a poll open while no run ends, in ms: the maximum it allows."""

SHARED_POLL_WAIT_MS = 400
"""``POLL_WAIT_MS`` where best-effort runs share the processors with serving runs, in ms.

A serving run that misses its latency target has to be noticed within a second.
"""

RETRY_SECONDS = 0.25
"""Pause before a call is retried, in seconds; jittered by up to half of it either way."""

STOP_LAG_SECONDS = 1.0
"""How long polls may still list a run whose stop was confirmed, in seconds.

Covers one stop call and one long poll.
"""

IMAGE_EXCLUSION_SECONDS = 3.0
"""How long the image of an evicted run is kept off the worker, in seconds.

The load peaks of a serving run last about as long.
"""

MAX_CONCURRENT_STARTS = 4
"""Bound on the start calls in flight to one worker; more connections cost more than they save."""

IDLE_CHECK_SECONDS = 0.5
"""How often an idle session checks whether it was closed, in seconds.

The term closes it once the worker's incarnation has been replaced.
"""


@attrs.define
class CallCompletion:
    """When a run's last start or stop was confirmed, on this host's clock, in seconds.

    Polls sent later list the run if it exists.
    """

    completed_at: float


class WorkerSession:
    """Polls and calls one incarnation of a worker during one term of leadership."""

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
        """Speed last requested of each run, in percent of full speed."""

        self.baseline_by_image: dict[str, float] = {}
        """Utilisation of serving runs without interference, by image, as of the last poll."""

        self._excluded_until_by_image: dict[str, float] = {}
        self._history = ColocationHistory()
        self.last_contact_at = float("-inf")
        self.is_unresponsive = False
        self.is_shutting_down = False
        """Whether the worker announced its shutdown: one unanswered poll then means it ended."""

        self.is_state_known = not worker.task_by_run
        """Whether the worker's runs are known: after a takeover, only from the first poll on."""

        self._lease_ms = lease_ms
        self._taken_over_at = term.now()
        self._confirmed_at_by_run: dict[tuple[str, int], float] = {
            run: term.now() for run in worker.task_by_run
        }
        """When the last start or stop of each run was confirmed, in monotonic seconds.

        For runs placed before this session: when the session began.
        """

        self._stopped_at_by_run: dict[tuple[str, int], float] = {}
        self._starts_in_flight: set[tuple[str, int]] = set()
        self._stops_in_flight: set[tuple[str, int]] = set()
        self._start_slots = Semaphore(MAX_CONCURRENT_STARTS)
        self._wake = Event()
        self.is_closed = False
        self._threads = [eventlet.spawn(self._run)]

    # ------------------------------------------------- called by the leader's term

    def close(self) -> None:
        """End the session: stop polling and retrying."""
        self.is_closed = True
        for thread in self._threads:
            thread.kill()

    def wake(self) -> None:
        """End the idle wait, because a run is being started or stopped."""
        if not self._wake.ready():
            self._wake.send(None)

    def view(self) -> WorkerView:
        """Return the worker's state for placement and throttling."""
        is_responsive = self.is_state_known and not self.is_unresponsive
        now = self._term.now()
        excluded = frozenset(i for i, until in self._excluded_until_by_image.items() if now < until)
        return WorkerView(
            self.worker, is_responsive, self.status_by_run, self.baseline_by_image, excluded
        )

    def exclude_image(self, image: str) -> None:
        """Keep a best-effort image off this worker for a while, after a run of it was evicted."""
        self._excluded_until_by_image[image] = self._term.now() + IMAGE_EXCLUSION_SECONDS

    def start(self, task: str, run: int) -> None:
        """Send the start call of a run whose intent is committed."""
        self._starts_in_flight.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_start, task, run)

    def stop(self, task: str, run: int) -> None:
        """Stop a run; an unanswered call is retried until the session or the term ends.

        Does nothing while the start call is in flight; once it is answered, the run is
        stopped if it is in the ledger's ``runs_to_stop``.
        """
        if self.is_stopping(task, run) or (task, run) in self._starts_in_flight:
            return
        self._stops_in_flight.add((task, run))
        self.wake()
        eventlet.spawn_n(self._send_stop, task, run)

    def is_stopping(self, task: str, run: int) -> bool:
        """Return whether a stop is in flight, or so recent that polls may still list the run."""
        if (task, run) in self._stops_in_flight:
            return True
        stopped_at = self._stopped_at_by_run.get((task, run))
        return stopped_at is not None and self._term.now() - stopped_at < STOP_LAG_SECONDS

    def set_speed(self, task: str, run: int, speed_percent: int) -> None:
        """Throttle a run or restore its speed.

        A call that fails is not retried; the speed is decided anew after the next poll.
        """
        if self.speed_percent_by_run.get((task, run), 100) != speed_percent:
            self.speed_percent_by_run[task, run] = speed_percent
            eventlet.spawn_n(self._send_speed, task, run, speed_percent)

    def lease_has_expired(self) -> bool:
        """Return whether no run started before now can still be running in this incarnation."""
        now = self._term.now()
        elapsed = now - self._taken_over_at
        if elapsed * 1000 * MIN_CLOCK_RATE < self._lease_ms + self._term.takeover_slack_ms:
            # An earlier leader may have granted a lease of up to this length.
            return False
        if not self.clock.has_reading:
            # Without a reading, this session has sent no deadline.
            return True
        return self.clock.all_deadlines_passed(now)

    # -------------------------------------------------------------------- polling

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
                    why = "worker shut down" if self.is_shutting_down else "lease expired"
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
        # The lease of an unresponsive worker must be able to expire, so it is not
        # renewed by a poll that may go unanswered as well.
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
            # This poll only read the worker's clock; the lease is still to be renewed.
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
        """Return ends for the runs that this poll should have listed and did not."""
        missing = []
        for key in self.worker.task_by_run:
            if key in self._starts_in_flight or key in self.status_by_run or key in ended_runs:
                continue
            if self._confirmed_at_by_run.get(key, float("inf")) < sent_at:
                missing.append(RunEnd(*key, RunOutcome.NEVER_RAN, "", 0))
                log_event("run:missing", task=key[0], run=key[1], worker=self.incarnation.worker_id)
        return missing

    def _stop_unexpected_runs(self, ended_runs: set) -> None:
        """Stop listed runs that should not run here; drop the data kept on runs that are gone."""
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

    # --------------------------------------------------------- calls to the worker

    def _send_start(self, task: str, run: int) -> None:
        key = (task, run)
        try:
            with self._start_slots:
                result = self._call_start(task, run)
        except WorkerUnresponsive as error:
            # The call may still arrive: only a confirmed stop rules out that the run starts.
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
            self._term.incarnation_ended(self, "another incarnation answers")
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
        """Poll right after a confirmed stop instead of waiting for the open poll to return."""
        try:
            self._poll(0)
        except (WorkerUnresponsive, CallRejected, IncarnationReplaced) as error:
            log_event("worker:poll_failed", worker=self.incarnation.worker_id, why=str(error))

    def _send_speed(self, task: str, run: int, speed_percent: int) -> None:
        try:
            self._term.worker_api.set_speed(
                self.incarnation, task, run, speed_percent, self._term.fencing_token
            )
        except (WorkerUnresponsive, CallRejected, IncarnationReplaced) as error:
            self.speed_percent_by_run.pop((task, run), None)
            log_event(
                "run:set_speed_failed", task=task, worker=self.incarnation.worker_id, why=str(error)
            )
