"""Judge of a soak: finds broken promises in what callers, workers and the platform saw."""

import collections
import itertools
import math
import signal
from collections.abc import Callable, Iterator

import attrs

from savoryshelf.registry import registry_decorator

from ..platform import CAPACITY, RunRecord, doubled_runs
from .callers import (
    CANCEL,
    CROWD_CALLERS,
    DEADLINE_SECONDS,
    LARGE_CALLER,
    NOT_RUN,
    READ,
    SUBMIT,
    Call,
    JobSpec,
)
from .deployment import GRACE_SECONDS, ROUTE, Deployment
from .lives import given_up_at, late_pairs, starts_beyond_budget
from .waits import (
    CONTACT_SECONDS,
    MAX_WAIT_SECONDS,
    TASK_SLACK_SECONDS,
    Demand,
    Span,
    Use,
    WorkerTimes,
    calm_spans,
    unmet_demands,
)

CONFIG_APPLY_SECONDS = 2.5
"""Time from the acknowledgement of a manifest until no host reads back an older one."""

LOSS_SLACK_SECONDS = 0.2
"""A request whose connection ends sooner after it was sent may not have been read."""

PLANNED_SECONDS = 3.0
"""Requests sent up to this long after SIGTERM must be answered."""

VISIBLE_SECONDS = 3.0
"""An accepted job must be known to every host after this time."""

VERY_LATE_FACTOR = 3.0
"""RULES.md, Benefit: a job that ends after so many objectives is not served."""

MAX_CHANCE = 0.01
"""Largest probability of so few served jobs of a size, were they served half as often as all, at
which the figure means something."""

CLOCK_SLACK_SECONDS = 0.05
PLANNED_SIGNALS = ("SIGTERM", "SIGHUP")
STATUSES_BY_VERB = {
    SUBMIT: (200, 429, 503, 504),
    READ: (200, 410, 429, 503, 504),
    CANCEL: (200, 410, 429, 503, 504),
}


@attrs.frozen
class Finding:
    """A broken promise; ``caller`` is -1 if none saw it."""

    kind: str
    at: float
    text: str
    caller: int = -1


@attrs.define
class Observations:
    """All that was seen in a run; ``state_by_job`` holds the final state of accepted jobs."""

    deployment: Deployment
    calls: list[Call]
    spec_by_job: dict[str, JobSpec]
    state_by_job: dict[str, str] = attrs.field(factory=dict)
    manifest_version: int = 0
    unused_workers: list[str] = attrs.field(factory=list)
    """Ids of workers whose last incarnation got no run after the recovery."""

    disturbed: list[Span] = attrs.field(factory=list)
    """When each fault of the series began and was over."""

    recovered_at: float = float("inf")
    """From when on everything must have recovered."""

    ended_at: float = 0.0
    """When the observation ended."""

    crowd: Span | None = None
    """When jobs of one kind contended for the workers, with nothing impaired."""

    def calls_of(self, verb: str) -> list[Call]:
        """Return the calls of a verb in the order of their answers."""
        return sorted((c for c in self.calls if c.verb == verb), key=lambda c: c.ended_at)

    def accepted_at_by_job(self) -> dict[str, float]:
        """Return when each job was first accepted."""
        times: dict[str, float] = {}
        for call in self.calls_of(SUBMIT):
            if call.status == 200:
                times.setdefault(call.job_id, call.ended_at)
        return times

    def records(self, job_id: str = "") -> list[RunRecord]:
        """Return the runs of a job, or all, as their workers saw them."""
        return [
            record
            for worker in self.deployment.workers
            for record in worker.records
            if record.task.startswith(job_id)
        ]

    def long_running_jobs(self) -> list[str]:
        """Return the accepted jobs that go on until they are cancelled."""
        return [job for job in self.accepted_at_by_job() if self.spec_by_job[job].is_long_running]

    def may_stay(self, job_id: str, state: str) -> bool:
        """Return whether a job may be in this state at the end.

        A long-running one goes on, best-effort work ends when serving work lets it, and a large job
        when long-running work does: the users ask only whether it waits.
        """
        if state in ("running", "queued"):
            spec = self.spec_by_job[job_id]
            return spec.is_long_running or spec.is_large or bool(spec.best_effort_ms)
        return state in ("completed", "cancelled", "failed")

    def given_up_at_by_job(self) -> dict[str, float]:
        """Return from when on jobs with a task under which workers crashed may fail."""
        times: dict[str, float] = {}
        for task, records in self.records_by_task().items():
            job_id, at = task.partition(".")[0], given_up_at(records)
            if at < times.get(job_id, math.inf):
                times[job_id] = at
        return times

    def records_by_task(self) -> dict[str, list[RunRecord]]:
        """Return the runs of each task."""
        records_by_task = collections.defaultdict(list)
        for record in self.records():
            records_by_task[record.task].append(record)
        return records_by_task

    def cancel_began_by_job(self) -> dict[str, float]:
        """Return when each cancelled job's first cancel began, whether it was answered or not."""
        times: dict[str, float] = {}
        for call in self.calls_of(CANCEL):
            times[call.job_id] = min(call.began_at, times.get(call.job_id, call.began_at))
        return times


