"""The replicated state of a site, which every control replica computes from the log.

Applying a command is deterministic: the result depends only on the command and
the previous state, never on a clock or on random numbers.  Each command has one
handler, registered under the name of its field in ``CommandBody``.
"""

from collections.abc import Callable

import attrs
from cattrs.preconf.msgpack import make_converter

from ..configuration.declarations import Declarations
from ..configuration.state import ConfigurationState
from ..ledger.state import Ledger
from ..outcomes import Accepted, Refusal
from ..registry import registry_decorator
from ..targets.state import Fleet
from ..wire import codec
from ..wire.generated.ttypes import Command, OutcomeKind, WorkerStanding

_CONVERTER = make_converter()
_HANDLER_BY_COMMAND: dict[str, Callable] = {}


_handles_command = registry_decorator(_HANDLER_BY_COMMAND)


@attrs.define
class SiteState:
    """All components of the replicated state of one site; stored in snapshots."""

    configuration: ConfigurationState = attrs.field(factory=ConfigurationState)
    ledger: Ledger = attrs.field(factory=Ledger)
    fleet: Fleet = attrs.field(factory=Fleet)


class SiteStateMachine:
    """Applies committed commands to the state of the site."""

    def __init__(self):
        self.state = SiteState()
        self._cached_declarations: tuple[int, Declarations | None] = (0, None)
        self._cached_longest_lease: tuple[int, float] = (0, 0.0)

    def apply(self, payload: bytes):
        """Apply one command and return its outcome."""
        command = codec.decode(Command, payload)
        name, body = codec.sole_field(command.body)
        return _HANDLER_BY_COMMAND[name](self, body, command.at_ms)

    def snapshot(self) -> bytes:
        """Return the serialised state."""
        return _CONVERTER.dumps(self.state)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.state = _CONVERTER.loads(data, SiteState)
        self._cached_declarations = (0, None)
        self._cached_longest_lease = (0, 0.0)

    @property
    def longest_task_lease_s(self) -> float:
        """Return the longest task lease that any owner may have granted."""
        configuration = self.state.configuration
        if self._cached_longest_lease[0] != configuration.version:
            longest = configuration.longest_task_lease_s()
            self._cached_longest_lease = (configuration.version, longest)
        return self._cached_longest_lease[1]

    @property
    def declarations(self) -> Declarations | None:
        """Return the declarations in force, or None before the first configuration is applied."""
        configuration = self.state.configuration
        if self._cached_declarations[0] != configuration.version:
            self._cached_declarations = (configuration.version, configuration.declarations())
        return self._cached_declarations[1]


@_handles_command("apply_configuration")
def _apply_configuration(state_machine: SiteStateMachine, change, at_ms: int):
    return state_machine.state.configuration.apply(change, at_ms)


@_handles_command("submit_job")
def _submit_job(state_machine: SiteStateMachine, job, at_ms: int):
    declarations = state_machine.declarations
    batch_class = declarations.batch_classes.get(job.class_name) if declarations else None
    if batch_class is None:
        return Refusal("no_such_class", f"no batch class {job.class_name!r} is declared")
    ledger = state_machine.state.ledger
    return ledger.submit(job, batch_class.repeatable, batch_class.max_failures, at_ms)


@_handles_command("cancel_job")
def _cancel_job(state_machine: SiteStateMachine, cancel, at_ms: int):
    return state_machine.state.ledger.cancel(cancel.job_id, at_ms)


@_handles_command("start_attempts")
def _start_attempts(state_machine: SiteStateMachine, command, at_ms: int):
    ledger, workers = state_machine.state.ledger, state_machine.state.fleet.workers_by_id
    started = []
    for start in command.starts:
        worker = workers.get(start.worker_id)
        # Between the placement decision and this command the worker may have left
        # or restarted; the start is then dropped and the job stays queued.
        is_current = worker is not None and worker.incarnation == start.worker_incarnation
        if is_current and worker.is_schedulable and ledger.start(start, at_ms):
            started.append(start)
    return started


@_handles_command("settle_attempts")
def _settle_attempts(state_machine: SiteStateMachine, command, at_ms: int):
    ledger, workers = state_machine.state.ledger, state_machine.state.fleet.workers_by_id

    def may_have_run(outcome) -> bool:
        """Return whether a later owner than the one that reports may have started the attempt."""
        if outcome.kind != OutcomeKind.NOT_RUN or outcome.epoch is None:
            return False
        worker = workers.get(outcome.worker_id)
        return worker is None or worker.epoch != outcome.epoch

    return [
        not may_have_run(outcome) and ledger.settle(outcome, at_ms) for outcome in command.outcomes
    ]


@_handles_command("request_evictions")
def _request_evictions(state_machine: SiteStateMachine, command, at_ms: int):
    ledger = state_machine.state.ledger
    return [ledger.request_eviction(key, command.reason, at_ms) for key in command.keys]


@_handles_command("register_workers")
def _register_workers(state_machine: SiteStateMachine, command, at_ms: int):
    fleet, ledger = state_machine.state.fleet, state_machine.state.ledger
    for announcement in command.workers:
        if not command.keeps_earlier_lives:
            ended = fleet.register_restarted_worker(announcement, at_ms)
            ledger.settle_lost_worker(announcement.worker_id, ended, at_ms)
            continue
        fleet.register_worker(announcement, at_ms)
        worker = fleet.workers_by_id[announcement.worker_id]
        worker.earlier_lives = {
            incarnation: earlier
            for incarnation, earlier in worker.earlier_lives.items()
            if ledger.placed_on(worker.worker_id, incarnation)
        }
    return Accepted()


@_handles_command("change_standing")
def _change_standing(state_machine: SiteStateMachine, change, at_ms: int):
    fleet = state_machine.state.fleet
    outcome = fleet.change_standing(change, at_ms)
    if change.standing == WorkerStanding.LOST and outcome == Accepted():
        worker = fleet.workers_by_id[change.worker_id]
        state_machine.state.ledger.settle_lost_worker(worker.worker_id, worker.incarnation, at_ms)
    return outcome


@_handles_command("assign_workers")
def _assign_workers(state_machine: SiteStateMachine, command, at_ms: int):
    fleet, counts_epochs = state_machine.state.fleet, bool(command.counts_epochs)
    return [fleet.assign(assignment, counts_epochs) for assignment in command.assignments]


@_handles_command("release_worker")
def _release_worker(state_machine: SiteStateMachine, release, at_ms: int):
    return state_machine.state.fleet.release(release.worker_id, release.entry_id)


@_handles_command("register_entry")
def _register_entry(state_machine: SiteStateMachine, entry, at_ms: int):
    state_machine.state.fleet.register_entry(entry)
    return Accepted()


@_handles_command("remove_entry")
def _remove_entry(state_machine: SiteStateMachine, removal, at_ms: int):
    return state_machine.state.fleet.remove_entry(removal)


@_handles_command("expire_records")
def _expire_records(state_machine: SiteStateMachine, command, at_ms: int):
    state_machine.state.fleet.expire(command.operations_before_ms)
    return state_machine.state.ledger.expire(command.results_before_ms)
