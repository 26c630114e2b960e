"""A site in memory: the real control and entry code over fakes of what is around it.

Fakes replace the clock, the replicated log, the link from entry hosts to control, and the workers.
"""

import random

import eventlet
from eventlet.event import Event

from savoryshelf.control.leader_loop import LeaderLoop
from savoryshelf.control.sessions import EntrySessions
from savoryshelf.control.site_service import SiteService
from savoryshelf.control.state import SiteStateMachine
from savoryshelf.entry.batch import BatchDispatch
from savoryshelf.entry.state import EntryState
from savoryshelf.entry.sync import SyncLoop
from savoryshelf.entry.worker_client import WorkerRefused, WorkerUnreachable, WorkerUnresponsive
from savoryshelf.errors import ControlUnavailable
from savoryshelf.replication.types import NotLeading
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import WorkerAnnouncement

GREEN_THREAD_YIELDS = 6


def let_green_threads_run():
    """Let spawned green threads, and those that they wake, run until they end or wait."""
    for _ in range(GREEN_THREAD_YIELDS):
        eventlet.sleep(0)


class ManualClock:
    """A clock that advances only in ``advance``, which also wakes the sleepers that are due."""

    def __init__(self):
        self.now = 1000.0
        self.wall_step_s = 0.0
        self._sleepers = []

    def monotonic(self):
        return self.now

    def wall_ms(self):
        return int((self.now + self.wall_step_s) * 1000)

    def sleep(self, seconds):
        event = Event()
        self._sleepers.append((self.now + seconds, event))
        event.wait()

    def advance(self, seconds):
        self.now += seconds
        due = [event for at, event in self._sleepers if at <= self.now]
        self._sleepers = [(at, event) for at, event in self._sleepers if at > self.now]
        for event in due:
            event.send(None)
        let_green_threads_run()


class FakeReplica:
    """A replicated log that commits each proposal at once; raises NotLeading when deposed."""

    class _Core:
        # Constant, so the leader loop never sees a change of term and makes no new sessions;
        # ``elect_leader`` makes both anew.
        term = 1

    def __init__(self, state_machine):
        self.state_machine = state_machine
        self.is_leader = True
        self.leader_address = self.leader_name = ""
        self.core = self._Core()

    def propose(self, payload):
        self.confirm_leadership()
        return self.state_machine.apply(payload)

    def confirm_leadership(self):
        if not self.is_leader:
            raise NotLeading(None)

    def next_apply_event(self):
        return Event()


class FakeRepair:
    """Replaces the repair of the control replicas, of which there is only one here."""

    def step(self):
        pass


class FakeControl:
    """One entry host's link to the current control leader; may be partitioned or lose replies."""

    def __init__(self, cluster):
        self._cluster = cluster
        self.is_partitioned = False
        self.loses_replies = False

    def call(self, method, *arguments, **options):
        if self.is_partitioned:
            raise ControlUnavailable(["control"])
        try:
            answer = getattr(self._cluster.site, method)(*arguments)
        except (ttypes.NotLeader, ttypes.Unavailable):
            raise ControlUnavailable(["control"]) from None
        if self.loses_replies:
            # The request was executed, so its outcome is unknown to the caller.
            raise ControlUnavailable(["control"], True)
        return answer


class FakeTask:
    """One attempt on a worker; ``view`` returns its entry in the worker's report."""

    def __init__(self, order, started_at):
        self.order = order
        self.state = "running"
        self.started_at = started_at
        self.checkpoint_id = ""

    def view(self):
        order = self.order
        return {
            "job_id": order.key.job_id,
            "attempt": order.key.attempt,
            "state": self.state,
            "cores": order.cores,
            "memory_mb": order.memory_mb,
            "accelerators": order.accelerators,
            "checkpoint_id": self.checkpoint_id,
            "result": "cg==" if self.state == "finished" else "",
        }


