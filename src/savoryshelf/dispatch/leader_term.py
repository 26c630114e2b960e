"""One term of leadership: the links to all workers and the loop that places work.

Everything here is rebuilt from the log and from what workers list; it is gone
when the term ends.
"""

import contextlib

import attrs
import eventlet
from eventlet.event import Event

from ..clock import Clock
from ..errors import SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..tasks.job import IncarnationKey, Task
from ..tasks.ledger import TaskLedger
from ..tasks.state_machine import TaskStateMachine
from ..wire import codec
from ..wire.generated.ttypes import (
    EndLives,
    ForgetJobs,
    IntendRuns,
    NoteWeights,
    RunEnd,
    RunOutcome,
    SettleRuns,
    TaskCommand,
    TaskCommandBody,
    WorkerLife,
)
from .health import FleetHealth
from .interference import InterferenceModel
from .placement import Placement, WorkerView
from .retention import Retention
from .throttling import (
    ColocationHistory,
    baseline_utilisations,
    initial_speed_percent,
    learn_interference,
    speed_changes,
)
from .worker_api import StartVerdict, WorkerCalls
from .worker_session import WorkerLink

IDLE_PASS_SECONDS = 0.25
"""How often the loop looks around when nothing wakes it: timed work, quarantines."""

GATHER_SECONDS = 0.004
"""Pause before a pass, so that what ends together shares a commit; under one disk sync."""

TELLING_SECONDS = 2.0
"""Between commits of what was learned of images: a new leader starts with what is this old."""

SURE_OF_LEADING_SECONDS = 1.0
"""Orders are sent only while a majority was heard within this time: one election timeout."""

TAKEOVER_SLACK_MS = 300
"""Added to the longest lease an earlier leader may have given, for a thawing process."""


class TermOver(SavoryshelfError):
    """This host does not lead any more."""


@attrs.frozen
class DispatchSettings:
    """What the platform states of its workers; times in ms."""

    lease_ms: int
    """The lease of what runs; the same for all leaders, who wait it out after a takeover."""

    keep_ended_seconds: float = 300.0
    """How long a job that ended can still be asked for."""

    home_region: str = ""
    region_by_domain: dict[str, str] = attrs.field(factory=dict)


