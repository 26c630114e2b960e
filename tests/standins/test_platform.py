"""The stand-in of the platform's worker: its incarnations under one id."""

import contextlib
import http.client
import json
import socket
import threading
import time
import types
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import pytest

from standins import platform
from standins.interference import added_per_core
from standins.platform import (
    FIRST_CLOCK_MS,
    HEARTBEAT_SECONDS,
    PlatformWorker,
    RunRecord,
    doubled_runs,
)

TASK = "00000000000000aa.0.0.0"


@pytest.fixture
def worker():
    started = PlatformWorker("w1", [])
    yield started
    started.close()


class Connection(http.client.HTTPConnection):
    """Calls a worker."""

    def call(self, kind, **body):
        data, headers = json.dumps(body), {"X-Expect-Instance": "w1"}
        self.request("POST", f"/savoryshelf/{kind}", data, headers)
        answer = self.getresponse()
        return answer.status, json.loads(answer.read())


def connect(worker):
    host, _, port = worker.address.rpartition(":")
    return Connection(host, int(port), timeout=3.0)


def start(connection, number, ms, token=1, deadline_ms=60_000, spec=""):
    spec = spec or f"{ms} ms"
    fields = {"fencingToken": token, "deadlineMs": deadline_ms, "taskSpec": spec}
    return connection.call("run-start", task=TASK, run=number, **fields)


def test_a_new_incarnation_knows_nothing_of_the_one_before(worker):
    connection = connect(worker)
    assert start(connection, 3, 0, token=7)[0] == 200
    first = connection.call("hold", fencingToken=7, lastSeen=0)[1]
    assert [end[:4] for end in first["endedRuns"]] == [[1, TASK, 3, "done"]]
    assert start(connection, 4, 60_000, token=7)[0] == 200
    worker.restart(0.0)
    second = connect(worker).call("hold", fencingToken=1, lastSeen=0)[1]
    assert second["running"] == second["endedRuns"] == []
    assert second["born"] > first["born"]
    assert second["clockMs"] < first["clockMs"] + 1000
    # Not rejected as old, and the first end of this incarnation.
    assert start(connect(worker), 1, 0)[0] == 200
    ends = connect(worker).call("hold", fencingToken=1, lastSeen=0)[1]["endedRuns"]
    assert [end[:4] for end in ends] == [[1, TASK, 1, "done"]]
    incarnations = [(each.incarnation, each.number, each.outcome) for each in worker.records]
    assert incarnations == [(1, 3, "done"), (1, 4, "crashed"), (2, 1, "done")]
    assert [each.is_lost for each in worker.records] == [True, True, False]
    connect(worker).call("hold", fencingToken=1, lastSeen=1)
    worker.crash()
    assert not worker.records[-1].is_lost


def test_only_lists_say_which_incarnation_answers(worker):
    connection = connect(worker)
    assert "born" not in start(connection, 1, 60_000)[1]
    assert "born" not in connection.call("run-stop", task=TASK, run=1, fencingToken=1)[1]
    assert "born" in connection.call("hold", fencingToken=1, lastSeen=0)[1]


def test_a_crash_resets_connections_and_open_polls(worker):
    idle, polling = connect(worker), connect(worker)
    idle.call("hold", fencingToken=1, lastSeen=0)
    found = []

    def poll():
        with contextlib.suppress(ConnectionResetError, http.client.RemoteDisconnected):
            found.append(polling.call("hold", fencingToken=1, lastSeen=0, waitMs=2000))
        found.append(time.monotonic())

    thread = threading.Thread(target=poll)
    thread.start()
    time.sleep(0.2)
    crashed_at = time.monotonic()
    worker.crash()
    thread.join()
    assert len(found) == 1 and found[0] - crashed_at < 0.5
    with pytest.raises(ConnectionResetError):
        idle.sock.recv(1)
    with pytest.raises(ConnectionRefusedError):
        connect(worker).call("hold", fencingToken=1, lastSeen=0)


def test_a_worker_that_is_silent_while_it_is_down_neither_answers_nor_refuses(worker):
    idle, calling = connect(worker), connect(worker)
    for connection in (idle, calling):
        connection.call("hold", fencingToken=1, lastSeen=0)
        connection.sock.settimeout(0.4)
    restarting = threading.Thread(target=worker.restart, args=(2.0,), kwargs={"is_silent": True})
    restarting.start()
    assert worker.incarnations[0].wait_for_end(3.0)
    with pytest.raises(TimeoutError):
        calling.call("hold", fencingToken=1, lastSeen=0)
    with pytest.raises(TimeoutError):
        idle.sock.recv(1)
    with pytest.raises(TimeoutError):
        socket.create_connection((idle.host, idle.port), 0.4)
    restarting.join()
    with pytest.raises(ConnectionResetError):
        idle.sock.recv(1)
    assert connect(worker).call("hold", fencingToken=1, lastSeen=0)[0] == 200


