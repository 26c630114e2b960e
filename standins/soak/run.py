"""One run of a soak: callers at work, faults, recovery, and the verdict."""

import collections
import contextlib
import http.client
import json
import pathlib
import signal
import threading
import time

import attrs

from ..platform import FULL_SPEED_PERCENT, RunRecord
from .callers import (
    CPU_OF_USE,
    CROWD_CALLERS,
    DEADLINE_SECONDS,
    READ,
    Balancer,
    Call,
    Caller,
    CrowdCaller,
    DeadlyCaller,
    LargeCaller,
    LongRunningCaller,
    LongTasksCaller,
    SharingCaller,
)
from .deployment import FAR_SECONDS, PORTS, Deployment
from .faults import (
    CATCH_UP_SECONDS,
    CATCH_UP_SECONDS_WITHOUT_LOSSES,
    Fault,
    draw_closings,
    draw_crashes,
    draw_cuts,
    draw_far_seconds,
    draw_faults,
    draw_losses,
    draw_resets,
    inject,
)
from .judge import Finding, Observations, judge
from .lives import LatePair, late_pairs
from .waits import MAX_WAIT_SECONDS, Span

FINISH_SECONDS = 14.0
"""Time after the recovery in which all accepted jobs must end, and each worker must get a run."""

RECOVERY_SECONDS = 12.0
JUDGED_SECONDS = MAX_WAIT_SECONDS + 0.5
"""Time after the recovery in which work with room may not wait."""

SHARING_JUDGED_SECONDS = JUDGED_SECONDS + 10.0
"""The same where there is best-effort work: time for it to be evicted, and to wait."""

CROWD_SECONDS = 20.0
"""Time after that in which jobs of one kind, of all sizes, contend for the workers."""

LINKED_CONTROLS = 5
"""Control hosts where links are cut: two of them may be unavailable."""

CRASH_CALLERS = (DeadlyCaller, LongTasksCaller)
LAG_CHECK_SECONDS = 0.05
MIN_LAG_SECONDS = 0.3
"""A longer time in which the soak itself stood still is reported: its workers answered nobody."""

HISTORY_SECONDS = 6.0
SIZES = {
    "small": {"entries": 3, "controls": 3, "workers": 7, "callers": 10},
    "usual": {"entries": 6, "controls": 3, "workers": 7, "callers": 24},
    "large": {"entries": 24, "controls": 5, "workers": 8, "callers": 80},
}


