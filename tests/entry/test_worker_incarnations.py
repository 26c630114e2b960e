"""The real calls of an entry host, over a socket, to the stand-in worker at an address."""

import threading
import time

import pytest
from werkzeug.serving import make_server

from savoryshelf.entry.targets import OwnedTarget, ResourceDemand
from savoryshelf.entry.worker_client import WorkerClient, WorkerRefused
from savoryshelf.wire.generated.ttypes import AttemptKey, StartOrder, StopOrder
from standins.host import WorkerApplication
from standins.record import ExecutionRecord
from standins.worker import Worker, WorkerSpec

from .fakes import owned

EPOCH = 1
KEY = AttemptKey("job", 1, 0)


class Address:
    """A loopback address at which one worker after the other listens."""

    def __init__(self, record_path):
        self._record = ExecutionRecord(record_path)
        self.server = make_server("127.0.0.1", 0, self._serve, threaded=True)
        self.url = f"http://127.0.0.1:{self.server.server_port}"

    def _serve(self, environ, start_response):
        return WorkerApplication(self.worker)(environ, start_response)

    def start_worker(self, worker_id="w0"):
        """Replace the worker that listens here by a new process."""
        self.worker = Worker(WorkerSpec(worker_id, "fd", "rack"), self._record)
        return self.worker

    def target(self):
        """Return the worker that listens now as its owner knows it."""
        each = owned(self.worker.spec.worker_id)
        each.worker.url, each.worker.incarnation = self.url, self.worker.incarnation
        return OwnedTarget(each.worker, EPOCH, each.standing, 0.0, 10.0)


@pytest.fixture
def address(tmp_path):
    address = Address(tmp_path / "record.jsonl")
    thread = threading.Thread(target=address.server.serve_forever, args=(0.01,), daemon=True)
    thread.start()
    yield address
    address.server.shutdown()
    thread.join()
    address.server.server_close()


def renew(worker):
    """Let the worker's lease begin, as the answer to a report does."""
    reply = {"lease_s": 10.0, "report_interval_s": 1.0, "acknowledged": []}
    worker.renew_lease(time.monotonic(), reply)


def adopt(client, target):
    return client.adopt(target, "http://127.0.0.1:1", 10.0, 1.0)


def start(client, target):
    incarnation = target.worker.incarnation
    order = StartOrder(KEY, "w0", "plans", b"{}", None, True, 1.0, 1, 0, incarnation, "")
    client.start_attempt(target, order)


CALLS = {
    "adopt": adopt,
    "critical": lambda client, target: client.run_critical(
        target, "quotes", ResourceDemand(), "r", "text/plain", b"{}", 2.0, ""
    ),
    "start": start,
    "settle": lambda client, target: client.settle_attempt(target, "job", 1),
    "stop": lambda client, target: client.stop_attempt(target, StopOrder(KEY, "w0", False, "")),
}


@pytest.fixture(params=CALLS)
def call(request):
    return CALLS[request.param]


def test_each_call_is_answered_by_the_incarnation_that_it_is_meant_for(address, call):
    worker = address.start_worker()
    client, target = WorkerClient("token"), address.target()
    adopt(client, target)
    renew(worker)
    call(client, target)


# Guards against calls that another worker, or a later incarnation of this one, takes for its own:
# it would say of an attempt that ran elsewhere that it never ran, and take a second owner.
@pytest.mark.parametrize("later_id", ["w0", "w1"])
@pytest.mark.parametrize("is_adopted", [True, False])
def test_a_call_meant_for_an_earlier_worker_at_the_address_is_refused(
    address, call, later_id, is_adopted
):
    address.start_worker()
    client, earlier = WorkerClient("token"), address.target()
    adopt(client, earlier)
    later = address.start_worker(later_id)
    if is_adopted:
        client.adopt(address.target(), "http://127.0.0.1:2", 10.0, 1.0)
        renew(later)
    owner_url = later.owner_url
    with pytest.raises(WorkerRefused):
        call(client, earlier)
    assert later.owner_url == owner_url
    assert not later.task_by_attempt_id


# Guards against tasks that go on although others have been given the work: an adoption that
# arrives late renews nothing.
def test_an_adoption_renews_no_lease(address):
    worker = address.start_worker()
    adopt(WorkerClient("token"), address.target())
    with pytest.raises(WorkerRefused) as refusal:
        start(WorkerClient("token"), address.target())
    assert refusal.value.reason == "lease"
    assert worker.report_due.ready(), "the first report follows at once"
