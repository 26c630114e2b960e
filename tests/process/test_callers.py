"""Stalled, malformed and excess requests must not affect other callers."""

import json
import socket
from concurrent.futures import ThreadPoolExecutor

import pytest

from standins.site import Site


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    site = Site(str(tmp_path_factory.mktemp("site")), workers=2)
    for name in ("e0", "e1"):
        site.process_by_name[name].environment["SAVORYSHELF_BODY_SECONDS"] = "0.5"
    with site.running():
        yield site


def raw_request(site, head, body):
    """Send raw bytes; return the response up to its first ``}`` or the end of the connection."""
    host, _, port = site.entry_urls[0].removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=20) as connection:
        connection.sendall(head.encode() + body)
        received = b""
        while b"}" not in received:
            data = connection.recv(65536)
            if not data:
                break
            received += data
    return received


def post_head(site, length, **headers):
    lines = [
        "POST /v1/services/quotes HTTP/1.1",
        "Host: site",
        f"Authorization: Bearer {site.team_token()}",
        f"Content-Length: {length}",
        *(f"{name}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join(lines) + "\r\n\r\n"


def test_a_body_that_stalls_is_refused_and_others_are_served(site):
    with ThreadPoolExecutor() as pool:
        stalled = pool.submit(raw_request, site, post_head(site, 100), b"only this")
        answers = [
            site.call("POST", "/v1/services/quotes", site.team_token(), body=b"{}")[0]
            for _ in range(10)
        ]
        refused = stalled.result()
    assert answers == [200] * 10
    assert refused.startswith(b"HTTP/1.1 408")
    assert b"body_too_slow" in refused


def test_an_oversized_header_is_refused(site):
    answer = raw_request(site, post_head(site, 0, Long="x" * 20_000), b"")
    assert answer.split()[1] in (b"400", b"431")


def test_a_request_that_is_not_http_is_refused(site):
    answer = raw_request(site, "this is not HTTP}\r\n\r\n", b"}")
    assert b"200 OK" not in answer


def test_a_forwarded_request_logs_one_action_tree_on_both_entry_hosts(site, tmp_path_factory):
    """Send more requests to one entry host than it has slots for, so that it forwards some."""
    body = json.dumps({"key": "tree", "work_ms": 1500}).encode()
    url = site.entry_urls[0]

    def call(_):
        return site.call("POST", "/v1/services/quotes", site.team_token(), url, body=body)[0]

    with ThreadPoolExecutor(14) as pool:
        assert list(pool.map(call, range(14))) == [200] * 14
    task_uuids = []
    for name in ("e0", "e1"):
        with open(site.process_by_name[name].log_path, encoding="utf-8") as file:
            lines = [json.loads(line) for line in file if line.startswith("{")]
        task_uuids.append({record["task_uuid"] for record in lines if "action_type" in record})
    # A uuid in both logs belongs to a tree that continues on the other host.
    assert task_uuids[0] & task_uuids[1]


def test_many_cancellations_stop_every_run_and_delay_no_critical_request(site):
    token = site.team_token()
    ids = []
    for number in range(60):
        body = json.dumps({"key": f"wave-{number}", "run_s": 30}).encode()
        headers = {"Idempotency-Key": f"wave-{number}"}
        ids.append(
            site.call("POST", "/v1/jobs/routing", token, body=body, headers=headers)[1]["job_id"]
        )
    site.wait_for(lambda: any(j["state"] == "running" for j in site.view("jobs")), "a job to start")
    with ThreadPoolExecutor(8) as pool:
        cancellations = [
            pool.submit(site.call, "DELETE", f"/v1/jobs/{job_id}", token) for job_id in ids
        ]
        during = site.call("POST", "/v1/services/quotes", token, body=b"{}")[0]
    assert during == 200
    assert all(each.result()[0] == 200 for each in cancellations)

    def all_cancelled():
        states = {j["job_id"]: j["state"] for j in site.view("jobs")}
        return all(states[job_id] == "cancelled" for job_id in ids)

    site.wait_for(all_cancelled, "every job to be cancelled")
    site.wait_for(
        lambda: sum(t["batch_running"] for t in site.view("targets")) == 0, "no batch task to run"
    )
