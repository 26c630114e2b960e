"""A stand-in worker: the platform's side of the interface to targets.

It enforces its slots and resources, runs tasks under a lease, checkpoints and
stops them, reports usage with a lag, and slows down by interference between
co-located tasks.
"""

import base64
import json
import secrets
import time

import attrs
import eventlet
from eventlet.event import Event

from .record import ExecutionRecord

MEMORY_OVERUSE_FACTOR = 3.0


@attrs.define
class Behaviour:
    """Faults and interference of a stand-in; may be changed while it runs."""

    fails_everything: bool = False
    """Whether every critical request and attempt fails."""

    hangs: bool = False
    """Whether critical requests and tasks never end by themselves."""

    lies_about_size: bool = False
    """Whether tasks use three times the memory that was declared."""

    noise_by_class: dict[str, float] = attrs.field(factory=dict)
    """Slowdown that each running batch task of a class adds to its worker."""


@attrs.define
class Task:
    """One attempt, running or ended."""

    job_id: str
    attempt: int
    key: str
    class_name: str
    demand: tuple[float, float, int]
    """Cores, memory in MB, accelerators."""

    run_s: float
    """Run time at full speed, without interference."""

    state: str = "running"
    """One of running, finished, failed, stopped, evicted."""

    throttle: float = 1.0
    """Fraction of full speed; the interference that the task causes scales with it."""

    done_s: float = 0.0
    """Part of ``run_s`` that is done."""

    result: bytes = b""
    reason: str = ""
    checkpoint_id: str = ""
    thread: object = None

    def view(self) -> dict:
        """Return the task as reports show it."""
        cores, memory_mb, accelerators = self.demand
        return {
            "job_id": self.job_id,
            "attempt": self.attempt,
            "state": self.state,
            "cores": cores,
            "memory_mb": memory_mb,
            "accelerators": accelerators,
            "reason": self.reason,
            "result": base64.b64encode(self.result).decode(),
            "checkpoint_id": self.checkpoint_id,
            "run_ms": int(self.done_s * 1000),
        }


class RequestRejected(Exception):
    """The worker has not run this request or attempt, and never will."""


class NotOwner(RequestRejected):
    """The caller's epoch is not that of the worker's current owner."""


@attrs.define
class WorkerSpec:
    """What a worker announces: identity, failure domain and capacity."""

    worker_id: str
    failure_domain: str
    rack: str
    slots: int = 8
    connections: int = 64
    cores: float = 16.0
    memory_mb: int = 60_000
    accelerators: int = 0


