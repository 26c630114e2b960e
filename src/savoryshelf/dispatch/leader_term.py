"""One term of leadership: commits what agents report, and places runs.

The state here is rebuilt from the replicated log and from the reports of the agents,
and is discarded when the term ends.
"""

import contextlib
import time
from collections import Counter
from collections.abc import Iterable

import attrs
import eventlet
from eventlet.event import Event

from ..clock import Clock
from ..errors import SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..replication.membership import find_member
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..scheduling.start_rate import StartRate
from ..tasks.job import IncarnationKey, Task
from ..tasks.ledger import TaskLedger
from ..tasks.names import parse_task_name
from ..tasks.state_machine import TaskStateMachine
from ..tasks.worker import Worker, incarnation_key
from ..wire import codec
from ..wire.generated import ttypes
from ..wire.generated.ttypes import (
    AgentAssignment,
    AgentReply,
    AgentReport,
    AssignAgents,
    ContactLoss,
    EndEvidence,
    EndLives,
    ForgetJobs,
    GiveUpTasks,
    IntendRuns,
    JobSpec,
    NoteWeights,
    QueueSpec,
    RejectionKind,
    ReplacedLives,
    RunEnd,
    RunIntent,
    RunOutcome,
    SettleBatch,
    SettleRuns,
    StartRejection,
    TaskCommand,
    TaskCommandBody,
    WithdrawCrashes,
    WorkerLife,
)
from .admission import Occupancy, occupancy_without_room
from .agent_fleet import AgentFleet
from .agent_id import replica_of
from .assignment import AssignableAgent, AssignableWorker, plan_assignments
from .crash_log import log_crash_notes, log_given_up
from .health import FleetHealth
from .held_tasks import HeldTasks
from .interference import InterferenceModel
from .lag import measure_lag
from .loss_times import aged
from .not_startable import NotStartable
from .placement import Placement, is_limited
from .retention import Retention
from .waiting_log import INVALID, SETTLED, WaitingLog

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
"""Age of the last quorum contact below which reports are answered, in seconds.

One election timeout.
"""

FIRST_REPORT_SECONDS = 0.3
"""Time at the start of a term in which the agents of earlier terms may report, in seconds.

It takes them a heartbeat, the opening of a connection and a call, between regions too.
"""

ASSIGNMENT_INTERVAL_SECONDS = 0.1
"""Time between two looks for workers without a live agent, in seconds."""

REPLACEMENT_REPORT_SECONDS = 0.5
"""Time in which the agent of a worker's earlier incarnation may report its end, in seconds.

It knows which runs the incarnation had outlived.  Counted from when the later one has answered.
"""

MOVE_INTERVAL_SECONDS = 2.0
"""Time between two steps that even out the load of the agents, in seconds."""


class LeadershipLost(SavoryshelfError):
    """Leadership was lost; a command in flight may or may not have been committed."""


@attrs.frozen
class DispatchSettings:
    """The platform's settings for dispatch."""

    lease_ms: int
    """Length of a worker's lease, in ms.

    The same for all agents, since the next one waits for earlier leases to expire.
    """

    keep_ended_seconds: float = 300.0
    """How long the state of an ended job can still be read."""

    home_region: str = ""
    """Region of this host; placement prefers workers in it."""

    region_by_domain: dict[str, str] = attrs.field(factory=dict)
    """Region of each failure domain."""


@attrs.frozen
class _ReceivedEnds:
    """The ends of incarnations that an agent has reported, until they are proposed."""

    message: EndLives
    received_at: float

    def as_of(self, now: float) -> EndLives:
        """Return the message as of now: what it tells of time is relative to that."""
        return aged(self.message, now - self.received_at)


