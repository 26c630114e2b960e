"""The calls that a control host serves for entry hosts, callers and operators.

Every method either answers for the whole group or raises: commands are committed
to the replicated log, and reads first confirm the leadership with a quorum.  A
replica that does not lead raises ``NotLeader`` with the leader's address, if known.
"""

import eventlet

from ..clock import Clock
from ..leases import ENTRY_LEASE_SECONDS
from ..ledger.state import Job, JobState
from ..outcomes import Refusal
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..wire import codec
from ..wire.generated import ttypes
from ..wire.generated.ttypes import Command, CommandBody, WorkerStanding
from .feasibility import explain_infeasibility
from .sessions import EntrySession, EntrySessions, attempt_id
from .state import SiteStateMachine
from .views import VIEWS

MAX_SYNC_WAIT_SECONDS = 2.0
MAX_JOB_WAIT_SECONDS = 30.0


class SiteService:
    """Serves the calls of one site on its control leader."""

    def __init__(self, replica: ReplicaService, state_machine: SiteStateMachine, clock: Clock):
        self.replica = replica
        self.state_machine = state_machine
        self.clock = clock
        self.sessions = EntrySessions(clock.monotonic())
        self._is_stopping = False

    # ------------------------------------------------------------------ helpers

    def commit(self, **body):
        """Commit the command passed under its field name in ``CommandBody``; return its outcome.

        Raises Unavailable with an unknown outcome if it may or may not be committed later.
        """
        command = Command(self.clock.wall_ms(), CommandBody(**body))
        try:
            return self.replica.propose(codec.encode(command))
        except NotLeading:
            raise self.not_leader() from None
        except OutcomeUnknown as error:
            raise ttypes.Unavailable(str(error), True) from None

    def confirm_leadership(self) -> None:
        """Return once a quorum has confirmed leadership and all committed entries are applied."""
        try:
            self.replica.confirm_leadership()
        except NotLeading:
            raise self.not_leader() from None

    def not_leader(self) -> ttypes.NotLeader:
        """Return the error that carries the leader's address and name, if known."""
        return ttypes.NotLeader(self.replica.leader_address, self.replica.leader_name)

    def _require_leading(self) -> None:
        if not self.replica.is_leader:
            raise self.not_leader()

    # -------------------------------------------------------------- entry hosts

    def sync(self, request: ttypes.SyncRequest) -> ttypes.SyncReply:
        """Record an entry host's report; return its renewed lease and its start and stop orders."""
        self._require_leading()
        session = self.sessions.record_sync(request, self.clock.monotonic())
        if session is None:
            raise ttypes.Unavailable(f"entry host {request.entry_id} is being removed", False)
        self._register_entry(request)
        self._register_workers(request.announcements)
        self._record_standings(request.notes)
        if request.leaving:
            self._remove_leaving_entry(request)
        self._wait_for_orders(request, session)
        # Confirmed last, because the reply renews a lease: a leader that was deposed
        # during the wait must not renew any.
        self.confirm_leadership()
        self._require_registered(request)
        return self._sync_reply(request, session)

    def _require_registered(self, request: ttypes.SyncRequest) -> None:
        """Raise Unavailable if another process has registered under the name meanwhile.

        The reply lists what the name owns, under epochs that only that process may use.
        """
        registered = self.state_machine.state.fleet.entries_by_id.get(request.entry_id)
        incarnation = registered.incarnation if registered is not None else ""
        if not request.leaving and incarnation != request.incarnation:
            raise ttypes.Unavailable(f"entry host {request.entry_id} was replaced", False)

    def _register_entry(self, request: ttypes.SyncRequest) -> None:
        registered = self.state_machine.state.fleet.entries_by_id.get(request.entry_id)
        if registered is not None and registered.incarnation == request.incarnation:
            return
        self.commit(
            register_entry=ttypes.RegisterEntry(
                request.entry_id,
                request.incarnation,
                request.address,
                request.http_url,
                request.failure_domain,
            )
        )

    def _register_workers(self, announcements: list[ttypes.WorkerAnnouncement]) -> None:
        workers = self.state_machine.state.fleet.workers_by_id
        changed = []
        for announced_worker in announcements:
            registered = workers.get(announced_worker.worker_id)
            if registered is None or not registered.ignores(announced_worker):
                changed.append(announced_worker)
        if changed:
            self.commit(register_workers=ttypes.RegisterWorkers(changed, True))

    def settle(self, outcomes: list[ttypes.AttemptOutcome]) -> None:
        """Commit the outcomes of ended attempts; returns once they are durable."""
        self._require_leading()
        self.commit(settle_attempts=ttypes.SettleAttempts(outcomes))

    def _record_standings(self, notes: list[ttypes.WorkerNote]) -> None:
        for note in notes:
            worker = self.state_machine.state.fleet.workers_by_id.get(note.worker_id)
            if worker is None or worker.epoch != note.epoch:
                continue
            if note.lease_lapsed:
                self._commit_standing(note, WorkerStanding.LOST)
            elif note.leaving and worker.standing == WorkerStanding.ACTIVE:
                self._commit_standing(note, WorkerStanding.LEAVING)

    def _commit_standing(self, note: ttypes.WorkerNote, standing: WorkerStanding) -> None:
        self.commit(
            change_standing=ttypes.ChangeStanding("", note.worker_id, standing, note.incarnation)
        )

    def _remove_leaving_entry(self, request: ttypes.SyncRequest) -> None:
        self.commit(remove_entry=ttypes.RemoveEntry(request.entry_id, request.incarnation))

    def _wait_for_orders(self, request: ttypes.SyncRequest, session: EntrySession) -> None:
        wait_seconds = min(max(request.wait_seconds, 0.0), MAX_SYNC_WAIT_SECONDS)
        deadline = self.clock.monotonic() + wait_seconds
        while not self._has_updates(request, session):
            remaining = deadline - self.clock.monotonic()
            if remaining <= 0 or not self._wait_for_change(remaining):
                return

    def _wait_for_change(self, seconds: float) -> bool:
        """Wait until log entries are applied; return whether that happened within ``seconds``.

        Returns False at once when the process stops.
        """
        if self._is_stopping:
            return False
        watcher = self.replica.next_apply_event()
        with eventlet.Timeout(seconds, False):
            watcher.wait()
            return not self._is_stopping
        return False

    def end_waits(self) -> None:
        """Answer the calls that wait for a change, and let no later call wait."""
        self._is_stopping = True
        self.replica.send_apply_events()

    def _has_updates(self, request: ttypes.SyncRequest, session: EntrySession) -> bool:
        state = self.state_machine.state
        if request.leaving or not session.has_full_report:
            return True
        if state.configuration.version != request.configuration_version:
            return True
        if state.fleet.assignment_version != request.assignment_version:
            return True
        return bool(self._starts(session) or self._stops(session))

    def _sync_reply(self, request, session: EntrySession) -> ttypes.SyncReply:
        state = self.state_machine.state
        placed = self._placed_for(session)
        session.retain_only(
            {(job.job_id, job.attempt) for job in placed},
            {worker.worker_id for worker in state.fleet.owned_by(session.entry_id)},
        )
        reply = ttypes.SyncReply(
            lease_ms=int(ENTRY_LEASE_SECONDS * 1000),
            configuration_version=state.configuration.version,
            assignment_version=state.fleet.assignment_version,
            starts=self._starts(session),
            stops=self._stops(session),
            peers=self._peers(request.entry_id),
            leader_term=self.replica.core.term,
            wants_all=not session.has_full_report,
        )
        if state.configuration.version != request.configuration_version:
            reply.configuration = state.configuration.document
        if state.fleet.assignment_version != request.assignment_version:
            reply.owned = [
                ttypes.OwnedWorker(
                    worker.announcement(),
                    worker.epoch,
                    worker.standing,
                    self.state_machine.longest_task_lease_s,
                )
                for worker in state.fleet.owned_by(request.entry_id)
            ]
        return reply

    def _placed_for(self, session: EntrySession) -> list[Job]:
        if not session.has_full_report:
            return []
        state = self.state_machine.state
        return [
            job
            for worker in state.fleet.owned_by(session.entry_id)
            for job in state.ledger.placed_on(worker.worker_id, worker.incarnation)
        ]

    def _starts(self, session: EntrySession) -> list[ttypes.StartOrder]:
        return [
            self._start_order(job)
            for job in self._placed_for(session)
            if (job.job_id, job.attempt) not in session.acknowledged_starts
        ]

    def _start_order(self, job: Job) -> ttypes.StartOrder:
        batch_class = self.state_machine.declarations.batch_classes.get(job.class_name)
        return ttypes.StartOrder(
            key=ttypes.AttemptKey(job.job_id, job.attempt, 0),
            worker_id=job.worker_id,
            class_name=job.class_name,
            body=job.body,
            checkpoint_id=job.checkpoint_id or None,
            repeatable=job.repeatable,
            cores=batch_class.cores if batch_class else 0.0,
            memory_mb=batch_class.memory_mb if batch_class else 0,
            accelerators=batch_class.accelerators if batch_class else 0,
            worker_incarnation=job.worker_incarnation,
            trace_id=job.trace_id,
        )

    def _stops(self, session: EntrySession) -> list[ttypes.StopOrder]:
        stopping_states = (JobState.EVICTING, JobState.CANCELLING)
        orders = []
        for job in self._placed_for(session):
            key = ttypes.AttemptKey(job.job_id, job.attempt, 0)
            if job.state in stopping_states and attempt_id(key) not in session.acknowledged_stops:
                checkpoint = job.state is JobState.EVICTING
                reason = job.story[-1].detail
                orders.append(ttypes.StopOrder(key, job.worker_id, checkpoint, reason))
        return orders

    def _peers(self, entry_id: str) -> list[ttypes.EntryPeer]:
        entries = self.state_machine.state.fleet.entries_by_id
        return [
            ttypes.EntryPeer(s.entry_id, entries[s.entry_id].address, s.free_slots)
            for s in self.sessions.by_id.values()
            if s.entry_id != entry_id and s.entry_id in entries and not s.is_leaving
        ]

    # ------------------------------------------------------------------ callers

    def submit(self, job: ttypes.SubmitJob) -> ttypes.SubmitReply:
        """Accept a job; returns once it is durable on a majority of the control replicas."""
        self._require_leading()
        if job.job_id not in self.state_machine.state.ledger.by_id:
            self._check_submittable(job)
        outcome = self._accepted_or_raise(self.commit(submit_job=job))
        stored_job = self.state_machine.state.ledger.by_id[job.job_id]
        return ttypes.SubmitReply(job.job_id, outcome.duplicate, stored_job.state.value)

    def _check_submittable(self, job: ttypes.SubmitJob) -> None:
        declarations = self.state_machine.declarations
        if declarations is None:
            raise ttypes.Unavailable("no configuration is in force yet", False)
        team = declarations.teams.get(job.team)
        if team is None:
            raise ttypes.Refused("no_such_team", f"no team {job.team!r} is declared")
        queued = sum(
            1
            for queued_job in self.state_machine.state.ledger.queued()
            if queued_job.team == job.team
        )
        if queued >= team.max_queued:
            raise ttypes.Refused(
                "team_queue_full",
                f"team {job.team} has {queued} queued jobs; its max_queued is {team.max_queued}",
            )
        batch_class = declarations.batch_classes.get(job.class_name)
        if batch_class is not None:
            infeasibility = explain_infeasibility(
                batch_class, declarations.limits, self.state_machine.state.fleet
            )
            if infeasibility:
                raise ttypes.Refused("never_fits", infeasibility)

    def cancel(self, team: str, job_id: str) -> ttypes.JobView:
        """Cancel a job of the team; ``*`` as the team, which operators pass, matches every job."""
        self._require_leading()
        self._job_of_team(team, job_id)
        self._accepted_or_raise(self.commit(cancel_job=ttypes.CancelJob(job_id)))
        return self._job_view(self._job_of_team(team, job_id))

    def job(self, team: str, job_id: str, wait_seconds: float) -> ttypes.JobView:
        """Return a job once it has ended, or in its current state after ``wait_seconds``."""
        self._require_leading()
        deadline = self.clock.monotonic() + min(max(wait_seconds, 0.0), MAX_JOB_WAIT_SECONDS)
        while True:
            remaining = deadline - self.clock.monotonic()
            job = self.state_machine.state.ledger.by_id.get(job_id)
            if job is None or job.is_ended or remaining <= 0:
                break
            if not self._wait_for_change(remaining):
                break
        self.confirm_leadership()
        return self._job_view(self._job_of_team(team, job_id))

    def _job_of_team(self, team: str, job_id: str) -> Job:
        job = self.state_machine.state.ledger.by_id.get(job_id)
        if job is None or team not in ("*", job.team):
            self.confirm_leadership()
            raise ttypes.Refused("no_such_job", f"no job {job_id} of team {team} is known")
        return job

    @staticmethod
    def _job_view(job: Job) -> ttypes.JobView:
        events = "\n".join(f"{e.at_ms} {e.event} {e.detail}".rstrip() for e in job.story)
        return ttypes.JobView(
            job.job_id,
            job.team,
            job.class_name,
            job.state.value,
            job.attempt,
            job.reason,
            job.result,
            events,
        )

    # ---------------------------------------------------------------- operators

    def apply(self, change: ttypes.ApplyConfiguration) -> ttypes.ApplyReply:
        """Apply a configuration if it is based on the version in force."""
        self._require_leading()
        applied = self._accepted_or_raise(self.commit(apply_configuration=change))
        return ttypes.ApplyReply(applied.version, applied.duplicate)

    def change_standing(self, change: ttypes.ChangeStanding) -> None:
        """Drain a worker, or return it to service."""
        self._require_leading()
        self._accepted_or_raise(self.commit(change_standing=change))

    def view(self, name: str, argument: str) -> str:
        """Return an operators' view as JSON; it reflects everything committed before the call."""
        self._require_leading()
        self.confirm_leadership()
        make_view = VIEWS.get(name)
        if make_view is None:
            raise ttypes.Refused(
                "no_such_view", f"no view {name!r}; available views: {sorted(VIEWS)}"
            )
        return make_view(self, argument)

    @staticmethod
    def _accepted_or_raise(outcome):
        if isinstance(outcome, Refusal):
            raise ttypes.Refused(outcome.reason, outcome.detail)
        return outcome