_CHECKS: dict[str, Callable[[Observations], Iterator[Finding]]] = {}
_check = registry_decorator(_CHECKS)


def judge(seen: Observations) -> list[Finding]:
    """Return all findings, in the order of their times."""
    findings = itertools.chain.from_iterable(check(seen) for check in _CHECKS.values())
    return sorted(findings, key=lambda finding: finding.at)


@_check("requests that got no complete answer")
def _lost_requests(seen: Observations) -> Iterator[Finding]:
    host_by_ip = {host.ip: host for host in seen.deployment.entries}
    for call in seen.calls:
        lasted = call.ended_at - call.sent_at
        is_cut = call.status == 0 and call.sent_at and lasted > LOSS_SLACK_SECONDS
        # A relay accepts connections that its host refuses, so those are not judged.
        if call.is_relayed or not is_cut or lasted >= DEADLINE_SECONDS - CLOCK_SLACK_SECONDS:
            continue
        host, since = host_by_ip[call.ip], call.sent_at - CONTACT_SECONDS
        near = [(at, name) for at, name in host.signals if since < at <= call.ended_at]
        started_at = max((end.at for end in host.exits if end.at < call.sent_at), default=0.0)
        stopped_at = [at for at, name in host.signals if name == "SIGTERM" and at > started_at]
        is_late = bool(stopped_at) and call.sent_at - stopped_at[0] > PLANNED_SECONDS
        if is_late or any(name not in PLANNED_SIGNALS for _, name in near):
            continue
        text = f"{call.verb} {call.job_id} at {call.ip}: cut {lasted:.2f} s after it was sent"
        text += "".join(f"; {name} {at - call.sent_at:+.2f} s" for at, name in near)
        yield Finding("LOST request", call.ended_at, f"{text}; {call.ended_by}", call.caller)


@_check("statuses that no caller should get")
def _wrong_statuses(seen: Observations) -> Iterator[Finding]:
    for call in seen.calls:
        if call.status and call.status not in STATUSES_BY_VERB[call.verb]:
            text = f"{call.verb} {call.job_id} at {call.ip}: status {call.status}"
            yield Finding("STATUS", call.ended_at, text, call.caller)


@_check("accepted jobs that are unknown, or end otherwise than completed")
def _lost_jobs(seen: Observations) -> Iterator[Finding]:
    accepted_at, cancel_began = seen.accepted_at_by_job(), seen.cancel_began_by_job()
    given_up = seen.given_up_at_by_job()
    for call in seen.calls_of(READ):
        if call.ended_at > cancel_began.get(call.job_id, float("inf")):
            continue
        is_gone = call.status == 410 and call.began_at > accepted_at[call.job_id] + VISIBLE_SECONDS
        is_failed = call.state == "failed" and call.job_id not in given_up
        if is_gone or is_failed or call.state == "cancelled":
            text = f"{call.job_id} is shown as {call.state or 'unknown'} by {call.ip}"
            yield Finding("LOST job", call.ended_at, text, call.caller)
    last = max((call.ended_at for call in seen.calls), default=0.0)
    for job_id, state in seen.state_by_job.items():
        allowed = set() if seen.spec_by_job[job_id].is_long_running else {"completed"}
        allowed |= {"running", "queued"} if seen.may_stay(job_id, "running") else set()
        allowed |= {"cancelled"} if job_id in cancel_began else set()
        allowed |= {"failed"} if job_id in given_up else set()
        if state not in allowed:
            caller = next(call.caller for call in seen.calls if call.job_id == job_id)
            text = f"{job_id} ends as {state or 'unknown'}; "
            text += "; ".join(f"{each.task} {each}" for each in seen.records(job_id))
            yield Finding("LOST job", last, text, caller)