@attrs.frozen
class SoakResult:
    """The verdict on one seed."""

    seed: int
    began_at: float
    faults: list[Fault]
    seen: Observations
    findings: list[Finding]
    lags: list[Span]
    """When the soak itself stood still, for want of a processor."""

    standstills: list[Span]
    """The same of the process of links: nothing passed between hosts."""

    late_pairs: list[LatePair]

    def summary(self) -> str:
        """Return one line of figures."""
        calls = self.seen.calls
        statuses = collections.Counter(call.status or "none" for call in calls)
        counts = collections.Counter(finding.kind for finding in self.findings)
        return (
            f"seed {self.seed}: {len(self.faults)} faults, {len(calls)} calls {dict(statuses)}, "
            f"{len(self.seen.state_by_job)} jobs accepted, {self._throttling()}, {self._late()}, "
            f"{len(self.seen.deployment.manifest_reads)} manifests read, "
            f"findings {dict(counts)}"
        )

    def best_effort_runs(self) -> list[RunRecord]:
        """Return the runs of best-effort jobs."""
        jobs = {job for job, spec in self.seen.spec_by_job.items() if spec.best_effort_ms}
        return [run for run in self.seen.records() if run.task.partition(".")[0] in jobs]

    def _late(self) -> str:
        """Return how many runs a former life's order started, and what no caller could prevent."""
        count = sum(record.is_late for record in self.seen.records())
        allowed = [pair for pair in self.late_pairs if not pair.reason]
        soon = sum(pair.was_called_before for pair in allowed)
        longest = max((pair.overlap_seconds for pair in allowed), default=0.0)
        return (
            f"{count} starts ordered of former lives (runs twice that no caller could prevent: "
            f"{len(allowed)}, {soon} right after the life's first answer, at once for "
            f"{longest:.2f} s at most)"
        )

    def _throttling(self) -> str:
        runs = self.best_effort_runs()
        slowed = sum(any(percent < FULL_SPEED_PERCENT for _, percent in r.speeds) for r in runs)
        paused = sum(any(not percent for _, percent in r.speeds) for r in runs)
        evicted = sum(run.outcome == "stopped" for run in runs)
        return f"{len(runs)} best-effort runs ({slowed} slowed, {paused} paused, {evicted} evicted)"

    def report(self, histories_per_kind: int) -> str:
        """Return the series of faults and the findings, the first ones with their histories."""
        lines = [f"seed {self.seed}, faults:"]
        lines += [f"  {f.at:6.2f} s {f.kind} {f.target} for {f.seconds} s" for f in self.faults]
        links = self.seen.deployment.links
        for (source, target), since, until in links.cuts if links else ():
            since, until = since - self.began_at, until - self.began_at
            lines.append(f"  {source} to {target} cut from {since:.2f} to {until:.2f}")
        for host in self.seen.deployment.hosts:
            times = " ".join(f"{name} {at - self.began_at:.2f}" for at, name in host.signals)
            ends = " ".join(f"{end.at - self.began_at:.2f}" for end in host.exits)
            lines.append(f"  {host.role} {host.ip}: {times}; ended at {ends}")
        for name, spans in (("soak itself", self.lags), ("links", self.standstills)):
            times = ", ".join(
                f"{a - self.began_at:.2f} to {b - self.began_at:.2f}" for a, b in spans
            )
            lines.append(f"  the {name} stood still: {times or 'never'}")
        for pair in self.late_pairs:
            if not pair.reason:
                at = max(pair.late.started_at, pair.other.started_at) - self.began_at
                lines.append(f"allowed at {at:.2f} s: {pair.late.task}: {pair.late}; {pair.other}")
        printed = collections.Counter()
        for finding in self.findings:
            printed[finding.kind] += 1
            lines.append(f"{finding.kind} at {finding.at - self.began_at:.2f} s: {finding.text}")
            if printed[finding.kind] <= histories_per_kind:
                lines += [f"    {self._line(call)}" for call in self._history(finding)]
        return "\n".join(lines)

    def _history(self, finding: Finding) -> list[Call]:
        since = finding.at - HISTORY_SECONDS
        return [
            call
            for call in self.seen.calls
            if call.caller == finding.caller and since < call.began_at <= finding.at
        ]

    def _line(self, call: Call) -> str:
        sent = f"sent {call.sent_at - self.began_at:.3f}" if call.sent_at else "not sent"
        way = "relayed" if call.is_relayed else "direct"
        return (
            f"{call.began_at - self.began_at:.3f} s {call.verb} {call.job_id} to {call.ip} {way}, "
            f"{sent}, ended {call.ended_at - self.began_at:.3f}: {call.status or call.ended_by} "
            f"{call.state}"
        )


