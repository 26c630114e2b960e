"""Stops of real processes: SIGTERM cuts off no call that has reached the process."""

import http.client
import json
import signal
import time
from concurrent.futures import ThreadPoolExecutor

import pytest

from savoryshelf.wire.generated import ControlService, EntryService, ttypes
from savoryshelf.wire.peers import PeerClient
from standins.site import CLUSTER_KEY, Site

DRAIN_SECONDS = 0.5
"""The setting of the entry hosts of a stand-in site."""


@pytest.fixture
def site(tmp_path):
    """Yield a running site with one process of each role."""
    with Site(str(tmp_path), controls=1, entries=1, workers=1).running() as site:
        yield site


@pytest.fixture
def background():
    with ThreadPoolExecutor() as pool:
        yield pool


def request_body(work_ms):
    return json.dumps({"key": f"work-{work_ms}", "work_ms": work_ms}).encode()


def connect(site):
    connection = http.client.HTTPConnection(
        site.entry_urls[0].removeprefix("http://"), timeout=20.0
    )
    connection.connect()
    return connection


def send_request(site, connection, body):
    headers = {"Authorization": f"Bearer {site.team_token()}"}
    connection.request("POST", "/v1/services/quotes", body=body, headers=headers)


def wait_for_log(site, name, text):
    path = site.process_by_name[name].log_path

    def has_text():
        with open(path, encoding="utf-8") as file:
            return text in file.read()

    site.wait_for(has_text, f"{text!r} in the log of {name}")


def begin_stop(site, name):
    """Send SIGTERM, and return once the process has begun to drain."""
    site.process_by_name[name].signal(signal.SIGTERM)
    wait_for_log(site, name, f"{'entry' if name.startswith('e') else 'control'}:stopping")


def assert_stops(site, name):
    assert site.process_by_name[name].popen.wait(20.0) == 0


def send_until_refused(site):
    """Send requests until a connection is refused; return the number without an answer."""
    unanswered = 0
    while True:
        try:
            connection = connect(site)
        except ConnectionRefusedError:
            return unanswered
        try:
            send_request(site, connection, request_body(work_ms=1))
            connection.getresponse().read()
        except (OSError, http.client.HTTPException):
            unanswered += 1
        connection.close()


def test_callers_that_ignore_readiness_are_answered_or_refused_a_connection(site, background):
    callers = [background.submit(send_until_refused, site) for _ in range(4)]
    begin_stop(site, "e0")
    assert [caller.result() for caller in callers] == [0, 0, 0, 0]
    assert_stops(site, "e0")


@pytest.mark.parametrize("reuse_connection", [False, True])
def test_a_request_that_arrives_while_a_draining_entry_host_is_paused_is_answered(
    site, reuse_connection
):
    body = request_body(work_ms=300)
    connection = connect(site)
    if reuse_connection:
        send_request(site, connection, body)
        assert connection.getresponse().read() == b"answer to " + body
    else:
        connection.close()
    begin_stop(site, "e0")
    entry = site.process_by_name["e0"]
    entry.signal(signal.SIGSTOP)
    if not reuse_connection:
        connection = connect(site)
    send_request(site, connection, body)
    time.sleep(2 * DRAIN_SECONDS)
    entry.signal(signal.SIGCONT)
    response = connection.getresponse()
    assert (response.status, response.read()) == (200, b"answer to " + body)
    assert_stops(site, "e0")


def test_a_request_whose_headers_arrive_slowly_during_a_drain_is_answered(site):
    connection = connect(site)
    body = request_body(work_ms=20)
    head = (
        f"POST /v1/services/quotes HTTP/1.1\r\nHost: entry\r\n"
        f"Authorization: Bearer {site.team_token()}\r\nContent-Length: {len(body)}\r\n"
    ).encode()
    connection.sock.sendall(head)
    begin_stop(site, "e0")
    time.sleep(2 * DRAIN_SECONDS)
    connection.sock.sendall(b"\r\n" + body)
    response = http.client.HTTPResponse(connection.sock, method="POST")
    response.begin()
    assert (response.status, response.read()) == (200, b"answer to " + body)
    assert_stops(site, "e0")


def test_a_request_forwarded_by_another_entry_host_is_answered_during_a_drain(site, background):
    body = request_body(work_ms=2500)
    address = site.process_by_name["e0"].environment["SAVORYSHELF_LISTEN"]
    client = PeerClient(EntryService, address, CLUSTER_KEY)
    request = ttypes.CriticalRequest("quotes", "recife", "text/plain", body, 3000, "r-1", "")
    call = background.submit(client.call, "serve", request)
    time.sleep(0.3)
    begin_stop(site, "e0")
    assert call.result().body == b"answer to " + body
    assert_stops(site, "e0")


def test_a_call_that_a_stopping_control_host_holds_open_is_answered(site, background):
    status, job = site.call(
        "POST",
        "/v1/jobs/routing",
        site.team_token(),
        body=json.dumps({"key": "held", "run_s": 10}),
        headers={"Idempotency-Key": "held"},
    )
    assert status == 202
    client = PeerClient(ControlService, site.control_addresses[0], CLUSTER_KEY)
    call = background.submit(client.call, "job", "recife", job["job_id"], 8.0)
    time.sleep(0.3)
    started = time.monotonic()
    begin_stop(site, "c0")
    assert call.result().state in ("queued", "running", "placed")
    assert time.monotonic() - started < 5.0
    assert_stops(site, "c0")


def test_a_call_that_arrives_while_a_stopping_control_host_is_paused_is_answered(site, background):
    client = PeerClient(ControlService, site.control_addresses[0], CLUSTER_KEY)
    client.call("probe")
    control = site.process_by_name["c0"]
    control.signal(signal.SIGSTOP)
    call = background.submit(client.call, "probe")
    time.sleep(0.3)
    control.signal(signal.SIGTERM)
    control.signal(signal.SIGCONT)
    assert call.result().replica_id.startswith("c0.")
    assert_stops(site, "c0")
