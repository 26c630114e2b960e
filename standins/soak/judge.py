"""Judge of a soak: finds broken promises in what callers, workers and the platform saw."""

import collections
import itertools
import signal
from collections.abc import Callable, Iterator

import attrs

from savoryshelf.registry import registry_decorator

from ..platform import RunRecord, doubled_runs
from .callers import CANCEL, DEADLINE_SECONDS, NOT_RUN, READ, SUBMIT, Call
from .deployment import GRACE_SECONDS, Deployment

LOSS_SLACK_SECONDS = 0.2
"""A request whose connection ends sooner after it was sent may not have been read."""

PLANNED_SECONDS = 3.0
"""Requests sent up to this long after SIGTERM must be answered."""

CONTACT_SECONDS = 4.0
"""A host counts as impaired for this long after the impairment."""

VISIBLE_SECONDS = 3.0
"""An accepted job must be known to every host after this time."""

CRASHES_UNTIL_GIVEN_UP = 2
"""A task may be given up once so many incarnations of workers have ended with its run, or with the
end of its run unread: callers of the worker can't tell which of the two."""

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
    task_count_by_job: dict[str, int]
    state_by_job: dict[str, str] = attrs.field(factory=dict)
    manifest_version: int = 0
    unused_workers: list[str] = attrs.field(factory=list)
    """Ids of workers whose last incarnation got no run after the recovery."""

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

    def jobs_that_may_be_given_up(self) -> set[str]:
        """Return the jobs with a task under which several workers crashed."""
        crashes = collections.Counter(record.task for record in self.records() if record.is_lost)
        tasks = [task for task, count in crashes.items() if count >= CRASHES_UNTIL_GIVEN_UP]
        return {task.partition(".")[0] for task in tasks}

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
    given_up = seen.jobs_that_may_be_given_up()
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
        allowed = {"completed"}
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
        overlap = min(earlier.ended_at, later.ended_at) - later.started_at
        text = f"{later.task}: {earlier}; {later}; at once for {max(0.0, overlap):.3f} s"
        yield Finding("TWICE", later.started_at, text)


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
        if state == "completed" and done_by_job[job_id] != seen.task_count_by_job[job_id]:
            text = f"{job_id} is completed with {done_by_job[job_id]} tasks done"
            yield Finding("MIXED", seen.accepted_at_by_job()[job_id], text)


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


@_check("manifests that were acknowledged and are gone")
def _lost_manifests(seen: Observations) -> Iterator[Finding]:
    acknowledged = seen.deployment.acknowledged_version
    if seen.manifest_version < acknowledged:
        last = max((call.ended_at for call in seen.calls), default=0.0)
        text = f"version {seen.manifest_version} is read, {acknowledged} was acknowledged"
        yield Finding("LOST manifest", last, text)