class Worker:
    """State and rules of one stand-in worker; ``host.py`` serves it over HTTP."""

    def __init__(
        self, spec: WorkerSpec, record: ExecutionRecord, behaviour: Behaviour | None = None
    ):
        self.spec = spec
        self.record = record
        self.behaviour = behaviour or Behaviour()
        self.incarnation = secrets.token_hex(6)
        self.url = ""
        self.epoch = -1
        self.owner_url = ""
        self.lease_deadline = 0.0
        self.owner_deadline = 0.0
        """Until when to go on reporting to an owner that does not answer."""

        self.lease_s = 10.0
        self.report_interval_s = 2.0
        self.leaving = False
        self.task_by_attempt_id: dict[tuple[str, int], Task] = {}
        self.critical_demand_by_id: dict[str, tuple[float, float]] = {}
        self.checkpoints: dict[str, float] = {}
        self.report_due = Event()
        self.last_usage: dict = {}
        self._refused_attempts: set[tuple[str, int]] = set()

    # ------------------------------------------------------------------ capacity

    def running(self) -> list[Task]:
        """Return the tasks that run now."""
        return [task for task in self.task_by_attempt_id.values() if task.state == "running"]

    def slots_in_use(self) -> int:
        """Return the number of slots in use: one for each task and critical request."""
        return len(self.running()) + len(self.critical_demand_by_id)

    def slowdown(self) -> float:
        """Return the factor by which co-located tasks slow down work now."""
        noise = self.behaviour.noise_by_class
        return 1.0 + sum(noise.get(task.class_name, 0.0) * task.throttle for task in self.running())

    def _require_capacity(self, cores: float, memory_mb: float, accelerators: int = 0) -> None:
        """Raise RequestRejected if a slot or a resource is lacking."""
        running, critical = self.running(), self.critical_demand_by_id.values()
        fits = (
            self.slots_in_use() < self.spec.slots
            and sum(t.demand[0] for t in running) + sum(c for c, _ in critical) + cores
            <= self.spec.cores
            and sum(t.demand[1] for t in running) + sum(m for _, m in critical) + memory_mb
            <= self.spec.memory_mb
            and sum(t.demand[2] for t in running) + accelerators <= self.spec.accelerators
        )
        if not fits:
            self.record.write("guard_refused", self.spec.worker_id)
            raise RequestRejected("guard")

    def require_incarnation(self, worker_id: str | None, incarnation: str | None) -> None:
        """Raise RequestRejected if the call is not meant for this incarnation of this worker."""
        if (worker_id, incarnation) != (self.spec.worker_id, self.incarnation):
            raise RequestRejected("incarnation")

    def require_epoch(self, epoch: int) -> None:
        """Raise NotOwner if ``epoch`` is not that of the current owner."""
        if epoch != self.epoch:
            raise NotOwner("epoch")

    # ------------------------------------------------------------------ critical

    def run_critical(self, request_id: str, body: bytes, demand: tuple[float, float]) -> bytes:
        """Run one critical request; the response repeats the bytes of the request."""
        request_spec = read_request_spec(body)
        self._require_capacity(*demand)
        self.critical_demand_by_id[request_id] = demand
        self.record.write(
            "critical", self.spec.worker_id, key=request_spec["key"], request=request_id
        )
        try:
            while self.behaviour.hangs:
                eventlet.sleep(0.1)
            if self.behaviour.fails_everything:
                raise RuntimeError("this stand-in fails everything")
            eventlet.sleep(request_spec["work_ms"] / 1000 * self.slowdown())
        finally:
            del self.critical_demand_by_id[request_id]
        return b"answer to " + body

    # --------------------------------------------------------------------- batch

    def start(
        self,
        attempt_id: tuple[str, int],
        class_name: str,
        body: bytes,
        demand: tuple[float, float, int],
        checkpoint_id: str,
    ) -> None:
        """Start an attempt; idempotent."""
        if attempt_id in self._refused_attempts:
            raise RequestRejected("settled")
        if attempt_id in self.task_by_attempt_id:
            return
        if self.leaving:
            raise RequestRejected("leaving")
        if not self.owner_url or time.monotonic() > self.lease_deadline:
            # The work may have been given to other workers: start nothing until it is renewed.
            raise RequestRejected("lease")
        self._require_capacity(*demand)
        request_spec = read_request_spec(body)
        task = Task(*attempt_id, request_spec["key"], class_name, demand, request_spec["run_s"])
        task.done_s = self._checkpointed_seconds(checkpoint_id)
        task.result = b"result of " + body
        self.task_by_attempt_id[attempt_id] = task
        self._record_event("start", task, checkpoint=checkpoint_id)
        task.thread = eventlet.spawn(self._run, task)

    @staticmethod
    def _checkpointed_seconds(checkpoint_id: str) -> float:
        """Return the seconds of work in a checkpoint, which its id holds after the @."""
        return float(checkpoint_id.partition("@")[2] or 0) if checkpoint_id else 0.0

    def _run(self, task: Task) -> None:
        step_s = 0.02
        while task.done_s < task.run_s or self.behaviour.hangs:
            eventlet.sleep(step_s)
            if time.monotonic() > self.lease_deadline:
                self._end(task, "stopped", reason="lease ran out")
                return
            task.done_s += step_s * task.throttle / self.slowdown()
        if self.behaviour.fails_everything:
            self._end(task, "failed", reason="this stand-in fails everything")
        else:
            self._end(task, "finished")

    def _end(self, task: Task, state: str, reason: str = "", checkpoint_id: str = "") -> None:
        task.state, task.reason, task.checkpoint_id = state, reason, checkpoint_id
        if state != "finished":
            task.result = b""
        self._record_event("end", task, state=state)
        self.wake()

    def wake(self) -> None:
        """Let the next report be sent at once."""
        if not self.report_due.ready():
            self.report_due.send(None)

    def stop(self, attempt_id: tuple[str, int], checkpoint: bool) -> None:
        """Stop an attempt; with a checkpoint it can be resumed elsewhere."""
        task = self.task_by_attempt_id.get(attempt_id)
        if task is None or task.state != "running":
            return
        task.thread.kill()
        checkpoint_id = f"{task.job_id}-{task.attempt}@{task.done_s:.3f}"
        if checkpoint:
            self._end(task, "evicted", checkpoint_id=checkpoint_id)
        else:
            self._end(task, "stopped")

    def set_throttle(self, attempt_id: tuple[str, int], share: float) -> None:
        """Throttle an attempt to a fraction of its full speed, at least 0.05."""
        task = self.task_by_attempt_id.get(attempt_id)
        if task is not None:
            task.throttle = min(1.0, max(0.05, share))

    def usage(self) -> dict:
        """Return the cores and memory in use now; a report carries those of the previous report."""
        factor = MEMORY_OVERUSE_FACTOR if self.behaviour.lies_about_size else 1.0
        return {
            "cores": sum(task.demand[0] * task.throttle for task in self.running()),
            "memory_mb": sum(task.demand[1] for task in self.running()) * factor,
        }

    def settle(self, attempt_id: tuple[str, int]) -> bool:
        """Return whether an attempt was started; if not, a later start of it is rejected."""
        if attempt_id in self.task_by_attempt_id:
            return True
        self._refused_attempts.add(attempt_id)
        return False

    # ----------------------------------------------------------- owner and lease

    def adopt(self, epoch: int, owner_url: str, lease_s: float, report_interval_s: float) -> dict:
        """Accept a new owner; calls with an older epoch are rejected afterwards.

        Only the answer to a report renews the lease: this call may arrive late.
        """
        if epoch < self.epoch:
            raise NotOwner("epoch")
        self.epoch, self.owner_url = epoch, owner_url
        self.lease_s, self.report_interval_s = lease_s, report_interval_s
        self.owner_deadline = time.monotonic() + lease_s
        self.wake()
        return {
            "incarnation": self.incarnation,
            "tasks": [task.view() for task in self.task_by_attempt_id.values()],
            "critical": [
                {"request_id": request_id, "cores": cores, "memory_mb": memory_mb}
                for request_id, (cores, memory_mb) in self.critical_demand_by_id.items()
            ],
        }

    def renew_lease(self, requested_at: float, reply: dict) -> None:
        """Renew the lease from the owner's reply to a report, and drop acknowledged attempts."""
        self.lease_s = reply["lease_s"]
        self.report_interval_s = reply["report_interval_s"]
        self.lease_deadline = self.owner_deadline = requested_at + self.lease_s
        for acknowledged in reply["acknowledged"]:
            self.task_by_attempt_id.pop((acknowledged["job_id"], acknowledged["attempt"]), None)

    def stop_all(self, reason: str) -> None:
        """Stop all tasks: the lease has expired, so others may be given the work."""
        for task in self.running():
            task.thread.kill()
            self._end(task, "stopped", reason=reason)

    def report(self) -> dict:
        """Return the report to the owner."""
        previous_usage, self.last_usage = self.last_usage, self.usage()
        return {
            "epoch": self.epoch,
            "incarnation": self.incarnation,
            "usage": previous_usage,
            "leaving": self.leaving,
            "critical": list(self.critical_demand_by_id),
            "slowdown": self.slowdown(),
            "tasks": [task.view() for task in self.task_by_attempt_id.values()],
        }

    def announcement(self) -> dict:
        """Return the announcement, by which the worker asks an entry host to adopt it."""
        return {
            **attrs.asdict(self.spec),
            "incarnation": self.incarnation,
            "url": self.url,
        }

    def _record_event(self, event: str, task: Task, **fields) -> None:
        self.record.write(
            event,
            self.spec.worker_id,
            incarnation=self.incarnation,
            job=task.job_id,
            attempt=task.attempt,
            key=task.key,
            **fields,
        )
        if self.slots_in_use() > self.spec.slots:
            self.record.write("over_capacity", self.spec.worker_id)


def read_request_spec(body: bytes) -> dict:
    """Return the work that a request's JSON body asks for; defaults if it is not an object."""
    spec = {"key": "", "work_ms": 20, "run_s": 0.5}
    try:
        content = json.loads(body)
    except ValueError:
        return spec
    return spec | content if isinstance(content, dict) else spec
