"""A control host's part in calling workers, as a follower or as the leader.

The log says which host is the agent of a worker, and under which fencing token.  The agent
starts the runs whose intents it applies, polls the worker, throttles and stops runs, and
reports what it saw to the leader, which alone commits.  Each report that the leader
answers renews the agent's permission to call workers.
"""

import math

import attrs
import eventlet
from eventlet.event import Event

from ..clock import Clock
from ..errors import PeerUnreachable, SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..registry import registry_decorator
from ..replication.service import ReplicaService
from ..scheduling.start_rate import AVERAGING_FACTOR
from ..tasks.job import IncarnationKey, Task
from ..tasks.ledger import TaskLedger
from ..tasks.state_machine import TaskStateMachine
from ..tasks.worker import Worker, incarnation_key
from ..wire.generated import ttypes
from ..wire.generated.ttypes import (
    AgentReply,
    AgentReport,
    EndLives,
    IdleRun,
    RejectionKind,
    RunAge,
    RunEnd,
    RunOutcome,
    SettleRuns,
    StartRejection,
    WorkerLife,
    WorkerState,
)
from .agent_id import new_agent_id
from .call_queue import CallQueue
from .crash_log import log_incarnation_ends
from .interference import InterferenceModel
from .lag import measure_lag
from .late_starts import LateStarts
from .loss_times import aged
from .permission import PERMISSION_SECONDS, Permission
from .placement import WorkerView
from .throttling import (
    ColocationHistory,
    baseline_utilisations,
    initial_speed_percent,
    learn_interference,
    speed_changes,
)
from .unsettled_runs import LOOK_SECONDS, UnsettledRuns
from .worker_api import StartResult, WorkerApi
from .worker_session import WorkerSession

REPORT_INTERVAL_SECONDS = 0.2
"""Longest time between two reports; the permission outlasts two that are lost."""

REPORT_DELAY_SECONDS = 0.006
"""Pause before a report with news, so that runs which end together share one."""

LEADER_CHECK_SECONDS = 0.05
"""How often an idle agent looks for a new leader to report to."""

RESEND_SECONDS = 1.0
"""Time after which ends that were reported and are not applied here are reported again."""

SETTLE_TIMEOUT_SECONDS = 1.0
"""How long a session waits for its ends to be committed before it polls again.

The poll keeps the worker's lease; the worker lists the same ends once more.
"""

MAINTENANCE_INTERVAL_SECONDS = 0.25
"""Longest time between two looks for workers to take over and for runs to stop."""

MAX_SESSIONS_AT_ONCE = 8
"""Sessions that begin before all other green threads have had a turn.

Each connects to its worker and polls it.  A new leader may have the sessions of a whole fleet to
begin, and has to send its heartbeats meanwhile.
"""

SESSION_PAUSE_SECONDS = 0.01
"""Pause after these: about what they take."""

MAX_LOGGED_RUNS = 8
"""Runs named in the log line of an incarnation's end: those that worked there least long."""

MIN_REPORTED_CHANGE = 0.02
"""Change of a baseline utilisation above which it is reported."""

TAKEOVER_SLACK_MS = 300 + int(1000 * PERMISSION_SECONDS)
"""Added to the longest lease that an earlier agent may have granted, in ms.

Covers the permission that it may still have had, and a call that it makes on resuming
after it was paused.
"""

_REJECTION_BY_RESULT = {
    StartResult.UNHEALTHY: RejectionKind.UNHEALTHY,
    StartResult.NO_CAPACITY: RejectionKind.NO_CAPACITY,
}

_HANDLER_BY_COMMAND: dict = {}
_handles_command = registry_decorator(_HANDLER_BY_COMMAND)
"""Registers what the agent does once a command of that name is applied on its host."""


class NoLeader(SavoryshelfError):
    """No leader is known, or the one that is known did not answer a report."""