class FakeWorker:
    """A worker that does not enforce its own capacity, so only the scheduler can limit its load."""

    def __init__(self, cluster, worker_id, slots=3, name=""):
        self.cluster = cluster
        self.worker_id = worker_id
        self.slots = slots
        self.name = name or worker_id
        self.incarnation_count = 0
        self.is_leaving = False
        self.url = ""
        self.restart()

    def restart(self, moves=False):
        """Start again under the same id, and at another address if it ``moves``."""
        self.incarnation_count += 1
        self.incarnation = f"{self.name}-{self.incarnation_count}"
        if moves or not self.url:
            self.url = f"http://127.0.0.1/{self.incarnation}"
        self.epoch = -1
        self.owner = None
        self.lease_deadline = 0.0
        self.owner_deadline = 0.0
        self.task_by_attempt_id = {}
        self.refused_attempt_ids = set()

    @property
    def running(self):
        return [task for task in self.task_by_attempt_id.values() if task.state == "running"]

    def announcement(self):
        # In order: id, incarnation, URL, failure domain, rack, slots, connections, cores, memory in
        # MB, accelerators.
        return WorkerAnnouncement(
            self.worker_id,
            self.incarnation,
            self.url,
            "fd",
            "rack",
            self.slots,
            64,
            16.0,
            60_000,
            0,
        )

    def adopt(self, epoch, owner, lease_s):
        if epoch < self.epoch:
            raise WorkerRefused(self.worker_id, "epoch")
        self.epoch, self.owner = epoch, owner
        self.owner_deadline = self.cluster.clock.now + lease_s
        tasks = [task.view() for task in self.task_by_attempt_id.values()]
        return {"incarnation": self.incarnation, "tasks": tasks, "critical": []}

    def start(self, epoch, order):
        attempt_id = (order.key.job_id, order.key.attempt)
        lease_has_expired = self.cluster.clock.now > self.lease_deadline
        stale = epoch != self.epoch or order.worker_incarnation != self.incarnation
        if stale or lease_has_expired or attempt_id in self.refused_attempt_ids:
            raise WorkerRefused(self.worker_id, "stale")
        if attempt_id not in self.task_by_attempt_id:
            self.task_by_attempt_id[attempt_id] = FakeTask(order, self.cluster.clock.now)
            self.cluster.record_start(self, order)

    def stop(self, epoch, order):
        if epoch != self.epoch:
            raise WorkerRefused(self.worker_id, "epoch")
        task = self.task_by_attempt_id.get((order.key.job_id, order.key.attempt))
        if task is not None and task.state == "running":
            task.state = "evicted" if order.checkpoint else "stopped"
            task.checkpoint_id = f"{order.key.job_id}/{order.key.attempt}"

    def settle(self, epoch, attempt_id):
        """Return whether the attempt was started here; if not, refuse its start from now on."""
        if epoch != self.epoch:
            raise WorkerRefused(self.worker_id, "epoch")
        if attempt_id in self.task_by_attempt_id:
            return True
        self.refused_attempt_ids.add(attempt_id)
        return False

    def stop_tasks_if_lease_expired(self):
        if self.cluster.clock.now > self.lease_deadline:
            for task in self.running:
                task.state = "stopped"
        if self.cluster.clock.now > self.owner_deadline:
            self.owner = None

    def report(self):
        """Report to the owner; only a reply extends the lease, from the time of the report."""
        entry, requested_at = self.owner, self.cluster.clock.now
        if entry is None or (entry.name, self.worker_id) in self.cluster.partitioned_links:
            return
        reply = entry.batch.handle_report(
            self.worker_id,
            self.epoch,
            {
                "epoch": self.epoch,
                "incarnation": self.incarnation,
                "leaving": self.is_leaving,
                "critical": [],
                "tasks": [task.view() for task in self.task_by_attempt_id.values()],
            },
        )
        if reply is None:
            entry.state.add_announcement(self.announcement())
        else:
            self.lease_deadline = self.owner_deadline = requested_at + reply["lease_s"]
            for each in reply["acknowledged"]:
                self.task_by_attempt_id.pop((each["job_id"], each["attempt"]), None)


