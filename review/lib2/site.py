"""A small deployment on loopback: control hosts and entry hosts, started as the deploy file says.

Each host has a loopback address of its own, so that all of them use the same ports.  The processes
are started with the settings that the platform's page on deployment shows, and ended at the end.
"""

import contextlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
METRICS_PORT = 9464
BOUNDS = {
    "seedLagS": 3,
    "addressReuseS": 2,
    "contactMs": 4000,
    "ackMs": 5000,
    "catchUpS": 4,
    "drainMs": 2500,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2500,
    "rollbackSlackMs": 250,
    "maxStretchMs": 6000,
    "recoveryS": 12,
    "maxHoldMs": 10000,
    "stopMs": 400,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "remoteFactor": 3,
    "checkpointS": 1,
    "restoreMs": 250,
    "noticeMs": 5500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "requireFencing": True,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
}
"""The bounds of the site ``sites/fvsco-caning.toml``."""

ZONES = {"burnaby": "lower-mainland", "langley": "lower-mainland", "kelowna": "interior"}
START_SECONDS = 30.0


class CannotRun(Exception):
    """The case could not be brought about; says nothing about the rule."""


def _free_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        sockets = [stack.enter_context(socket.socket()) for _ in range(count)]
        for each in sockets:
            each.bind(("127.0.0.1", 0))
        return [each.getsockname()[1] for each in sockets]


