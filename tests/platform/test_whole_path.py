"""Processes of both roles on loopback, against a stand-in of the platform."""

import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3

from standins.links import Links
from standins.platform import Gangs, PlatformWorker, platform_settings
from standins.resets import hook_environment, reset_connections
from standins.silence import silent
from standins.site import loopback_address

ROOT = pathlib.Path(__file__).resolve().parents[2]
# All hosts use the same ports, so each test process needs its own addresses.  The last numbers
# differ from those of the sites in tests/process.
NETWORK = loopback_address().rpartition(".")[0]
SEEDS = [f"{NETWORK}.{host}" for host in (201, 202, 203)]
FRONTS = [f"{NETWORK}.{host}" for host in (204, 205)]
WORKER_IP = f"{NETWORK}.206"
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "peers": 7720}
ROUTE = {
    "name": "r", "host": "h.example", "pathPrefix": "/q/", "kind": "unsafe", "timeoutMs": 3000,
    "targetLatencyMs": 500, "priority": 0, "service": "svc", "maxAttempts": 2, "stretch": 1.5,
}  # fmt: skip
MANIFEST = {"version": 1, "routes": [ROUTE], "services": [{"name": "svc"}], "limits": {}}
WAIT_TIMEOUT_SECONDS = 20.0
GRACE_SECONDS = 6.0
"""Time between SIGTERM and the kill by the platform."""

FAR_SECONDS = 0.02
"""The delay of each way between two regions."""

STOP_ANNOUNCE_SECONDS = 2.6
"""Time for which an entry host that stops still accepts connections."""

REFUSED = "refused"
"""Status of a call whose connection was refused: its request did not arrive."""


class Deployment:
    """Three control hosts, two entry hosts, and the workers that a test adds."""

    def __init__(self, folder: pathlib.Path, control_ips: list[str] = SEEDS):
        self.folder = folder
        self.control_ips = control_ips
        self.seeds = SEEDS
        self.is_first_start = True
        self.links = None
        self.process_by_ip = {}
        self.workers = []
        self.gangs = Gangs()
        self.http = urllib3.PoolManager(timeout=3.0, retries=False)

    def start(self, ip):
        role = "core" if ip in self.control_ips else "front"
        data = self.folder / ip
        data.mkdir(exist_ok=True)
        path = self.folder / f"{ip}.json"
        settings = platform_settings(role, ip, PORTS, self.seeds, str(data))
        path.write_text(json.dumps(settings | {"bootstrap": self.is_first_start}))
        environment = os.environ | hook_environment() | {"SAVORYSHELF_CONFIG": str(path)}
        if self.links:
            environment |= self.links.environment(ip)
        command = [sys.executable, "platform/run.py", role]
        with open(self.folder / f"{ip}.log", "ab") as log:
            self.process_by_ip[ip] = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    @contextlib.contextmanager
    def linked(self, *regions, far_seconds=FAR_SECONDS):
        """Let hosts reach control hosts over links during the block.

        ``regions`` holds the addresses in each one; all others are in a region together.
        """
        region_by_ip = {ip: number for number, ips in enumerate(regions) for ip in ips}
        self.links = Links(
            self.folder, [*self.control_ips, *FRONTS], self.control_ips,
            [PORTS["control"], PORTS["peers"]],
            lambda *way: far_seconds if len({region_by_ip.get(ip) for ip in way}) == 2 else 0.0,
        )  # fmt: skip
        with contextlib.closing(self.links):
            yield self

    def lose_power(self, ips):
        """End hosts without a last word to the others; return the ways that are cut for it."""
        dark = self.links.lose_power(ips)
        for ip in ips:
            self.stop(ip)
        return dark

    @contextlib.contextmanager
    def silent(self, ips):
        """End hosts without a last word; calls are neither answered nor refused in the block."""
        dark = self.lose_power(ips)
        core, front = ("control", "peers"), ("front", "ready")
        names = {ip: core if ip in self.control_ips else front for ip in ips}
        with silent((ip, PORTS[name]) for ip in ips for name in names[ip]):
            yield
        self.links.heal(dark)

    def stop(self, ip, signal_number=signal.SIGKILL):
        process = self.process_by_ip.pop(ip)
        process.send_signal(signal_number)
        process.wait(10)

    def reset_connections(self, ips):
        """Reset all TCP connections of these hosts; their processes go on."""
        for ip in ips:
            assert reset_connections(self.process_by_ip[ip])

    def add_worker(self, name):
        addresses = [f"{ip}:{PORTS['control']}" for ip in self.control_ips]
        worker = PlatformWorker(name, addresses, f"{WORKER_IP}:0", gangs=self.gangs)
        self.workers.append(worker)
        return worker

    def call(self, method, path, body=None, ip=FRONTS[0], seconds=3.0):
        """Return the status and body of a caller's request.

        They are (REFUSED, {}) if no connection was accepted, and (0, {}) if it had no answer.
        """
        headers = {"Host": "h.example", "X-Deadline-Ms": str(int(seconds * 1000))}
        data = json.dumps(body) if body is not None else None
        url = f"http://{ip}:{PORTS['front']}{path}"
        try:
            answer = self.http.request(method, url, body=data, headers=headers, timeout=seconds)
            return answer.status, json.loads(answer.data)
        except urllib3.exceptions.NewConnectionError:
            return REFUSED, {}
        except urllib3.exceptions.HTTPError:
            return 0, {}

    def call_operator(self, method, path, body=None):
        """Return the status and body of an operator's call, from the first host that answers."""
        for ip in self.control_ips:
            url = f"http://{ip}:{PORTS['control']}/savoryshelf/config/{path}"
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answer = self.http.request(method, url, body=json.dumps(body), redirect=False)
                if answer.status == 307:
                    url = answer.headers["Location"]
                    answer = self.http.request(method, url, body=json.dumps(body))
                if answer.status < 500:
                    return answer.status, json.loads(answer.data)
        return 0, {}

    def submit(self, number, text, count=2, **step):
        path = f"/q/{number:016x}"
        body = {"taskSpec": text, "steps": [{"count": count, "cpu": 500} | step]}
        wait_until(lambda: self.call("POST", path, body)[0] == 200)
        return path

    def state(self, path, ip=FRONTS[0]):
        return self.call("GET", path, ip=ip)[1].get("state")

    def is_ready(self, ip):
        """Return whether an entry host may get requests, as the load balancer sees it."""
        url = f"http://{ip}:{PORTS['ready']}/savoryshelf/readiness"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.http.request("GET", url).status == 200
        return False

    def logged(self, event, ips):
        """Return the lines of an event in the logs of these hosts."""
        texts = [(self.folder / f"{ip}.log").read_text() for ip in ips]
        # A last line without its end is still being written.
        lines = [line for text in texts for line in text.split("\n")[:-1]]
        return [json.loads(line) for line in lines if f'"{event}"' in line]

    def leader_ip(self):
        """Return the control host whose log holds the latest ``term:begins`` event."""
        hosts = self.process_by_ip.keys() & self.control_ips
        times = [
            (line["timestamp"], ip) for ip in hosts for line in self.logged("term:begins", [ip])
        ]
        return max(times)[1]


