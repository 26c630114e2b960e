"""An entry host with owned workers, and a worker client with scripted responses."""

from savoryshelf.configuration.declarations import parse, to_document
from savoryshelf.entry.critical import CriticalPath
from savoryshelf.entry.state import EntryState
from savoryshelf.entry.worker_client import WorkerResponse
from savoryshelf.wire.generated.ttypes import OwnedWorker, WorkerAnnouncement, WorkerStanding
from tests.promises.fakes import ManualClock

DECLARATIONS = {
    "customer": "entry",
    "services": {"quotes": {"cores": 1, "memory_mb": 10, "timeout_ms": 1000, "max_attempts": 3}},
    "batch_classes": {"plans": {"cores": 1}},
    "teams": {"team": {}},
    "limits": {"critical_reserve_slots": 1, "max_waiting": 2, "retry_budget": 0.0},
}


def owned(worker_id="w0", slots=2, epoch=1, standing=WorkerStanding.ACTIVE, cores=16.0):
    announcement = WorkerAnnouncement(
        worker_id,
        "incarnation-1",
        f"http://127.0.0.1/{worker_id}",
        "fd",
        "r",
        slots,
        64,
        cores,
        1000,
        0,
    )
    return OwnedWorker(announcement, epoch, standing)


def entry_state(clock, *workers, **limits):
    """Return the state of an entry host with a lease, declarations and adopted workers."""
    content = DECLARATIONS | {"limits": DECLARATIONS["limits"] | limits}
    state = EntryState("e0")
    state.update_configuration(1, to_document(parse(content)))
    state.lease.renew(clock.now, 6.0)
    state.targets.replace(list(workers or [owned()]), clock.now, 10.0)
    for target in state.targets.by_id.values():
        target.adopted = True
        target.last_report_at = clock.now
        target.renew_lease(clock.now, 10.0)
    return state


class ScriptedClient:
    """Handles each dispatch with the next step: a status, a callable or an error to raise.

    A dispatch without a step, and one whose callable returns, gets status 200.
    """

    def __init__(self, *steps):
        self.steps = list(steps)
        self.worker_ids = []

    def run_critical(
        self, target, service, demand, request_id, content_type, body, timeout_s, trace
    ):
        self.worker_ids.append(target.worker_id)
        step = self.steps.pop(0) if self.steps else 200
        if isinstance(step, Exception):
            raise step
        if callable(step):
            step()
            step = 200
        return WorkerResponse(step, "text/plain", b"answer to " + body)


def critical_path(*steps, workers=(), **limits):
    """Return a critical path over those workers, its clock, state and client."""
    clock = ManualClock()
    state = entry_state(clock, *workers, **limits)
    client = ScriptedClient(*steps)
    path = CriticalPath(state, client, clock, "least_outstanding", "a-cluster-key-of-tests")
    return path, clock, state, client


def call_of(path, body=b"body"):
    return path.make_call("quotes", "team", "text/plain", body, 0, "")