class Host:
    """One machine with one process."""

    def __init__(self, site: "Site", role: str, ip: str, zone: str):
        self.site, self.role, self.ip, self.zone = site, role, ip, zone
        self.data = site.folder / f"data-{ip}"
        self.settings = site.folder / f"{ip}.json"
        self.log = site.folder / f"{role}-{ip}.log"
        self.process: subprocess.Popen | None = None

    @property
    def control_address(self) -> str:
        """Return where it serves workers and operators."""
        return f"{self.ip}:{self.site.ports['control']}"

    def write_settings(self, bootstrap: bool) -> None:
        """Write the settings file, by a rename."""
        ports = self.site.ports
        is_front = self.role == "front"
        names = ["front", "ready"] if is_front else ["control"]
        if not is_front:
            self.data.mkdir(exist_ok=True)
        fields = {
            "node": f"{self.role}-{self.ip}", "role": self.role, "machineClass": self.role,
            "serves": ["front"] if is_front else ["control"], "ip": self.ip, "zone": self.zone,
            "region": ZONES[self.zone], "zones": ZONES,
            "listen": {name: f"{self.ip}:{ports[name]}" for name in names},
            "internalPorts": [ports["peers"], ports["peers"] + 3],
            "seeds": [host.control_address for host in self.site.cores[:3]],
            "bootstrap": bootstrap, "toleranceMember": not is_front,
            "limits": {"cpuShare": 0.7, "cores": 2, "memoryMb": 300, "fileDescriptors": 4100,
                       "linkMbps": 1000.0, "diskMb": 0 if is_front else 128},
            "dataDirectory": None if is_front else str(self.data),
            "discovery": "registry", "entry": "virtual_ip", "heartbeatMs": 1100,
            "contracts": ["base", "drain", "config", "cost", "recover", "sched"],
            "faultTolerance": {"machines": 2, "zones": 0, "regions": 0},
            "bounds": BOUNDS, "config_mode": "highest", "orders": "call",
        }  # fmt: skip
        temporary = self.settings.with_suffix(".new")
        temporary.write_text(json.dumps(fields))
        temporary.rename(self.settings)

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        command = self.site.commands[self.role].split()
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environment["SAVORYSHELF_CONFIG"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Kill the process."""
        self.process.kill()
        self.process.wait()


class Site:
    """The hosts, a temporary folder with their files, and the record of the case."""

    def __init__(self, folder: pathlib.Path, cores: int = 5, fronts: int = 2):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="savoryshelf-review-"))
        self._record = open(folder / "record.txt", "w")  # noqa: SIM115
        self._began_at = time.monotonic()
        with open(ROOT / "deploy" / "system.toml", "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"] for name, role in roles.items()}
        names = ("control", "front", "ready", "peers")
        self.ports = dict(zip(names, _free_ports(len(names)), strict=True))
        net = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}"
        zones = list(ZONES)
        self.cores = [
            Host(self, "core", f"{net}.{10 + n}", zones[n % len(zones)]) for n in range(cores)
        ]
        self.fronts = [
            Host(self, "front", f"{net}.{30 + n}", zones[n % len(zones)]) for n in range(fronts)
        ]
        self.worker_ip = f"{net}.100"
        self._closers = []

    @property
    def hosts(self) -> list[Host]:
        """Return all hosts."""
        return [*self.cores, *self.fronts]

    def note(self, text: str) -> None:
        """Write a line to the record, with the seconds since the case began."""
        line = f"{time.monotonic() - self._began_at:8.3f} s  {text}"
        self._record.write(line + "\n")
        self._record.flush()

    def start(self, manifest: dict) -> None:
        """Start all processes, and wait until they serve."""
        for host in self.hosts:
            host.write_settings(bootstrap=True)
            host.start()
        self.note(f"{len(self.cores)} core and {len(self.fronts)} front processes started")
        self.wait_until(lambda: self.put_manifest(manifest), "the manifest to be accepted")
        self.wait_until(self._is_ready, "the entry hosts to be ready")
        for host in self.hosts:
            host.write_settings(bootstrap=False)
        # Lets the other control hosts become members.
        time.sleep(4.0)

    def _is_ready(self) -> bool:
        return all(
            call("GET", f"{host.ip}:{self.ports['ready']}", "/savoryshelf/readiness")[0] == 200
            for host in self.fronts
        )

    def put_manifest(self, manifest: dict) -> bool:
        """Send a manifest to one node after the other until one accepts it."""
        for host in self.cores:
            if host.process.poll() is not None:
                continue
            status, _ = call("POST", host.control_address, "/savoryshelf/config/put", manifest)
            if status == 200:
                self.note(f"manifest {manifest['version']} confirmed by {host.ip}")
                return True
        return False

    def wait_until(self, condition, what: str, seconds: float = START_SECONDS):
        """Return the first true value of a condition; raises CannotRun if none comes in time."""
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if value := condition():
                return value
            time.sleep(0.05)
        raise CannotRun(f"waited {seconds} s for {what}")

    def leader(self) -> Host | None:
        """Return the control host that leads, by the metric that each exposes; None if unknown."""
        for host in self.cores:
            if host.process.poll() is None:
                status, body = call("GET", f"{host.ip}:{METRICS_PORT}", "/metrics", parse=False)
                for line in body.decode().splitlines() if status == 200 else ():
                    if line.startswith("savoryshelf_leader") and line.split()[-1] in ("1", "1.0"):
                        return host
        return None

    def end_with(self, close) -> None:
        """Have something closed at the end of the case."""
        self._closers.append(close)

    def close(self) -> None:
        """End all that was started."""
        for close in self._closers:
            with contextlib.suppress(Exception):
                close()
        for host in self.hosts:
            if host.process is not None and host.process.poll() is None:
                host.kill()
        if os.environ.get("KEEP"):
            print(self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def call(method: str, address: str, path: str, body=None, headers=None, seconds=1.0, parse=True):
    """Make one call, following redirects twice; return its status, 0 for no answer, and body."""
    data = None if body is None else json.dumps(body).encode()
    for _ in range(3):
        connection = http.client.HTTPConnection(address, timeout=seconds)
        try:
            connection.request(
                method, path, data, {"Content-Type": "application/json", **(headers or {})}
            )
            answer = connection.getresponse()
            content = answer.read()
        except (OSError, http.client.HTTPException):
            return 0, {} if parse else b""
        finally:
            connection.close()
        if answer.status != 307:
            if not parse:
                return answer.status, content
            try:
                return answer.status, json.loads(content or b"{}")
            except ValueError:
                return answer.status, {}
        target = answer.headers["Location"].removeprefix("http://")
        address, _, rest = target.partition("/")
        path = "/" + rest
    return 0, {} if parse else b""


def manifest(version: int = 1, **route) -> dict:
    """Return a manifest with one queue and one service."""
    fields = {
        "name": "r-1", "host": "q.example", "pathPrefix": "/q/", "kind": "unsafe",
        "timeoutMs": 3000, "targetLatencyMs": 500, "priority": 0, "service": "svc",
        "maxAttempts": 3, "stretch": 1.5,
    }  # fmt: skip
    service = {
        "name": "svc", "healthPath": "/health", "maxConnections": 64, "protocol": "h1",
        "tls": False, "admissionCheck": True, "spare": False,
    }  # fmt: skip
    limits = {
        "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    }  # fmt: skip
    return {
        "version": version, "routes": [fields | route], "services": [service], "limits": limits
    }  # fmt: skip


class Requester:
    """A requester of the queue: hands submissions in, asks for their states and cancels them."""

    def __init__(self, site: Site):
        self._site = site
        self.next_front = 0

    def call(self, method: str, path: str, body=None) -> tuple[int, dict]:
        """Make one call at the next front; the requester waits for 3 s."""
        front = self._site.fronts[self.next_front % len(self._site.fronts)]
        self.next_front += 1
        headers = {"Host": "q.example", "X-Deadline-Ms": "3000"}
        return call(method, f"{front.ip}:{self._site.ports['front']}", path, body, headers, 3.2)

    def submit(self, steps: list[dict], spec: str = "task", **fields) -> str:
        """Hand a submission in until it is accepted; return its id."""
        job = f"{random.getrandbits(64):016x}"
        body = {"taskSpec": spec, "steps": steps, **fields}
        for _ in range(20):
            status, _ = self.call("POST", f"/q/{job}", body)
            self._site.note(f"POST {job}: {status}")
            if status == 200:
                return job
            time.sleep(0.3)
        raise CannotRun("the submission was not accepted")

    def state(self, job: str) -> tuple[int, str]:
        """Ask for the state of a submission; return the status and the state."""
        status, body = self.call("GET", f"/q/{job}")
        return status, body.get("state", "")

    def cancel(self, job: str) -> int:
        """Cancel a submission until that is confirmed; return the status."""
        for _ in range(20):
            status, _ = self.call("DELETE", f"/q/{job}")
            self._site.note(f"DELETE {job}: {status}")
            if status in (200, 410):
                return status
            time.sleep(0.3)
        raise CannotRun("the cancelling was not confirmed")


def run_case(case, folder: pathlib.Path, **shape) -> None:
    """Run ``case(site, has_trouble)``, which returns what broke the rule; exit as agreed."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes as well if the case itself is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    site = Site(folder, **shape)
    status = 2
    try:
        broken = case(site, has_trouble)
        status = 1 if broken else 0
        for line in broken:
            site.note(f"BROKEN: {line}")
            print(f"broken: {line}")
        site.note("the rule was broken" if broken else "the rule held")
    except CannotRun as error:
        site.note(f"could not run: {error}")
        print(f"could not run: {error}")
    finally:
        site.close()
    sys.exit(status)