def run_soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    size: str,
    closings: bool = False,
    best_effort: bool = False,
    large: bool = False,
    crashes: bool = False,
    links: bool = False,
    resets: bool = False,
    losses: bool = False,
) -> SoakResult:
    """Run the series of a seed and return the verdict; logs are written to the folder.

    With ``closings``, all hosts end at once in the series, and there are long-running jobs.
    With ``best_effort``, there are jobs that serve and best-effort jobs beside them, which go on
    until the work after the recovery has been judged.  With ``large``, there is one large job at a
    time, and once that has been judged, jobs of one kind contend for the workers: of all sizes,
    or of all but large ones.  With ``crashes``, workers are lost together, orders outlive the life
    of the worker that they were meant for, and there are tasks that crash their workers.  With
    ``links``, the hosts reach five control hosts over links that are cut, and some lose power.
    With ``resets``, all connections of some hosts are reset.  With ``losses``, control hosts lose
    their disks, and others theirs as soon as the first ones count as available again; the regions
    are near or far.
    """
    shape = dict(SIZES[size])
    caller_count = shape.pop("callers")
    faults = draw_faults(seed, seconds)
    if closings:
        faults = draw_closings(seed, seconds, faults)
    if crashes:
        faults = draw_crashes(seed, seconds, faults)
    if links:
        catch_up_seconds = CATCH_UP_SECONDS if losses else CATCH_UP_SECONDS_WITHOUT_LOSSES
        faults = draw_cuts(seed, seconds, faults, catch_up_seconds)
        shape["controls"] = LINKED_CONTROLS
    if resets:
        faults = draw_resets(seed, seconds, faults)
    if losses:
        faults = draw_losses(seed, seconds, faults)
    far_seconds = draw_far_seconds(seed) if losses else FAR_SECONDS
    with Deployment(folder, **shape, are_linked=links, far_seconds=far_seconds).running() as (
        deployment
    ):
        balancer = Balancer(deployment)
        callers = [Caller(n, seed, deployment, balancer) for n in range(caller_count)]
        if closings:
            callers.append(LongRunningCaller(caller_count, seed, deployment, balancer))
        sharing = [SharingCaller(seed, deployment, balancer)] if best_effort else []
        crowd, crowd_span = [], None
        if large:
            sharing.append(LargeCaller(seed, deployment, balancer))
            crowd = [CrowdCaller(n, seed, deployment, balancer) for n in CROWD_CALLERS]
        began_at = time.monotonic()
        deployment.series_until = began_at + seconds
        if crashes:
            deployment.let_workers_crash(seed)
            callers += [kind(seed, deployment, balancer) for kind in CRASH_CALLERS]
        lags: list[Span] = []
        probes = [(balancer.probe, host) for host in deployment.entries]
        probes += [(deployment.read_manifests, host) for host in deployment.controls]
        with _in_threads([*probes, (_measure_lag, lags)]):
            with _in_threads([(caller.run,) for caller in sharing]):
                with _in_threads([(caller.run,) for caller in callers]):
                    disturbed = _inject_all(deployment, faults, began_at)
                    time.sleep(max(0.0, began_at + seconds - time.monotonic()))
                for host in deployment.hosts:
                    host.send(signal.SIGCONT)
                recovered_at = time.monotonic() + RECOVERY_SECONDS
                if closings or best_effort or large or crashes:
                    # Before the service is filled, since work may wait while half of it is in use.
                    judged = SHARING_JUDGED_SECONDS if best_effort else JUDGED_SECONDS
                    time.sleep(max(0.0, recovered_at + judged - time.monotonic()))
                if large:
                    crowd_span = time.monotonic(), time.monotonic() + CROWD_SECONDS
                    with _in_threads([(caller.run,) for caller in crowd]):
                        time.sleep(CROWD_SECONDS)
            callers.append(Caller(len(callers), seed, deployment, balancer))
            unused = _use_workers(deployment, callers[-1])
            callers += sharing + crowd
            seen = Observations(
                deployment,
                [call for caller in callers for call in caller.calls],
                {k: spec for caller in callers for k, spec in caller.spec_by_job.items()},
                unused_workers=unused,
                disturbed=disturbed,
                recovered_at=recovered_at,
                crowd=crowd_span,
            )
            _recover(deployment, seen)
            if closings or best_effort:
                _read_states(deployment, seen, seen.long_running_jobs())
            seen.ended_at = time.monotonic()
            # Before the workers end, since the end of a worker is a crash for its runs.
            standstills = deployment.links.standstills() if links else []
            return SoakResult(
                seed, began_at, faults, seen, judge(seen), lags, standstills, list(late_pairs(seen))
            )


