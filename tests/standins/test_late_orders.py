"""Orders that a stand-in worker leaves unanswered, and who carries them out."""

import http.client
import json
import random
import time

import pytest

from standins.late_orders import LateOrders
from standins.platform import PlatformWorker, doubled_runs, restart_together

TASK = "00000000000000aa.0.0.0"
OTHER_TASK = "00000000000000ab.0.0.0"
CARRIED_OUT_SECONDS = 1.0
"""When an order is carried out late: after the calls that come before it, on a busy machine too."""


@pytest.fixture
def worker(monkeypatch):
    """Return a worker that passes all that it holds back on to its next incarnation."""
    monkeypatch.setattr("standins.late_orders.SAME_INCARNATION_SHARE", 0.0)
    monkeypatch.setattr("standins.late_orders.NEXT_INCARNATION_SHARE", 1.0)
    monkeypatch.setattr("standins.late_orders.SOON_SHARE", 1.0)
    monkeypatch.setattr(
        "standins.late_orders.SOON_SECONDS", (CARRIED_OUT_SECONDS, CARRIED_OUT_SECONDS)
    )
    started = PlatformWorker("w1", [])
    started.late_orders = LateOrders(random.Random(1))
    yield started
    started.close()


def call(worker, kind, timeout=3.0, **body):
    host, _, port = worker.address.rpartition(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    data, headers = json.dumps({"fencingToken": 1} | body), {"X-Expect-Instance": "w1"}
    connection.request("POST", f"/savoryshelf/{kind}", data, headers)
    answer = connection.getresponse()
    return answer.status, json.loads(answer.read())


def start(worker, number=1, task=TASK, **fields):
    body = {"task": task, "run": number, "deadlineMs": 60_000, "taskSpec": "60000 ms"}
    return call(worker, "run-start", **body | fields)


def eventually(condition):
    """Return the first true value of a condition, or its last value after a while."""
    deadline = time.monotonic() + 10.0
    while not (value := condition()) and time.monotonic() < deadline:
        time.sleep(0.02)
    return value


def wait_for_late_orders():
    time.sleep(CARRIED_OUT_SECONDS + 0.3)


def hold_back(worker, **fields):
    """Order a start that gets no answer."""
    count = worker.late_orders.held_count
    worker.late_orders.share = 1.0
    with pytest.raises(TimeoutError):
        start(worker, timeout=0.1, **fields)
    # It may be read later than that.
    assert eventually(lambda: worker.late_orders.held_count == count + 1)
    worker.late_orders.share = 0.0


def listed(worker, token=1):
    rows = call(worker, "hold", lastSeen=0, fencingToken=token)[1]["running"]
    return [tuple(row[:2]) for row in rows]


def test_an_order_without_an_answer_is_carried_out_by_the_next_incarnation(worker):
    hold_back(worker)
    # Stopped, and so rejected for good, by the incarnation that received it.
    assert call(worker, "run-stop", task=TASK, run=1)[0] == 200
    assert start(worker)[1]["reason"] == "old"
    worker.restart(0.0)
    assert listed(worker) == []
    assert eventually(lambda: listed(worker)) == [(TASK, 1)]
    (record,) = worker.records
    assert record.is_late
    assert worker.late_orders.held_count == 1
    assert (record.ordered_in, record.incarnation, record.fencing_token) == (1, 2, 1)
    assert record.started_at - record.ordered_at > CARRIED_OUT_SECONDS
    # Once: the one after that gets nothing.
    worker.restart(0.0)
    wait_for_late_orders()
    assert listed(worker) == []


@pytest.mark.parametrize(("seen", "is_carried_out"), [(6, True), (7, True), (8, False)])
def test_a_late_order_is_refused_by_an_incarnation_that_has_seen_a_higher_token(
    worker, seen, is_carried_out
):
    hold_back(worker, fencingToken=7)
    worker.restart(0.0)
    assert listed(worker, seen) == []
    wait_for_late_orders()
    assert listed(worker, max(seen, 7)) == [(TASK, 1)] * is_carried_out
    # What it has seen of late orders counts as well.
    assert start(worker, task=OTHER_TASK, fencingToken=6)[1]["reason"] == "fence"


def test_a_late_order_is_checked_by_the_run_number_and_clock_of_its_incarnation(worker):
    hold_back(worker, number=3)
    hold_back(worker, task=OTHER_TASK, deadlineMs=1500)
    worker.restart(0.0)
    assert call(worker, "run-stop", task=TASK, run=3)[0] == 200
    wait_for_late_orders()
    # Its clock has begun anew, and was at 2000 ms when the second one came.
    assert listed(worker) == []


def test_answers_are_recorded_and_late_orders_get_none(worker):
    hold_back(worker, fencingToken=2)
    worker.restart(0.0)
    wait_for_late_orders()
    assert worker.answers(2) == []
    assert listed(worker, 2) == [(TASK, 1)]
    assert [each[1:] for each in worker.answers(2)] == [("hold", 2)]
    assert call(worker, "hold", lastSeen=0, fencingToken=1)[0] == 409
    assert len(worker.answers(2)) == 1


def test_an_order_may_also_be_carried_out_late_by_the_incarnation_that_received_it(
    worker, monkeypatch
):
    monkeypatch.setattr("standins.late_orders.SAME_INCARNATION_SHARE", 1.0)
    monkeypatch.setattr(
        "standins.late_orders.LATE_SECONDS", (CARRIED_OUT_SECONDS, CARRIED_OUT_SECONDS)
    )
    hold_back(worker)
    assert listed(worker) == []
    wait_for_late_orders()
    assert listed(worker) == [(TASK, 1)]
    assert not worker.records[0].is_late
    worker.restart(0.0)
    wait_for_late_orders()
    assert listed(worker) == []


def test_a_run_ordered_of_a_former_incarnation_doubles_one_elsewhere(worker):
    other = PlatformWorker("w1", [])
    try:
        hold_back(worker)
        call(worker, "run-stop", task=TASK, run=1)
        assert start(other, 2)[0] == 200
        worker.restart(0.0)
        wait_for_late_orders()
        ((earlier, later),) = doubled_runs([*worker.records, *other.records])
        assert not earlier.is_late and later.is_late
    finally:
        other.close()


def test_a_deadly_run_crashes_its_worker_once_and_it_is_back_after_a_while(worker):
    worker.down_seconds_after_crash = lambda: 0.2
    assert start(worker, taskSpec="lasts 100 cpu 10 mb crashes its worker in 20 ms")[0] == 200
    assert eventually(lambda: len(worker.incarnations) == 2)
    (record,) = worker.records
    assert record.outcome == "crashed" and record.workers_down == 1
    assert record.ended_at - record.started_at >= 0.02
    (_, down_at), (up_at, _) = worker.up
    assert down_at == record.ended_at and up_at - down_at >= 0.2
    wait_for_late_orders()
    assert len(worker.incarnations) == 2


def test_workers_that_restart_together_have_that_on_record(worker):
    others = [PlatformWorker(f"w{n}", []) for n in (2, 3, 4)]
    try:
        others[2].crash()
        start(worker)
        start(worker, task=OTHER_TASK, taskSpec="0 ms")
        restart_together([worker, *others], lambda: (1.0, 0.0))
        assert [len(each.incarnations) for each in (worker, *others)] == [2, 2, 2, 1]
        ends = [each.incarnations[0].ended_at for each in (worker, *others[:2])]
        # None is up again before the last one went down.
        assert max(ends) < min(each.incarnations[1].booted_at for each in (worker, *others[:2]))
        # Also the end that was unread.
        assert [(r.outcome, r.workers_down, r.is_lost) for r in worker.records] == [
            ("crashed", 3, True), ("done", 3, True),
        ]  # fmt: skip
        assert all(record.lost_at == ends[0] for record in worker.records)
        start(worker)
        worker.restart(0.0)
        assert worker.records[-1].workers_down == 1
    finally:
        for each in others:
            each.close()
