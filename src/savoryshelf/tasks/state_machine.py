"""The state machine behind the replicated log of a group that runs jobs of many tasks."""

from collections.abc import Callable

from ..outcomes import Accepted
from ..registry import registering
from ..wire import codec
from ..wire.generated.ttypes import TaskCommand
from . import snapshot
from .ledger import TaskLedger

_APPLIERS: dict[str, Callable] = {}
_applies = registering(_APPLIERS)


class TaskMachine:
    """Applies commands to the ledger; deterministic."""

    def __init__(self):
        self.ledger = TaskLedger()

    def apply(self, payload: bytes):
        """Apply one command and return its outcome."""
        command = codec.decode(TaskCommand, payload)
        # Wall clocks step; records must not grow younger when one does.
        self.ledger.at_ms = max(self.ledger.at_ms, command.at_ms)
        name, body = codec.sole_field(command.body)
        return _APPLIERS[name](self.ledger, body)

    def snapshot(self) -> bytes:
        """Return the whole state as bytes."""
        return snapshot.save(self.ledger)

    def restore(self, data: bytes) -> None:
        """Replace the whole state by that of a snapshot."""
        self.ledger = snapshot.load(data)


@_applies("put_manifest")
def _put_manifest(ledger: TaskLedger, manifest):
    return ledger.put_manifest(manifest)


@_applies("accept_tasks")
def _accept_tasks(ledger: TaskLedger, command):
    return ledger.accept(command)


@_applies("cancel_tasks")
def _cancel_tasks(ledger: TaskLedger, command):
    return ledger.cancel(command.job_id)


@_applies("note_workers")
def _note_workers(ledger: TaskLedger, command):
    for record in command.workers:
        ledger.note_worker(record)
    return Accepted()


@_applies("intend_runs")
def _intend_runs(ledger: TaskLedger, command):
    return ledger.intend(command.intents)


@_applies("settle_runs")
def _settle_runs(ledger: TaskLedger, command):
    ledger.settle(command.life, command.seen_end, command.ends)
    return Accepted()


@_applies("end_lives")
def _end_lives(ledger: TaskLedger, command):
    ledger.end_lives(command.lives, command.checkpoints)
    return Accepted()


@_applies("forget_jobs")
def _forget_jobs(ledger: TaskLedger, command):
    return ledger.forget(command.ended_before_ms)


@_applies("note_weights")
def _note_weights(ledger: TaskLedger, command):
    ledger.note_weights(command.weights)
    return Accepted()