@_check("tasks that run twice")
def _doubled_tasks(seen: Observations) -> Iterator[Finding]:
    for earlier, later in doubled_runs(seen.records()):
        if earlier.is_late or later.is_late:
            continue
        overlap = min(earlier.ended_at, later.ended_at) - later.started_at
        text = f"{later.task}: {earlier}; {later}; at once for {max(0.0, overlap):.3f} s"
        yield Finding("TWICE", later.started_at, text)


@_check("tasks that run twice since an order outlived the life it was meant for")
def _tasks_doubled_by_late_orders(seen: Observations) -> Iterator[Finding]:
    for pair in late_pairs(seen):
        if pair.reason:
            text = f"{pair.late.task}: {pair.late}; {pair.other}; at once for "
            text += f"{pair.overlap_seconds:.3f} s; {pair.reason}"
            at = max(pair.late.started_at, pair.other.started_at)
            yield Finding("TWICE LATE", at, text)


@_check("starts after crashes of several workers under a task")
def _starts_beyond_budget(seen: Observations) -> Iterator[Finding]:
    for task, records in seen.records_by_task().items():
        for record in starts_beyond_budget(records):
            text = f"{task}: {record}; " + "; ".join(map(str, records))
            yield Finding("BUDGET", record.started_at, text)


@_check("workers that live and are not used")
def _unused_workers(seen: Observations) -> Iterator[Finding]:
    last = max((call.ended_at for call in seen.calls), default=0.0)
    for worker_id in seen.unused_workers:
        yield Finding("UNUSED", last, f"{worker_id} gets no run after the recovery")


@_check("tasks of refused jobs, and jobs completed with tasks undone")
def _wrong_tasks(seen: Observations) -> Iterator[Finding]:
    records = seen.records()
    clear_by_job: dict[str, bool] = {}
    for call in seen.calls_of(SUBMIT):
        is_refused = call.status in NOT_RUN or not (call.status or call.sent_at)
        clear_by_job[call.job_id] = clear_by_job.get(call.job_id, True) and is_refused
    done = {record.task for record in records if record.outcome == "done"}
    done_by_job = collections.Counter(task.partition(".")[0] for task in done)
    for record in records:
        job_id = record.task.partition(".")[0]
        # A job that no caller submitted is started without being asked for.
        if clear_by_job.get(job_id, True):
            text = f"{record.task} ran, but its job was refused or never sent"
            yield Finding("REFUSED", record.started_at, text)
    for job_id, state in seen.state_by_job.items():
        if state == "completed" and done_by_job[job_id] != seen.spec_by_job[job_id].count:
            text = f"{job_id} is completed with {done_by_job[job_id]} tasks done"
            yield Finding("MIXED", seen.accepted_at_by_job()[job_id], text)


@_check("work that waits though there is room")
def _waiting_work(seen: Observations) -> Iterator[Finding]:
    uses = [_use(seen, record) for record in seen.records()]
    workers = [
        WorkerTimes(worker.worker_id, CAPACITY["cpu"], CAPACITY["memMb"], worker.up)
        for worker in seen.deployment.workers
    ]
    spans = list(seen.disturbed)
    for host in seen.deployment.hosts:
        # A pause counts as its fault; SIGCONT is also sent to all hosts at the end of a series.
        signals = [at for at, name in host.signals if name != "SIGCONT"]
        times = [*signals, *(end.at for end in host.exits), *host.starts]
        spans += [(at, at) for at in times]
    for worker in workers:
        # A run may crash its worker at any time; other crashes are within their faults.
        ups = sorted(worker.up)
        spans += [(end, boot) for (_, end), (boot, _) in itertools.pairwise(ups)]
    spans += _final_losses_of_the_core(seen)
    judged = [*calm_spans(spans, seen.ended_at), (seen.recovered_at, seen.ended_at)]
    demands = itertools.chain(_demands(seen), _large_demands(seen))
    for wait in unmet_demands(demands, workers, uses, judged):
        name, since, seconds = wait.demand.name, wait.since, wait.demand.max_wait_seconds
        earlier = [record for record in seen.records(name) if record.started_at < since]
        last = max(earlier, key=lambda record: record.started_at, default="none")
        text = f"{name} has nothing at work for {seconds} s from {since:.3f} s on, owed "
        text += f"from {wait.demand.owed[0]:.3f} s on; last {last}; room on {wait.free}"
        kind = "LOST task"
        if wait.demand.waits_for_finite_runs:
            kind, text = "LARGE task", f"{text} but for finite runs"
        yield Finding(kind, since + seconds, text)


