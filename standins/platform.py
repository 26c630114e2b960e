"""Stand-in for the users' platform: a worker, and the settings file of a process.

Implements the part of the platform's protocol that tests of the adapter need:
leases, fencing tokens, confirmed stops, and ended runs, which are listed until
acknowledged.
"""

import itertools
import json
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import attrs
import urllib3

HEARTBEAT_SECONDS = 0.3

MAX_LISTED_ENDS = 500
"""Ends that one answer lists at most, as the platform's pages say."""


GANG_TIMEOUT_SECONDS = 3.0
"""How long a member of a gang waits for the others before it ends ``alone``."""

CHECKPOINT_MS = 500
"""A run that works saves a checkpoint each so many ms, and one when it is broken off."""


@attrs.define
class Gang:
    """One run of a gang: its members work from when all are there with the same checkpoint."""

    size: int
    checkpoint_by_task: dict[str, str] = attrs.field(factory=dict)
    began_at: float | None = None
    broken_at: float | None = None
    lock: threading.Lock = attrs.field(factory=threading.Lock)

    def join(self, task: str, checkpoint: str) -> None:
        """Add a member; those that carry another checkpoint do not find each other."""
        with self.lock:
            self.checkpoint_by_task[task] = checkpoint
            is_complete = len(self.checkpoint_by_task) == self.size
            if is_complete and len(set(self.checkpoint_by_task.values())) == 1:
                self.began_at = time.monotonic()

    def break_off(self, at: float) -> None:
        """End the work of all members: one of them has ended."""
        with self.lock:
            if self.broken_at is None:
                self.broken_at = at


class Gangs:
    """The gangs on the workers of one deployment, by the name of their step and their run."""

    def __init__(self):
        self._gang_by_run: dict[tuple[str, int], Gang] = {}
        self._lock = threading.Lock()

    def of(self, task: str, run: int, size: int) -> Gang:
        """Return the gang of a run."""
        with self._lock:
            return self._gang_by_run.setdefault((task.rpartition(".")[0], run), Gang(size))


@attrs.define
class _Run:
    """A run in progress; ``ends_at`` is on the monotonic clock, in seconds."""

    task: str
    number: int
    ends_at: float
    fails: bool = False
    gang: Gang | None = None
    saved_ms: int = 0
    """Work that the checkpoint of the start held."""

    def checkpoint(self, now: float) -> str:
        """Return what has been saved; only members of gangs save anything."""
        if self.gang is None:
            return ""
        worked_ms = 0
        if self.gang.began_at is not None:
            until = min(now, self.gang.broken_at or now)
            worked_ms = int(1000 * (until - self.gang.began_at))
            if self.gang.broken_at is None:
                worked_ms -= worked_ms % CHECKPOINT_MS
        return f"{self.saved_ms + worked_ms:08d}" if self.saved_ms + worked_ms else ""


@attrs.define
class RunRecord:
    """A run as its worker saw it; times are on the monotonic clock, in seconds.

    ``is_acknowledged`` tells whether its end was acknowledged before the lease lapsed.
    """

    task: str
    number: int
    started_at: float
    ended_at: float = float("inf")
    outcome: str = ""
    end_number: int = 0
    is_acknowledged: bool = False


