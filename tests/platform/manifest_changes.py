"""An operator who changes manifests in series, and observers of what every host makes of them.

The checks go by the times of callers alone, and hold for every host at any time: an answer of
the wrong version is a break, no answer or a 503 is none.
"""

import http.client
import itertools
import json
import random
import threading
import time

import attrs

from .test_whole_path import FRONTS, PORTS, ROUTE

CONFIG_APPLY_SECONDS = 2.5
"""Time from the acknowledgement of a change until every host obeys it."""

ROLLBACK_SLACK_SECONDS = 0.25
"""A process that has shown a version goes back to no older one, this long after."""

OPERATOR_TIMEOUT_SECONDS = 1.0
MAX_REDIRECTS = 2
ACKNOWLEDGEMENT_TIMEOUT_SECONDS = 30.0
OPTIONAL_ROUTES = 6
CALLS_PAUSE_SECONDS = 0.05
CALLER_TIMEOUT_SECONDS = 3.0
SERVICES = [{"name": "svc", "admissionCheck": True}]
LIMITS = {
    "maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15000,
}  # fmt: skip
REFUSING_STATUSES = (400, 409, 412, 413, 422)
"""Statuses that end a call of the operator at once."""


def optional_prefix(number: int) -> str:
    """Return the prefix of a route that changes add and remove."""
    return f"/extra{number}/"


@attrs.define
class Change:
    """A manifest that was sent, and what became of it; times are monotonic seconds."""

    version: int
    body: dict
    sent_at: float
    acknowledged_at: float | None = None
    refused_with: int | None = None

    def has_route(self, prefix: str) -> bool:
        return any(route["pathPrefix"] == prefix for route in self.body["routes"])


@attrs.frozen
class Read:
    """An answer of a control host to a read of the manifest."""

    ip: str
    sent_at: float
    answered_at: float
    status: int
    body: dict | None = None


@attrs.frozen
class Request:
    """An answer of an entry host to a request on a route; a success means that the route is there.

    ``boot`` distinguishes the processes of one host, ``kind`` the ways to send a request.
    """

    ip: str
    boot: int
    sent_at: float
    answered_at: float
    status: int
    prefix: str
    kind: str = "count on a new connection"


class Connection:
    """Calls one address, on a connection that is kept open, or on a new one each time."""

    def __init__(self, ip: str, port: int, is_kept: bool, seconds: float):
        self._address = ip, port, seconds
        self._is_kept = is_kept
        self._connection = None

    def call(self, method, path, body=None, host=None):
        """Return the status, the headers and the body; the status is 0 without an answer."""
        ip, port, seconds = self._address
        headers = {"Host": host} if host else {}
        data = body if isinstance(body, bytes) or body is None else json.dumps(body).encode()
        if data is not None:
            headers["Content-Type"] = "application/json"
        connection = self._connection or http.client.HTTPConnection(ip, port, timeout=seconds)
        self._connection = None
        try:
            connection.request(method, path, data, headers)
            answer = connection.getresponse()
            answered = answer.status, answer.headers, answer.read()
        except (OSError, http.client.HTTPException):
            connection.close()
            return 0, {}, b""
        if self._is_kept and not answer.will_close:
            self._connection = connection
        else:
            connection.close()
        return answered


def operate(ip, method, path, body=None, seconds=OPERATOR_TIMEOUT_SECONDS):
    """Send one order to a control host, and follow its redirects."""
    for _ in range(MAX_REDIRECTS + 1):
        status, headers, data = Connection(ip, PORTS["control"], False, seconds).call(
            method, f"/savoryshelf/config/{path}", body
        )
        if status != 307:
            break
        ip = headers["Location"].split("/")[2].partition(":")[0]
    return status, data


