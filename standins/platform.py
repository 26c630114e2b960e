"""Stand-in for the users' platform: a worker, and the settings file of a process.

Implements the part of the platform's protocol that tests of the adapter need:
leases, fencing tokens, confirmed stops, and ended runs, which are listed until
acknowledged.
"""

import contextlib
import itertools
import json
import math
import re
import socket
import struct
import threading
import time
from collections import defaultdict
from collections.abc import Callable, Iterable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

import attrs
import urllib3

from .interference import WINDOW_SECONDS, added_per_core, load, tail_ms
from .late_orders import HeldOrder, LateOrders
from .silence import silent

HEARTBEAT_SECONDS = 0.3
MAX_HOLD_MS = 3000
"""Longest lease; a longer one is shortened to it."""

MAX_LISTED_ENDS = 500
"""Ends that one answer lists at most, as the platform's pages say."""


GANG_TIMEOUT_SECONDS = 3.0
"""How long a member of a gang waits for the others before it ends ``alone``."""

CHECKPOINT_MS = 500
"""A run that works saves a checkpoint each so many ms, and one when it is broken off."""

FIRST_CLOCK_MS = 1000
"""Time on the clock of an incarnation when it begins."""

DOWN_SECONDS = 0.5
"""How long a worker is down that a run has crashed, unless told otherwise."""

UNANSWERED_SECONDS = 5.0
"""How long the connection of a call without an answer stays open; callers wait for less."""

CAPACITY = {"cpu": 4000, "memMb": 4000, "gpu": 0}
_NEED = re.compile(r"(\d+) cpu (\d+) mb")
"""What a run takes of its worker, in its ``taskSpec``."""

_SERVING = re.compile(r"serves (\S+) in (\d+) ms")
_BEST_EFFORT = re.compile(r"fills as (\S+)")
_DEADLY = re.compile(r"crashes its worker in (\d+) ms")
FULL_SPEED_PERCENT = 100

_LINGER_ZERO = struct.pack("ii", 1, 0)


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
    """A run in progress; ``ends_at`` is on the monotonic clock, in seconds, inf for no end.

    ``need`` is the processor time and memory that it takes of its worker.  A run with a
    ``target_ms`` serves, and a best-effort one uses ``spare_cores``; both have an ``image``.
    """

    task: str
    number: int
    ends_at: float
    fails: bool = False
    need: tuple[int, int] = (0, 0)
    gang: Gang | None = None
    saved_ms: int = 0
    """Work that the checkpoint of the start held."""

    work_seconds: float = math.inf
    """How long it works at full speed."""

    image: str = ""
    target_ms: int = 0
    spare_cores: float = 0.0

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


def _key(run: _Run) -> tuple[str, int]:
    return run.task, run.number


@attrs.define
class RunRecord:
    """A run as its worker saw it; times are on the monotonic clock, in seconds.

    ``incarnation`` is the number of the one that ran it.  ``is_acknowledged`` tells whether its
    end was acknowledged before the lease lapsed.
    """

    task: str
    number: int
    started_at: float
    ended_at: float = float("inf")
    outcome: str = ""
    end_number: int = 0
    is_acknowledged: bool = False
    worker_id: str = ""
    incarnation: int = 1
    is_lost: bool = False
    """Whether its incarnation ended before its end was acknowledged."""

    lost_at: float = 0.0
    workers_down: int = 1
    """When that was, and how many workers went down in the event that ended the incarnation."""

    fencing_token: int = 0
    ordered_in: int = 0
    ordered_at: float = 0.0
    """The token of its order, the incarnation that received this, and when; 0 for its own, and
    for its start.
    """

    speeds: list[tuple[float, int]] = attrs.field(factory=list)
    """When its speed was changed, and to how many percent; it starts at full speed."""

    @property
    def is_late(self) -> bool:
        """Return whether its order was meant for an earlier incarnation of the worker."""
        return 0 < self.ordered_in < self.incarnation

    def at_work(self) -> list[tuple[float, float, int]]:
        """Return the spans in which it was not paused: from, until, percent of full speed."""
        changes = [(self.started_at, FULL_SPEED_PERCENT), *self.speeds]
        ends = [*(at for at, _ in changes[1:]), self.ended_at]
        spans = zip(changes, ends, strict=True)
        return [(at, until, percent) for (at, percent), until in spans if percent and until > at]

    def worked_seconds(self, since: float, until: float) -> float:
        """Return the work done in a span, as the time that it takes at full speed."""
        return sum(
            max(0.0, min(until, last) - max(since, first)) * percent / FULL_SPEED_PERCENT
            for first, last, percent in self.at_work()
        )

    def __str__(self) -> str:
        return (
            f"run {self.number} on {self.worker_id} incarnation {self.incarnation}, "
            f"{self.started_at:.3f} to {self.ended_at:.3f} s {self.outcome or 'at work'}"
            f"{', acknowledged' if self.is_acknowledged else ''}"
            f"{', unread' if self.is_lost and self.outcome != 'crashed' else ''}"
            f"{f', {self.workers_down} workers down' if self.workers_down > 1 else ''}"
            f"{f', ordered in incarnation {self.ordered_in}' if self.is_late else ''}"
            f"{''.join(f', {percent}% from {at:.3f}' for at, percent in self.speeds)}"
        )


