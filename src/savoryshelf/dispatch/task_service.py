"""Requests of callers, workers and operators to the control group.

Each method answers for the whole group, or raises ``ttypes.NotLeader`` or
``ttypes.Unavailable`` if this host cannot do so.
"""

from collections.abc import Callable

import attrs

from ..clock import Clock
from ..errors import SavoryshelfError
from ..observability import metrics
from ..observability.logs import log_event
from ..outcomes import Refusal
from ..replication.membership import host_name
from ..replication.service import OutcomeUnknown, ReplicaService
from ..replication.types import NotLeading
from ..tasks.ledger import contradicted_fields
from ..tasks.manifest import find_queue
from ..tasks.state_machine import TaskStateMachine
from ..tasks.worker import Worker, incarnation_key
from ..wire import codec
from ..wire.generated import ttypes
from ..wire.generated.ttypes import (
    AcceptTasks,
    AgentAssignment,
    AssignAgents,
    CancelTasks,
    JobAnswer,
    JobAnswerKind,
    JobCall,
    JobSpec,
    JobVerb,
    Manifest,
    NoteWorkers,
    QueueSpec,
    TaskCommand,
    TaskCommandBody,
    WorkerLife,
    WorkerRecord,
)
from .admission import Occupancy
from .agent_id import replica_of
from .ignored_heartbeats import IgnoredHeartbeats

MAX_FUTURE_MS = 24 * 3600 * 1000
"""How far ahead of this host's wall clock a worker's start may be, in ms: one day.

Wall clocks of both may step by seconds or hours; a start of days ahead is no worker's, and would
make all its real incarnations earlier ones.  An incarnation that is known is heard in any case.
"""

MAX_SEQUENCE = 2**63 - 1
"""Highest sequence that a record holds; entries of earlier versions may have it."""

MAX_QUORUM_CONTACT_AGE_SECONDS = 1.0
"""Age of the last quorum contact up to which a leader answers reads, in seconds.

One election timeout.
"""

NO_ROOM_RETRY_AFTER_MS = 5000
"""When a caller may come back whose long-running job has no room, in ms.

Room comes with the ends of other long-running jobs, or when finite work needs less.
"""

TOO_MANY_CANCELS_RETRY_AFTER_MS = 10_000
"""When a caller may come back whose cancel of an unknown job was refused, in ms.

The early cancels that are too old are deleted about as often.
"""

MAX_LOGGED_AS_IGNORED = 1000
"""Number of ignored heartbeats that are remembered as logged."""

MAX_LOGGED_INCARNATIONS = 8
"""Earlier incarnations of an id named in the log line of a new one: the latest."""


class ImplausibleHeartbeat(SavoryshelfError):
    """No worker can have sent this heartbeat."""


@attrs.frozen
class WorkerHeartbeat:
    """A worker's heartbeat; the record's ``sequence`` rises with each one of an incarnation."""

    record: WorkerRecord
    clock_ms: int


