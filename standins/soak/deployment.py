"""The processes of a soak: they are started, signalled and restarted, as a platform does."""

import contextlib
import json
import math
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import threading
import time

import attrs
import urllib3

from ..late_orders import LateOrders
from ..links import Links
from ..platform import MAX_HOLD_MS, PlatformWorker, platform_settings, send_heartbeat, send_leave
from ..relay import Relay
from ..resets import RESET_SIGNAL, hook_environment, reset_connections
from ..site import loopback_address

ROOT = pathlib.Path(__file__).resolve().parents[2]
PORTS = {"front": 8161, "ready": 8167, "control": 8166, "peers": 7720}
SEED_COUNT = 3
GRACE_SECONDS = 6.0
"""Time that a process has to exit after SIGTERM, before it is killed."""

RESTART_SECONDS = 0.5
START_TIMEOUT_SECONDS = 30.0
FAR_SECONDS = 0.02
"""The delay of each way between the two regions, unless another one is given."""

READ_PAUSE_SECONDS = 0.2
DOWN_SPANS_SECONDS = ((0.1, 2.0), (MAX_HOLD_MS / 1000, 6.0), (math.inf, math.inf))
"""How long workers are down that a run has crashed: for less than a lease, for more, for good."""

ROUTE = {
    "name": "r", "host": "h.example", "pathPrefix": "/q/", "kind": "unsafe", "timeoutMs": 3000,
    "targetLatencyMs": 500, "priority": 0, "service": "svc", "maxAttempts": 2, "stretch": 1.5,
}  # fmt: skip

SERVICE = {"name": "svc", "admissionCheck": True}


@attrs.frozen
class Exit:
    """The end of a process; ``after_seconds`` is the time since SIGTERM, None if none was sent.

    ``was_listening`` tells whether it accepted connections at the time of SIGTERM.
    """

    at: float
    status: int
    after_seconds: float | None
    was_listening: bool


@attrs.frozen
class ManifestRead:
    """A manifest that a control host gave; ``sent_at`` is when it was asked."""

    ip: str
    sent_at: float
    version: int