class FakeWorkerClient:
    """An entry host's link to the workers.

    ``fault`` selects what happens to starts: "none"; "lost", the request never arrives; "late", it
    is put into ``Cluster.late_starts``; "reply lost", the task starts and the caller gets no reply.
    With ``loses_adopt_replies``, workers are adopted and the caller gets no reply.
    """

    def __init__(self, cluster, entry_name):
        self._cluster = cluster
        self._entry_name = entry_name
        self.fault = "none"
        self.loses_adopt_replies = False

    def _worker(self, target):
        if (self._entry_name, target.worker_id) in self._cluster.partitioned_links:
            raise WorkerUnreachable("partitioned")
        worker = self._cluster.process_by_url.get(target.worker.url)
        if worker is None:
            raise WorkerUnreachable("nothing listens there")
        if (target.worker_id, target.worker.incarnation) != (worker.worker_id, worker.incarnation):
            raise WorkerRefused(worker.worker_id, "incarnation")
        return worker

    def adopt(self, target, owner_url, lease_s, report_s):
        entry = self._cluster.entry_by_name[self._entry_name]
        answer = self._worker(target).adopt(target.epoch, entry, lease_s)
        if self.loses_adopt_replies:
            raise WorkerUnresponsive("reply lost")
        return answer

    def start_attempt(self, target, order):
        worker = self._worker(target)
        if self.fault == "lost":
            raise WorkerUnresponsive("request lost")
        if self.fault == "late":
            self._cluster.late_starts.append((worker, target.epoch, order))
            raise WorkerUnresponsive("late")
        worker.start(target.epoch, order)
        if self.fault == "reply lost":
            raise WorkerUnresponsive("reply lost")

    def stop_attempt(self, target, order):
        self._worker(target).stop(target.epoch, order)

    def settle_attempt(self, target, job_id, attempt):
        return self._worker(target).settle(target.epoch, (job_id, attempt))

    def close_unused(self, kept_urls):
        pass


class FakeEntry:
    """One entry process: the real state, batch dispatch and sync, without sockets."""

    def __init__(self, cluster, name):
        self.name = name
        self.incarnation_count = 0
        self._cluster = cluster
        self.start()

    def start(self):
        """Start the process, or restart it; nothing is kept from the previous incarnation."""
        self.incarnation_count += 1
        cluster = self._cluster
        self.state = EntryState(self.name, incarnation=f"incarnation-{self.incarnation_count}")
        self.workers = FakeWorkerClient(cluster, self.name)
        self.control = FakeControl(cluster)
        self.batch = BatchDispatch(
            self.state, self.workers, cluster.clock, f"http://{self.name}", lambda: None
        )
        self._sync = SyncLoop(
            self.state, self.batch, self.control, cluster.clock, (self.name, self.name), "fd"
        )
        self.is_frozen = False

    def sync(self):
        try:
            self._sync._sync(0.0)
        except ControlUnavailable:
            return
        finally:
            let_green_threads_run()

    def send_outcomes(self):
        """Send the outcomes at once, where the real OutcomeLoop first waits to batch them."""
        outcomes = self.batch.attempts.outcomes()
        try:
            self.control.call("settle", outcomes)
        except ControlUnavailable:
            return
        for outcome in outcomes:
            self.batch.attempts.settle(outcome.key)


class Cluster:
    """A site in memory: control, entry hosts, workers, and a record of every started attempt."""

    def __init__(self, entries=2, workers=2, slots=3):
        self.clock = ManualClock()
        self.state_machine = SiteStateMachine()
        # (entry host name, worker id) for each partitioned link.
        self.partitioned_links = set()
        # (worker, epoch, order) for each start request that is still on its way.
        self.late_starts = []
        # (job id, attempt, id of the checkpoint to resume from) for each task started.
        self.starts = []
        self.entry_by_name = {}
        self.worker_by_id = {f"w{n}": FakeWorker(self, f"w{n}", slots) for n in range(workers)}
        # Another process that runs under the id of w0, at its own address.
        self.namesake = FakeWorker(self, "w0", slots, name="namesake")
        self.elect_leader()
        for number in range(entries):
            self.entry_by_name[f"e{number}"] = FakeEntry(self, f"e{number}")

    def elect_leader(self):
        """Replace the leader by one restored from the committed state, and depose the old one."""
        state_machine = SiteStateMachine()
        state_machine.restore(self.state_machine.snapshot())
        self.state_machine = state_machine
        old_service = getattr(self, "site", None)
        if old_service is not None:
            old_service.replica.is_leader = False
        self.site = SiteService(FakeReplica(state_machine), state_machine, self.clock)
        self.site.sessions = EntrySessions(self.clock.now)
        self.leader_loop = LeaderLoop(
            self.site, FakeRepair(), "calm", "limit_then_evict", random.Random(0)
        )
        self.leader_loop._initialised_term = 1

    @property
    def processes(self):
        """Return all worker processes, the namesake included."""
        return [*self.worker_by_id.values(), self.namesake]

    @property
    def process_by_url(self):
        return {process.url: process for process in self.processes}

    def record_start(self, worker, order):
        self.starts.append((order.key.job_id, order.key.attempt, order.checkpoint_id))

    def running_attempts_of(self, job_id):
        return [
            (worker.name, attempt)
            for worker in self.processes
            for (job, attempt), task in worker.task_by_attempt_id.items()
            if job == job_id and task.state == "running"
        ]