class TaskService:
    """The leader's service for callers, operators and workers.

    Every replica has one; it answers only on the leader.
    """

    def __init__(self, replica: ReplicaService, state_machine: TaskStateMachine, clock: Clock):
        self._replica = replica
        self._state_machine = state_machine
        self._clock = clock
        self._sequence_by_incarnation: dict[tuple[str, int], int] = {}
        self._offset_by_incarnation: dict[tuple[str, int], int] = {}
        """Added to the sequences of workers that were believed against a recorded one."""

        self._ignored = IgnoredHeartbeats()
        self._logged_as_ignored: dict[tuple, None] = {}
        """What has been logged as ignored, oldest first: a worker repeats it each second."""

        self.on_change = lambda: None
        """Called after commands that may give the leader's term work to do."""

        self.occupancy_without_room: Callable[[QueueSpec, JobSpec], Occupancy | None] = (
            lambda queue, spec: None
        )
        """Returns why the leader's term has no room for a job, or None."""

        self._proposed_job_ids: set[str] = set()
        """Jobs whose acceptance was proposed here, and may yet be committed."""

    # ------------------------------------------------------------------------ callers

    def job_call(self, call: JobCall) -> JobAnswer:
        """Answer a caller's request about a job or a queue."""
        return _HANDLER_BY_VERB[call.verb](self, call)

    def submit(self, call: JobCall) -> JobAnswer:
        """Accept a job durably; idempotent, so a resend is accepted while its queue is there."""
        self._require_recent_quorum_contact()
        ledger = self._state_machine.ledger
        job_id = job_id_from_path(call.path)
        if job_id in ledger.job_by_id:
            if find_queue(ledger.manifest, call.host, call.path) is None:
                return self._no_queue(call)
            return JobAnswer(JobAnswerKind.ACCEPTED, reason="resend")
        if job_id in ledger.early_cancels:
            return self._cancelled_before(call)
        refusal = self._refuse_without_room(call, job_id)
        if refusal is not None:
            return refusal
        self._proposed_job_ids.add(job_id)
        outcome = self._commit(accept_tasks=AcceptTasks(job_id, call.host, call.path, call.spec))
        self._proposed_job_ids.discard(job_id)
        if isinstance(outcome, Refusal):
            metrics.REFUSALS.labels(outcome.reason).inc()
            if outcome.reason == "cancelled":
                return self._cancelled_before(call)
            return self._no_queue(call)
        tasks = sum(step.count for step in call.spec.steps)
        log_event(
            "job:accepted", job=job_id, trace=call.trace_id, tasks=tasks,
            manifest=self._state_machine.ledger.manifest.version,
        )  # fmt: skip
        self.on_change()
        return JobAnswer(JobAnswerKind.ACCEPTED)

    @staticmethod
    def _cancelled_before(call: JobCall) -> JobAnswer:
        job_id = job_id_from_path(call.path)
        log_event("job:cancelled_before", job=job_id, trace=call.trace_id)
        return JobAnswer(
            JobAnswerKind.CANCELLED, reason="not run: it was cancelled before it was handed in"
        )

    def _refuse_without_room(self, call: JobCall, job_id: str) -> JobAnswer | None:
        """Refuse a job that has no room, unless it is or may have been accepted already."""
        ledger = self._state_machine.ledger
        queue = find_queue(ledger.manifest, call.host, call.path)
        if queue is None or self.occupancy_without_room(queue, call.spec) is None:
            return None
        # Another leader may have accepted it.
        self.confirm_leadership()
        occupancy = self.occupancy_without_room(queue, call.spec)
        may_be_accepted = job_id in self._proposed_job_ids or job_id in ledger.job_by_id
        if occupancy is None or may_be_accepted:
            return None
        metrics.REFUSALS.labels("no_room").inc()
        log_event(
            "job:refused", job=job_id, trace=call.trace_id, queue=queue.name,
            tasks=sum(step.count for step in call.spec.steps),
            long_running=occupancy.long_running, kept=round(occupancy.kept),
            total=occupancy.total,
        )  # fmt: skip
        return JobAnswer(
            JobAnswerKind.REFUSED, retry_after_ms=NO_ROOM_RETRY_AFTER_MS,
            reason="not run: finite work needs the room that is left",
        )  # fmt: skip

    def read(self, call: JobCall) -> JobAnswer:
        """Return a job's state."""
        self._require_recent_quorum_contact()
        ledger = self._state_machine.ledger
        if find_queue(ledger.manifest, call.host, call.path) is None:
            return self._no_queue(call)
        job = ledger.job_by_id.get(job_id_from_path(call.path))
        if job is None:
            log_event("job:unknown", job=job_id_from_path(call.path), trace=call.trace_id)
            return JobAnswer(JobAnswerKind.GONE)
        return JobAnswer(JobAnswerKind.STATE, state=job.state.value)

    def cancel(self, call: JobCall) -> JobAnswer:
        """Cancel a job durably, also one that is not known yet: it is refused if it comes."""
        self._require_recent_quorum_contact()
        ledger = self._state_machine.ledger
        if find_queue(ledger.manifest, call.host, call.path) is None:
            return self._no_queue(call)
        job_id = job_id_from_path(call.path)
        outcome = self._commit(cancel_tasks=CancelTasks(job_id, is_kept=True))
        refused = isinstance(outcome, Refusal)
        log_event("job:cancelled", job=job_id, trace=call.trace_id, known=not refused)
        if refused and outcome.reason == "too_many_cancels":
            metrics.REFUSALS.labels(outcome.reason).inc()
            return JobAnswer(
                JobAnswerKind.REFUSED, retry_after_ms=TOO_MANY_CANCELS_RETRY_AFTER_MS,
                reason="too many unknown submissions were cancelled",
            )  # fmt: skip
        self.on_change()
        if refused:
            return JobAnswer(JobAnswerKind.GONE)
        return JobAnswer(JobAnswerKind.STATE, state=ledger.job_by_id[job_id].state.value)

    def count(self, call: JobCall) -> JobAnswer:
        """Return how many jobs of a queue have had no task started."""
        self._require_recent_quorum_contact()
        ledger = self._state_machine.ledger
        queue = find_queue(ledger.manifest, call.host, call.path)
        if queue is None:
            return self._no_queue(call)
        waiting = ledger.queued_job_count(queue.name, self._clock.wall_ms())
        return JobAnswer(JobAnswerKind.COUNTED, waiting=waiting)

    def _no_queue(self, call: JobCall) -> JobAnswer:
        version = self._state_machine.ledger.manifest.version
        if version < 0:
            raise ttypes.Unavailable("no manifest is known yet", False)
        log_event(
            "queue:unknown", host=call.host, path=call.path, trace=call.trace_id, manifest=version
        )
        return JobAnswer(JobAnswerKind.NO_QUEUE)

    # ---------------------------------------------------------------------- operators

    def put_manifest(self, manifest: Manifest) -> int:
        """Apply a manifest durably if its version is higher; return the version in force."""
        current_version = self._state_machine.ledger.manifest.version
        if not self._replica.is_leader or manifest.version > current_version:
            self._commit(put_manifest=manifest)
        else:
            self.confirm_leadership()
        in_force = self._state_machine.ledger.manifest.version
        log_event(
            "manifest:put", version=manifest.version, held_before=current_version,
            in_force=in_force, queues=len(manifest.queues),
        )  # fmt: skip
        self.on_change()
        return in_force

    def manifest(self) -> Manifest:
        """Return the manifest in force by a linearizable read; raises NotLeader elsewhere."""
        self.confirm_leadership()
        manifest = self._state_machine.ledger.manifest
        log_event("manifest:read", version=manifest.version)
        return manifest

    # ------------------------------------------------------------------------ workers

    def heartbeat(self, heartbeat: WorkerHeartbeat) -> str:
        """Process a worker's heartbeat; return once any change that it reports is durable.

        Returns the name of the host that calls the worker, or an empty string.  A heartbeat
        that is out of order, or from an incarnation before the newest that is not known or has
        ended, is ignored, unless its worker goes on to send them.  So is one that brings in a
        service that no manifest names, until one does, and one that contradicts what is fixed
        in an incarnation that has not ended.  One without a change is answered by every host in
        contact with the leader.  Raises ImplausibleHeartbeat.
        """
        record = heartbeat.record
        key = incarnation_key(record.life)
        known = self._state_machine.ledger.worker_by_incarnation.get(key)
        if known is None and key[1] > self._clock.wall_ms() + MAX_FUTURE_MS:
            raise ImplausibleHeartbeat(f"born: {key[1]} is more than a day ahead")
        sequence = record.sequence
        record.sequence = min(MAX_SEQUENCE, sequence + self._offset_by_incarnation.get(key, 0))
        newest_here = self._sequence_by_incarnation.get(key, -1)
        if known is not None and not known.has_ended and _is_unchanged(known.record, record):
            self._require_recent_leader_contact()
            # Heartbeats sent before this one have nothing to say any more.
            self._sequence_by_incarnation[key] = max(newest_here, record.sequence)
            return _agent_host(known.record)
        if not self._replica.is_leader and record.sequence <= newest_here:
            if not self._is_persistent(record, sequence):
                return _agent_host(known.record) if known else ""
            self._sequence_by_incarnation[key] = sequence
        self._require_recent_quorum_contact()
        if known is not None and known.has_ended and known.record.leaving:
            self._log_ignored(record, "this life has left and ended")
            return ""
        if self._has_unknown_service(record, known):
            self._log_ignored(record, "no manifest names its service")
            return _agent_host(known.record) if known else ""
        if known is None and not key[1] and self._later_incarnations(record.life):
            # Calls to it would reach any of them.
            self._log_ignored(record, "it lacks its start, which other lives of this id have told")
            return ""
        newest = max(newest_here, known.record.sequence or 0 if known else -1)
        is_live = known is not None and not known.has_ended
        is_gone = not is_live and self._is_earlier_incarnation(record.life)
        is_contrary = is_live and bool(contradicted_fields(known.record, record))
        if is_contrary and not self._is_correction(known, record, sequence):
            if record.draining and not known.record.draining:
                # It may be the worker's own, which relies on the acknowledgement.
                self._note_draining(known)
            return _agent_host(known.record)
        if record.sequence <= newest or is_gone:
            # What corrects a record has been found to be of a worker that lives.
            if not is_contrary and not self._is_believed_again(record, sequence, is_live):
                log_event("heartbeat:stale", worker=key[0], sequence=sequence, newest=newest)
                return _agent_host(known.record) if known else ""
            record.sequence = min(MAX_SEQUENCE, max(record.sequence, newest + 1))
            self._offset_by_incarnation[key] = record.sequence - sequence
            log_event("heartbeat:believed_again", worker=key[0], sequence=sequence, newest=newest)
        self._commit(note_workers=NoteWorkers([record]))
        noted = self._state_machine.ledger.worker_by_incarnation[key].record
        if contradicted_fields(noted, record):
            # Another record of this incarnation was committed first.
            self._log_ignored(record, "contradicts a record of the same moment")
            return _agent_host(noted)
        newest_here = self._sequence_by_incarnation.get(key, -1)
        self._sequence_by_incarnation[key] = max(newest_here, record.sequence)
        log_event("worker:noted", worker=key[0], born=key[1], draining=record.draining)
        if known is None:
            self._log_restart(record.life)
        self.on_change()
        return _agent_host(record)

    def leave(self, worker_id: str) -> None:
        """Process a worker's announced shutdown, which ends its runs when it exits.

        What runs there may go on for a while: its lease is waited out.  One that is taken for
        none changes nothing: whatever drains gets no more runs.
        """
        self._require_recent_quorum_contact()
        worker = self._incarnation_that_leaves(worker_id)
        if worker is not None and not worker.record.leaving:
            self._note_draining(worker, leaving=True)
        born_ms = worker.record.life.born_ms if worker is not None else None
        log_event("worker:leaves", worker=worker_id, born=born_ms)
        self.on_change()

    def _note_draining(self, worker: Worker, leaving: bool = False) -> None:
        """Commit that an incarnation drains, or leaves, and nothing else of its record."""
        record = codec.decode(WorkerRecord, codec.encode(worker.record))
        record.draining, record.leaving = True, leaving
        # It corrects nothing.
        record.fencing_token = 0
        self._commit(note_workers=NoteWorkers([record]))

    def _incarnation_that_leaves(self, worker_id: str) -> Worker | None:
        """Return the incarnation that a ``leave`` comes from, or None if that is not certain.

        It names none and may be late.  A worker reports that it drains before it leaves, so one
        that ended without that, in a crash, sends none; any other incarnation may have sent it.
        """
        possible = [
            worker
            for key, worker in self._state_machine.ledger.worker_by_incarnation.items()
            if key[0] == worker_id and (worker.record.draining or not worker.has_ended)
        ]
        if len(possible) != 1 or possible[0].has_ended or not possible[0].record.draining:
            return None
        return possible[0]

    def _has_unknown_service(self, record: WorkerRecord, known: Worker | None) -> bool:
        """Return whether a heartbeat would bring in a service that the manifest does not name.

        An incarnation that is known keeps its service: its runs have to be stopped, and their
        ends noted.
        """
        manifest = self._state_machine.ledger.manifest
        if manifest.version < 0 or (known and known.record.service_name == record.service_name):
            return False
        return all(service.name != record.service_name for service in manifest.services)

    def _log_ignored(self, record: WorkerRecord, why: str) -> None:
        """Log that a heartbeat is ignored as one of another writer: once for what it says."""
        line = incarnation_key(record.life), record.service_name, record.address, why
        if line in self._logged_as_ignored:
            return
        while len(self._logged_as_ignored) >= MAX_LOGGED_AS_IGNORED:
            del self._logged_as_ignored[next(iter(self._logged_as_ignored))]
        self._logged_as_ignored[line] = None
        log_event(
            "heartbeat:ignored", worker=record.life.worker_id, born=record.life.born_ms,
            service=record.service_name, address=record.address, why=why,
        )  # fmt: skip

    def _is_correction(self, known: Worker, record: WorkerRecord, sequence: int) -> bool:
        """Return whether a record corrects that of a live incarnation, which it contradicts.

        It does so if its sender goes on for long: the known one was another writer's then.  The
        record is marked for the ledger.  Another address is never taken before the incarnation has
        ended: the runs were sent to the recorded one, so calls there reach this one or none.
        """
        fields = contradicted_fields(known.record, record)
        self._log_ignored(record, f"contradicts the record of this life: {', '.join(fields)}")
        if not self._is_persistent(record, sequence):
            return False
        if record.address == known.record.address:
            record.fencing_token = known.record.fencing_token
            return True
        self._poll_if_idle(known)
        return False

    def _poll_if_idle(self, worker: Worker) -> None:
        """Have a worker without runs called at its recorded address: its session would not do so.

        A new token makes a new session, which polls at once, and ends the
        incarnation if nobody answers.
        """
        agent_id = worker.record.agent_id
        if agent_id and not worker.task_by_run:
            assignment = AgentAssignment(worker.record.life, agent_id)
            self._commit(assign_agents=AssignAgents([assignment], 0))

    def _is_persistent(self, record: WorkerRecord, sequence: int) -> bool:
        """Count an ignored heartbeat; return whether its sender goes on for long."""
        sender = (
            incarnation_key(record.life), record.address, record.service_name,
            record.failure_domain, record.rack, tuple(record.labels),
        )  # fmt: skip
        return self._ignored.is_persistent(sender, sequence, self._clock.monotonic())

    def _is_believed_again(self, record: WorkerRecord, sequence: int, is_live: bool) -> bool:
        """Return whether a heartbeat that is out of order has to be one of a worker that lives.

        With ``is_live``, its incarnation has not ended, so a later one does not speak against it.
        """
        if not is_live and self._has_live_successor(record.life):
            return False
        return self._is_persistent(record, sequence)

    def _is_earlier_incarnation(self, incarnation: WorkerLife) -> bool:
        if incarnation_key(incarnation) in self._offset_by_incarnation:
            # It was believed against a later one that has ended.
            return self._has_live_successor(incarnation)
        return bool(self._later_incarnations(incarnation))

    def _has_live_successor(self, incarnation: WorkerLife) -> bool:
        return any(not worker.has_ended for worker in self._later_incarnations(incarnation))

    def _later_incarnations(self, incarnation: WorkerLife) -> list[Worker]:
        return [
            worker
            for key, worker in self._state_machine.ledger.worker_by_incarnation.items()
            if key[0] == incarnation.worker_id and key[1] > incarnation.born_ms
        ]

    def _log_restart(self, incarnation: WorkerLife) -> None:
        """Log a new incarnation beside others that have not ended: it is no evidence of their end.

        The agents of those incarnations look, and only what they find ends one.
        """
        earlier = sorted(
            key[1]
            for key, worker in self._state_machine.ledger.worker_by_incarnation.items()
            if key[0] == incarnation.worker_id
            and key[1] < incarnation.born_ms
            and not worker.has_ended
        )
        if earlier:
            log_event(
                "worker:restarted", worker=incarnation.worker_id, born=incarnation.born_ms,
                earlier=earlier[-MAX_LOGGED_INCARNATIONS:],
            )  # fmt: skip

    # --------------------------------------------------------------------- leadership

    def confirm_leadership(self) -> None:
        """Return once a quorum has confirmed this leader and all committed entries are applied.

        Raises NotLeader if this host does not lead.
        """
        try:
            self._replica.confirm_leadership()
        except NotLeading:
            raise self._not_leader() from None

    def _require_recent_quorum_contact(self) -> None:
        core = self._replica.core
        if not self._replica.is_leader:
            raise self._not_leader()
        if (
            core.seconds_since_quorum_contact(self._clock.monotonic())
            > MAX_QUORUM_CONTACT_AGE_SECONDS
        ):
            raise ttypes.Unavailable(
                f"no majority has confirmed this leader within {MAX_QUORUM_CONTACT_AGE_SECONDS} s",
                False,
            )

    def _require_recent_leader_contact(self) -> None:
        """Raise unless the applied state is at most a moment behind that of the leader."""
        if self._replica.is_leader:
            self._require_recent_quorum_contact()
            return
        age = self._replica.core.seconds_since_leader_contact(self._clock.monotonic())
        if age > MAX_QUORUM_CONTACT_AGE_SECONDS:
            raise ttypes.Unavailable(
                f"no message from a leader within {MAX_QUORUM_CONTACT_AGE_SECONDS} s", False
            )

    def _not_leader(self) -> ttypes.NotLeader:
        return ttypes.NotLeader(self._replica.leader_address, self._replica.leader_name)

    def _commit(self, **body):
        command = TaskCommand(self._clock.wall_ms(), TaskCommandBody(**body))
        try:
            return self._replica.propose(codec.encode(command))
        except NotLeading:
            raise self._not_leader() from None
        except OutcomeUnknown as error:
            raise ttypes.Unavailable(str(error), True) from None


_HANDLER_BY_VERB = {
    JobVerb.SUBMIT: TaskService.submit,
    JobVerb.READ: TaskService.read,
    JobVerb.CANCEL: TaskService.cancel,
    JobVerb.COUNT: TaskService.count,
}


def job_id_from_path(path: str) -> str:
    """Return the last part of a path, which names the job."""
    return path.rpartition("/")[2]


def _agent_host(record: WorkerRecord) -> str:
    return host_name(replica_of(record.agent_id)) if record.agent_id else ""


def _is_unchanged(known: WorkerRecord, announced: WorkerRecord) -> bool:
    """Return whether a heartbeat says nothing new about a worker."""
    return all(getattr(known, name) == getattr(announced, name) for name in _ANNOUNCED_FIELDS)


_ANNOUNCED_FIELDS = (
    "service_name", "address", "failure_domain", "rack", "labels", "millicores", "memory_mb",
    "accelerators", "draining",
)  # fmt: skip
"""What a worker says of itself; the other fields of its record are control's own."""
