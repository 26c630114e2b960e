"""A site on loopback: real processes of the product and stand-in workers."""

import contextlib
import itertools
import json
import os
import resource
import signal
import socket
import subprocess
import sys
import time

import attrs
import urllib3

from savoryshelf.tokens import OPERATOR, TARGET, TEAM_PREFIX, issue

from .load import CONVERTER, LoadPlan, LoadResults, unrepeatable_keys
from .record import ExecutionRecord, RecordCheck, check_events, read_events

CLUSTER_KEY = "loopback-cluster-key"
TOKEN_KEY = "loopback-tokens-key"  # noqa: S105
FAILURE_DOMAINS = ("fd-1", "fd-2", "fd-3")
READY_TIMEOUT_SECONDS = 40.0
STOP_TIMEOUT_SECONDS = 20.0
LOAD_TIMEOUT_SECONDS = 120.0

DECLARATIONS = {
    "customer": "demo",
    "site": "loopback",
    "services": {"quotes": {"target_ms": 250, "timeout_ms": 3000, "cores": 1, "memory_mb": 512}},
    "batch_classes": {
        "routing": {"repeatable": True, "cores": 2, "memory_mb": 2048},
        "truck-dispatch": {"repeatable": False, "cores": 1, "memory_mb": 512},
    },
    "teams": {"recife": {"max_running": 200, "max_queued": 5000}},
    "limits": {"report_interval_s": 1.0, "task_lease_s": 4.0},
}


_SITE_NUMBERS = itertools.cycle(range(1, 200))
"""The last numbers of loopback addresses; those from 200 on are for tests with fixed addresses."""


def loopback_address() -> str:
    """Return a loopback address that no other site uses.

    It is handed out again after 198 others, when a long series of runs has left it long ago.
    On a shared address, a site could take the port of a process of another
    site that is being restarted.
    """
    process = os.getpid()
    return f"127.{1 + process // 250 % 250}.{1 + process % 250}.{next(_SITE_NUMBERS)}"


def free_addresses(ip: str, count: int) -> list[str]:
    """Return distinct addresses with ports that are free now."""
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for connection in sockets:
            connection.bind((ip, 0))
        return [f"{ip}:{connection.getsockname()[1]}" for connection in sockets]


@attrs.define
class Process:
    """One process of the site, which can be restarted."""

    name: str
    command: list[str]
    environment: dict[str, str]
    log_path: str
    popen: subprocess.Popen | None = None

    def start(self) -> None:
        """Start the process; its output is appended to ``log_path``."""
        with open(self.log_path, "a", encoding="utf-8") as log:
            self.popen = subprocess.Popen(
                self.command, env=os.environ | self.environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.popen.send_signal(number)

    def limit_file_size(self, max_bytes: int) -> None:
        """Make writes fail beyond this file size, to simulate a full disk."""
        hard = resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE)[1]
        resource.prlimit(self.popen.pid, resource.RLIMIT_FSIZE, (max_bytes, hard))

    def kill(self) -> None:
        """Kill the process, as in a host failure."""
        self.popen.kill()
        self.popen.wait()

    def stop(self) -> int:
        """Stop the process gracefully and return its exit code; kill it after a timeout."""
        self.popen.terminate()
        try:
            return self.popen.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL


class Site:
    """The processes of a site, and the calls to it by tests, benchmarks and the demo."""

    def __init__(
        self,
        folder: str,
        controls: int = 3,
        entries: int = 2,
        workers: int = 6,
        declarations: dict | None = None,
        worker_options: list[str] | None = None,
    ):
        self.folder = folder
        self.declarations = declarations or DECLARATIONS
        self.record_path = os.path.join(folder, "record.jsonl")
        self.process_by_name: dict[str, Process] = {}
        self.http = urllib3.PoolManager(retries=False, timeout=10.0, maxsize=32)
        # Allocated in one call: two calls could return the same port.
        self._free_addresses = free_addresses(loopback_address(), 2 * (controls + entries))
        self._add_controls(controls)
        self._add_entries(entries)
        self._add_workers(workers, worker_options or [])

    # ------------------------------------------------------------------ processes

    def _add_controls(self, count: int) -> None:
        self.control_addresses = self._take_addresses(count)
        self.control_http = self._take_addresses(count)
        self.control_hosts = ",".join(
            f"c{n}={address}@{FAILURE_DOMAINS[n % 3]}"
            for n, address in enumerate(self.control_addresses)
        )
        for number in range(count):
            settings = {
                "ROLE": "control",
                "NAME": f"c{number}",
                "LISTEN": self.control_addresses[number],
                "HTTP_LISTEN": self.control_http[number],
                "DATA_FOLDER": os.path.join(self.folder, f"c{number}-data"),
                "FAILURE_DOMAIN": FAILURE_DOMAINS[number % 3],
            }
            self._add_daemon(f"c{number}", settings)

    def _take_addresses(self, count: int) -> list[str]:
        return [self._free_addresses.pop() for _ in range(count)]

    def _add_entries(self, count: int) -> None:
        self.entry_urls = [f"http://{address}" for address in self._take_addresses(count)]
        peer_addresses = self._take_addresses(count)
        for number in range(count):
            settings = {
                "ROLE": "entry",
                "NAME": f"e{number}",
                "LISTEN": peer_addresses[number],
                "HTTP_LISTEN": self.entry_urls[number].removeprefix("http://"),
                "TOKEN_KEY": TOKEN_KEY,
                "FAILURE_DOMAIN": FAILURE_DOMAINS[number % 3],
                "DRAIN_SECONDS": "0.5",
            }
            self._add_daemon(f"e{number}", settings)

    def _add_daemon(self, name: str, settings: dict[str, str]) -> None:
        settings |= {"CONTROL_HOSTS": self.control_hosts, "CLUSTER_KEY": CLUSTER_KEY}
        environment = {f"SAVORYSHELF_{key}": value for key, value in settings.items()}
        self._add(name, [sys.executable, "-m", "savoryshelf.daemon.main"], environment)

    def _add_workers(self, count: int, options: list[str]) -> None:
        self.add_worker_process("workers", count, loopback_address(), options)

    def add_worker_process(self, name: str, count: int, ip: str, options: list[str]) -> Process:
        """Add a process of stand-in workers that listen on that address."""
        # A separate address: workers bind any free port, and a dead worker frees its port, so on
        # the daemons' address they could take the port of a daemon that is being restarted.
        command = [sys.executable, "-m", "standins.host", "--count", str(count)]
        command += ["--ip", ip]
        command += ["--entries", ",".join(self.entry_urls), "--record", self.record_path]
        command += ["--token", issue(TOKEN_KEY, TARGET), *options]
        self._add(name, command, {})
        return self.process_by_name[name]

    def _add(self, name: str, command: list[str], environment: dict[str, str]) -> None:
        log_path = os.path.join(self.folder, f"{name}.log")
        self.process_by_name[name] = Process(name, command, environment, log_path)

    @contextlib.contextmanager
    def running(self):
        """Start all processes, wait until the site serves, and kill them at the end."""
        try:
            for process in self.process_by_name.values():
                process.start()
            self.wait_until_serving()
            yield self
        finally:
            for process in self.process_by_name.values():
                if process.popen is not None and process.popen.poll() is None:
                    process.signal(signal.SIGCONT)
                    process.kill()

    @contextlib.contextmanager
    def under_load(self, plan: LoadPlan):
        """Send load from another process during the block; the yielded list gets the results."""
        plan_path = os.path.join(self.folder, "plan.json")
        ledger_path = os.path.join(self.folder, "ledger.json")
        with open(plan_path, "w", encoding="utf-8") as file:
            file.write(CONVERTER.dumps(plan))
        command = [sys.executable, "-m", "standins.load", plan_path, ledger_path]
        self._add("load", command, {})
        self.process_by_name["load"].start()
        collected: list[LoadResults] = []
        yield collected
        self.process_by_name["load"].popen.wait(plan.seconds + LOAD_TIMEOUT_SECONDS)
        with open(ledger_path, encoding="utf-8") as file:
            collected.append(CONVERTER.loads(file.read(), LoadResults))

    def metrics_url(self, name: str) -> str:
        """Return the URL of a daemon's metrics."""
        return f"http://{self.process_by_name[name].environment['SAVORYSHELF_HTTP_LISTEN']}/metrics"

    def worker_url(self, worker_id: str) -> str:
        """Return a worker's URL, from the operators' view."""
        targets = self.view("targets")
        return next(t["url"] for t in targets if t["worker_id"] == worker_id)

    def check_record(self, results: LoadResults) -> RecordCheck:
        """Check the workers' execution record."""
        return check_events(read_events(self.record_path), unrepeatable_keys(results))

    # ---------------------------------------------------------------------- calls

    def call(self, method: str, path: str, token: str, url: str = "", **options):
        """Call an entry host; return the status and the content, decoded if it is JSON."""
        headers = {"Authorization": f"Bearer {token}"} | options.pop("headers", {})
        full_url = (url or self.entry_urls[0]) + path
        response = self.http.request(method, full_url, headers=headers, **options)
        if "json" in response.headers.get("Content-Type", ""):
            return response.status, json.loads(response.data)
        return response.status, response.data

    @property
    def operator_token(self) -> str:
        """Return the operators' token."""
        return issue(TOKEN_KEY, OPERATOR)

    def team_token(self, team: str = "recife") -> str:
        """Return a team's token."""
        return issue(TOKEN_KEY, TEAM_PREFIX + team)

    def view(self, name: str, argument: str = "", url: str = ""):
        """Return an operators' view, or None if the call fails."""
        path = f"/v1/operator/views/{name}?argument={argument}"
        try:
            status, content = self.call("GET", path, self.operator_token, url)
        except (urllib3.exceptions.HTTPError, OSError):
            return None
        return content if status == 200 else None

    def apply(self, declarations: dict, expected_version: int, operation_id: str, url: str = ""):
        """Apply declarations; return the status and content of the reply."""
        change = {
            "declarations": declarations,
            "expected_version": expected_version,
            "operation_id": operation_id,
            "author": "stand-in",
        }
        path = "/v1/operator/configuration"
        return self.call("PUT", path, self.operator_token, url, body=json.dumps(change))

    def wait_until_serving(self) -> None:
        """Wait for a leader, apply the declarations, and wait until all workers are adopted."""
        self.wait_for(lambda: self.view("status") is not None, "a control leader")
        self.wait_for(
            lambda: self.apply(self.declarations, 0, "first")[0] == 200,
            "the declarations to be applied",
        )
        self.wait_for(self._all_ready, "entry hosts to be ready")
        self.wait_for(self._all_adopted, "workers to be adopted")

    def _all_ready(self) -> bool:
        return all(
            self.http.request("GET", url + "/readyz").status == 200 for url in self.entry_urls
        )

    def _all_adopted(self) -> bool:
        targets = self.view("targets") or []
        command = self.process_by_name["workers"].command
        expected = int(command[command.index("--count") + 1])
        return len(targets) >= expected and all(t["adopted"] for t in targets)

    def wait_for(self, condition, description: str, seconds: float = READY_TIMEOUT_SECONDS):
        """Return the first true value of ``condition``; raises TimeoutError after ``seconds``."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            try:
                value = condition()
            except (urllib3.exceptions.HTTPError, OSError):
                value = None
            if value:
                return value
            time.sleep(0.1)
        raise TimeoutError(f"waited {seconds} s for {description}; logs are in {self.folder}")

    def record_worker_deaths(self, worker_id: str = "") -> None:
        """Record the death of every worker that started a task: a killed process cannot do so.

        With a ``worker_id``, only that worker's.
        """
        record = ExecutionRecord(self.record_path)
        for event in read_events(self.record_path):
            if event["event"] == "start" and worker_id in ("", event["worker"]):
                record.write("died", event["worker"], incarnation=event["incarnation"])

    def leader(self) -> str:
        """Return the name of the control host that is the leader."""
        return self.wait_for(lambda: self.view("status"), "a leader")["leader"].partition(".")[0]