@attrs.define(eq=False)
class _Settlement:
    """Ends that a session has seen, until they are applied on this host."""

    session: WorkerSession
    seen_end: int
    ends: list[RunEnd]
    is_from_poll: bool
    sent_at: float = float("-inf")
    applied: Event = attrs.field(factory=Event)

    def is_applied(self) -> bool:
        worker = self.session.worker
        return worker.record.seen_end >= self.seen_end and not any(
            (end.task, end.run) in worker.task_by_run for end in self.ends
        )

    def message(self) -> SettleRuns:
        incarnation = WorkerLife(
            self.session.incarnation.worker_id, self.session.incarnation.born_ms
        )
        return SettleRuns(incarnation, self.seen_end, self.ends, self.session.fencing_token)


@attrs.define
class _EndedIncarnation:
    """The end of an incarnation, until it is applied on this host."""

    ended_message: EndLives
    """The message as of ``ended_at``."""

    ended_at: float
    sent_at: float = float("-inf")

    def message(self) -> EndLives:
        """Return the message as of when it is sent: what it tells of time is relative to that."""
        return aged(self.ended_message, self.sent_at - self.ended_at)


class Agent:
    """The sessions with this host's workers, and the reports on them to the leader.

    ``report_to_leader`` takes an ``AgentReport`` and returns the leader's ``AgentReply``, or
    raises NoLeader.  An agent belongs to one incarnation of its process: calls of an earlier
    one may still be on their way, so the leader assigns workers anew after a restart.
    """

    takeover_slack_ms = TAKEOVER_SLACK_MS

    def __init__(
        self,
        replica: ReplicaService,
        state_machine: TaskStateMachine,
        worker_api: WorkerApi,
        clock: Clock,
        settings,
        report_to_leader,
    ):
        self._replica = replica
        self._state_machine = state_machine
        self.worker_api = worker_api
        self._clock = clock
        self._settings = settings
        self._report_to_leader = report_to_leader
        self.agent_id = new_agent_id(replica.core.replica_id)
        self.session_by_incarnation: dict[IncarnationKey, WorkerSession] = {}
        self._continued_incarnations: set[IncarnationKey] = set()
        """The incarnations that have had no other agent, and no end, since their session began."""

        self._replaced_session_by_incarnation: dict[IncarnationKey, WorkerSession] = {}
        """The sessions that ended, of incarnations of which another of this agent is to begin."""

        self.late_starts = LateStarts()
        self.start_calls = CallQueue()
        self.interference = InterferenceModel()
        self.is_leaving = False
        self._permission = Permission()
        self._had_permission = False
        self._wake_maintenance = Event()
        self._wake_report = Event()
        self._assignments_changed = True
        self._number = 0
        self._is_full_report_due = True
        self._changed_sessions: set[WorkerSession] = set()
        self._reported_state_by_session: dict[WorkerSession, WorkerState] = {}
        self._settlements: list[_Settlement] = []
        self._ended_incarnations: dict[IncarnationKey, _EndedIncarnation] = {}
        self._rejections: list[StartRejection] = []
        self._unsettled_runs = UnsettledRuns()
        self._mean_lag = 0.0
        state_machine.observer = self

    @property
    def ledger(self) -> TaskLedger:
        """Return the task ledger as applied on this host."""
        return self._state_machine.ledger

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._clock.monotonic()

    def may_call_workers(self) -> bool:
        """Return whether this host may call its workers now; checked before each call."""
        return self._permission.is_valid(self.now(), self.ledger.newest_token)

    def start(self, run_activity) -> None:
        """Run the agent's activities, each with ``run_activity`` in a green thread."""
        for activity in (
            self._maintain_sessions,
            self._send_reports,
            self._measure_lag,
            self._log_unsettled_runs,
        ):
            eventlet.spawn(run_activity, activity)

    def leave(self) -> None:
        """Ask the leader to make other hosts the agents of this one's workers."""
        self.is_leaving = True
        self._wake_up_report()

    # ------------------------------------------------------- observer of the ledger

    def command_applied(self, name: str, body, outcome) -> None:
        """Act on a command that was applied here: start runs, take workers over, and so on."""
        handler = _HANDLER_BY_COMMAND.get(name)
        if handler is not None:
            handler(self, body, outcome)

    def state_restored(self) -> None:
        """Start over under a new id: the sessions hold objects of the ledger that was replaced."""
        log_event("agent:restarts", agent=self.agent_id, sessions=len(self.session_by_incarnation))
        self.agent_id = new_agent_id(self._replica.core.replica_id)
        for key in list(self.session_by_incarnation):
            self._drop_session(key)
        self._replaced_session_by_incarnation.clear()
        self._number, self._is_full_report_due = 0, True
        self._assignments_changed = True

    @_handles_command("intend_runs")
    def _start_runs(self, body, valid_intents) -> None:
        for intent in valid_intents:
            session = self.session_by_incarnation.get(incarnation_key(intent.life))
            if session is not None and not session.is_closed:
                session.start(intent.task, intent.run)

    @_handles_command("settle_batch")
    def _confirm_settlements(self, body, outcome) -> None:
        keys = {incarnation_key(settlement.life) for settlement in body.settlements}
        remaining = []
        for settlement in self._settlements:
            session = settlement.session
            if session.worker.key in keys and settlement.is_applied():
                settlement.applied.send(None)
            else:
                remaining.append(settlement)
        self._settlements = remaining
        self._wake_up_maintenance()

    @_handles_command("note_workers")
    def _note_workers(self, body, outcome) -> None:
        for record in body.workers:
            noted = incarnation_key(record.life)
            for key, session in self.session_by_incarnation.items():
                if key[0] == noted[0] and key != noted:
                    session.check_incarnation()
        self._note_assignments(body, outcome)

    @_handles_command("end_lives")
    def _note_ended_incarnations(self, body, ends) -> None:
        if self._replica.is_leader:
            # Here, and not where it was proposed: any proposer, and an earlier leader's, count.
            log_incarnation_ends(ends)
        self._continued_incarnations -= {incarnation_key(life) for life in body.lives}
        self._note_assignments(body, ends)

    @_handles_command("assign_agents")
    def _assign_workers(self, body, outcome) -> None:
        for assignment in body.assignments:
            if assignment.agent_id != self.agent_id:
                # The other agent may grant leases of which this one does not know.
                self._continued_incarnations.discard(incarnation_key(assignment.life))
        self._note_assignments(body, outcome)

    def _note_assignments(self, body, outcome) -> None:
        self._assignments_changed = True
        self._wake_up_maintenance()

    @_handles_command("cancel_tasks")
    def _note_runs_to_stop(self, body, outcome) -> None:
        self._wake_up_maintenance()

    @_handles_command("note_weights")
    def _adopt_weights(self, body, outcome) -> None:
        self.interference.adopt_weights(body.weights)

    # -------------------------------------------------------------------- sessions

    def _maintain_sessions(self) -> None:
        while True:
            _wait(self._wake_maintenance, MAINTENANCE_INTERVAL_SECONDS)
            if self._wake_maintenance.ready():
                self._wake_maintenance = Event()
            if self._assignments_changed:
                self._assignments_changed = False
                self._update_sessions()
            self._stop_runs()
            if self._assignments_changed:
                self._wake_up_maintenance()
                self._clock.sleep(SESSION_PAUSE_SECONDS)

    def _update_sessions(self) -> None:
        """End the sessions with workers of other agents, and begin some of those that are due."""
        assigned: dict[IncarnationKey, Worker] = {
            key: worker
            for key, worker in self.ledger.worker_by_incarnation.items()
            if worker.record.agent_id == self.agent_id and not worker.has_ended
        }
        for key, session in list(self.session_by_incarnation.items()):
            worker = assigned.get(key)
            if worker is None or worker.record.fencing_token != session.fencing_token:
                self._drop_session(key)
                self._replaced_session_by_incarnation[key] = session
        replaced = self._replaced_session_by_incarnation
        for key in replaced.keys() - (assigned.keys() & self._continued_incarnations):
            del replaced[key]
        due = [key for key in assigned if key not in self.session_by_incarnation]
        for key in due[:MAX_SESSIONS_AT_ONCE]:
            session = WorkerSession(
                self, assigned[key], self._settings.lease_ms, previous=replaced.pop(key, None)
            )
            self.session_by_incarnation[key] = session
            self._continued_incarnations.add(key)
            self.state_changed(session)
        self._assignments_changed |= len(due) > MAX_SESSIONS_AT_ONCE
        self._continued_incarnations &= self.session_by_incarnation.keys() | replaced.keys()

    def _drop_session(self, key: IncarnationKey) -> None:
        session = self.session_by_incarnation.pop(key)
        session.close()
        self.worker_api.disconnect(session.incarnation)
        self._changed_sessions.discard(session)
        self._reported_state_by_session.pop(session, None)
        self._settlements = [s for s in self._settlements if s.session is not session]
        self._ended_incarnations.pop(key, None)

    def _stop_runs(self) -> None:
        for (task, run), key in list(self.ledger.runs_to_stop.items()):
            session = self.session_by_incarnation.get(key)
            if session is not None and session.is_state_known:
                session.stop(task, run)

    # ------------------------------------------------------------ called by sessions

    def settle_ends(self, session: WorkerSession, seen_end: int, ends: list[RunEnd]) -> None:
        """Report ends, and wait until they are committed and applied here.

        Only then may they be acknowledged to the worker.  Returns without that after
        ``SETTLE_TIMEOUT_SECONDS``; the next poll lists the same ends.
        """
        if session.is_closed:
            # The worker's next agent learns the same from its own poll.
            return
        for end in ends:
            _log_end(session, end)
        self._settlements = [
            s for s in self._settlements if not (s.session is session and s.is_from_poll)
        ]
        settlement = _Settlement(session, seen_end, ends, is_from_poll=True)
        self._settlements.append(settlement)
        self._wake_up_report()
        _wait(settlement.applied, SETTLE_TIMEOUT_SECONDS)

    def start_rejected(
        self, session: WorkerSession, task: str, run: int, result: StartResult
    ) -> None:
        """Report a run that the worker refused to start, so that its task can be placed again."""
        if session.is_closed:
            return
        kind = _REJECTION_BY_RESULT.get(result)
        if kind is not None:
            self._rejections.append(StartRejection(session.incarnation.worker_id, kind))
        ends = [RunEnd(task, run, RunOutcome.NEVER_RAN, "", 0)]
        self._settlements.append(_Settlement(session, 0, ends, is_from_poll=False))
        self._wake_up_report()

    def start_unanswered(self, session: WorkerSession) -> None:
        """Report a worker that did not answer a start, so that others are preferred to it.

        Only for a moment: the answer may be what was lost, so this is no failure of the worker.
        """
        if not session.is_closed:
            worker_id = session.incarnation.worker_id
            self._rejections.append(StartRejection(worker_id, RejectionKind.NO_CAPACITY))
            self.state_changed(session)

    def incarnation_ended(self, session: WorkerSession, why: str) -> None:
        """Report that an incarnation has ended, so that its runs can be started elsewhere."""
        if session.is_closed:
            return
        incarnation = WorkerLife(session.incarnation.worker_id, session.incarnation.born_ms)
        worked_ms_by_run = session.worked_ms_by_run()
        newest = sorted(worked_ms_by_run, key=worked_ms_by_run.get)[:MAX_LOGGED_RUNS]
        loss = session.contact_loss()
        log_event(
            "worker:life_over", worker=incarnation.worker_id, born=incarnation.born_ms, why=why,
            evidence=session.end_evidence.name.lower(), heard_ms=loss.heard_ms,
            unanswered_ms=loss.unanswered_ms,
            runs=len(session.worker.task_by_run), started=len(worked_ms_by_run),
            newest_worked_ms={f"{task}:{run}": worked_ms_by_run[task, run] for task, run in newest},
        )  # fmt: skip
        checkpoints = [
            RunEnd(status.task, status.run, RunOutcome.LOST, status.checkpoint, 0)
            for status in session.status_by_run.values()
            if status.checkpoint
        ]
        self._ended_incarnations[session.worker.key] = _EndedIncarnation(
            EndLives(
                [incarnation],
                checkpoints,
                [session.fencing_token],
                not session.worker.record.leaving,
                [RunAge(*run, worked_ms) for run, worked_ms in worked_ms_by_run.items()],
                session.end_evidence,
                [loss],
            ),
            self.now(),
        )  # fmt: skip
        self._wake_up_report()

    def state_changed(self, session: WorkerSession) -> None:
        """Report the state of a session as soon as possible."""
        if session.is_closed:
            # The worker's next session reports what it finds itself.
            return
        self._changed_sessions.add(session)
        self._wake_up_report()

    def poll_completed(self, session: WorkerSession, history: ColocationHistory) -> None:
        """Update the interference model, and throttle or evict runs that slow serving runs down."""
        if session.is_closed:
            return
        view = session.view()
        learn_interference(self.interference, view, history, self.now())
        session.baseline_by_image = baseline_utilisations(self.interference, view)
        self._adjust_speeds(session, view, history)
        self._report_if_changed(session)

    def _adjust_speeds(
        self, session: WorkerSession, view: WorkerView, history: ColocationHistory
    ) -> None:
        now = self.now()
        history.record_pauses(session.maybe_paused_runs(), now)
        for change in speed_changes(
            self.interference, view, session.speed_percent_by_run, history, now
        ):
            if session.is_stopping(change.task, change.run):
                continue
            if change.speed_percent is not None:
                session.set_speed(change.task, change.run, change.speed_percent)
                continue
            metrics.EVICTIONS.labels("slows a serving run").inc()
            log_event(
                "run:yields", task=change.task, run=change.run, worker=change.incarnation[0],
                strain=round(change.latency_ratio, 2), image=change.image,
            )  # fmt: skip
            session.exclude_image(change.image)
            self.state_changed(session)
            session.stop(change.task, change.run)

    def _report_if_changed(self, session: WorkerSession) -> None:
        """Report a worker that answers again at once, other changes with the next report."""
        reported = self._reported_state_by_session.get(session)
        if reported is None or reported.responsive != session.is_responsive:
            self.state_changed(session)
        elif (
            _idle_runs(reported) != session.idle_seconds_by_run().keys()
            or reported.baseline_by_image.keys() != session.baseline_by_image.keys()
            or any(
                abs(value - reported.baseline_by_image[image]) > MIN_REPORTED_CHANGE
                for image, value in session.baseline_by_image.items()
            )
        ):
            self._changed_sessions.add(session)

    def run_started(self, session: WorkerSession, task: Task, run: int) -> None:
        """Set the initial speed of a best-effort run."""
        if task.step.spec.filling:
            speed_percent = initial_speed_percent(self.interference, session.view(), task.step.spec)
            session.set_speed(task.name, run, speed_percent)

    # --------------------------------------------------------------------- reporting

    def _send_reports(self) -> None:
        reported_to, reported_at = "", float("-inf")
        while True:
            while (
                not self._wake_report.ready()
                and self.now() - reported_at < REPORT_INTERVAL_SECONDS
                and self._replica.leader_address == reported_to
            ):
                _wait(self._wake_report, LEADER_CHECK_SECONDS)
            if self._wake_report.ready():
                eventlet.sleep(REPORT_DELAY_SECONDS)
                self._wake_report = Event()
            if self._replica.leader_address != reported_to:
                reported_to = self._replica.leader_address
                self._is_full_report_due = True
            reported_at = self.now()
            self._send_report()
            self._log_permission()

    def _send_report(self) -> None:
        requested_at = self.now()
        agent_id, report = self.agent_id, self._next_report(requested_at)
        try:
            reply: AgentReply = self._report_to_leader(report)
        except (NoLeader, PeerUnreachable, ttypes.NotLeader, ttypes.Unavailable):
            # It may have arrived or not, so the next one holds all states.
            metrics.RETRIES.labels("report").inc()
            self._rejections = report.rejections + self._rejections
            self._is_full_report_due = True
            eventlet.sleep(LEADER_CHECK_SECONDS)
            return
        if agent_id != self.agent_id:
            return
        self._permission.renew(requested_at, reply.newest_token)
        if reply.wants_full:
            self._is_full_report_due = True
            self._wake_up_report()

    def _next_report(self, now: float) -> AgentReport:
        self._number += 1
        is_full, self._is_full_report_due = self._is_full_report_due, False
        sessions = list(self.session_by_incarnation.values()) if is_full else self._changed_sessions
        states = [self._state_of(session) for session in sessions]
        self._changed_sessions = set()
        due = [
            each
            for each in (*self._settlements, *self._ended_incarnations.values())
            if is_full or now - each.sent_at > RESEND_SECONDS
        ]
        for each in due:
            each.sent_at = now
        rejections, self._rejections = self._rejections, []
        return AgentReport(
            agent_id=self.agent_id,
            number=self._number,
            is_full=is_full,
            leaving=self.is_leaving,
            applied_index=self._replica.core.applied_index,
            timer_lag_seconds=self._mean_lag,
            states=states,
            settlements=[each.message() for each in due if isinstance(each, _Settlement)],
            ended_lives=[each.message() for each in due if isinstance(each, _EndedIncarnation)],
            rejections=rejections,
            weights=self.interference.take_learned_weights(),
            region=self._settings.home_region,
        )

    def _state_of(self, session: WorkerSession) -> WorkerState:
        exclusion_ms = {i: int(s * 1000) for i, s in session.excluded_images().items()}
        idle_runs = [
            IdleRun(*run, -1 if math.isinf(seconds) else int(1000 * seconds))
            for run, seconds in session.idle_seconds_by_run().items()
        ]
        state = WorkerState(
            WorkerLife(session.incarnation.worker_id, session.incarnation.born_ms),
            session.fencing_token,
            session.is_responsive,
            dict(session.baseline_by_image),
            exclusion_ms,
            session.is_fenced or session.needs_new_token,
            idle_runs,
        )
        self._reported_state_by_session[session] = state
        return state

    def _log_permission(self) -> None:
        has_permission = self.may_call_workers()
        if has_permission != self._had_permission:
            self._had_permission = has_permission
            log_event(
                "agent:permission", agent=self.agent_id, granted=has_permission,
                leader=self._replica.leader_name, workers=len(self.session_by_incarnation),
            )  # fmt: skip

    def _log_unsettled_runs(self) -> None:
        while True:
            eventlet.sleep(LOOK_SECONDS)
            sessions = [s for s in self.session_by_incarnation.values() if not s.is_closed]
            try:
                self._unsettled_runs.look(sessions, self._clock.wall_ms(), self.now())
            except Exception as error:
                # Nothing depends on these lines, so an error ends no agent.
                log_event("run:unsettled_unknown", agent=self.agent_id, why=repr(error))

    def _measure_lag(self) -> None:
        for lag in measure_lag(self._clock):
            self._mean_lag += AVERAGING_FACTOR * (lag - self._mean_lag)

    def _wake_up_report(self) -> None:
        if not self._wake_report.ready():
            self._wake_report.send(None)

    def _wake_up_maintenance(self) -> None:
        if not self._wake_maintenance.ready():
            self._wake_maintenance.send(None)


def _log_end(session: WorkerSession, end: RunEnd) -> None:
    outcome = RunOutcome(end.outcome)
    metrics.RUN_ENDS.labels(outcome.name.lower()).inc()
    if outcome is not RunOutcome.DONE:
        log_event(
            "run:ended", task=end.task, run=end.run, how=outcome.name.lower(),
            worker=session.incarnation.worker_id, number=end.number, checkpoint=end.checkpoint,
        )  # fmt: skip


def _idle_runs(state: WorkerState) -> set[tuple[str, int]]:
    """Return the runs that were reported as idle."""
    return {(each.task, each.run) for each in state.idle_runs}


def _wait(event: Event, seconds: float) -> None:
    with eventlet.Timeout(seconds, False):
        event.wait()