def wait_until(condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_SECONDS
    while not condition():
        assert time.monotonic() < deadline, "condition was not met in time"
        time.sleep(0.1)


@contextlib.contextmanager
def running(folder, workers=2):
    """Start a deployment with these many workers, and end it afterwards."""
    started = Deployment(folder)
    try:
        for ip in [*SEEDS, *FRONTS]:
            started.start(ip)
        for number in range(workers):
            started.add_worker(f"w{number + 1}")
        wait_until(lambda: started.call_operator("POST", "put", MANIFEST)[0] == 200)
        yield started
    finally:
        for process in started.process_by_ip.values():
            process.kill()
            process.wait(10)
        for worker in started.workers:
            worker.close()


@pytest.fixture
def deployment(tmp_path):
    with running(tmp_path) as started:
        yield started


@contextlib.contextmanager
def paused(deployment, ips):
    """Suspend the processes of these hosts."""
    processes = [deployment.process_by_ip[ip] for ip in ips]
    for process in processes:
        process.send_signal(signal.SIGSTOP)
    try:
        yield
    finally:
        for process in processes:
            process.send_signal(signal.SIGCONT)


def accepts_connections(ip):
    with contextlib.suppress(OSError), socket.create_connection((ip, PORTS["control"]), 1.0):
        return True
    return False


def completed_runs(deployment):
    """Return the task of each run that is done; a task that is done twice is listed twice."""
    return [end[1] for worker in deployment.workers for end in worker.ends if end[3] == "done"]


def test_tasks_run_once_and_every_entry_host_reports_their_job(deployment):
    path = deployment.submit(1, "100 ms", count=6)
    wait_until(lambda: deployment.state(path) == "completed")
    wait_until(lambda: deployment.is_ready(FRONTS[1]))
    status, answer = deployment.call("GET", path, ip=FRONTS[1])
    assert (status, answer.get("state")) == (200, "completed")
    assert len(completed_runs(deployment)) == len(set(completed_runs(deployment))) == 6
    assert deployment.call("GET", "/q/00000000000000ff")[0] == 410
    assert deployment.call("GET", "/nowhere/")[0] == 404
    assert deployment.call("GET", "/q/") == (200, {"waiting": 0})
    assert deployment.call_operator("GET", "get")[1] == MANIFEST
    assert deployment.call_operator("POST", "put", MANIFEST | {"routes": [{}]})[0] == 400


def test_a_job_fails_after_its_attempts_and_a_cancelled_job_stops(deployment):
    failing = deployment.submit(2, "fail", count=1)
    long_running = deployment.submit(3, "60000 ms", count=2, longRunning=True)
    wait_until(lambda: deployment.state(failing) == "failed")
    # A task's name starts with the id of its job, the path without "/q/".
    attempts = [s for w in deployment.workers for s in w.starts if s[0].startswith(failing[3:])]
    runs = sorted(run for _, run in attempts)
    assert len(runs) == len(set(runs)) == ROUTE["maxAttempts"]
    # A start that does not reach its worker takes a number too, and is no attempt.
    ended = [
        line for line in deployment.logged("run:ended", SEEDS) if line["task"] == attempts[0][0]
    ]
    never_ran = {line["run"] for line in ended if line["how"] == "never_ran"}
    assert sorted({*runs, *never_ran}) == list(range(1, runs[-1] + 1))
    assert not never_ran.intersection(runs)
    wait_until(lambda: deployment.state(long_running) == "running")
    assert deployment.call("DELETE", long_running)[0] == 200
    stopped = lambda: [e for w in deployment.workers for e in w.ends if e[3] == "stopped"]  # noqa: E731
    wait_until(lambda: len(stopped()) == 2)


def test_a_killed_leader_loses_no_job_and_runs_none_twice(deployment):
    paths = [deployment.submit(n, "1500 ms", count=2) for n in range(10, 14)]
    wait_until(lambda: sum(len(w.starts) for w in deployment.workers) >= 4)
    killed = deployment.leader_ip()
    deployment.stop(killed)
    paths += [deployment.submit(n, "100 ms") for n in range(20, 23)]
    wait_until(lambda: all(deployment.state(path) == "completed" for path in paths))
    deployment.start(killed)
    done = completed_runs(deployment)
    # Two tasks in each of the four jobs before the kill and of the three after it.
    assert len(done) == len(set(done)) == 14


def test_tasks_of_a_lost_worker_run_on_another(deployment):
    path = deployment.submit(30, "2000 ms", count=8)
    wait_until(lambda: sum(len(w.starts) for w in deployment.workers) == 8)
    deployment.workers[0].close()
    wait_until(lambda: deployment.state(path) == "completed")
    # The closed worker reports no ends, so all eight tasks must be done on the other.
    done = [end[1] for end in deployment.workers[1].ends if end[3] == "done"]
    assert len(done) == len(set(done)) == 8


# Guards against gangs that never work again after the crash of a worker: the members resumed from
# different checkpoints, and each run of them ended alone.
def test_a_gang_resumes_together_after_the_crash_of_a_worker(deployment):
    deployment.add_worker("w3")
    # Two members fit on each worker.
    spec = {"cpu": 1500, "gang": True, "checkpointing": True}
    path = deployment.submit(60, "4000 ms, gang of 4", count=4, **spec)
    wait_until(lambda: sum(len(w.starts) for w in deployment.workers) == 4)
    # Long enough for a poll to list a checkpoint, which is then older than that of the others.
    time.sleep(2.6)
    next(w for w in deployment.workers if w.starts).close()
    wait_until(lambda: deployment.state(path) == "completed")
    outcomes = [end[3] for worker in deployment.workers for end in worker.ends]
    assert "broken" in outcomes and "alone" not in outcomes


def test_a_draining_entry_host_still_answers_requests(deployment):
    path = deployment.submit(40, "100 ms")
    deployment.process_by_ip[FRONTS[0]].send_signal(signal.SIGTERM)
    url = f"http://{FRONTS[0]}:{PORTS['ready']}/savoryshelf/readiness"
    wait_until(lambda: deployment.http.request("GET", url).status == 503)
    assert deployment.call("GET", path)[0] == 200
    assert deployment.process_by_ip.pop(FRONTS[0]).wait(10) == 0


def begin_stop(deployment, ip):
    """Let an entry host begin its stop; return its process, and until when it accepts callers.

    That is on the clock of the system, as in its log.
    """
    process = deployment.process_by_ip.pop(ip)
    process.send_signal(signal.SIGTERM)
    # No call is made meanwhile: it must act on the signal while it is idle.
    wait_until(lambda: deployment.logged("server:draining", [ip]))
    (line,) = deployment.logged("server:draining", [ip])
    return process, line["timestamp"] + STOP_ANNOUNCE_SECONDS


class SlowCaller:
    """Submits a job; the last byte of its request is sent by ``finish``.

    Its connection, and what it sends, have arrived when it is made: no thread can be late.
    """

    def __init__(self, ip, number, seconds):
        body = json.dumps({"taskSpec": "100 ms", "steps": [{"count": 1, "cpu": 500}]}).encode()
        self.status = None
        """Of the answer; 0 if there was none, REFUSED if no connection was accepted."""

        self._last_byte = body[-1:]
        self._connection = http.client.HTTPConnection(ip, PORTS["front"], timeout=10.0)
        headers = {"Host": "h.example", "X-Deadline-Ms": str(int(seconds * 1000))}
        headers["Content-Length"] = str(len(body))
        try:
            self._connection.request("POST", f"/q/{number:016x}", body[:-1], headers)
        except ConnectionRefusedError:
            self.status = REFUSED
        self.sent_at = time.time()
        """When the request had been sent, or was refused, on the clock of the system."""

    def finish(self):
        """Send the last byte, and read the answer."""
        if self.status is not None:
            return
        try:
            self._connection.send(self._last_byte)
            self.status = self._connection.getresponse().status
        except (OSError, http.client.HTTPException):
            self.status = 0
        finally:
            self._connection.close()


# Guards against a caller's connection that is closed without an answer while its entry host
# stops: the leader answers after the entry host has left the load balancer's rotation.
def test_an_entry_host_that_stops_answers_the_requests_that_it_has_read(deployment):
    deployment.submit(50, "100 ms")
    before = SlowCaller(FRONTS[0], 51, seconds=6.0)
    front, accepts_until = begin_stop(deployment, FRONTS[0])
    meanwhile = SlowCaller(FRONTS[0], 52, seconds=6.0)
    wait_until(lambda: deployment.logged("server:closed_to_new", [FRONTS[0]]))
    with ThreadPoolExecutor() as pool:
        for caller in (before, meanwhile):
            pool.submit(caller.finish)
    assert before.status == 200
    # A caller that comes too late, on a busy machine, is refused and not cut off.
    assert meanwhile.status == 200 or (
        meanwhile.status == REFUSED and meanwhile.sent_at > accepts_until
    )
    assert front.wait(10) == 0


# Guards against callers that are cut off by the platform's kill, since the stop began late or
# a call to a suspended control host lasted too long.
def test_an_entry_host_that_stops_without_a_leader_answers_within_the_grace_time(deployment):
    deployment.submit(50, "100 ms")
    with ThreadPoolExecutor(10) as pool, paused(deployment, SEEDS):
        signalled_at = time.monotonic()
        front, accepts_until = begin_stop(deployment, FRONTS[0])
        callers = [SlowCaller(FRONTS[0], number, seconds=10.0) for number in range(60, 70)]
        for caller in callers:
            pool.submit(caller.finish)
        assert front.wait(10) == 0
        assert time.monotonic() - signalled_at < GRACE_SECONDS
    # A caller that comes too late, on a busy machine, is refused and not cut off.
    in_time = [c.status for c in callers if c.status != REFUSED or c.sent_at <= accepts_until]
    assert in_time, "all callers were too late"
    assert set(in_time) <= {503, 504}


ODD_ENTRIES = {
    "nested": b'{"service":"svc","labels":' + b"[" * 900 + b"]" * 900 + b"}",
    "number": b'{"sequence":' + b"9" * 5000 + b"}",
    "port": {"address": "127.0.0.1:99999"},
    "digits": {"address": "127.0.0.1:" + "9" * 5000},
    "superscript": {"address": "127.0.0.1:\u00b2"},
    "born": {"born": 2**63 - 1},
    "sequence": {"sequence": 2**63 - 1},
}
"""Entries of another writer: whole bodies, or the fields in which they differ from a valid one."""


# Guards against control hosts that end again and again, and tasks that never end, after another
# writer has left an odd entry among those of the workers.
def test_odd_entries_of_workers_stop_nothing(deployment):
    valid = {
        "service": "svc", "address": "127.0.0.1:9", "zone": "z1", "state": "ready", "sequence": 1,
        "capacity": {"cpu": 900_000, "memMb": 900_000, "gpu": 0}, "labels": ["a", "r1"], "born": 5,
    }  # fmt: skip

    def send(name, entry):
        body = entry if isinstance(entry, bytes) else json.dumps(valid | entry).encode()
        statuses = []
        for ip in SEEDS:
            url = f"http://{ip}:{PORTS['control']}/savoryshelf/instances/odd-{name}/heartbeat"
            statuses.append(deployment.http.request("POST", url, body=body).status)
        return statuses

    wait_until(lambda: all(accepts_connections(ip) for ip in SEEDS))
    for name, entry in ODD_ENTRIES.items():
        assert set(send(name, entry)) == {400}, name
    paths = [deployment.submit(n, "50 ms", count=6) for n in range(70, 75)]
    wait_until(lambda: all(deployment.state(path) == "completed" for path in paths))
    assert all(process.poll() is None for process in deployment.process_by_ip.values())
