import base64

import pytest

from savoryshelf.configuration.declarations import parse, to_document
from savoryshelf.entry.attempts import MAX_RESULT_BYTES, AttemptState
from savoryshelf.entry.batch import BatchDispatch
from savoryshelf.wire.generated.ttypes import AttemptKey, OutcomeKind, StartOrder, StopOrder
from tests.promises.fakes import ManualClock, let_green_threads_run

from .fakes import DECLARATIONS, entry_state, owned


class RecordingClient:
    def __init__(self):
        self.started = []
        self.stopped = []

    def start_attempt(self, target, order):
        self.started.append((order.key.job_id, order.key.attempt))

    def stop_attempt(self, target, order):
        self.stopped.append(order.key.job_id)

    def close_unused(self, kept_urls):
        pass


@pytest.fixture
def host():
    return host_with("w0")


def host_with(*worker_ids):
    clock = ManualClock()
    state = entry_state(clock, *(owned(each, slots=3) for each in worker_ids))
    client = RecordingClient()
    batch = BatchDispatch(state, client, clock, "http://e0", lambda: None)
    batch.client, batch.clock, batch.state = client, clock, state
    return batch


def order(job_id, incarnation="incarnation-1", worker_id="w0"):
    key = AttemptKey(job_id, 1, 0)
    return StartOrder(key, worker_id, "plans", b"", None, True, 1.0, 1, 0, incarnation, "")


def start(host, *orders):
    host.handle_start_orders(list(orders))
    let_green_threads_run()


def kinds(host):
    return {outcome.key.job_id: outcome.kind for outcome in host.attempts.outcomes()}


def test_an_order_given_twice_starts_once(host):
    start(host, order("a"), order("a"))
    start(host, order("a"))
    assert host.client.started == [("a", 1)]


def test_a_start_that_does_not_fit_is_settled_as_not_run(host):
    start(host, order("a"), order("b"), order("c"))
    assert host.client.started == [("a", 1), ("b", 1)], "one slot is kept for critical requests"
    assert kinds(host) == {"c": OutcomeKind.NOT_RUN}


def test_a_host_without_a_lease_starts_nothing(host):
    host.state.lease.release()
    start(host, order("a"))
    assert host.client.started == []
    assert kinds(host) == {"a": OutcomeKind.NOT_RUN}


def test_a_start_waits_until_a_report_has_renewed_the_lease(host):
    target = host.state.targets.by_id["w0"]
    target.lease_ends_at = float("-inf")
    start(host, order("a"))
    assert host.client.started == []
    assert host.attempts.attempt_keys() == [], "control orders it again"
    report = {"incarnation": "incarnation-1", "critical": [], "tasks": []}
    assert host.handle_report("w0", 1, report) is not None
    start(host, order("a"))
    assert host.client.started == [("a", 1)]


def test_a_start_for_another_incarnation_of_the_worker_is_ignored(host):
    start(host, order("a", incarnation="incarnation-0"))
    assert host.client.started == []
    assert host.attempts.attempt_keys() == []


def test_a_leaving_worker_gets_no_start(host):
    host.state.targets.by_id["w0"].leaving = True
    start(host, order("a"))
    assert host.client.started == []


def test_an_attempt_stays_known_until_the_worker_has_forgotten_it(host):
    start(host, order("a"))
    target = host.state.targets.by_id["w0"]
    ended = {"job_id": "a", "attempt": 1, "state": "finished", "result": "cg=="}
    assert host.attempts.handle_report(target, [ended]) == []
    assert host.attempts.outcomes()[0].result == b"r"
    host.attempts.settle(AttemptKey("a", 1, 0))
    assert host.attempts.handle_report(target, [ended]) == [{"job_id": "a", "attempt": 1}]
    host.attempts.handle_report(target, [])
    assert host.attempts.attempt_keys() == []


# Guards against an attempt that ends, or is never started, by what another worker lists.
@pytest.mark.parametrize("is_ordered_first", [False, True])
def test_what_another_worker_lists_changes_no_attempt(is_ordered_first):
    host = host_with("w0", "w1")
    row = {"job_id": "a", "attempt": 1, "state": "finished", "result": "cg=="}
    other = host.state.targets.by_id["w1"]
    if is_ordered_first:
        start(host, order("a"))
    host.attempts.handle_report(other, [row])
    if not is_ordered_first:
        start(host, order("a"))
    assert host.client.started == [("a", 1)]
    assert host.attempts.by_id["a", 1].worker_id == "w0"
    assert host.attempts.by_id["a", 1].state is AttemptState.RUNNING
    assert host.attempts.outcomes() == []


def test_a_result_that_is_too_large_fails_its_attempt(host):
    start(host, order("a"))
    result = base64.b64encode(b"x" * (MAX_RESULT_BYTES + 1)).decode()
    ended = {"job_id": "a", "attempt": 1, "state": "finished", "result": result}
    host.attempts.handle_report(host.state.targets.by_id["w0"], [ended])
    assert kinds(host) == {"a": OutcomeKind.FAILED}


def test_the_first_outcome_of_an_attempt_is_kept(host):
    start(host, order("a"))
    attempt = host.attempts.by_id["a", 1]
    attempt.end(OutcomeKind.FINISHED, "")
    attempt.end(OutcomeKind.LOST, "")
    assert attempt.outcome.kind == OutcomeKind.FINISHED
    assert attempt.state is AttemptState.ENDED


def test_a_stop_is_sent_once(host):
    start(host, order("a"))
    stop = StopOrder(AttemptKey("a", 1, 0), "w0", True, "test")
    host.handle_stop_orders([stop])
    host.handle_stop_orders([stop])
    let_green_threads_run()
    assert host.client.stopped == ["a"]


def test_a_report_to_a_host_that_lost_its_lease_renews_nothing(host):
    report = {"incarnation": "incarnation-1", "critical": [], "tasks": []}
    assert host.handle_report("w0", 1, report) is not None
    host.state.lease.release()
    assert host.handle_report("w0", 1, report) is None


# Guards against tasks that go on although others have been given the work.
def test_a_worker_is_not_lost_before_the_longest_lease_that_it_was_granted(host):
    report = {"incarnation": "incarnation-1", "critical": [], "tasks": []}
    content = DECLARATIONS | {"limits": DECLARATIONS["limits"] | {"task_lease_s": 60.0}}
    host.state.update_configuration(2, to_document(parse(content)))
    assert host.handle_report("w0", 1, report)["lease_s"] == 60.0
    host.clock.now += 1.0
    content = DECLARATIONS | {"limits": DECLARATIONS["limits"] | {"task_lease_s": 10.0}}
    host.state.update_configuration(3, to_document(parse(content)))
    assert host.handle_report("w0", 1, report)["lease_s"] == 10.0
    host.clock.now += 50.0
    assert not host.notes()[0].lease_lapsed, "the answer to the last report may not have arrived"
    host.clock.now += 15.0
    assert host.notes()[0].lease_lapsed


def test_a_report_of_another_incarnation_is_rejected(host):
    start(host, order("a"))
    row = {"job_id": "a", "attempt": 1, "state": "finished", "result": "cg=="}
    report = {"incarnation": "incarnation-2", "critical": [], "leaving": True, "tasks": [row]}
    assert host.handle_report("w0", 1, report) is None
    assert host.attempts.outcomes() == []
    assert not host.state.targets.by_id["w0"].leaving


def test_a_report_under_another_epoch_is_rejected(host):
    report = {"incarnation": "incarnation-1", "critical": [], "tasks": []}
    assert host.handle_report("w0", 2, report) is None
