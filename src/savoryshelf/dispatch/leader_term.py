"""One term of leadership: the sessions with all workers and the loop that places runs.

The state here is rebuilt from the replicated log and from the workers' poll
results, and is discarded when the term ends.
"""

import contextlib
import time
from collections import Counter

import attrs
import eventlet
from eventlet.event import Event

from ..clock import Clock
from ..errors import SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..scheduling.start_rate import MEASURE_INTERVAL_SECONDS, StartRate
from ..tasks.job import IncarnationKey, Task
from ..tasks.ledger import TaskLedger
from ..tasks.names import parse_task_name
from ..tasks.state_machine import TaskStateMachine
from ..wire import codec
from ..wire.generated.ttypes import (
    EndLives,
    ForgetJobs,
    IntendRuns,
    NoteWeights,
    RunEnd,
    RunIntent,
    RunOutcome,
    SettleRuns,
    TaskCommand,
    TaskCommandBody,
    WorkerLife,
)
from .health import FleetHealth
from .interference import InterferenceModel
from .placement import Placement, WorkerView, is_limited
from .retention import Retention
from .throttling import (
    ColocationHistory,
    baseline_utilisations,
    initial_speed_percent,
    learn_interference,
    speed_changes,
)
from .worker_api import StartResult, WorkerApi
from .worker_session import WorkerSession

MAX_PASS_INTERVAL_SECONDS = 0.25
"""Longest time between two passes of the loop, in seconds.

The loop is not woken when a scheduled job becomes due or a quarantine ends.
"""

BATCH_DELAY_SECONDS = 0.004
"""Pause before a pass, in seconds, so that runs that end together share one commit.

Shorter than one disk sync.
"""

WEIGHT_COMMIT_INTERVAL_SECONDS = 2.0
"""Time between commits of the interference weights, in seconds.

A new leader starts from weights that are up to this old.
"""

MAX_QUORUM_CONTACT_AGE_SECONDS = 1.0
"""Age of the last quorum contact below which workers are called, in seconds.

One election timeout.
"""

TAKEOVER_SLACK_MS = 300
"""Added to the longest lease that an earlier leader may have granted, in ms.

Covers a call that an earlier leader's process makes on resuming after it was frozen.
"""


class LeadershipLost(SavoryshelfError):
    """Leadership was lost; a command in flight may or may not have been committed."""


@attrs.frozen
class DispatchSettings:
    """The platform's settings for dispatch."""

    lease_ms: int
    """Length of a worker's lease, in ms.

    The same for all leaders, since a new one waits for earlier leases to expire.
    """

    keep_ended_seconds: float = 300.0
    """How long the state of an ended job can still be read."""

    home_region: str = ""
    """Region of this host; placement prefers workers in it."""

    region_by_domain: dict[str, str] = attrs.field(factory=dict)
    """Region of each failure domain."""