def test_an_acknowledgement_forgets_the_ends_that_there_are(worker):
    connection = connect(worker)
    connection.call("hold", fencingToken=1, lastSeen=5)
    start(connection, 1, 0)
    assert connection.call("hold", fencingToken=1, lastSeen=0)[1]["endedRuns"]
    assert not worker.records[0].is_acknowledged
    assert not connection.call("hold", fencingToken=1, lastSeen=5)[1]["endedRuns"]
    assert worker.records[0].is_acknowledged


def test_a_lease_is_at_most_the_longest(worker):
    start(connect(worker), 1, 60_000)
    time.sleep(3.1)
    ends = connect(worker).call("hold", fencingToken=1, lastSeen=0)[1]["endedRuns"]
    assert [end[3] for end in ends] == ["lapsed"]


def test_a_long_running_run_lasts_until_it_is_stopped_or_its_lease_lapses(worker):
    connection = connect(worker)
    lease_ends_ms = worker.incarnations[0].clock_ms() + 1000
    start(connection, 1, 0, deadline_ms=lease_ends_ms, spec="lasts 100 cpu 10 mb")
    time.sleep(0.1)
    assert connection.call("hold", fencingToken=1, lastSeen=0)[1]["running"][0][:2] == [TASK, 1]
    connection.call("run-stop", task=TASK, run=1, fencingToken=1)
    start(connection, 2, 0, deadline_ms=lease_ends_ms, spec="lasts 100 cpu 10 mb")
    assert [record.outcome for record in worker.records] == ["stopped", ""]
    time.sleep(1.0)
    # Also without a call after the end of the lease.
    assert [record.outcome for record in worker.records] == ["stopped", "lapsed"]
    start(connection, 3, 0, spec="50 ms then fails")
    time.sleep(0.1)
    assert [record.outcome for record in worker.records] == ["stopped", "lapsed", "failed"]


BEST_EFFORT = "1000 ms 3000 cpu 10 mb fills as batch"


def row(connection, task=TASK):
    listed = connection.call("hold", fencingToken=1, lastSeen=0)[1]["running"]
    return next((each for each in listed if each[0] == task), None)


def pace(connection, percent):
    body = {"task": TASK, "run": 1, "percent": percent, "fencingToken": 1}
    assert connection.call("pace", **body)[0] == 200


def test_a_best_effort_run_progresses_at_its_speed_and_not_while_it_is_paused(worker):
    connection = connect(worker)
    start(connection, 1, 0, spec=BEST_EFFORT)
    time.sleep(0.4)
    pace(connection, 0)
    paused = row(connection)
    assert 40 <= paused[3] < 100
    time.sleep(0.6)
    # A run that is paused keeps its progress, and uses nothing.
    assert row(connection)[3] == paused[3]
    assert paused[4] > 1000 and row(connection)[4] == 0
    pace(connection, 50)
    time.sleep(0.1)
    assert row(connection)[3] > paused[3]
    deadline = time.monotonic() + 2.0
    while row(connection) and time.monotonic() < deadline:
        time.sleep(0.02)
    (record,) = worker.records
    assert record.outcome == "done"
    assert record.worked_seconds(0.0, record.ended_at) == pytest.approx(1.0, abs=0.001)
    assert [percent for *_, percent in record.at_work()] == [100, 50]
    (first, last) = record.at_work()
    assert first[0] == record.started_at and last[1] == record.ended_at
    assert last[0] - first[1] >= 0.6


def test_a_best_effort_run_takes_memory_of_its_worker_and_no_processor_time(worker):
    connection = connect(worker)
    assert start(connection, 1, 0, spec="lasts 4000 cpu 2000 mb")[0] == 200
    fields = {"run": 1, "fencingToken": 1, "deadlineMs": 60_000}
    spec = "900 ms 4000 cpu {} mb fills as batch"
    fits = connection.call("run-start", task=f"{TASK}1", taskSpec=spec.format(2000), **fields)
    assert fits[0] == 200 and not worker.has_room(0, 1)
    rejected = connection.call("run-start", task=f"{TASK}2", taskSpec=spec.format(1), **fields)
    assert (rejected[0], rejected[1]["reason"]) == (409, "room")