def _final_losses_of_the_core(seen: Observations) -> Iterator[Span]:
    """Yield when most control hosts were down after all other faults, and a contact time more.

    RULES.md, "Stable": after a final fault that took most of the core twice the contact time
    has to pass until machines are in touch.
    """
    cores = [host for host in seen.deployment.hosts if host.role == "core"]
    downs = [
        (end.at, min((at for at in host.starts if at > end.at), default=end.at))
        for host in cores
        for end in host.exits
    ]
    for at, _ in downs:
        down = [span for span in downs if span[0] <= at <= span[1]]
        is_final = all(began_at <= at for began_at, _ in seen.disturbed)
        if is_final and 2 * len(down) > len(cores):
            yield at, max(until for _, until in down) + CONTACT_SECONDS


def _use(seen: Observations, record: RunRecord) -> Use:
    job_id, _, step = record.task.rpartition(".")[0].partition(".")
    spec = seen.spec_by_job.get(job_id, JobSpec())
    span = record.started_at, record.ended_at
    is_best_effort = bool(spec.best_effort_ms)
    cpu = 0 if is_best_effort else spec.cpu
    is_finite = not (spec.is_long_running or is_best_effort)
    name = f"{job_id}.{step}"
    return Use(record.worker_id, name, cpu, spec.memory_mb, span, is_best_effort, is_finite)


def _demands(seen: Observations) -> Iterator[Demand]:
    """Return what each accepted job is owed: a run at any time, and one of each task that lasts.

    A run that is paused counts as none.
    """
    cancel_began, given_up_at = seen.cancel_began_by_job(), seen.given_up_at_by_job()
    records_by_task = seen.records_by_task()
    for job_id, accepted_at in seen.accepted_at_by_job().items():
        spec, state = seen.spec_by_job[job_id], seen.state_by_job.get(job_id, "")
        step = f"{job_id}.0.0"
        tasks = [f"{step}.{index}" for index in range(spec.count)]
        until = cancel_began.get(job_id, math.inf)
        if state == "failed":
            until = min(until, given_up_at.get(job_id, math.inf))
        if not spec.is_long_running:
            until = min(until, max(_done_at(records_by_task[task], state) for task in tasks))
        cpu = 0 if spec.best_effort_ms else spec.cpu
        needs = cpu, spec.memory_mb, spec.max_per_worker, (accepted_at, until)
        spans = {
            task: [span[:2] for record in records_by_task[task] for span in record.at_work()]
            for task in tasks
        }
        yield Demand(job_id, step, *needs, [span for task in tasks for span in spans[task]])
        if spec.is_long_running:
            for task in tasks:
                yield Demand(task, step, *needs, spans[task], TASK_SLACK_SECONDS)


def _large_demands(seen: Observations) -> Iterator[Demand]:
    """Return what the jobs of one large task are owed, as long as there is one at a time.

    A worker is free for it once its finite runs have ended; then it is work that has room.
    """
    finite = [spec for spec in seen.spec_by_job.values() if not spec.is_long_running]
    longest_ms = max((spec.work_ms for spec in finite if not spec.best_effort_ms), default=0)
    callers = {call.job_id: call.caller for call in seen.calls_of(SUBMIT)}
    crowd = (seen.spec_by_job[job] for job, caller in callers.items() if caller in CROWD_CALLERS)
    is_alone_until = seen.crowd[0] if any(spec.is_large for spec in crowd) else math.inf
    for demand in _demands(seen):
        if callers[demand.name.partition(".")[0]] == LARGE_CALLER:
            yield attrs.evolve(
                demand,
                owed=(demand.owed[0], min(demand.owed[1], is_alone_until)),
                max_wait_seconds=longest_ms / 1000 + MAX_WAIT_SECONDS,
                waits_for_finite_runs=True,
            )