@contextlib.contextmanager
def _in_threads(actions):
    """Run functions in threads during the block; each gets an event that is set at its end."""
    stopping = threading.Event()
    threads = [
        threading.Thread(target=function, args=(*arguments, stopping), daemon=True)
        for function, *arguments in actions
    ]
    for thread in threads:
        thread.start()
    try:
        yield
    finally:
        stopping.set()
        for thread in threads:
            thread.join()


def _measure_lag(lags: list[Span], stopping: threading.Event) -> None:
    last = time.monotonic()
    while not stopping.wait(LAG_CHECK_SECONDS):
        now = time.monotonic()
        if now - last > MIN_LAG_SECONDS:
            lags.append((last, now))
        last = now


def _inject_all(deployment: Deployment, faults: list[Fault], began_at: float) -> list[Span]:
    """Carry all faults out; return when each of them began and was over."""
    threads, spans = [], []

    def carry_out(fault: Fault) -> None:
        since = time.monotonic()
        inject(deployment, fault)
        spans.append((since, time.monotonic()))

    for fault in faults:
        time.sleep(max(0.0, began_at + fault.at - time.monotonic()))
        threads.append(threading.Thread(target=carry_out, args=(fault,), daemon=True))
        threads[-1].start()
    for thread in threads:
        thread.join()
    return spans


def _use_workers(deployment: Deployment, caller: Caller) -> list[str]:
    """Submit jobs until every worker has got a run; return the ids of the others."""
    counts = {worker.worker_id: len(worker.starts) for worker in deployment.workers}
    unused = list(deployment.workers)
    deadline = time.monotonic() + RECOVERY_SECONDS + FINISH_SECONDS
    while unused and time.monotonic() < deadline:
        caller.use_workers(len(deployment.workers))
        time.sleep(0.5)
        unused = [
            each
            for each in unused
            if len(each.starts) == counts[each.worker_id]
            # One that long-running work takes is in use.
            and each.has_room(CPU_OF_USE, 0)
        ]
    caller.disconnect()
    return [worker.worker_id for worker in unused]


def _recover(deployment: Deployment, seen: Observations) -> None:
    """Read back the manifest, and each accepted job until it has ended or may go on."""
    with contextlib.suppress(TimeoutError):
        seen.manifest_version = deployment.wait_for(
            deployment.manifest_version, "a manifest", RECOVERY_SECONDS
        )
    _read_states(deployment, seen, list(seen.accepted_at_by_job()))


def _read_states(deployment: Deployment, seen: Observations, waiting: list[str]) -> None:
    deadline = time.monotonic() + RECOVERY_SECONDS + FINISH_SECONDS
    seen.state_by_job = dict.fromkeys(waiting, "") | seen.state_by_job
    while waiting and time.monotonic() < deadline:
        for number, job_id in enumerate(waiting):
            # Without a leader, each read takes as long as its caller waits.
            if not seen.manifest_version and time.monotonic() > deadline:
                break
            # Each round reads at another host, so that all hosts are asked.
            ip = deployment.entry(number + len(waiting)).ip
            seen.state_by_job[job_id] = _read(ip, job_id) or seen.state_by_job.get(job_id, "")
        waiting = [
            job_id for job_id in waiting if not seen.may_stay(job_id, seen.state_by_job[job_id])
        ]
        time.sleep(0.2)


def _read(ip: str, job_id: str) -> str:
    connection = http.client.HTTPConnection(ip, PORTS["front"], timeout=DEADLINE_SECONDS)
    with contextlib.closing(connection), contextlib.suppress(OSError, http.client.HTTPException):
        connection.request(READ, f"/q/{job_id}", headers={"Host": "h.example"})
        answer = connection.getresponse()
        body = json.loads(answer.read() or "{}")
        return "unknown" if answer.status == 410 else body.get("state", "")
    return ""