def test_a_serving_run_reports_a_tail_that_rises_with_the_work_beside_it(worker, monkeypatch):
    own_load = 0.3
    monkeypatch.setattr("standins.platform.load", lambda task, seconds: own_load)
    connection, serving = connect(worker), f"{TASK}1"
    fields = {"run": 1, "fencingToken": 1, "deadlineMs": 60_000}
    spec = "lasts 100 cpu 10 mb serves shop in 10000 ms"
    connection.call("run-start", task=serving, taskSpec=spec, **fields)

    def added():
        """Return what the tail tells to be added to the task's own load."""
        return 1 - 2000 / row(connection, serving)[4] - own_load

    assert added() == pytest.approx(0.0, abs=0.01)
    start(connection, 1, 0, spec="60000 ms 500 cpu 10 mb fills as batch")
    time.sleep(0.6)
    cores = 0.5 * added_per_core("batch", "shop")
    assert added() == pytest.approx(cores, abs=0.02)
    pace(connection, 50)
    time.sleep(0.6)
    assert added() == pytest.approx(cores / 2, abs=0.02)
    pace(connection, 0)
    time.sleep(0.6)
    assert added() == pytest.approx(0.0, abs=0.01)


@pytest.mark.parametrize("spec", ["lasts 2001 cpu 10 mb", "lasts 10 cpu 2001 mb"])
def test_a_run_without_room_is_rejected(worker, spec):
    connection = connect(worker)
    assert start(connection, 1, 0, spec="lasts 2000 cpu 2000 mb")[0] == 200
    rejected = connection.call(
        "run-start", task=f"{TASK}1", run=1, fencingToken=1, deadlineMs=60_000, taskSpec=spec
    )
    assert (rejected[0], rejected[1]["reason"]) == (409, "room")
    # The run that is there is no new one.
    assert start(connection, 1, 0, spec="lasts 2000 cpu 2000 mb")[0] == 200
    assert worker.has_room(2000, 2000) and not worker.has_room(2001, 2000)
    connection.call("run-stop", task=TASK, run=1, fencingToken=1)
    assert start(connection, 2, 0, spec=spec)[0] == 200


def test_the_first_heartbeat_of_an_incarnation_comes_when_chosen(monkeypatch):
    beats, has_come, waits = [], threading.Semaphore(0), []

    class Control(BaseHTTPRequestHandler):
        def do_POST(self):  # noqa: N802
            beats.append(json.loads(self.rfile.read(int(self.headers["Content-Length"]))))
            self.send_response(200)
            self.end_headers()
            has_come.release()

        def log_message(self, *arguments):
            pass

    class RecordedEvent(threading.Event):
        """Records for how long it is waited for; no call or run waits here but heartbeats."""

        def wait(self, timeout=None):
            waits.append(timeout)
            return super().wait(timeout)

    def wait_for_beats(born, count):
        while len(found := [beat for beat in beats if beat["born"] >= born]) < count:
            assert has_come.acquire(timeout=10.0)
        return found[:count]

    recorded = types.SimpleNamespace(**vars(threading) | {"Event": RecordedEvent})
    monkeypatch.setattr(platform, "threading", recorded)
    server = ThreadingHTTPServer(("127.0.0.1", 0), Control)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    worker = PlatformWorker("w1", [f"127.0.0.1:{server.server_address[1]}"])
    try:
        first = wait_for_beats(0, 3)
        assert [beat["sequence"] for beat in first] == [1, 2, 3]
        assert waits[0] <= 0.0 and set(waits[1:]) == {HEARTBEAT_SECONDS}
        worker.restart(0.02, heartbeat_after_seconds=0.6)
        (beat,) = wait_for_beats(first[0]["born"] + 1, 1)
    finally:
        worker.close()
        server.shutdown()
        server.server_close()
    # By the clock of the incarnation, which begins with it.
    assert beat["clockMs"] - FIRST_CLOCK_MS >= 600
    (before_first,) = set(waits[1:]) - {HEARTBEAT_SECONDS}
    assert before_first <= 0.6
    assert beat["sequence"] == 1
    assert beat["address"] == first[0]["address"]
    # Those that were acknowledged are on record.
    assert {(kind, token) for _, kind, token in worker.answers(2)} <= {("heartbeat", 0)}
    assert [kind for _, kind, _ in worker.answers(1)][:2] == ["heartbeat"] * 2


@pytest.mark.parametrize(
    ("later", "is_doubled"),
    [
        (RunRecord(TASK, 2, 1.5, 2.5, "done", incarnation=2), True),
        (RunRecord(TASK, 2, 2.0, 2.5, "done", incarnation=2), False),
        (RunRecord("00000000000000ab.0.0.0", 2, 1.5, 2.5, "done", incarnation=2), False),
    ],
)
def test_runs_at_once_are_found(later, is_doubled):
    crashed = RunRecord(TASK, 1, 1.0, 2.0, "crashed")
    assert bool(doubled_runs([later, crashed])) == is_doubled


def test_a_start_after_an_acknowledged_end_is_found():
    later = RunRecord(TASK, 2, 4.0)
    assert doubled_runs([RunRecord(TASK, 1, 1.0, 2.0, "done", 1, True), later])
    assert not doubled_runs([RunRecord(TASK, 1, 1.0, 2.0, "done", 1, False), later])
    assert not doubled_runs([RunRecord(TASK, 1, 1.0, 2.0, "failed", 1, True), later])