class Operator:
    """Sends changes, valid ones and others, and keeps what was sent."""

    def __init__(self, control_ips: list[str], rng: random.Random):
        self._control_ips = control_ips
        self._rng = rng
        self._versions = itertools.count(1)
        self._prefixes: set[str] = set()
        self._lock = threading.Lock()
        self.changes: list[Change] = []
        self.invalid: list[tuple[str, Change]] = []

    def acknowledged(self) -> list[Change]:
        """Return the changes that were acknowledged."""
        return [change for change in self.changes if change.acknowledged_at is not None]

    def next_version(self) -> int:
        """Return a version that is higher than all before it, by an uneven step."""
        with self._lock:
            for _ in range(self._rng.randint(0, 4)):
                next(self._versions)
            return next(self._versions)

    def manifest(self, version: int) -> dict:
        """Return a manifest in which one optional route was added or removed."""
        with self._lock:
            self._prefixes ^= {optional_prefix(self._rng.randrange(OPTIONAL_ROUTES))}
            timeout_ms = 3000 + self._rng.randrange(1000)
            extra = [
                ROUTE | {"name": f"r{prefix}", "pathPrefix": prefix}
                for prefix in sorted(self._prefixes)
            ]
        routes = [ROUTE | {"timeoutMs": timeout_ms}, *extra]
        return {"version": version, "routes": routes, "services": SERVICES, "limits": LIMITS}

    def change(self) -> Change:
        """Send the next manifest until it is acknowledged or refused."""
        version = self.next_version()
        return self.send(Change(version, self.manifest(version), time.monotonic()))

    def send(self, change: Change) -> Change:
        """Send a manifest, the same to any host, until there is a clear answer."""
        self.changes.append(change)
        deadline, pause = time.monotonic() + ACKNOWLEDGEMENT_TIMEOUT_SECONDS, 0.05
        while time.monotonic() < deadline:
            status, _ = operate(self._rng.choice(self._control_ips), "POST", "put", change.body)
            if status == 200:
                change.acknowledged_at = time.monotonic()
                break
            if status in REFUSING_STATUSES:
                change.refused_with = status
                break
            time.sleep(pause)
            pause = min(1.0, pause * 2)
        return change

    def send_again(self, change: Change) -> None:
        """Send a change once more, as a copy that was late; it may get no clear answer."""
        status, _ = operate(self._rng.choice(self._control_ips), "POST", "put", change.body)
        if status in REFUSING_STATUSES:
            change.refused_with = status

    def send_other_content(self, change: Change) -> None:
        """Send other content under the version of a change; it may not be in force."""
        body = change.body | {"routes": self.manifest(change.version)["routes"]}
        operate(self._rng.choice(self._control_ips), "POST", "put", body)

    def send_invalid(self, defect: str) -> None:
        """Send a manifest with a higher version that no host may accept."""
        version = self.next_version()
        body = self.manifest(version)
        change = Change(version, body, time.monotonic())
        sent = DEFECTS[defect](body)
        status, _ = operate(self._rng.choice(self._control_ips), "POST", "put", sent)
        if status == 200:
            change.acknowledged_at = time.monotonic()
        self.invalid.append((defect, change))


DEFECTS = {
    "cut short": lambda body: json.dumps(body).encode()[:-40],
    "cut by one byte": lambda body: json.dumps(body).encode()[:-1],
    "empty": lambda body: b"",
    "unknown service": lambda body: body | {"routes": [ROUTE | {"service": "nobody"}]},
    "same place": lambda body: body | {"routes": [ROUTE, ROUTE | {"name": "again"}]},
    "no timeout": lambda body: body | {"routes": [ROUTE | {"timeoutMs": 0}]},
}
"""What makes a manifest invalid, as functions of a valid one."""


