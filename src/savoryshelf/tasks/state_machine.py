"""State machine of the replicated log for jobs that consist of many tasks."""

from collections.abc import Callable
from typing import Protocol

from ..outcomes import Accepted
from ..registry import registry_decorator
from ..wire import codec
from ..wire.generated.ttypes import TaskCommand
from . import snapshot
from .ledger import TaskLedger

_HANDLER_BY_COMMAND: dict[str, Callable] = {}
_handles_command = registry_decorator(_HANDLER_BY_COMMAND)


class Observer(Protocol):
    """Learns of each change of the ledger, in the thread that applies it; must not block."""

    def command_applied(self, name: str, body, outcome) -> None:
        """Take note of an applied command: its field in the union, its body, its outcome."""

    def state_restored(self) -> None:
        """Take note that a snapshot has replaced the ledger and all objects in it."""


class TaskStateMachine:
    """Applies committed commands to the task ledger.

    Deterministic: the result depends only on the state and the command.
    """

    def __init__(self):
        self.ledger = TaskLedger()
        self.observer: Observer | None = None

    def apply(self, payload: bytes):
        """Apply one encoded command and return its outcome."""
        command = codec.decode(TaskCommand, payload)
        # A wall clock may step back; the times in records must not.
        self.ledger.at_ms = max(self.ledger.at_ms, command.at_ms)
        self.ledger.behind_ms = self.ledger.at_ms - command.at_ms
        name, body = codec.sole_field(command.body)
        outcome = _HANDLER_BY_COMMAND[name](self.ledger, body)
        if self.observer is not None:
            self.observer.command_applied(name, body, outcome)
        return outcome

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return snapshot.save(self.ledger)

    def restore(self, data: bytes) -> None:
        """Replace the state by that of a snapshot."""
        self.ledger = snapshot.load(data)
        if self.observer is not None:
            self.observer.state_restored()


@_handles_command("put_manifest")
def _put_manifest(ledger: TaskLedger, manifest):
    return ledger.put_manifest(manifest)


@_handles_command("accept_tasks")
def _accept_tasks(ledger: TaskLedger, command):
    return ledger.accept(command)


@_handles_command("cancel_tasks")
def _cancel_tasks(ledger: TaskLedger, command):
    return ledger.cancel(command.job_id, bool(command.is_kept))


@_handles_command("note_workers")
def _note_workers(ledger: TaskLedger, command):
    for record in command.workers:
        ledger.upsert_worker(record)
    return Accepted()


@_handles_command("intend_runs")
def _intend_runs(ledger: TaskLedger, command):
    return ledger.record_intents(command.intents)


@_handles_command("settle_runs")
def _settle_runs(ledger: TaskLedger, command):
    ledger.settle(command.life, command.seen_end, command.ends, command.fencing_token or 0)
    return Accepted()


@_handles_command("settle_batch")
def _settle_batch(ledger: TaskLedger, command):
    for settlement in command.settlements:
        _settle_runs(ledger, settlement)
    return Accepted()


@_handles_command("end_lives")
def _end_incarnations(ledger: TaskLedger, command):
    return ledger.end_incarnations(
        command.lives, command.checkpoints, command.fencing_tokens, bool(command.crashed),
        command.worked, command.evidence, command.losses,
    )  # fmt: skip


@_handles_command("withdraw_crashes")
def _withdraw_crashes(ledger: TaskLedger, command):
    ledger.withdraw_crashes(command.lives)
    return Accepted()


@_handles_command("note_replaced")
def _note_replaced(ledger: TaskLedger, command):
    ledger.note_replaced(command.lives)
    return Accepted()


@_handles_command("give_up_tasks")
def _give_up_tasks(ledger: TaskLedger, command):
    return ledger.give_up(command.tasks)


@_handles_command("assign_agents")
def _assign_agents(ledger: TaskLedger, command):
    ledger.assign_agents(command.assignments, command.min_token)
    return Accepted()


@_handles_command("forget_jobs")
def _forget_jobs(ledger: TaskLedger, command):
    return ledger.delete_ended_jobs(command.ended_before_ms)


@_handles_command("note_weights")
def _note_weights(ledger: TaskLedger, command):
    ledger.update_weights(command.weights)
    return Accepted()