class LeaderTerm:
    """The leader's work during one term."""

    def __init__(
        self,
        replica: ReplicaService,
        state_machine: TaskStateMachine,
        clock: Clock,
        settings: DispatchSettings,
    ):
        self._replica = replica
        self._state_machine = state_machine
        self._clock = clock
        self._settings = settings
        self._term = replica.core.term
        self.health = FleetHealth()
        self.interference = InterferenceModel(dict(state_machine.ledger.weight_by_pair))
        self._fleet = AgentFleet()
        self._began_at = self._moved_at = clock.monotonic()
        self._assigned_at = float("-inf")
        self._weights_committed_at = clock.monotonic()
        self._replaced_at_by_incarnation: dict[IncarnationKey, float] = {}
        """When a later incarnation was first seen to answer at the address of a live one."""

        self._handed_over_silent: set[IncarnationKey] = set()
        """The silent workers with runs that have got another agent since they fell silent."""

        self._have_states_changed = True
        """Whether agents have reported states since that was last looked for."""

        self._may_find_replacements = True
        """Whether states or ends of incarnations were reported since that was last looked for."""

        self._retention = Retention(settings.keep_ended_seconds)
        self._jobs_with_first_start: set[str] = set()
        """The jobs of which a first start was logged; it may be refused, and another follow."""

        self._placement = Placement(
            self.interference, settings.home_region, settings.region_by_domain
        )
        self._waiting_log = WaitingLog(self._placement, self._fleet, self.health)
        self._not_startable = NotStartable()
        self._held_tasks = HeldTasks()
        self._start_rate = StartRate()
        self._settlements: list[SettleRuns] = []
        self._ended_incarnations: list[_ReceivedEnds] = []
        self._wake = Event()
        self._wake_commit = Event()
        self._has_ended = False
        self._failure: Exception | None = None

    @property
    def ledger(self) -> TaskLedger:
        """Return the task ledger as applied on this host."""
        return self._state_machine.ledger

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def is_confirmed(self) -> bool:
        """Return whether a majority has confirmed recently that this term has not ended."""
        core = self._replica.core
        if self._has_ended or core.term != self._term:
            return False
        return core.seconds_since_quorum_contact(self.now()) < MAX_QUORUM_CONTACT_AGE_SECONDS

    def occupancy_without_room(self, queue: QueueSpec, spec: JobSpec) -> Occupancy | None:
        """Return why a job is not accepted now, or None if there is room for it."""
        demand = self._placement.finite_demand
        return occupancy_without_room(self.ledger, demand, queue, spec, self.now())

    # ------------------------------------------------------------------------ loop

    def run(self) -> None:
        """Place runs until the term ends."""
        log_event("term:begins", term=self._term, jobs=len(self.ledger.job_by_id))
        for activity in (self._measure_lag, self._commit_reports):
            eventlet.spawn(self._run_activity, activity)
        try:
            while self._replica.is_leader and self._replica.core.term == self._term:
                if self._failure is not None:
                    raise self._failure
                began_at = self.now()
                is_confirmed = self.is_confirmed()
                if is_confirmed:
                    self._run_pass()
                pass_seconds = self.now() - began_at
                if is_confirmed:
                    self._log_waiting_work()
                self._wait_for_work(pass_seconds)
        except LeadershipLost:
            log_event("term:command_lost", term=self._term)
        finally:
            self._has_ended = True
            self._wake_up_commit()
            metrics.OVERDUE_STEPS.set(0)
            log_event("term:ends", term=self._term)

    def _log_waiting_work(self) -> None:
        """Log what waits and why; an error in that ends no term."""
        try:
            now, wall_ms = self.now(), self._clock.wall_ms()
            self._waiting_log.look(self.ledger, wall_ms, now)
            self._not_startable.look(self.ledger, wall_ms, now)
        except Exception as error:
            log_event("task:waits_unknown", term=self._term, why=repr(error))

    def _run_activity(self, activity) -> None:
        try:
            activity()
        except Exception as error:
            # Raised by the loop: a term without this activity would place nothing.
            self._failure = error
            self.wake()

    def wake(self) -> None:
        """Request another pass as soon as possible."""
        if not self._wake.ready():
            self._wake.send(None)

    def _wait_for_work(self, pass_seconds: float) -> None:
        with eventlet.Timeout(MAX_PASS_INTERVAL_SECONDS, False):
            self._wake.wait()
        if self._wake.ready():
            self._wake = Event()
            # As long as the last pass at least, so that passes leave time for other work.
            eventlet.sleep(max(BATCH_DELAY_SECONDS, min(pass_seconds, MAX_PASS_INTERVAL_SECONDS)))

    def _run_pass(self) -> None:
        self._withdraw_crashes()
        self._note_replaced_crashes()
        self._end_replaced_incarnations(self.now())
        self._give_up_tasks(self.now())
        self._assign_workers()
        self._commit_weights()
        self._forget_old_jobs()
        if not (self.ledger.startable_group_by_key or self._fleet.has_idle_runs()):
            return
        started_at = time.thread_time()
        views = self._fleet.views(self._live_workers(), self.now())
        intents = self._placement.plan(
            self.ledger, views, self._clock.wall_ms(), self.health, self.now(),
            self._start_rate.allowed_starts(self.now()),
        )  # fmt: skip
        outcome = "starts" if intents else "none"
        metrics.QUARANTINED_WORKERS.set(self.health.quarantined_count(self.now()))
        metrics.PASS_SECONDS.record(outcome, time.thread_time() - started_at)
        if intents:
            self._start_rate.record_starts(sum(map(self._is_limited, intents)))
            self._log_first_starts(intents)
            self._commit_starts(intents)

    def _commit_starts(self, intents: list[RunIntent]) -> None:
        valid = self.commit(intend_runs=IntendRuns(intents))
        valid_runs = {(intent.task, intent.run) for intent in valid}
        for intent in intents:
            task = self.ledger.find_task(intent.task)
            if task is not None and (intent.task, intent.run) not in valid_runs:
                # Something was committed meanwhile, such as that its worker drains.
                key = incarnation_key(intent.life)
                self._note_start_without_run(task, intent.run, key, INVALID)

    def _note_start_without_run(self, task: Task, run: int, key: IncarnationKey, how: str) -> None:
        """Take note that a planned start did not become a run."""
        self._placement.record_refusal(task.name, run)
        self._waiting_log.record_never_ran(task, run, key, how, self.now())

    def _live_workers(self):
        return [w for w in self.ledger.worker_by_incarnation.values() if not w.has_ended]

    def _is_limited(self, intent: RunIntent) -> bool:
        return is_limited(self.ledger.find_task(intent.task).step.spec)

    def _measure_lag(self) -> None:
        """Adapt the rate of best-effort starts to the lag of timers, here and at the agents."""
        for own_lag in measure_lag(self._clock):
            if self._has_ended:
                return
            now = self.now()
            lag = max(own_lag, self._fleet.typical_timer_lag(now))
            self._start_rate.record_lag(lag, now)
            self._fleet.record_commit_index(self._replica.core.commit_index, now)
            metrics.TIMER_LAG.set(self._start_rate.mean_lag)
            metrics.START_RATE.set(self._start_rate.rate)

    def _log_first_starts(self, intents: list[RunIntent]) -> None:
        ledger, wall_ms = self.ledger, self._clock.wall_ms()
        tasks_by_job_id = Counter(parse_task_name(intent.task).job_id for intent in intents)
        for job_id, tasks in tasks_by_job_id.items():
            job = ledger.job_by_id[job_id]
            if job.started or job_id in self._jobs_with_first_start:
                continue
            self._jobs_with_first_start.add(job_id)
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
        self._jobs_with_first_start &= self.ledger.job_by_id.keys()
        log_event("jobs:forgotten", count=forgotten, ended_before_ms=cutoff_ms)

    # ------------------------------------------------------------------- assignments

    def _assign_workers(self) -> None:
        """Give workers without a live agent to another, and even out the load at times."""
        now = self.now()
        if now - self._assigned_at < ASSIGNMENT_INTERVAL_SECONDS:
            return
        agents = self._assignable_agents(now)
        if not agents:
            return
        self._assigned_at = now
        may_move = now - self._moved_at >= MOVE_INTERVAL_SECONDS
        if may_move:
            self._moved_at = now
        live_workers = self._live_workers()
        self._fleet.forget({worker.key for worker in live_workers}, now)
        with_rivals = {
            worker.key
            for sharing in _sharing_an_address(live_workers)
            for worker in sharing
            if any(self._fleet.answers(other) for other in sharing if other is not worker)
        }
        agent_ids = {agent.agent_id for agent in agents}
        silent = {
            worker.key
            for worker in live_workers
            if worker.task_by_run and self._fleet.is_silent(worker)
        }
        self._handed_over_silent &= silent
        workers = [
            AssignableWorker(
                worker.key,
                self._settings.region_by_domain.get(worker.record.failure_domain, ""),
                worker.record.agent_id
                if worker.record.agent_id in agent_ids
                # A new token would take the worker from the incarnation that answers there.
                and (worker.key in with_rivals or not self._fleet.is_fenced(worker))
                else None,
                # A new agent would have to wait for the lease of a silent worker anew.
                may_move=worker.key not in silent,
            )
            for worker in live_workers
            if not self._may_still_report(worker.record.agent_id, agent_ids, now)
            and not self._waits_for_lease(worker, now)
        ]
        planned = plan_assignments(workers, agents, len(live_workers), may_move)
        if not planned:
            return
        count_by_agent = Counter(planned.values())
        log_event("agents:assigned", term=self._term, workers_by_agent=dict(count_by_agent))
        assignments = [AgentAssignment(WorkerLife(*key), agent) for key, agent in planned.items()]
        self._handed_over_silent |= planned.keys() & silent
        self.commit(assign_agents=AssignAgents(assignments, self._term))

    def _waits_for_lease(self, worker: Worker, now: float) -> bool:
        """Return whether a silent worker stays with its agent, though that may lag.

        Each new agent waits for the longest lease anew, and agents may lag in turn.
        """
        return (
            worker.key in self._handed_over_silent
            and self._fleet.is_live(worker.record.agent_id, now)
            and not self._fleet.is_fenced(worker)
        )

    def _end_replaced_incarnations(self, now: float) -> None:
        """End the incarnations of which a later one answers calls at the same address.

        A heartbeat of the later one is no evidence: anybody may have sent it.  The agent of the
        earlier one finds out by itself, unless it is gone.
        """
        if not self._have_states_changed and not self._replaced_at_by_incarnation:
            return
        self._have_states_changed = False
        replaced = {
            worker.key: worker
            for sharing in _sharing_an_address(self._live_workers())
            for worker in sharing
            if worker.key in self._replaced_at_by_incarnation
            or any(
                other.record.life.born_ms > worker.record.life.born_ms
                and self._fleet.answers(other)
                for other in sharing
            )
        }
        for key in self._replaced_at_by_incarnation.keys() - replaced.keys():
            del self._replaced_at_by_incarnation[key]
        for key in replaced.keys() - self._replaced_at_by_incarnation.keys():
            self._replaced_at_by_incarnation[key] = now
            eventlet.spawn_after(REPLACEMENT_REPORT_SECONDS, self.wake)
        due = [
            WorkerLife(*key)
            for key, worker in replaced.items()
            if not (worker.record.agent_id and worker.task_by_run)
            or now - self._replaced_at_by_incarnation[key] >= REPLACEMENT_REPORT_SECONDS
        ]
        if not due:
            return
        for incarnation in due:
            log_event("worker:replaced", worker=incarnation.worker_id, born=incarnation.born_ms)
        self._note_lost_runs(due)
        ended = EndLives(due, [], crashed=True, evidence=EndEvidence.REPLACED)
        log_crash_notes(self.commit(end_lives=ended))
        self._may_find_replacements = True

    def _withdraw_crashes(self) -> None:
        """Withdraw what silent incarnations were taken to have crashed under once they answer.

        A heartbeat alone tells less: it may have been sent before the crash.
        """
        if not self._have_states_changed or not self.ledger.crashed_task_by_name:
            return
        silent = {
            crash.incarnation
            for task in self.ledger.crashed_task_by_name.values()
            for crash in task.crashes
            if not crash.is_proven
        }
        answering = [
            WorkerLife(*key)
            for key in sorted(silent)
            if (worker := self.ledger.worker_by_incarnation.get(key)) is not None
            and not worker.has_ended
            and self._fleet.answers(worker)
        ]
        if answering:
            log_event("worker:crash_withdrawn", workers=[life.worker_id for life in answering])
            self.commit(withdraw_crashes=WithdrawCrashes(answering))

    def _note_replaced_crashes(self) -> None:
        """Note which silent incarnations never answer again, since a later one has.

        While it has not, they may: a heartbeat of the later one is no evidence.
        """
        if not self._may_find_replacements:
            return
        self._may_find_replacements = False
        silent = {
            crash.incarnation
            for task in self.ledger.crashed_task_by_name.values()
            for crash in task.crashes
            if not (crash.is_proven or crash.is_replaced)
        }
        if not silent:
            return
        newest_by_place: dict[tuple[str, str], int] = {}
        for worker in self._live_workers():
            if self._fleet.answers(worker):
                place, born_ms = _place(worker), worker.record.life.born_ms
                newest_by_place[place] = max(born_ms, newest_by_place.get(place, born_ms))
        replaced = [
            WorkerLife(*key)
            for key in sorted(silent)
            if (worker := self.ledger.worker_by_incarnation.get(key)) is not None
            and newest_by_place.get(_place(worker), key[1]) > key[1]
        ]
        if replaced:
            log_event("worker:crash_final", workers=[life.worker_id for life in replaced])
            self.commit(note_replaced=ReplacedLives(replaced))

    def _give_up_tasks(self, now: float) -> None:
        """Fail the jobs of tasks that are known to crash their workers."""
        names = self._held_tasks.look(self.ledger, self._count_silent_workers, now)
        if names:
            crashes_by_task = {name: self.ledger.find_task(name).crashes for name in names}
            for name in self.commit(give_up_tasks=GiveUpTasks(names)):
                log_given_up(name, crashes_by_task[name], self.ledger)

    def _count_silent_workers(self) -> int:
        return sum(self._fleet.is_silent(worker) for worker in self._live_workers())

    def _may_still_report(self, agent_id: str | None, agent_ids: set[str], now: float) -> bool:
        """Return whether to wait for the first reports of this term.

        The host that led before is probably lost; if it is not, it only loses its workers.
        """
        if (
            agent_id is None
            or agent_id in agent_ids
            or now - self._began_at >= FIRST_REPORT_SECONDS
        ):
            return False
        return replica_of(agent_id) != self._replica.core.previous_leader_id

    def _assignable_agents(self, now: float) -> list[AssignableAgent]:
        core = self._replica.core
        agents = []
        for agent_id, region in self._fleet.usable_agents(now).items():
            member = find_member(core.log.membership, replica_of(agent_id))
            if member is not None and member.voter:
                is_leader = member.replica_id == core.replica_id
                agents.append(AssignableAgent(agent_id, region, is_leader))
        return agents

    # ----------------------------------------------------------------------- reports

    def receive_report(self, report: AgentReport) -> AgentReply:
        """Take an agent's report; raises Unavailable unless a majority confirms this leader.

        Returns before what was reported is committed: the agent sees that in its own log.
        """
        if not self.is_confirmed():
            raise ttypes.Unavailable(
                f"no majority has confirmed this leader within {MAX_QUORUM_CONTACT_AGE_SECONDS} s",
                False,
            )
        now = self.now()
        wants_full = self._fleet.record_report(report, now)
        for weight in self._fleet.merge_weights(report):
            self.interference.set_weight(weight.filling_image, weight.serving_image, weight.weight)
        for rejection in report.rejections:
            self._record_rejection(rejection, now)
        if report.settlements or report.ended_lives:
            self._settlements += report.settlements
            self._ended_incarnations += [_ReceivedEnds(each, now) for each in report.ended_lives]
            self._wake_up_commit()
        elif report.states:
            self.wake()
        self._have_states_changed |= bool(report.states)
        self._may_find_replacements |= bool(report.states)
        return AgentReply(self._term, self.ledger.newest_token, wants_full)

    def _record_rejection(self, rejection: StartRejection, now: float) -> None:
        if rejection.kind == RejectionKind.UNHEALTHY:
            self._record_outcome(rejection.worker_id, False, "start rejected")
        else:
            self.health.record_rejection(rejection.worker_id, now)

    def _commit_reports(self) -> None:
        """Commit what agents have reported; everything that came meanwhile shares a command."""
        while not self._has_ended:
            self._wake_commit.wait()
            self._wake_commit = Event()
            settlements, self._settlements = self._settlements, []
            ended_incarnations, self._ended_incarnations = self._ended_incarnations, []
            # The agents report again whatever they do not see committed.
            with self._log_lost_leadership():
                for settlement in settlements:
                    self._record_outcomes(settlement)
                if settlements:
                    self.commit(settle_batch=SettleBatch(settlements))
                merged_at = self.now()
                for ended in _merged([each.as_of(merged_at) for each in ended_incarnations]):
                    self._note_lost_runs(ended.lives)
                    # The commits before it take time.
                    log_crash_notes(self.commit(end_lives=aged(ended, self.now() - merged_at)))
                    self._may_find_replacements = True
            self.wake()

    def _record_outcomes(self, settlement: SettleRuns) -> None:
        worker = self.ledger.worker_by_incarnation.get(incarnation_key(settlement.life))
        settled_up_to = worker.record.seen_end if worker else 0
        for end in settlement.ends:
            self._note_settled_run(end, incarnation_key(settlement.life))
            if end.outcome in (RunOutcome.DONE, RunOutcome.FAILED) and end.number > settled_up_to:
                succeeded = end.outcome == RunOutcome.DONE
                self._record_outcome(settlement.life.worker_id, succeeded, end.task)

    def _note_settled_run(self, end: RunEnd, key: IncarnationKey) -> None:
        """Take note whether a run that is settled had come to be."""
        task = self.ledger.find_task(end.task)
        if task is None or task.incarnation_by_run.get(end.run) != key:
            return
        if end.outcome != RunOutcome.DONE and self._placement.waiting.is_last_resort(task, end.run):
            log_event(
                "run:overdue_ended", task=end.task, run=end.run, worker=key[0],
                how=RunOutcome(end.outcome).name.lower(), without_work=round(
                    self._placement.waiting.seconds_without_work(task, self.now()), 2
                ),
            )  # fmt: skip
        if end.outcome == RunOutcome.NEVER_RAN:
            self._note_start_without_run(task, end.run, key, SETTLED)
        else:
            self._waiting_log.record_ended(task)

    def _note_lost_runs(self, lives: list[WorkerLife]) -> None:
        for life in lives:
            worker = self.ledger.worker_by_incarnation.get(incarnation_key(life))
            for task in list(worker.task_by_run.values()) if worker else ():
                self._waiting_log.record_ended(task)

    def _record_outcome(self, worker_id: str, succeeded: bool, cause: str) -> None:
        """Record an outcome and log a quarantine that it begins, with the task that failed."""
        seconds = self.health.record_outcome(worker_id, succeeded, self.now())
        if not seconds:
            return
        task = self.ledger.find_task(cause)
        log_event(
            "worker:quarantined", worker=worker_id, seconds=seconds, cause=cause,
            failures=self.health.consecutive_failures(worker_id),
            task_failures=task.failures if task else 0, failed_on=task.failed_on if task else "",
        )  # fmt: skip

    def _wake_up_commit(self) -> None:
        if not self._wake_commit.ready():
            self._wake_commit.send(None)

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
        """Log a lost leadership instead of raising it in a thread beside the loop."""
        try:
            yield
        except LeadershipLost as error:
            log_event("term:command_lost", term=self._term, why=str(error))