class Observers:
    """Threads that read the manifest and count routes at every host."""

    def __init__(self, deployment, boot_by_ip: dict[str, int]):
        self._deployment = deployment
        self._boot_by_ip = boot_by_ip
        self._stopping = threading.Event()
        self._threads = []
        self.reads: list[Read] = []
        self.requests: list[Request] = []

    def __enter__(self):
        for ip in self._deployment.control_ips:
            self._spawn(self._read_back, ip)
        for ip in FRONTS:
            for is_kept in (True, False):
                self._spawn(self._count, ip, is_kept)
            self._spawn(self._resend, ip)
        return self

    def _spawn(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def __exit__(self, *_):
        self._stopping.set()
        for thread in self._threads:
            thread.join(10)

    def _read_back(self, ip):
        while not self._stopping.wait(CALLS_PAUSE_SECONDS):
            sent_at = time.monotonic()
            status, data = operate(ip, "GET", "get")
            body = json.loads(data) if status == 200 else None
            self.reads.append(Read(ip, sent_at, time.monotonic(), status, body))

    def _count(self, ip, is_kept):
        connection = Connection(ip, PORTS["front"], is_kept, CALLER_TIMEOUT_SECONDS)
        kind = "count on a kept connection" if is_kept else "count on a new connection"
        # The last prefix is of a route that no manifest has.
        for number in itertools.cycle(range(OPTIONAL_ROUTES + 1)):
            if self._stopping.wait(CALLS_PAUSE_SECONDS):
                break
            self._request(ip, connection, kind, "GET", optional_prefix(number), "")

    def _resend(self, ip):
        """Submit one job on each optional route, again and again."""
        connection = Connection(ip, PORTS["front"], True, CALLER_TIMEOUT_SECONDS)
        body = {"taskSpec": "50 ms", "steps": [{"count": 1, "cpu": 100}]}
        for number in itertools.cycle(range(OPTIONAL_ROUTES)):
            if self._stopping.wait(CALLS_PAUSE_SECONDS):
                break
            prefix, job_id = optional_prefix(number), f"{number + 1:016x}"
            self._request(ip, connection, "resend", "POST", prefix, job_id, body)

    def _request(self, ip, connection, kind, method, prefix, job_id, body=None):
        sent_at, boot = time.monotonic(), self._boot_by_ip.get(ip, 0)
        status, _, _ = connection.call(method, prefix + job_id, body, ROUTE["host"])
        self.requests.append(Request(ip, boot, sent_at, time.monotonic(), status, prefix, kind))


def broken_rules(operator: Operator, reads: list[Read], requests: list[Request]) -> list[str]:
    """Return what the hosts did against the rules on manifests."""
    return [
        *_invalid_ones_taken(operator, reads),
        *_refused_changes(operator),
        *_older_reads(operator, reads),
        *_older_answers(operator, requests),
        *_regressions(operator, requests),
    ]


def _newest_in_force(operator: Operator, sent_at: float) -> int:
    """Return the highest version that binds a request sent at this time, or -1."""
    versions = [
        change.version
        for change in operator.changes
        if change.acknowledged_at is not None
        and change.acknowledged_at + CONFIG_APPLY_SECONDS < sent_at
    ]
    return max(versions, default=-1)


def _fitting_versions(operator: Operator, seen: Request) -> list[int]:
    """Return the versions that allow an answer, of those that had been sent when it came."""
    return [
        change.version
        for change in operator.changes
        if change.sent_at <= seen.answered_at
        and change.has_route(seen.prefix) == (seen.status == 200)
    ]


def _invalid_ones_taken(operator, reads):
    defect_by_version = {change.version: defect for defect, change in operator.invalid}
    for defect, change in operator.invalid:
        if change.acknowledged_at is not None:
            yield f"invalid ({defect}) and acknowledged: version {change.version}"
    for seen in reads:
        if seen.body and seen.body["version"] in defect_by_version:
            yield f"invalid ({defect_by_version[seen.body['version']]}) and read at {seen.ip}"


def _refused_changes(operator):
    for change in operator.changes:
        if change.refused_with is not None:
            yield f"valid and refused with {change.refused_with}: version {change.version}"


def _older_reads(operator, reads):
    body_by_version = {change.version: change.body for change in operator.changes}
    for seen in reads:
        if seen.status == 200:
            version, newest = seen.body["version"], _newest_in_force(operator, seen.sent_at)
            if version < newest:
                yield f"{seen.ip} at {seen.sent_at:.3f}: read {version}, in force {newest}"
            if body_by_version.get(version) != seen.body:
                yield f"{seen.ip} at {seen.sent_at:.3f}: version {version} is not as it was sent"


def _older_answers(operator, requests):
    for seen in requests:
        where = f"{seen.ip} ({seen.kind}) at {seen.sent_at:.3f}: {seen.status} for {seen.prefix}"
        if seen.status not in (0, 200, 404, 503, 504):
            yield where
        elif seen.status in (200, 404):
            newest = _newest_in_force(operator, seen.sent_at)
            if newest >= 0 and max(_fitting_versions(operator, seen), default=-1) < newest:
                yield f"{where}, in force {newest}"


def _regressions(operator, requests):
    """Judge a host by what it showed itself: the oldest version that an answer allows."""
    shown: dict[tuple[str, int], list[tuple[float, int]]] = {}
    for seen in sorted(requests, key=lambda each: each.answered_at):
        if seen.status not in (200, 404):
            continue
        earlier = shown.setdefault((seen.ip, seen.boot), [])
        latest = seen.sent_at - ROLLBACK_SLACK_SECONDS
        floor = max((version for at, version in earlier if at < latest), default=-1)
        fitting = _fitting_versions(operator, seen)
        if max(fitting, default=-1) < floor:
            yield f"{seen.ip} at {seen.sent_at:.3f}: went back behind {floor}, {seen.prefix}"
        if fitting:
            earlier.append((seen.answered_at, min(fitting)))