@attrs.define
class Host:
    """One host: its process is restarted whenever it ends."""

    ip: str
    role: str
    folder: pathlib.Path
    process: subprocess.Popen | None = None
    terminated_at: float | None = None
    was_listening: bool = False
    signals: list[tuple[float, str]] = attrs.field(factory=list)
    exits: list[Exit] = attrs.field(factory=list)
    starts: list[float] = attrs.field(factory=list)
    dark_until: float = 0.0
    """The process is not started again before this time."""

    environment: dict[str, str] = attrs.field(factory=hook_environment)

    lock: threading.Lock = attrs.field(factory=threading.Lock)

    @property
    def settings_path(self) -> pathlib.Path:
        """Return the path of the settings file."""
        return self.folder / f"{self.ip}.json"

    @property
    def data_path(self) -> pathlib.Path:
        """Return the path of the data folder."""
        return self.folder / self.ip

    def start(self) -> None:
        """Start the process, unless it is dark; its output is appended to a log."""
        environment = os.environ | self.environment
        environment["SAVORYSHELF_CONFIG"] = str(self.settings_path)
        command = [sys.executable, "platform/run.py", self.role]
        with open(self.folder / f"{self.ip}.log", "ab") as log, self.lock:
            if time.monotonic() < self.dark_until:
                return
            self.terminated_at = None
            self.starts.append(time.monotonic())
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        with self.lock:
            if self.process.poll() is not None:
                return
            if number == signal.SIGTERM and self.terminated_at is None:
                self.was_listening = self._is_listening()
                self.terminated_at = time.monotonic()
            # Recorded before it is sent, as the process may end at once.
            self.signals.append((time.monotonic(), number.name))
            self.process.send_signal(number)

    def reset_connections(self) -> None:
        """Reset all TCP connections, unless the process has ended or just started."""
        with self.lock:
            self.signals.append((time.monotonic(), RESET_SIGNAL.name))
            if not reset_connections(self.process):
                self.signals.pop()

    def lose_disk(self) -> None:
        """Empty the data folder of a process that is dark."""
        self.process.wait()
        shutil.rmtree(self.data_path)
        self.data_path.mkdir()

    def supervise(self, stopping: threading.Event) -> None:
        """Restart the process whenever it ends, and kill it once the grace time is over."""
        while not stopping.wait(0.02):
            now, since = time.monotonic(), self.terminated_at
            status = self.process.poll()
            if status is not None:
                after = now - since if since else None
                self.exits.append(Exit(now, status, after, self.was_listening))
                self._start_again(stopping)
            elif since and now > since + GRACE_SECONDS:
                self.send(signal.SIGKILL)
                self.process.wait()

    def _start_again(self, stopping: threading.Event) -> None:
        count, ended_at = len(self.starts), time.monotonic()
        while len(self.starts) == count:
            is_dark = self.dark_until > ended_at
            start_at = self.dark_until if is_dark else ended_at + RESTART_SECONDS
            if stopping.wait(max(0.0, start_at - time.monotonic())):
                return
            self.start()

    def _is_listening(self) -> bool:
        port = PORTS["front" if self.role == "front" else "control"]
        with socket.socket() as connection:
            return connection.connect_ex((self.ip, port)) == 0

    def kill(self) -> None:
        """End the process at the end of a run."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()


class Deployment:
    """Control hosts, entry hosts with a relay each, and workers behind relays.

    With ``are_linked``, hosts reach control hosts over links, across two regions.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        entries: int,
        controls: int,
        workers: int,
        are_linked: bool = False,
        far_seconds: float = FAR_SECONDS,
    ):
        self._folder = folder
        self._ip = loopback_address()
        self.controls = [Host(loopback_address(), "core", folder) for _ in range(controls)]
        self.entries = [Host(loopback_address(), "front", folder) for _ in range(entries)]
        self.hosts = [*self.controls, *self.entries]
        self.links: Links | None = None
        self._are_linked = are_linked
        self._far_seconds = far_seconds
        self.relays: list[Relay] = []
        self.workers: list[PlatformWorker] = []
        self.acknowledged_version = 0
        self.acknowledged_at_by_version: dict[int, float] = {}
        self.manifest_reads: list[ManifestRead] = []
        self.job_accepted = threading.Event()
        self.lull_count = 0
        """Callers but the first few pause unless this is 0."""

        self.series_until = 0.0
        """When the series of faults ends, on the monotonic clock."""

        self._worker_count = workers
        self._worker_relays: list[Relay] = []
        self._next_version = 1
        self._seeds = [host.ip for host in self.controls[:SEED_COUNT]]
        self._is_first_start = True
        self._stopping = threading.Event()
        self._lock = threading.Lock()
        self.http = urllib3.PoolManager(timeout=1.0, retries=False, maxsize=8)

    @contextlib.contextmanager
    def running(self):
        """Start everything, wait until a manifest is accepted, and end it all afterwards."""
        supervisors = []
        try:
            if self._are_linked:
                self._lay_links()
            for host in self.hosts:
                self.write_settings(host)
                host.start()
                supervisors.append(
                    threading.Thread(target=host.supervise, args=(self._stopping,), daemon=True)
                )
                supervisors[-1].start()
            for host in self.entries:
                self.relays.append(Relay(f"{host.ip}:{PORTS['front']}", ip=self._ip))
            for number in range(self._worker_count):
                self._add_worker(f"w{number}")
            self.wait_for(lambda: self.change_manifest(), "a manifest to be accepted")
            # Until then, two lost disks may be too many.
            self.wait_for(self._all_vote, "all control hosts to have a vote")
            self._is_first_start = False
            for host in self.hosts:
                self.write_settings(host)
            self.wait_for(self._all_ready, "entry hosts to be ready")
            yield self
        finally:
            self._stopping.set()
            for supervisor in supervisors:
                supervisor.join()
            for host in self.hosts:
                host.kill()
            for each in [*self.workers, *self.relays, *self._worker_relays]:
                each.close()
            if self.links:
                self.links.close()

    def _lay_links(self) -> None:
        """Let all hosts call control hosts over links; the smaller half is in a far region."""
        far = {
            host.ip
            for hosts in (self.controls, self.entries)
            for host in hosts[(len(hosts) + 1) // 2 :]
        }
        self.links = Links(
            self._folder,
            [host.ip for host in self.hosts],
            [host.ip for host in self.controls],
            [PORTS["control"], PORTS["peers"]],
            lambda *way: self._far_seconds if len(far.intersection(way)) == 1 else 0.0,
        )
        for host in self.hosts:
            host.environment = self.links.environment(host.ip)

    def _add_worker(self, name: str) -> None:
        addresses = [f"{host.ip}:{PORTS['control']}" for host in self.controls]
        self.workers.append(
            PlatformWorker(name, addresses, f"{self._ip}:0", announce=self._relay_worker)
        )

    def _relay_worker(self, address: str) -> str:
        """Return the address in a worker's heartbeats, where control hosts call it."""
        self._worker_relays.append(Relay(address, ip=self._ip))
        return self._worker_relays[-1].address

    def write_settings(self, host: Host) -> None:
        """Write the settings file of a host, by a rename."""
        host.data_path.mkdir(exist_ok=True)
        seeds = [*self._seeds]
        settings = platform_settings(host.role, host.ip, PORTS, seeds, str(host.data_path))
        settings["bootstrap"] = self._is_first_start
        settings["bounds"]["graceS"] = GRACE_SECONDS
        temporary = host.settings_path.with_suffix(".new")
        temporary.write_text(json.dumps(settings))
        temporary.rename(host.settings_path)

    def rotate_seeds(self) -> None:
        """Change the seeds in all settings files that are written from now on."""
        ips = [host.ip for host in self.controls]
        first = (ips.index(self._seeds[0]) + 1) % len(ips)
        self._seeds = (ips[first:] + ips[:first])[:SEED_COUNT]

    def wait_for(self, condition, description: str, seconds: float = START_TIMEOUT_SECONDS):
        """Return the first true value of ``condition``; raises TimeoutError after ``seconds``."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if value := condition():
                return value
            time.sleep(0.1)
        raise TimeoutError(f"waited {seconds} s for {description}; logs are in {self._folder}")

    # ------------------------------------------------------------------------ faults

    def entry(self, number: int) -> Host:
        """Return an entry host."""
        return self.entries[number % len(self.entries)]

    def control(self, number: int) -> Host:
        """Return a control host."""
        return self.controls[number % len(self.controls)]

    def entry_relay(self, number: int) -> Relay:
        """Return the relay between some callers and an entry host."""
        return self.relays[number % len(self.relays)]

    def worker(self, number: int) -> PlatformWorker:
        """Return a worker."""
        return self.workers[number % len(self.workers)]

    def worker_relay(self, number: int) -> Relay:
        """Return the relay of a worker."""
        return self._worker_relays[number % len(self._worker_relays)]

    def let_workers_crash(self, seed: int) -> None:
        """Let workers hold back orders when told to, and be down for a while after a deadly run.

        Some are down for less than a lease, some for more, some until the series ends.
        """
        rng = random.Random(f"crashed workers of {seed}")

        def down_seconds() -> float:
            left = max(0.0, self.series_until - time.monotonic())
            return min(left, rng.choice([rng.uniform(*span) for span in DOWN_SPANS_SECONDS]))

        for worker in self.workers:
            worker.late_orders = LateOrders(random.Random(f"{rng.random()} {worker.worker_id}"))
            worker.down_seconds_after_crash = down_seconds

    def partitions_of(self, worker_id: str) -> list[tuple[float, float]]:
        """Return when a worker was cut off: from, until, on the monotonic clock."""
        workers = zip(self.workers, self._worker_relays, strict=True)
        return next(r.partitions for worker, r in workers if worker.worker_id == worker_id)

    @contextlib.contextmanager
    def lull(self):
        """Let most callers pause."""
        with self._lock:
            self.lull_count += 1
        try:
            yield
        finally:
            with self._lock:
                self.lull_count -= 1

    def send_heartbeat(self, worker: PlatformWorker, body: dict) -> None:
        """Send a heartbeat in the name of a worker, to the first control host that takes it."""
        for address in worker.control_addresses:
            if send_heartbeat(self.http, address, worker.worker_id, body):
                break

    def send_leave(self, worker: PlatformWorker) -> None:
        """Send a leave in the name of a worker, to the first control host that takes it."""
        for address in worker.control_addresses:
            if send_leave(self.http, address, worker.worker_id):
                break

    def lose_power(self, until: float) -> None:
        """End all processes at once; none is started again before ``until``."""
        for host in self.hosts:
            host.dark_until = max(until, host.dark_until)
        for host in self.hosts:
            host.send(signal.SIGKILL)

    def lose_power_of(self, hosts: list[Host], seconds: float, are_disks_lost: bool) -> None:
        """End hosts, and start them again after a while.

        Over links there is no last word to the others.
        """
        until = time.monotonic() + seconds
        for host in hosts:
            host.dark_until = max(until, host.dark_until)
        dark = self.links.lose_power([host.ip for host in hosts]) if self.links else []
        for host in hosts:
            host.send(signal.SIGKILL)
            if are_disks_lost:
                host.lose_disk()
        time.sleep(max(0.0, until - time.monotonic()))
        if dark:
            self.links.heal(dark)

    def cuts_of(self, host: Host) -> list[tuple[float, float]]:
        """Return when a host was cut off from a control host: from, until."""
        controls = [each.ip for each in self.controls]
        return self.links.cuts_between(host.ip, controls) if self.links else []

    def leader(self) -> Host:
        """Return the control host that answers reads of the manifest itself, or else the first."""
        for host in self.controls:
            if self._operate(host, "GET", "get")[0] == 200:
                return host
        return self.controls[0]

    # ------------------------------------------------------------------------- calls

    def change_manifest(self) -> bool:
        """Put a manifest with the next version; return whether it was acknowledged."""
        with self._lock:
            version = self._next_version
            self._next_version += 1
        route = ROUTE | {"timeoutMs": 3000 + version}
        manifest = {"version": version, "routes": [route], "services": [SERVICE]}
        for host in self.controls:
            if self._operate(host, "POST", "put", manifest | {"limits": {}})[0] == 200:
                with self._lock:
                    self.acknowledged_version = max(self.acknowledged_version, version)
                    self.acknowledged_at_by_version[version] = time.monotonic()
                return True
        return False

    def read_manifests(self, host: Host, stopping: threading.Event) -> None:
        """Read the manifest at a control host, again and again."""
        while not stopping.wait(READ_PAUSE_SECONDS):
            sent_at = time.monotonic()
            status, body = self._operate(host, "GET", "get")
            if status == 200:
                version = json.loads(body)["version"]
                self.manifest_reads.append(ManifestRead(host.ip, sent_at, version))

    def manifest_version(self) -> int:
        """Return the version that the leader reads back, 0 if there is no answer."""
        for host in self.controls:
            status, body = self._operate(host, "GET", "get")
            if status == 200:
                return json.loads(body)["version"]
        return 0

    def _operate(self, host: Host, method: str, path: str, body=None) -> tuple[int, bytes]:
        url = f"http://{host.ip}:{PORTS['control']}/savoryshelf/config/{path}"
        data = json.dumps(body) if body else None
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            answer = self.http.request(method, url, body=data, redirect=False)
            return answer.status, answer.data
        return 0, b""

    def is_ready(self, host: Host) -> bool:
        """Return the answer of an entry host to the readiness probe."""
        url = f"http://{host.ip}:{PORTS['ready']}/savoryshelf/readiness"
        with contextlib.suppress(urllib3.exceptions.HTTPError):
            return self.http.request("GET", url).status == 200
        return False

    def _all_vote(self) -> bool:
        """Return whether all control hosts that are no seeds were promoted, as the logs have it."""
        logs = [(self._folder / f"{host.ip}.log").read_text() for host in self.controls]
        # A last line without its end is still being written.
        lines = [line for log in logs for line in log.split("\n")[:-1] if "group:changed" in line]
        changes = map(json.loads, lines)
        promoted = {each["replica"] for each in changes if each["change"] == "promote"}
        return len(promoted) >= len(self.controls) - SEED_COUNT

    def _all_ready(self) -> bool:
        return all(self.is_ready(host) for host in self.entries)