class Term:
    """What the leader does for as long as it leads."""

    takeover_slack_ms = TAKEOVER_SLACK_MS

    def __init__(
        self,
        replica: ReplicaService,
        state_machine: TaskStateMachine,
        calls: WorkerCalls,
        clock: Clock,
        settings: DispatchSettings,
    ):
        self._replica = replica
        self._state_machine = state_machine
        self.calls = calls
        self._clock = clock
        self._settings = settings
        self.fence = replica.core.term
        self.link_by_life: dict[IncarnationKey, WorkerLink] = {}
        self.health = FleetHealth()
        self.interference = InterferenceModel(dict(state_machine.ledger.weight_by_pair))
        self._told_at = clock.monotonic()
        self._retention = Retention(settings.keep_ended_seconds)
        self._placement = Placement(
            self.interference, settings.home_region, settings.region_by_domain
        )
        self._wake = Event()
        self._is_over = False

    @property
    def ledger(self) -> TaskLedger:
        """Return the ledger as applied here."""
        return self._state_machine.ledger

    def now(self) -> float:
        """Return seconds on the clock that never steps."""
        return self._clock.monotonic()

    def may_order(self) -> bool:
        """Return whether this host may still give orders; looked at before each one."""
        core = self._replica.core
        if self._is_over or core.term != self.fence:
            return False
        return core.seconds_since_quorum_contact(self.now()) < SURE_OF_LEADING_SECONDS

    # ------------------------------------------------------------------------ loop

    def run(self) -> None:
        """Place work until the term is over."""
        log_event("term:begins", term=self.fence, jobs=len(self.ledger.job_by_id))
        try:
            while self._replica.is_leader and self._replica.core.term == self.fence:
                if self.may_order():
                    self._pass()
                self._rest()
        except TermOver:
            log_event("term:command_lost", term=self.fence)
        finally:
            self._is_over = True
            for link in self.link_by_life.values():
                link.close()
            log_event("term:ends", term=self.fence)

    def wake(self) -> None:
        """Ask for another pass soon."""
        if not self._wake.ready():
            self._wake.send(None)

    def _rest(self) -> None:
        with eventlet.Timeout(IDLE_PASS_SECONDS, False):
            self._wake.wait()
        if self._wake.ready():
            self._wake = Event()
            eventlet.sleep(GATHER_SECONDS)

    def _pass(self) -> None:
        self._update_links()
        self._stop_unwanted()
        self._tell_what_was_learned()
        self._forget_old_jobs()
        intents = self._placement.plan(
            self.ledger, self._views(), self._clock.wall_ms(), self.health, self.now()
        )
        if intents:
            for intent in self.commit(intend_runs=IntendRuns(intents)):
                key = (intent.life.worker_id, intent.life.born_ms)
                self.link_by_life[key].start(intent.task, intent.run)

    def _tell_what_was_learned(self) -> None:
        if self.now() - self._told_at < TELLING_SECONDS:
            return
        self._told_at = self.now()
        weights = self.interference.changed_weights(self.ledger.weight_by_pair)
        if weights:
            self.commit(note_weights=NoteWeights(weights))

    def _forget_old_jobs(self) -> None:
        before_ms = self._retention.forget_before(self.ledger.at_ms, self.now())
        if before_ms is None or not self.ledger.has_jobs_ended_before(before_ms):
            return
        forgotten = self.commit(forget_jobs=ForgetJobs(before_ms))
        log_event("jobs:forgotten", count=forgotten, ended_before_ms=before_ms)

    def _update_links(self) -> None:
        for key, worker in list(self.ledger.worker_by_incarnation.items()):
            link = self.link_by_life.get(key)
            if worker.has_ended and link is not None:
                self._drop_link(key)
            elif not worker.has_ended and link is None:
                self.link_by_life[key] = WorkerLink(self, worker, self._settings.lease_ms)

    def _drop_link(self, key: IncarnationKey) -> None:
        link = self.link_by_life.pop(key)
        self.calls.forget(link.life)
        link.close()

    def _views(self) -> list[WorkerView]:
        return [link.view() for link in self.link_by_life.values() if not link.is_closed]

    def _stop_unwanted(self) -> None:
        for (task, run), key in list(self.ledger.runs_to_stop.items()):
            link = self.link_by_life.get(key)
            if link is not None and link.is_known:
                link.stop(task, run)

    # ------------------------------------------------------------- what links report

    def settle(self, link: WorkerLink, seen_end: int, ends: list[RunEnd]) -> None:
        """Commit ends; only then may they be acknowledged to the worker."""
        life = WorkerLife(link.life.worker_id, link.life.born_ms)
        for end in ends:
            self._note_end(link, end)
        with self._ending_quietly():
            self.commit(settle_runs=SettleRuns(life, seen_end, ends))
        self.wake()

    def _note_end(self, link: WorkerLink, end: RunEnd) -> None:
        outcome = RunOutcome(end.outcome)
        metrics.RUN_ENDS.labels(outcome.name.lower()).inc()
        if outcome is not RunOutcome.DONE:
            log_event(
                "run:ended", task=end.task, run=end.run, how=outcome.name.lower(),
                worker=link.life.worker_id, number=end.number,
            )  # fmt: skip
        if outcome in (RunOutcome.DONE, RunOutcome.FAILED):
            self.health.record_outcome(link.life.worker_id, outcome is RunOutcome.DONE, self.now())

    def looked(self, link: WorkerLink, history: ColocationHistory) -> None:
        """Learn from a look, and stop what slows serving runs down there."""
        view = link.view()
        learn_interference(self.interference, view, history, self.now())
        link.baseline_by_image = baseline_utilisations(self.interference, view)
        changes = speed_changes(
            self.interference, view, link.speed_percent_by_run, history.slow_seconds(self.now())
        )
        for change in changes:
            if link.is_stopping(change.task, change.run):
                continue
            if change.speed_percent:
                link.pace(change.task, change.run, change.speed_percent)
                continue
            metrics.EVICTIONS.labels("slows a serving run").inc()
            log_event(
                "run:yields", task=change.task, run=change.run, worker=change.incarnation[0],
                strain=round(change.latency_ratio, 2), image=change.image,
            )  # fmt: skip
            link.bar(change.image)
            link.stop(change.task, change.run)

    def started(self, link: WorkerLink, task: Task, run: int) -> None:
        """Set the pace of a filling run that has just begun."""
        if task.step.spec.filling:
            percent = initial_speed_percent(self.interference, link.view(), task.step.spec)
            link.pace(task.name, run, percent)

    def start_rejected(self, link: WorkerLink, task: str, run: int, verdict: StartVerdict) -> None:
        """Take back an intent which the worker surely did not carry out."""
        if verdict is StartVerdict.FENCED:
            # A newer leader has taken over; it settles what is left here.
            return
        if verdict is StartVerdict.UNHEALTHY:
            self.health.record_outcome(link.life.worker_id, False, self.now())
        if verdict is StartVerdict.NO_ROOM:
            self.health.record_rejection(link.life.worker_id, self.now())
        life = WorkerLife(link.life.worker_id, link.life.born_ms)
        ends = [RunEnd(task, run, RunOutcome.NEVER_RAN, "", 0)]
        with self._ending_quietly():
            self.commit(settle_runs=SettleRuns(life, 0, ends))
        self.wake()

    def rejected(self, link: WorkerLink, why: str) -> None:
        """Note that a worker refuses even a look."""
        log_event("worker:rejects", worker=link.life.worker_id, why=why)

    def worker_left(self, worker_id: str) -> None:
        """Note that a worker said that it ends now."""
        for link in self.link_by_life.values():
            if link.life.worker_id == worker_id:
                link.has_left = True
        self.wake()

    def life_over(self, link: WorkerLink, why: str) -> None:
        """Commit that a life is surely over; its runs may then be started elsewhere."""
        if link.worker.has_ended or self._is_over:
            return
        life = WorkerLife(link.life.worker_id, link.life.born_ms)
        runs = len(link.worker.task_by_run)
        log_event("worker:life_over", worker=life.worker_id, why=why, runs=runs)
        checkpoints = [
            RunEnd(row.task, row.run, RunOutcome.LOST, row.checkpoint, 0)
            for row in link.row_by_run.values()
            if row.checkpoint
        ]
        with self._ending_quietly():
            self.commit(end_lives=EndLives([life], checkpoints))
        self.wake()

    # --------------------------------------------------------------------- plumbing

    def commit(self, **body):
        """Commit one command; raises TermOver if that is not sure to have happened."""
        command = TaskCommand(self._clock.wall_ms(), TaskCommandBody(**body))
        try:
            return self._replica.propose(codec.encode(command))
        except (NotLeading, OutcomeUnknown) as error:
            raise TermOver(str(error)) from error

    @contextlib.contextmanager
    def _ending_quietly(self):
        """Let a link's thread go on to its end when the term is over."""
        try:
            yield
        except TermOver as error:
            log_event("term:command_lost", term=self.fence, why=str(error))