@_check("large jobs that are served less than half as often as all of their kind")
def _sizes(seen: Observations) -> Iterator[Finding]:
    """RULES.md, Sizes: of the largest tenth, and of the fifth below it."""
    jobs = [
        (seen.spec_by_job[call.job_id], call)
        for call in seen.calls_of(SUBMIT)
        if call.caller in CROWD_CALLERS and call.status == 200
    ]
    jobs.sort(key=lambda each: each[0].cpu * each[0].count * each[0].work_ms)
    if not jobs:
        return
    tenth, all_served = len(jobs) // 10, _served_count(seen, jobs)
    groups = {"tenth": jobs[len(jobs) - tenth :], "fifth below": jobs[-3 * tenth : -tenth]}
    for name, group in groups.items():
        served = _served_count(seen, group)
        if _chance_of_at_most(served, len(group), 0.5 * all_served / len(jobs)) < MAX_CHANCE:
            text = f"of the largest {name}, {len(group)} jobs, {served} are served, "
            yield Finding("SIZES", seen.crowd[1], f"{text}of all {len(jobs)} {all_served}")


def _chance_of_at_most(served: int, count: int, share: float) -> float:
    """Return the probability that so few of some jobs are served, each with that probability."""
    return sum(
        math.comb(count, n) * share**n * (1 - share) ** (count - n) for n in range(served + 1)
    )


def _served_count(seen: Observations, jobs: list[tuple[JobSpec, Call]]) -> int:
    """Return how many jobs are worth something: up to three objectives late."""
    served = 0
    for spec, call in jobs:
        objective = (ROUTE["targetLatencyMs"] + ROUTE["stretch"] * spec.work_ms) / 1000
        ends = [r.ended_at for r in seen.records(call.job_id) if r.outcome == "done"]
        is_done = len(ends) == spec.count
        served += is_done and max(ends) - call.began_at <= VERY_LATE_FACTOR * objective
    return served


def _done_at(records: list[RunRecord], state: str) -> float:
    """Return when a task was done; an end that was lost counts if its job was completed."""
    done = (r for r in records if r.outcome == "done" and (state == "completed" or not r.is_lost))
    return min((record.ended_at for record in done), default=math.inf)


@_check("exits of processes")
def _wrong_exits(seen: Observations) -> Iterator[Finding]:
    for host in seen.deployment.hosts:
        for end in host.exits:
            signals = [(at, name) for at, name in host.signals if at <= end.at]
            near = [name for at, name in signals if at > end.at - GRACE_SECONDS - CONTACT_SECONDS]
            is_late = end.after_seconds is not None and end.after_seconds > GRACE_SECONDS
            if "SIGSTOP" in near or ("SIGKILL" in near and not is_late):
                continue
            # Before it listens, a process may not handle signals yet.
            if end.status == -signal.SIGTERM and not end.was_listening:
                continue
            if end.status != 0 or end.after_seconds is None:
                after = "" if end.after_seconds is None else f" {end.after_seconds:.2f} s"
                text = f"{host.role} {host.ip} ended with {end.status}{after} after {near}"
                yield Finding("EXIT", end.at, text)


@_check("manifests that are read back although a newer one is in force")
def _older_manifests(seen: Observations) -> Iterator[Finding]:
    acknowledged = seen.deployment.acknowledged_at_by_version
    for read in seen.deployment.manifest_reads:
        since = read.sent_at - CONFIG_APPLY_SECONDS
        in_force = max((version for version, at in acknowledged.items() if at < since), default=0)
        if read.version < in_force:
            text = f"{read.ip} gives version {read.version}, {in_force} is in force"
            yield Finding("CONFIG", read.sent_at, text)


@_check("no manifest that is read back in time after the last fault")
def _late_manifests(seen: Observations) -> Iterator[Finding]:
    over_at = max((until for _, until in seen.disturbed), default=math.inf)
    times = (read.sent_at for read in seen.deployment.manifest_reads)
    is_judged = over_at < seen.recovered_at < math.inf
    if is_judged and not any(over_at <= at <= seen.recovered_at for at in times):
        seconds = seen.recovered_at - over_at
        text = f"no manifest is read back for {seconds:.1f} s after the last fault"
        yield Finding("RECOVER", seen.recovered_at, text)


@_check("manifests that were acknowledged and are gone")
def _lost_manifests(seen: Observations) -> Iterator[Finding]:
    acknowledged = seen.deployment.acknowledged_version
    if seen.manifest_version < acknowledged:
        last = max((call.ended_at for call in seen.calls), default=0.0)
        text = f"version {seen.manifest_version} is read, {acknowledged} was acknowledged"
        yield Finding("LOST manifest", last, text)