class PlatformWorker:
    """One worker; the first word of a ``taskSpec`` is the duration of the run in ms.

    If the word is "fail", the run fails at once.  "... gang of N" makes the task a member of a
    gang of that many tasks, on workers that share ``gangs``.  ``starts`` lists every start as
    (task, run), ``ends`` every end as (number of the end, task, run, outcome, checkpoint),
    and ``records`` every run with its times.
    """

    def __init__(
        self,
        worker_id: str,
        control_addresses: list[str],
        address: str = "127.0.0.1:0",
        gangs: Gangs | None = None,
    ):
        self.worker_id = worker_id
        self.gangs = gangs or Gangs()
        self.starts: list[tuple[str, int]] = []
        self.ends: list[tuple[int, str, int, str, str]] = []
        self.records: dict[tuple[str, int], RunRecord] = {}
        self.draining = False
        self._control = control_addresses
        self._born_ms = int(time.time() * 1000)
        self._sequence = itertools.count(1)
        self._lock = threading.RLock()
        self._running: dict[tuple[str, int], _Run] = {}
        self._max_rejected_run_by_task: dict[str, int] = {}
        self._fencing_token = 0
        self._lease_expires_ms = 0
        self._lapsed_at = 0.0
        self._acknowledged_end = 0
        self._end_numbers = itertools.count(1)
        self._stopped = threading.Event()
        host, _, port = address.rpartition(":")
        self._server = ThreadingHTTPServer((host, int(port)), self._handler())
        self._server.daemon_threads = True
        # A connection that was cut is no error of the worker.
        self._server.handle_error = lambda *_: None
        self.address = f"{host}:{self._server.server_address[1]}"
        for loop in (self._server.serve_forever, self._send_heartbeats):
            threading.Thread(target=loop, daemon=True).start()

    def close(self) -> None:
        """Stop answering, as after a crash."""
        self._stopped.set()
        with self._lock:
            for run in self._running.values():
                if run.gang is not None:
                    run.gang.break_off(time.monotonic())
        self._server.shutdown()
        self._server.server_close()

    def clock_ms(self) -> int:
        """Return the monotonic clock of this worker, in ms."""
        return int(time.monotonic() * 1000)

    # ------------------------------------------------------------------------- calls

    def _call(self, path: str, body: dict) -> tuple[int, dict]:
        with self._lock:
            self._end_due_runs()
            if body.get("fencingToken", 0) < self._fencing_token:
                return 409, {"reason": "fence"}
            self._fencing_token = body["fencingToken"]
            kind = path.rpartition("/")[2]
            status, reply = getattr(self, "_on_" + kind.replace("-", "_"))(body)
        if kind == "hold" and body.get("waitMs"):
            # Without the lock, so that other calls are answered during the long poll.
            self._wait_for_end(body)
            status, reply = self._on_hold(body)
        return status, reply | {"born": self._born_ms}

    def _on_run_start(self, body: dict) -> tuple[int, dict]:
        task, run = body["task"], body["run"]
        self._extend_lease(body["deadlineMs"])
        if (task, run) in self._running:
            return 200, {}
        if run <= self._max_rejected_run_by_task.get(task, 0):
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        word = body["taskSpec"].split()[0]
        seconds = 0.0 if word == "fail" else int(word) / 1000
        started = _Run(task, run, time.monotonic() + seconds, word == "fail")
        _, is_member, size = body["taskSpec"].partition("gang of ")
        if is_member:
            checkpoint = body.get("checkpoint", "")
            started.saved_ms = int(checkpoint or 0)
            started.gang = self.gangs.of(task, run, int(size))
            started.gang.join(task, checkpoint)
        self._running[task, run] = started
        self.starts.append((task, run))
        self.records[task, run] = RunRecord(task, run, time.monotonic())
        return 200, {}

    def _on_run_stop(self, body: dict) -> tuple[int, dict]:
        key = body["task"], body["run"]
        if key in self._running:
            self._end(self._running[key], "stopped", time.monotonic())
        self._max_rejected_run_by_task[key[0]] = max(
            key[1], self._max_rejected_run_by_task.get(key[0], 0)
        )
        return 200, {}

    def _on_pace(self, body: dict) -> tuple[int, dict]:
        return 200, {}

    def _on_hold(self, body: dict) -> tuple[int, dict]:
        with self._lock:
            self._end_due_runs()
            self._extend_lease(body.get("deadlineMs", 0))
            self._acknowledge(body["lastSeen"])
            # Task, run, checkpoint, progress in percent, gauge.
            now = time.monotonic()
            running = [[r.task, r.number, r.checkpoint(now), 10, 0] for r in self._running.values()]
            ends = [list(end) for end in self.ends if end[0] > self._acknowledged_end]
            return 200, {"running": running, "endedRuns": ends[:MAX_LISTED_ENDS]}

    def _wait_for_end(self, body: dict) -> None:
        deadline = time.monotonic() + body["waitMs"] / 1000
        while time.monotonic() < deadline and not self._on_hold(body)[1]["endedRuns"]:
            time.sleep(0.02)

    # ------------------------------------------------------------------------- state

    def _extend_lease(self, deadline_ms: int) -> None:
        self._lease_expires_ms = max(self._lease_expires_ms, deadline_ms)

    def _acknowledge(self, end_number: int) -> None:
        for record in self.records.values():
            if self._acknowledged_end < record.end_number <= end_number:
                record.is_acknowledged = record.ended_at >= self._lapsed_at
        self._acknowledged_end = max(self._acknowledged_end, end_number)

    def _end_due_runs(self) -> None:
        now, lease_ends_at = time.monotonic(), self._lease_expires_ms / 1000
        if now > lease_ends_at:
            self._lapsed_at = lease_ends_at
        for run in list(self._running.values()):
            if run.gang is not None:
                self._end_member_if_due(run, now, lease_ends_at)
            elif now > lease_ends_at and run.ends_at > lease_ends_at:
                self._end(run, "lapsed", lease_ends_at)
            elif now >= run.ends_at:
                self._end(run, "failed" if run.fails else "done", run.ends_at)

    def _end_member_if_due(self, run: _Run, now: float, lease_ends_at: float) -> None:
        gang, started_at = run.gang, self.records[run.task, run.number].started_at
        if gang.broken_at is not None:
            self._end(run, "broken", gang.broken_at)
        elif now > lease_ends_at:
            self._end(run, "lapsed", lease_ends_at)
        elif gang.began_at is None:
            if now >= started_at + GANG_TIMEOUT_SECONDS:
                self._end(run, "alone", started_at + GANG_TIMEOUT_SECONDS)
        else:
            remaining = run.ends_at - started_at - run.saved_ms / 1000
            if now >= gang.began_at + remaining:
                self._end(run, "done", gang.began_at + remaining)

    def _end(self, run: _Run, outcome: str, ended_at: float) -> None:
        key = run.task, run.number
        if run.gang is not None and outcome not in ("done", "alone"):
            run.gang.break_off(ended_at)
        del self._running[key]
        self._max_rejected_run_by_task[run.task] = run.number
        self.ends.append((next(self._end_numbers), *key, outcome, run.checkpoint(ended_at)))
        record = self.records[key]
        record.ended_at, record.outcome = ended_at, outcome
        record.end_number = self.ends[-1][0]

    def _send_heartbeats(self) -> None:
        pool = urllib3.PoolManager(timeout=1.0, retries=False)
        while not self._stopped.wait(HEARTBEAT_SECONDS):
            body = {
                "service": "svc", "address": self.address, "zone": "z1", "version": "v1",
                "slots": 8, "state": "draining" if self.draining else "ready",
                "coldRemainingMs": 0, "clockMs": self.clock_ms(), "born": self._born_ms,
                "capacity": {"cpu": 4000, "memMb": 4000, "gpu": 0}, "labels": ["a", "r1"],
                "sequence": next(self._sequence),
            }  # fmt: skip
            for address in self._control:
                if self._send_heartbeat(pool, address, json.dumps(body)):
                    break

    def _send_heartbeat(self, pool, address: str, body: str) -> bool:
        url = f"http://{address}/savoryshelf/instances/{self.worker_id}/heartbeat"
        try:
            answer = pool.request("POST", url, body=body, redirect=False)
            if answer.status == 307:
                url = answer.headers["Location"]
                answer = pool.request("POST", url, body=body, redirect=False)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def _handler(self):
        worker = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                if worker._stopped.is_set():
                    self.close_connection = True
                    return
                if self.headers.get("X-Expect-Instance") != worker.worker_id:
                    status, reply = 421, {}
                else:
                    status, reply = worker._call(self.path, body)
                if worker._stopped.is_set():
                    # A call that was in progress when the worker crashed.
                    self.close_connection = True
                    return
                data = json.dumps(reply | {"clockMs": worker.clock_ms()}).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *arguments):
                pass

        return Handler


def platform_settings(
    role: str, ip: str, ports: dict[str, int], seeds: list[str], folder: str
) -> dict:
    """Return the settings of a process, as the platform writes them to its settings file."""
    names = ["front", "ready"] if role == "front" else ["control"]
    return {
        "node": f"{role}-{ip}", "role": role, "ip": ip, "zone": "z1", "region": "r1",
        "zones": {"z1": "r1"}, "listen": {name: f"{ip}:{ports[name]}" for name in names},
        "internalPorts": [ports["peers"], ports["peers"]],
        "seeds": [f"{seed}:{ports['control']}" for seed in seeds],
        "bootstrap": True, "dataDirectory": folder,
        "bounds": {"maxHoldMs": 3000, "graceS": 6, "status_s": 120},
    }  # fmt: skip