class LeaderTerm:
    """The leader's work during one term; ``fencing_token`` is the Raft term."""

    takeover_slack_ms = TAKEOVER_SLACK_MS

    def __init__(
        self,
        replica: ReplicaService,
        state_machine: TaskStateMachine,
        worker_api: WorkerApi,
        clock: Clock,
        settings: DispatchSettings,
    ):
        self._replica = replica
        self._state_machine = state_machine
        self.worker_api = worker_api
        self._clock = clock
        self._settings = settings
        self.fencing_token = replica.core.term
        self.session_by_incarnation: dict[IncarnationKey, WorkerSession] = {}
        self.health = FleetHealth()
        self.interference = InterferenceModel(dict(state_machine.ledger.weight_by_pair))
        self._weights_committed_at = clock.monotonic()
        self._retention = Retention(settings.keep_ended_seconds)
        self._placement = Placement(
            self.interference, settings.home_region, settings.region_by_domain
        )
        self._start_rate = StartRate()
        self._wake = Event()
        self._has_ended = False

    @property
    def ledger(self) -> TaskLedger:
        """Return the task ledger as applied on this host."""
        return self._state_machine.ledger

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def may_call_workers(self) -> bool:
        """Return whether this host may still call workers; checked before each start and stop."""
        core = self._replica.core
        if self._has_ended or core.term != self.fencing_token:
            return False
        return core.seconds_since_quorum_contact(self.now()) < MAX_QUORUM_CONTACT_AGE_SECONDS

    # ------------------------------------------------------------------------ loop

    def run(self) -> None:
        """Place runs until the term ends."""
        log_event("term:begins", term=self.fencing_token, jobs=len(self.ledger.job_by_id))
        eventlet.spawn(self._measure_lag)
        try:
            while self._replica.is_leader and self._replica.core.term == self.fencing_token:
                if self.may_call_workers():
                    self._run_pass()
                self._wait_for_work()
        except LeadershipLost:
            log_event("term:command_lost", term=self.fencing_token)
        finally:
            self._has_ended = True
            for session in self.session_by_incarnation.values():
                session.close()
            log_event("term:ends", term=self.fencing_token)

    def wake(self) -> None:
        """Request another pass as soon as possible."""
        if not self._wake.ready():
            self._wake.send(None)

    def _wait_for_work(self) -> None:
        with eventlet.Timeout(MAX_PASS_INTERVAL_SECONDS, False):
            self._wake.wait()
        if self._wake.ready():
            self._wake = Event()
            eventlet.sleep(BATCH_DELAY_SECONDS)

    def _run_pass(self) -> None:
        self._update_sessions()
        self._stop_runs()
        self._commit_weights()
        self._forget_old_jobs()
        started_at = time.thread_time()
        intents = self._placement.plan(
            self.ledger, self._views(), self._clock.wall_ms(), self.health, self.now(),
            self._start_rate.allowed_starts(self.now()),
        )  # fmt: skip
        outcome = "starts" if intents else "none"
        metrics.PASS_SECONDS.record(outcome, time.thread_time() - started_at)
        if intents:
            self._start_rate.record_starts(sum(map(self._is_limited, intents)))
            self._log_first_starts(intents)
            for intent in self.commit(intend_runs=IntendRuns(intents)):
                key = (intent.life.worker_id, intent.life.born_ms)
                self.session_by_incarnation[key].start(intent.task, intent.run)

    def _is_limited(self, intent: RunIntent) -> bool:
        return is_limited(self.ledger.find_task(intent.task).step.spec)

    def _measure_lag(self) -> None:
        """Adapt the rate of best-effort starts to the lag of this process's timers."""
        while not self._has_ended:
            began_at = self.now()
            eventlet.sleep(MEASURE_INTERVAL_SECONDS)
            now = self.now()
            self._start_rate.record_lag(now - began_at - MEASURE_INTERVAL_SECONDS, now)
            metrics.TIMER_LAG.set(self._start_rate.mean_lag)
            metrics.START_RATE.set(self._start_rate.rate)

    def _log_first_starts(self, intents: list[RunIntent]) -> None:
        ledger, wall_ms = self.ledger, self._clock.wall_ms()
        tasks_by_job_id = Counter(parse_task_name(intent.task).job_id for intent in intents)
        for job_id, tasks in tasks_by_job_id.items():
            job = ledger.job_by_id[job_id]
            if job.started:
                continue
            delay = max(0, wall_ms - max(job.accepted_ms, job.due_ms(0))) / 1000
            metrics.START_DELAY_SECONDS.record(str(job.queue.priority), delay)
            log_event(
                "job:first_start", job=job_id, queue=job.queue.name, seconds=delay, tasks=tasks,
                waiting_steps=len(ledger.startable_group_by_key),
            )  # fmt: skip

    def _commit_weights(self) -> None:
        if self.now() - self._weights_committed_at < WEIGHT_COMMIT_INTERVAL_SECONDS:
            return
        self._weights_committed_at = self.now()
        weights = self.interference.changed_weights(self.ledger.weight_by_pair)
        if weights:
            self.commit(note_weights=NoteWeights(weights))

    def _forget_old_jobs(self) -> None:
        cutoff_ms = self._retention.expiry_cutoff_ms(self.ledger.at_ms, self.now())
        if cutoff_ms is None or not self.ledger.has_jobs_ended_before(cutoff_ms):
            return
        forgotten = self.commit(forget_jobs=ForgetJobs(cutoff_ms))
        log_event("jobs:forgotten", count=forgotten, ended_before_ms=cutoff_ms)

    def _update_sessions(self) -> None:
        for key, worker in list(self.ledger.worker_by_incarnation.items()):
            session = self.session_by_incarnation.get(key)
            if worker.has_ended and session is not None:
                self._drop_session(key)
            elif not worker.has_ended and session is None:
                self.session_by_incarnation[key] = WorkerSession(
                    self, worker, self._settings.lease_ms
                )

    def _drop_session(self, key: IncarnationKey) -> None:
        session = self.session_by_incarnation.pop(key)
        self.worker_api.disconnect(session.incarnation)
        session.close()

    def _views(self) -> list[WorkerView]:
        return [
            session.view()
            for session in self.session_by_incarnation.values()
            if not session.is_closed
        ]

    def _stop_runs(self) -> None:
        for (task, run), key in list(self.ledger.runs_to_stop.items()):
            session = self.session_by_incarnation.get(key)
            if session is not None and session.is_state_known:
                session.stop(task, run)

    # --------------------------------------------------------- called by the sessions

    def settle_ends(self, session: WorkerSession, seen_end: int, ends: list[RunEnd]) -> None:
        """Commit the ends of runs; only committed ends may be acknowledged to the worker."""
        incarnation = WorkerLife(session.incarnation.worker_id, session.incarnation.born_ms)
        for end in ends:
            self._record_end(session, end)
        with self._log_lost_leadership():
            self.commit(settle_runs=SettleRuns(incarnation, seen_end, ends))
        self.wake()

    def _record_end(self, session: WorkerSession, end: RunEnd) -> None:
        outcome = RunOutcome(end.outcome)
        metrics.RUN_ENDS.labels(outcome.name.lower()).inc()
        if outcome is not RunOutcome.DONE:
            log_event(
                "run:ended", task=end.task, run=end.run, how=outcome.name.lower(),
                worker=session.incarnation.worker_id, number=end.number,
            )  # fmt: skip
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self.health.record_outcome(
                session.incarnation.worker_id, outcome is RunOutcome.DONE, self.now()
            )

    def poll_completed(self, session: WorkerSession, history: ColocationHistory) -> None:
        """Update the interference model, and throttle or evict runs that slow serving runs down."""
        view = session.view()
        learn_interference(self.interference, view, history, self.now())
        session.baseline_by_image = baseline_utilisations(self.interference, view)
        changes = speed_changes(
            self.interference, view, session.speed_percent_by_run, history.slow_seconds(self.now())
        )
        for change in changes:
            if session.is_stopping(change.task, change.run):
                continue
            if change.speed_percent:
                session.set_speed(change.task, change.run, change.speed_percent)
                continue
            metrics.EVICTIONS.labels("slows a serving run").inc()
            log_event(
                "run:yields", task=change.task, run=change.run, worker=change.incarnation[0],
                strain=round(change.latency_ratio, 2), image=change.image,
            )  # fmt: skip
            session.exclude_image(change.image)
            session.stop(change.task, change.run)

    def run_started(self, session: WorkerSession, task: Task, run: int) -> None:
        """Set the initial speed of a best-effort run."""
        if task.step.spec.filling:
            speed_percent = initial_speed_percent(self.interference, session.view(), task.step.spec)
            session.set_speed(task.name, run, speed_percent)

    def start_rejected(
        self, session: WorkerSession, task: str, run: int, result: StartResult
    ) -> None:
        """Settle a run that the worker refused to start, so that its task can be placed again."""
        if result is StartResult.FENCED:
            # A newer leader has taken over and settles the run.
            return
        if result is StartResult.UNHEALTHY:
            self.health.record_outcome(session.incarnation.worker_id, False, self.now())
        if result is StartResult.NO_CAPACITY:
            self.health.record_rejection(session.incarnation.worker_id, self.now())
        incarnation = WorkerLife(session.incarnation.worker_id, session.incarnation.born_ms)
        ends = [RunEnd(task, run, RunOutcome.NEVER_RAN, "", 0)]
        with self._log_lost_leadership():
            self.commit(settle_runs=SettleRuns(incarnation, 0, ends))
        self.wake()

    def poll_rejected(self, session: WorkerSession, why: str) -> None:
        """Log that a worker rejected a poll."""
        log_event("worker:rejects", worker=session.incarnation.worker_id, why=why)

    def worker_leaving(self, worker_id: str) -> None:
        """Record that a worker has announced its shutdown, and wake the loop."""
        for session in self.session_by_incarnation.values():
            if session.incarnation.worker_id == worker_id:
                session.is_shutting_down = True
        self.wake()

    def incarnation_ended(self, session: WorkerSession, why: str) -> None:
        """Commit that an incarnation has ended, so that its runs can be started elsewhere."""
        if session.worker.has_ended or self._has_ended:
            return
        incarnation = WorkerLife(session.incarnation.worker_id, session.incarnation.born_ms)
        runs = len(session.worker.task_by_run)
        log_event("worker:life_over", worker=incarnation.worker_id, why=why, runs=runs)
        checkpoints = [
            RunEnd(status.task, status.run, RunOutcome.LOST, status.checkpoint, 0)
            for status in session.status_by_run.values()
            if status.checkpoint
        ]
        with self._log_lost_leadership():
            self.commit(end_lives=EndLives([incarnation], checkpoints))
        self.wake()

    # -------------------------------------------------------------------- committing

    def commit(self, **body):
        """Commit one command and return its result.

        Raises LeadershipLost if the commit failed or its outcome is unknown.
        """
        command = TaskCommand(self._clock.wall_ms(), TaskCommandBody(**body))
        try:
            return self._replica.propose(codec.encode(command))
        except (NotLeading, OutcomeUnknown) as error:
            raise LeadershipLost(str(error)) from error

    @contextlib.contextmanager
    def _log_lost_leadership(self):
        """Log a lost leadership instead of raising it in the thread of a session."""
        try:
            yield
        except LeadershipLost as error:
            log_event("term:command_lost", term=self.fencing_token, why=str(error))