def doubled_runs(records: Iterable[RunRecord]) -> list[tuple[RunRecord, RunRecord]]:
    """Return the pairs of runs of one task that may not both have been (rule TWICE).

    The later one began while the earlier one was at work, or after it had ended ``done`` and
    that end was acknowledged at any time.
    """
    records_by_task = defaultdict(list)
    for record in sorted(records, key=lambda record: record.started_at):
        records_by_task[record.task].append(record)
    return [
        (earlier, later)
        for same_task in records_by_task.values()
        for earlier, later in itertools.combinations(same_task, 2)
        if earlier.ended_at > later.started_at
        or (earlier.outcome == "done" and earlier.is_acknowledged)
    ]


class PlatformWorker:
    """One worker over all its incarnations, which have the same id and address.

    The first word of a ``taskSpec`` is the duration of the run in ms.  If the word is "fail",
    the run fails at once; if it is "lasts", the run does not end by itself.  With "then fails"
    the run fails at its end.  "... N cpu M mb" is what the run takes of the worker, which
    rejects a run that does not fit.  "... gang of N" makes the task a member of a gang of that many
    tasks, on workers that share ``gangs``.  "... serves IMAGE in T ms" makes the run report a tail
    latency, which rises with its load and with the best-effort runs beside it: those of
    "... fills as IMAGE", which take no processor time of what the worker has.  "... crashes its
    worker in T ms" does that; the worker is down for ``down_seconds_after_crash()`` then.
    ``announce`` returns the address for its heartbeats, given the one where it listens.
    """

    def __init__(
        self,
        worker_id: str,
        control_addresses: list[str],
        address: str = "127.0.0.1:0",
        gangs: Gangs | None = None,
        announce: Callable[[str], str] = str,
    ):
        self.worker_id = worker_id
        self.control_addresses = control_addresses
        self.gangs = gangs or Gangs()
        self.draining = False
        self.is_silent = False
        """Whether it sends no heartbeats."""

        self.late_orders: LateOrders | None = None
        """What it leaves unanswered; it answers all calls without."""

        self.down_seconds_after_crash: Callable[[], float] = lambda: DOWN_SECONDS
        self.incarnations: list[WorkerIncarnation] = []
        self.made_at = time.monotonic()
        self._restarting = threading.Lock()
        self._is_closed = False
        server = _Server(address)
        self._listen_address = f"{server.server_address[0]}:{server.server_address[1]}"
        self.address = announce(self._listen_address)
        self.incarnations.append(WorkerIncarnation(self, server, 0.0))

    @property
    def starts(self) -> list[tuple[str, int]]:
        """Return every start as (task, run)."""
        return [(record.task, record.number) for record in self.records]

    @property
    def ends(self) -> list[tuple[int, str, int, str, str]]:
        """Return every end as (number of the end, task, run, outcome, checkpoint)."""
        return [end for each in self.incarnations for end in each.ends]

    @property
    def records(self) -> list[RunRecord]:
        """Return every run with its times."""
        return [record for each in self.incarnations for record in each.settled_records()]

    @property
    def up(self) -> list[tuple[float, float]]:
        """Return the times at which it was up: from, until, on the monotonic clock."""
        return [(each.booted_at, each.ended_at) for each in self.incarnations]

    def has_room(self, cpu: int, memory_mb: int) -> bool:
        """Return whether one more run would fit."""
        return self.incarnations[-1].has_room((cpu, memory_mb))

    def answers(self, incarnation: int) -> list[tuple[float, str, int]]:
        """Return the calls that an incarnation answered, and its heartbeats that were answered.

        Each as (when, kind, token), the token of a heartbeat is 0.
        """
        return list(self.incarnations[incarnation - 1].answers)

    def restart(
        self,
        down_seconds: float,
        heartbeat_after_seconds: float = 0.0,
        workers_down: int = 1,
        incarnation: int = 0,
        is_silent: bool = False,
    ) -> None:
        """Crash and start again; the new incarnation listens so long before its first heartbeat.

        ``workers_down`` is the number of workers that go down at this moment.  If ``incarnation``
        is given, nothing happens unless that one is up.  If it ``is_silent`` while it is down,
        calls get neither an answer nor a refusal, on connections that were open too.
        """
        with self._restarting:
            if incarnation and not self.incarnations[incarnation - 1].is_up:
                return
            last = self.incarnations[-1]
            last.end(workers_down, is_silent)
            host, _, port = self._listen_address.rpartition(":")
            with silent([(host, int(port))] if is_silent else []):
                time.sleep(down_seconds)
            last.reset_connections()
            if self._is_closed:
                return
            self.draining = False
            server = _Server(self._listen_address)
            self.incarnations.append(WorkerIncarnation(self, server, heartbeat_after_seconds))
            if self.late_orders is not None:
                self.late_orders.pass_on(self.incarnations[-1])

    def crash(self, workers_down: int = 1) -> None:
        """End this incarnation: its connections are reset, and nothing of it goes on."""
        self.incarnations[-1].end(workers_down)

    def close(self) -> None:
        """Stop answering, as after a crash."""
        self._is_closed = True
        self.crash()