def _place(worker: Worker) -> tuple[str, str]:
    """Return what two incarnations of a worker never have at the same time."""
    return worker.record.life.worker_id, worker.record.address


def _sharing_an_address(workers: Iterable[Worker]) -> list[list[Worker]]:
    """Return the incarnations of each worker of which there are several at one address."""
    by_place: dict[tuple[str, str], list[Worker]] = {}
    for worker in workers:
        by_place.setdefault(_place(worker), []).append(worker)
    return [sharing for sharing in by_place.values() if len(sharing) > 1]


def _merged(ended_incarnations: list[EndLives]) -> list[EndLives]:
    """Return the same ends in as few commands as possible: each costs a round trip.

    The incarnations of one command have all crashed or none, on the same kind of evidence, and
    all have a token or none.
    """
    merged: dict[tuple, EndLives] = {}
    for each in ended_incarnations:
        evidence = each.evidence
        if each.crashed and evidence is None:
            # Agents of earlier versions do not tell, and the ledger would go by their rule.
            evidence = EndEvidence.SILENT
        key = bool(each.fencing_tokens), bool(each.crashed), evidence
        command = merged.setdefault(
            key, EndLives([], [], [], key[1], worked=[], evidence=evidence, losses=[])
        )
        command.lives += each.lives
        command.checkpoints += each.checkpoints
        command.fencing_tokens += each.fencing_tokens or []
        command.worked += each.worked or []
        command.losses += each.losses or [ContactLoss(-1, -1)] * len(each.lives)
    return list(merged.values())