def restart_together(
    workers: Iterable[PlatformWorker], seconds: Callable[[], tuple[float, float]]
) -> None:
    """Restart those of the workers that are up at the same moment, and wait until all listen.

    ``seconds`` returns how long a worker is down, and then sends no heartbeat.
    """
    up = [worker for worker in workers if worker.incarnations[-1].is_up]
    threads = [threading.Thread(target=worker.restart, args=(*seconds(), len(up))) for worker in up]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


class _Server(ThreadingHTTPServer):
    """The listener of one incarnation, with its connections."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, address: str):
        host, _, port = address.rpartition(":")
        self.connections: set[socket.socket] = set()
        self.is_closing = False
        self.is_resetting = threading.Event()
        super().__init__((host, int(port)), BaseHTTPRequestHandler)

    def serve(self) -> None:
        """Accept connections until closed."""
        while not self.is_closing:
            self.handle_request()

    def process_request(self, request, client_address):
        self.connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        if self.is_closing:
            self.is_resetting.wait()
            # Ends with a reset, not with an orderly end of the stream.
            with contextlib.suppress(OSError):
                request.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _LINGER_ZERO)
            self.close_request(request)
        else:
            super().shutdown_request(request)
        self.connections.discard(request)

    def handle_error(self, request, client_address):
        """Do nothing: a connection that was cut is no error of the worker."""

    def stop_listening(self, accepting: threading.Thread) -> None:
        """Accept no more connections; returns when the address is free."""
        self.is_closing = True
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)
        accepting.join()
        self.server_close()

    def reset_all(self) -> None:
        """Reset all connections; returns when that is done."""
        self.is_resetting.set()
        while self.connections:
            for each in list(self.connections):
                # Ends a blocked read; the thread that reads then closes the connection.
                with contextlib.suppress(OSError):
                    each.shutdown(socket.SHUT_RD)
            time.sleep(0.002)


class WorkerIncarnation:
    """One incarnation of a worker: it knows nothing of earlier ones, and its counts start anew."""

    def __init__(self, worker: PlatformWorker, server: _Server, heartbeat_after_seconds: float):
        self.number = len(worker.incarnations) + 1
        self.born_ms = int(time.time() * 1000)
        if worker.incarnations:
            self.born_ms = max(self.born_ms, worker.incarnations[-1].born_ms + 1)
        self.ends: list[tuple[int, str, int, str, str]] = []
        self.records: dict[tuple[str, int], RunRecord] = {}
        self._worker = worker
        self.booted_at = time.monotonic()
        self.ended_at = math.inf
        self._first_heartbeat_at = self.booted_at + heartbeat_after_seconds
        self._sequence = itertools.count(1)
        self._lock = threading.RLock()
        self._running: dict[tuple[str, int], _Run] = {}
        self._best_effort: list[tuple[_Run, RunRecord]] = []
        """Best-effort runs that have worked in the time that figures cover."""

        self._listed_ends: list[tuple[int, str, int, str, str]] = []
        """Ends that have not been acknowledged."""

        self.answers: list[tuple[float, str, int]] = []
        """The calls that were carried out, and the heartbeats that were acknowledged."""

        self._max_rejected_run_by_task: dict[str, int] = {}
        self._fencing_token = 0
        self._lease_expires_ms = 0
        self._lapsed_at = 0.0
        self._end_numbers = itertools.count(1)
        self._is_over = threading.Event()
        self._server = server
        self._server.RequestHandlerClass = self._handler()
        self._accepting = threading.Thread(target=self._server.serve, daemon=True)
        self._accepting.start()
        threading.Thread(target=self._send_heartbeats, daemon=True).start()

    @property
    def is_up(self) -> bool:
        """Return whether this incarnation goes on."""
        return not self._is_over.is_set()

    def wait_for_end(self, seconds: float) -> bool:
        """Wait for the end of this incarnation, so long at most; return whether it came."""
        return self._is_over.wait(seconds)

    def end(self, workers_down: int = 1, is_silent: bool = False) -> None:
        """Crash: what runs ends now, and is listed nowhere.

        ``workers_down`` is the number of workers that go down in the same event.  If it
        ``is_silent``, connections stay open, and nothing is answered, until they are reset.
        """
        with self._lock:
            if self._is_over.is_set():
                return
            self._end_due_runs()
            self._is_over.set()
            self.ended_at = now = time.monotonic()
            unread = [self.records[task, number] for _, task, number, *_ in self._listed_ends]
            for run in self._running.values():
                unread.append(self.records[run.task, run.number])
                unread[-1].ended_at, unread[-1].outcome = now, "crashed"
                if run.gang is not None:
                    run.gang.break_off(now)
            self._running.clear()
            for record in unread:
                record.is_lost, record.lost_at, record.workers_down = True, now, workers_down
        self._server.stop_listening(self._accepting)
        if not is_silent:
            self.reset_connections()

    def reset_connections(self) -> None:
        """Reset what is open after the end."""
        self._server.reset_all()

    def settled_records(self) -> list[RunRecord]:
        """Return every run, after those have been ended whose time or lease is over."""
        with self._lock:
            if self.is_up:
                self._end_due_runs()
            return list(self.records.values())

    def has_room(self, need: tuple[int, int]) -> bool:
        """Return whether a run that takes so much processor time and memory would fit."""
        with self._lock:
            needs = [need, *(run.need for run in self._running.values())]
        cpu, memory_mb = (sum(amounts) for amounts in zip(*needs, strict=True))
        return cpu <= CAPACITY["cpu"] and memory_mb <= CAPACITY["memMb"]

    def clock_ms(self) -> int:
        """Return the steady clock of this incarnation, in ms."""
        return self._clock_ms_at(time.monotonic())

    def _clock_ms_at(self, at: float) -> int:
        return FIRST_CLOCK_MS + int((at - self.booted_at) * 1000)

    # ------------------------------------------------------------------------- calls

    def answer(
        self, expected_id: str | None, path: str, body: dict, held: HeldOrder | None = None
    ) -> tuple[int, dict] | None:
        """Carry a call out; return its status and reply, None if this incarnation has ended.

        ``held`` tells which order is carried out late, if it is one.
        """
        kind = path.rpartition("/")[2]
        with self._lock:
            if self._is_over.is_set():
                return None
            self._end_due_runs()
            if expected_id != self._worker.worker_id:
                status, reply = 421, {}
            elif body.get("fencingToken", 0) < self._fencing_token:
                status, reply = 409, {"reason": "fence"}
            else:
                self._fencing_token = body.get("fencingToken", 0)
                arguments = (body, held) if kind == "run-start" else (body,)
                status, reply = getattr(self, "_on_" + kind.replace("-", "_"))(*arguments)
        if kind == "hold" and status == 200 and body.get("waitMs"):
            # Without the lock, so that other calls are answered during the long poll.
            self._wait_for_end(body["waitMs"] / 1000)
        with self._lock:
            if self._is_over.is_set():
                return None
            if kind == "hold" and status == 200:
                reply = self._lists()
            if status == 200 and held is None:
                self.answers.append((time.monotonic(), kind, body.get("fencingToken", 0)))
        return status, reply | {"clockMs": self.clock_ms()}

    def answer_or_hold(
        self, expected_id: str | None, path: str, body: dict
    ) -> tuple[int, dict] | None:
        """Carry a call out unless it is held back: then no answer comes, and None is returned."""
        late_orders = self._worker.late_orders
        if late_orders is None or not late_orders.hold(self, expected_id, path, body):
            return self.answer(expected_id, path, body)
        self.wait_for_end(UNANSWERED_SECONDS)
        return None

    def _on_run_start(self, body: dict, held: HeldOrder | None) -> tuple[int, dict]:
        task, run = body["task"], body["run"]
        self._extend_lease(body["deadlineMs"])
        if (task, run) in self._running:
            return 200, {}
        if run <= self._max_rejected_run_by_task.get(task, 0):
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        spec = body["taskSpec"]
        need = _NEED.search(spec)
        need = tuple(int(amount) for amount in need.groups()) if need else (0, 0)
        serving, best_effort = _SERVING.search(spec), _BEST_EFFORT.search(spec)
        spare_cores = need[0] / 1000 if best_effort else 0.0
        if best_effort:
            need = (0, need[1])
        if not self.has_room(need):
            return 409, {"reason": "room"}
        word = spec.split()[0]
        seconds = {"fail": 0.0, "lasts": math.inf}.get(word)
        if seconds is None:
            seconds = int(word) / 1000
        fails = word == "fail" or "then fails" in spec
        now = time.monotonic()
        started = _Run(task, run, now + seconds, fails, need, work_seconds=seconds)
        if serving:
            started.image, started.target_ms = serving[1], int(serving[2])
        _, is_member, size = spec.partition("gang of ")
        if is_member:
            checkpoint = body.get("checkpoint", "")
            started.saved_ms = int(checkpoint or 0)
            started.gang = self._worker.gangs.of(task, run, int(size))
            started.gang.join(task, checkpoint)
        self._running[task, run] = started
        record = self.records[task, run] = RunRecord(
            task, run, now, worker_id=self._worker.worker_id, incarnation=self.number,
            fencing_token=self._fencing_token, ordered_in=held.incarnation if held else self.number,
            ordered_at=held.at if held else now,
        )  # fmt: skip
        if deadly := _DEADLY.search(spec):
            arguments = (int(deadly[1]) / 1000,)
            threading.Thread(target=self._crash_after, args=arguments, daemon=True).start()
        if best_effort:
            started.image, started.spare_cores = best_effort[1], spare_cores
            self._best_effort.append((started, record))
        return 200, {}

    def _crash_after(self, seconds: float) -> None:
        if not self.wait_for_end(seconds):
            down_seconds = self._worker.down_seconds_after_crash()
            self._worker.restart(down_seconds, incarnation=self.number)

    def _on_run_stop(self, body: dict) -> tuple[int, dict]:
        key = body["task"], body["run"]
        if key in self._running:
            self._end(self._running[key], "stopped", time.monotonic())
        self._max_rejected_run_by_task[key[0]] = max(
            key[1], self._max_rejected_run_by_task.get(key[0], 0)
        )
        return 200, {}

    def _on_pace(self, body: dict) -> tuple[int, dict]:
        run = self._running.get((body["task"], body["run"]))
        if run is not None and run.gang is None:
            now, percent, record = time.monotonic(), body["percent"], self.records[_key(run)]
            record.speeds.append((now, percent))
            left = run.work_seconds - record.worked_seconds(record.started_at, now)
            run.ends_at = now + left * FULL_SPEED_PERCENT / percent if percent else math.inf
        return 200, {}

    def _on_hold(self, body: dict) -> tuple[int, dict]:
        self._extend_lease(body.get("deadlineMs", 0))
        self._acknowledge(body["lastSeen"])
        return 200, {}

    def _lists(self) -> dict:
        self._end_due_runs()
        now = time.monotonic()
        running = [self._row(run, now) for run in self._running.values()]
        ends = [list(end) for end in self._listed_ends[:MAX_LISTED_ENDS]]
        return {"running": running, "endedRuns": ends, "born": self.born_ms}

    def _row(self, run: _Run, now: float) -> list:
        """Return task, run, checkpoint, progress in percent, and the figure for the last moment."""
        progress, figure, record = 10, 0, self.records[_key(run)]
        if run.target_ms:
            utilisation = load(run.task, now - self._worker.made_at)
            utilisation += sum(
                cores * added_per_core(image, run.image)
                for image, cores in self._best_effort_cores(now)
            )
            figure = tail_ms(run.target_ms, utilisation)
        elif run.spare_cores:
            worked = record.worked_seconds(record.started_at, now)
            progress = int(100 * worked / max(run.work_seconds, 0.001))
            worked = record.worked_seconds(now - WINDOW_SECONDS, now)
            figure = int(1000 * run.spare_cores * worked / WINDOW_SECONDS)
        return [run.task, run.number, run.checkpoint(now), progress, figure]

    def _best_effort_cores(self, now: float) -> list[tuple[str, float]]:
        """Return the image of each best-effort run, and the cores that it used of late."""
        since = now - WINDOW_SECONDS
        self._best_effort = [each for each in self._best_effort if each[1].ended_at > since]
        return [
            (run.image, run.spare_cores * record.worked_seconds(since, now) / WINDOW_SECONDS)
            for run, record in self._best_effort
        ]

    def _wait_for_end(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline and not self._is_over.wait(0.02):
            with self._lock:
                self._end_due_runs()
                if self._listed_ends:
                    return

    # ------------------------------------------------------------------------- state

    def _extend_lease(self, deadline_ms: int) -> None:
        deadline_ms = min(deadline_ms, self.clock_ms() + MAX_HOLD_MS)
        self._lease_expires_ms = max(self._lease_expires_ms, deadline_ms)

    def _acknowledge(self, end_number: int) -> None:
        """Forget the ends that there are up to this number."""
        for number, task, run, *_ in self._listed_ends:
            if number <= end_number:
                record = self.records[task, run]
                record.is_acknowledged = record.ended_at >= self._lapsed_at
        self._listed_ends = [end for end in self._listed_ends if end[0] > end_number]

    def _end_due_runs(self) -> None:
        now = time.monotonic()
        lease_ends_at = self.booted_at + (self._lease_expires_ms - FIRST_CLOCK_MS) / 1000
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
        self._listed_ends.append(self.ends[-1])
        record = self.records[key]
        record.ended_at, record.outcome = ended_at, outcome
        record.end_number = self.ends[-1][0]

    def _send_heartbeats(self) -> None:
        pool = urllib3.PoolManager(timeout=1.0, retries=False)
        self._is_over.wait(self._first_heartbeat_at - time.monotonic())
        while self.is_up:
            body = heartbeat(
                self._worker.address,
                state="draining" if self._worker.draining else "ready",
                clockMs=self.clock_ms(),
                born=self.born_ms,
                sequence=next(self._sequence),
            )
            for address in self._worker.control_addresses:
                if not self.is_up or self._worker.is_silent:
                    break
                if send_heartbeat(pool, address, self._worker.worker_id, body):
                    self.answers.append((time.monotonic(), "heartbeat", 0))
                    break
            self._is_over.wait(HEARTBEAT_SECONDS)

    def _handler(self):
        incarnation = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_POST(self):  # noqa: N802
                body = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
                answer = incarnation.answer_or_hold(
                    self.headers.get("X-Expect-Instance"), self.path, body
                )
                if answer is None:
                    self.close_connection = True
                    return
                status, reply = answer
                data = json.dumps(reply).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(data)))
                self.end_headers()
                self.wfile.write(data)

            def log_message(self, *arguments):
                pass

        return Handler


def heartbeat(address: str, **fields) -> dict:
    """Return the body of a heartbeat; ``fields`` complete or replace the usual ones."""
    return {
        "service": "svc", "address": address, "zone": "z1", "version": "v1", "slots": 8,
        "state": "ready", "coldRemainingMs": 0, "clockMs": FIRST_CLOCK_MS, "sequence": 1,
        "capacity": CAPACITY, "labels": ["a", "r1"],
    } | fields  # fmt: skip


def send_heartbeat(pool, control_address: str, worker_id: str, body: dict) -> bool:
    """Send a heartbeat to a control host; return whether it was acknowledged."""
    return _announce(pool, control_address, worker_id, "heartbeat", json.dumps(body))


def send_leave(pool, control_address: str, worker_id: str) -> bool:
    """Tell a control host that a worker leaves; return whether that was acknowledged."""
    return _announce(pool, control_address, worker_id, "leave", None)


def _announce(pool, control_address: str, worker_id: str, kind: str, body: str | None) -> bool:
    url = f"http://{control_address}/savoryshelf/instances/{worker_id}/{kind}"
    try:
        answer = pool.request("POST", url, body=body, redirect=False)
        if answer.status == 307:
            url = answer.headers["Location"]
            answer = pool.request("POST", url, body=body, redirect=False)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200


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
        "bounds": {"maxHoldMs": MAX_HOLD_MS, "graceS": 6, "status_s": 120},
    }  # fmt: skip
