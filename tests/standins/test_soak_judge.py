"""The soak's judge finds each kind of broken promise, and nothing else."""

import pathlib
import types

import attrs
import pytest

from standins.platform import RunRecord
from standins.soak.callers import CANCEL, CROWD_CALLERS, LARGE_CALLER, READ, SUBMIT, Call, JobSpec
from standins.soak.deployment import Exit, Host, ManifestRead
from standins.soak.judge import Observations, judge
from standins.soak.waits import Demand, Use, WorkerTimes, calm_spans, unmet_demands

JOB = "00000000000000aa"
OTHER_JOB = "00000000000000ab"


READS = [ManifestRead("ip", float(second), 3) for second in range(100)]
"""The newest manifest is read back each second."""


def kinds(
    calls=(),
    records=(),
    signals=(),
    exits=(),
    starts=(),
    role="front",
    state="completed",
    acknowledged=1,
    spec=None,
    unused_workers=(),
    first_outcome="done",
    reads=READS,
    **times,
):
    """Return the kinds of findings in a run with one accepted job, whose task ran once."""
    spec = spec or JobSpec()
    host = Host(
        "ip", role, pathlib.Path(), signals=list(signals), exits=list(exits), starts=list(starts)
    )
    outcome = "failed" if spec.is_long_running else first_outcome
    ended = RunRecord(f"{JOB}.0.0.0", 1, 2.0, 3.0, outcome, 1, True)
    worker = types.SimpleNamespace(worker_id="w1", records=[ended, *records], up=[(0.0, 99.0)])
    deployment = types.SimpleNamespace(
        entries=[host], hosts=[host], workers=[worker], acknowledged_version=acknowledged,
        cuts_of=lambda host: [], manifest_reads=list(reads),
        acknowledged_at_by_version={1: 0.0, 2: 10.0, 3: 20.0},
    )  # fmt: skip
    submitted = Call(0, SUBMIT, JOB, "ip", False, 1.0, 1.0, 1.1, 200)
    seen = Observations(
        deployment, [submitted, *calls], {JOB: spec}, {JOB: state}, 1, unused_workers, **times
    )
    return [finding.kind for finding in judge(seen)]


def cut(sent_at, ended_at, **fields):
    return Call(0, READ, JOB, "ip", False, sent_at, sent_at, ended_at, **fields)


def test_a_run_that_keeps_all_promises_has_no_finding():
    assert kinds() == []


@pytest.mark.parametrize(
    ("call", "signals", "found"),
    [
        (cut(10.0, 11.0), [(9.5, "SIGTERM")], ["LOST request"]),
        (cut(10.0, 11.0), [(10.5, "SIGHUP")], ["LOST request"]),
        (cut(10.0, 11.0), [], ["LOST request"]),
        # Not read yet, or its deadline has passed.
        (cut(10.0, 10.1), [(9.5, "SIGTERM")], []),
        (cut(10.0, 13.0), [(9.5, "SIGTERM")], []),
        (cut(10.0, 11.0), [(6.9, "SIGTERM")], []),
        # Unplanned.
        (cut(10.0, 11.0), [(9.5, "SIGTERM"), (10.9, "SIGKILL")], []),
        (cut(10.0, 11.0), [(9.5, "SIGTERM"), (6.1, "SIGCONT")], []),
        # Its connection was reset.
        (cut(10.0, 11.0), [(10.9, "SIGUSR2")], []),
        (cut(10.0, 11.0), [(11.1, "SIGUSR2")], ["LOST request"]),
    ],
)
def test_a_request_cut_by_a_planned_stop_is_lost(call, signals, found):
    assert kinds(calls=[call], signals=signals) == found


def test_a_stop_of_an_earlier_process_excuses_no_loss():
    signals, exits = [(6.0, "SIGTERM")], [Exit(8.5, 0, 2.5, True)]
    assert kinds(calls=[cut(10.0, 11.0)], signals=signals, exits=exits) == ["LOST request"]


def test_an_accepted_job_must_be_known_and_end():
    assert kinds(calls=[cut(10.0, 10.1, status=410)]) == ["LOST job"]
    assert kinds(calls=[cut(2.0, 2.1, status=410)]) == []
    assert kinds(state="running") == ["LOST job"]
    assert kinds(calls=[cut(10.0, 10.1, status=404)]) == ["STATUS"]


def test_a_task_must_not_run_twice():
    # Run 1 of the task is done at 3.0, and its end was acknowledged.
    assert kinds(records=[RunRecord(f"{JOB}.0.0.0", 2, 4.0, 5.0, "done", 2, True)]) == ["TWICE"]
    lapsed = RunRecord(f"{JOB}.0.0.0", 0, 1.2, 1.9, "lapsed", 1, True)
    assert kinds(records=[lapsed]) == []
    overlapping = RunRecord(f"{JOB}.0.0.0", 0, 1.2, 2.5, "lapsed", 1, True)
    assert kinds(records=[overlapping]) == ["TWICE"]


def test_a_job_is_given_up_only_after_crashes_of_several_workers():
    crashes = [
        RunRecord(f"{JOB}.0.0.0", 1, 0.1, 0.2, "crashed", worker_id="w1", is_lost=True),
        RunRecord(f"{JOB}.0.0.0", 2, 0.3, 0.4, "done", worker_id="w2", is_lost=True),
    ]
    shown = Call(0, READ, JOB, "ip", False, 4.0, 4.0, 4.1, 200, "failed")
    assert kinds(calls=[shown], records=crashes, state="failed") == []
    assert kinds(calls=[shown], records=crashes[:1], state="failed") == ["LOST job"] * 2
    other = RunRecord(f"{JOB}.0.0.1", 1, 0.1, 0.2, "crashed", worker_id="w2", is_lost=True)
    assert kinds(records=[crashes[0], other], state="failed") == ["LOST job"]
    # Two lives of one worker, and workers that were restarted together.
    same = [attrs.evolve(crash, worker_id="w1") for crash in crashes]
    assert kinds(calls=[shown], records=same, state="failed") == ["LOST job"] * 2
    together = [attrs.evolve(crash, workers_down=3) for crash in crashes]
    assert kinds(calls=[shown], records=together, state="failed") == ["LOST job"] * 2
    # A cut ends no life.
    cut_off = [crashes[0], RunRecord(f"{JOB}.0.0.0", 2, 0.3, 0.4, "lapsed", worker_id="w2")]
    assert kinds(calls=[shown], records=cut_off, state="failed") == ["LOST job"] * 2


# Guards against tasks that crash worker after worker without end.
def test_a_deadly_task_is_started_five_times_at_most():
    crashes = [
        RunRecord(f"{JOB}.0.0.0", n, n, n + 0.02, "crashed", worker_id=f"w{n}", is_lost=True)
        for n in range(10, 17)
    ]
    fields = {"state": "failed", "first_outcome": "stopped"}
    assert kinds(records=crashes[:5], **fields) == []
    assert kinds(records=crashes, **fields) == ["BUDGET"] * 2


def test_a_live_worker_must_be_used():
    assert kinds(unused_workers=["w1"]) == ["UNUSED"]


def test_a_refused_job_must_not_run():
    refused = Call(0, SUBMIT, "bb", "ip", False, 1.0, 1.0, 1.1, 503)
    ran = RunRecord("bb.0.0.0", 1, 2.0, 3.0, "done", 2, True)
    assert kinds(calls=[refused], records=[ran]) == ["REFUSED"]
    unclear = Call(0, SUBMIT, "bb", "ip", False, 1.0, 1.0, 1.1, 504)
    assert kinds(calls=[refused, unclear], records=[ran]) == []


def test_a_completed_job_must_be_done_whole():
    assert kinds(spec=JobSpec(2)) == ["MIXED"]


def test_an_acknowledged_manifest_must_be_kept():
    assert kinds(acknowledged=2) == ["LOST manifest"]


@pytest.mark.parametrize(
    ("end", "signals", "found"),
    [
        (Exit(12.0, 0, 2.0, True), [(10.0, "SIGTERM")], []),
        (Exit(12.0, 1, 2.0, True), [(10.0, "SIGTERM")], ["EXIT"]),
        (Exit(12.0, 0, None, False), [], ["EXIT"]),
        (Exit(10.1, -15, 0.1, True), [(10.0, "SIGTERM")], ["EXIT"]),
        (Exit(10.1, -15, 0.1, False), [(10.0, "SIGTERM")], []),
        (Exit(16.1, -9, 6.1, True), [(10.0, "SIGTERM"), (16.1, "SIGKILL")], ["EXIT"]),
        (Exit(12.0, -9, None, False), [(12.0, "SIGKILL")], []),
    ],
)
def test_a_stopped_process_ends_in_time_with_status_0(end, signals, found):
    assert kinds(exits=[end], signals=signals) == found


STEP = f"{JOB}.0.0"
TASK = f"{STEP}.0"
LASTING = JobSpec(is_long_running=True)
ALWAYS = (0.0, 99.0)


def waits(judged=(ALWAYS,), uses=(), up=(ALWAYS, ALWAYS), **fields):
    """Return (name, since, free workers) of the waits of a demand for 1000 of 4000 on w0 and w1."""
    usual = {"name": TASK, "step": STEP, "cpu": 1000, "memory_mb": 10, "max_per_worker": 0}
    demand = Demand(**usual | {"owed": (1.0, 99.0), "runs": []} | fields)
    workers = [WorkerTimes(f"w{n}", 4000, 4000, [span]) for n, span in enumerate(up)]
    found = unmet_demands([demand], workers, list(uses), list(judged))
    return [(wait.demand.name, wait.since, wait.free) for wait in found]


def use(worker_id, cpu, span=ALWAYS, step="another", memory_mb=10):
    return Use(worker_id, step, cpu, memory_mb, span)


def test_work_without_a_run_waits_while_there_is_room():
    assert waits() == [(TASK, 1.0, ["w0", "w1"])]
    assert waits(runs=[(1.5, 40.0)]) == [(TASK, 40.0, ["w0", "w1"])]
    assert waits(runs=[(1.5, 40.0), (42.9, 99.0)]) == []
    assert waits(runs=[(3.9, 99.0)]) == []
    assert waits(runs=[(4.1, 99.0)]) == [(TASK, 1.0, ["w0", "w1"])]


def test_work_that_is_no_longer_owed_does_not_wait():
    assert waits(owed=(1.0, 3.9)) == []
    assert waits(owed=(1.0, 20.0), runs=[(1.0, 18.0)]) == []
    assert waits(owed=(1.0, 4.1), runs=[(30.0, 40.0)]) == [(TASK, 1.0, ["w0", "w1"])]


def test_a_long_running_task_waits_from_6_s_after_its_last_run_on():
    assert waits(runs=[(1.5, 40.0), (48.9, 99.0)], slack_seconds=6.0) == []
    found = waits(runs=[(1.5, 40.0), (49.1, 99.0)], slack_seconds=6.0)
    assert found == [(TASK, 46.0, ["w0", "w1"])]
    # One that had no run has no slack.
    assert waits(slack_seconds=6.0) == [(TASK, 1.0, ["w0", "w1"])]


@pytest.mark.parametrize(
    ("uses", "found"),
    [
        # Room for one run on each worker, or for two on one of them, with less than half in use.
        ([use("w0", 2500), use("w1", 1400)], True),
        ([use("w0", 3900)], True),
        # For one run only.
        ([use("w0", 3000, memory_mb=3995), use("w1", 0, memory_mb=3980)], False),
        # Half in use.
        ([use("w0", 4000)], False),
        ([use("w0", 100, memory_mb=4000)], False),
        # Room only for less than 3 s on end.
        ([use("w0", 4000, (1.0, 20.0)), use("w0", 4000, (22.9, 99.0))], False),
        ([use("w0", 4000, (1.0, 20.0)), use("w0", 4000, (23.1, 99.0))], True),
    ],
)
def test_work_waits_only_where_there_is_room_twice_over(uses, found):
    assert bool(waits(uses=uses)) == found


def test_best_effort_runs_take_memory_and_count_for_nothing_in_the_share_in_use():
    full = Use("w0", "another", 0, 4000, ALWAYS, is_best_effort=True)
    assert waits(uses=[full], cpu=0, memory_mb=2000) == [(TASK, 1.0, ["w1"])]
    assert waits(uses=[full], cpu=0, memory_mb=2001) == []
    # Other runs hold half of the memory, so work may wait.
    assert waits(uses=[attrs.evolve(full, is_best_effort=False)], cpu=0) == []
    # Best-effort work needs no processor time of what workers have, but waits where half is used.
    assert waits(uses=[use("w0", 4000)], cpu=0) == []
    assert waits(uses=[use("w0", 3999)], cpu=0, memory_mb=2000)


def test_a_worker_with_as_many_runs_of_the_step_as_it_may_have_has_no_room():
    both = {"uses": [use("w0", 100, step=STEP), use("w1", 100, step=STEP)], "max_per_worker": 1}
    assert waits(**both) == []
    assert waits(**both | {"max_per_worker": 2}) == [(TASK, 1.0, ["w0", "w1"])]
    assert waits(uses=[use("w0", 100)], max_per_worker=1) == [(TASK, 1.0, ["w0", "w1"])]
    # The limit leaves one place in all.
    assert waits(uses=[use("w0", 100, step=STEP)], max_per_worker=1) == []


def test_only_workers_that_are_up_have_room():
    assert waits(up=[(50.0, 99.0), (60.0, 62.9)]) == [(TASK, 50.0, ["w0"])]
    assert waits(up=[(50.0, 52.9), (60.0, 62.9)]) == []


def test_only_calm_spans_are_judged():
    disturbed = [(0.0, 1.0), (10.0, 10.0), (13.0, 20.0), (15.0, 16.0)]
    assert calm_spans(disturbed, 30.0) == [(5.0, 10.0), (24.0, 30.0)]
    assert calm_spans(disturbed, 23.0) == [(5.0, 10.0)]
    assert waits(judged=[(5.0, 7.9), (24.0, 26.9)]) == []
    assert waits(judged=[(5.0, 7.9), (24.0, 27.1)]) == [(TASK, 24.0, ["w0", "w1"])]


def test_a_job_must_have_a_run_after_the_recovery():
    ends = {"disturbed": [(0.0, 20.0)], "recovered_at": 20.0, "ended_at": 24.0}
    assert kinds(state="running", spec=LASTING, **ends) == ["LOST task"] * 2
    assert kinds(state="running", spec=LASTING, **ends | {"ended_at": 22.9}) == []
    at_work = RunRecord(TASK, 2, 4.0)
    assert kinds(records=[at_work], state="running", spec=LASTING, **ends) == []
    # The other task of the job has no run, which the users ask for each task that lasts.
    spec = JobSpec(2, is_long_running=True)
    assert kinds(records=[at_work], state="running", spec=spec, **ends) == ["LOST task"]
    assert kinds(state="running", spec=JobSpec(2), **ends) == ["LOST job", "LOST task"]
    assert kinds(state="completed", **ends) == []


BEST_EFFORT = JobSpec(work="900 ms", best_effort_ms=900)


@pytest.mark.parametrize(
    ("runs", "found"),
    [
        ([RunRecord(TASK, 2, 21.0, speeds=[(21.1, 25)])], []),
        # None, one that ends too early, and one that comes too late.
        ([], ["LOST task"]),
        ([RunRecord(TASK, 2, 19.0, 20.2, "stopped")], ["LOST task"]),
        ([RunRecord(TASK, 2, 23.1)], ["LOST task"]),
        # Paused until after the time, or from then on.
        ([RunRecord(TASK, 2, 19.0, speeds=[(19.5, 0)])], ["LOST task"]),
        ([RunRecord(TASK, 2, 19.0, speeds=[(19.5, 0), (23.1, 25)])], ["LOST task"]),
        ([RunRecord(TASK, 2, 19.0, speeds=[(19.5, 0), (22.9, 25)])], []),
        ([RunRecord(TASK, 2, 19.0, speeds=[(19.5, 25), (20.9, 0)])], ["LOST task"]),
        ([RunRecord(TASK, 2, 19.0, speeds=[(19.5, 25), (21.1, 0)])], []),
        # Evicted and started again: what works for a moment within 3 s is at work.
        ([RunRecord(TASK, 2, 19.0, 20.5, "stopped"), RunRecord(TASK, 3, 23.0)], []),
        ([RunRecord(TASK, 2, 19.0, 20.5, "stopped"), RunRecord(TASK, 3, 23.6)], ["LOST task"]),
    ],
)
def test_a_best_effort_job_must_have_something_at_work(runs, found):
    ends = {"disturbed": [(0.0, 20.0)], "recovered_at": 20.0, "ended_at": 24.0}
    fields = {"spec": BEST_EFFORT, "state": "running", "first_outcome": "stopped"}
    assert kinds(records=runs, **fields, **ends) == found


def test_a_best_effort_job_may_go_on_at_the_end_but_must_be_known():
    fields = {"spec": BEST_EFFORT, "first_outcome": "stopped"}
    assert kinds(state="running", **fields) == []
    assert kinds(state="failed", **fields) == ["LOST job"]
    assert kinds(state="", **fields) == ["LOST job"]
    assert kinds(state="completed", **fields) == ["MIXED"]


def test_a_job_must_have_a_run_in_a_calm_span_of_the_series():
    ends = {"recovered_at": 40.0, "ended_at": 40.0}
    lasting = {"state": "running", "spec": LASTING, "records": [RunRecord(TASK, 2, 14.5)]}
    # It ran until 3.0 s, and again from 14.5 s on.
    assert kinds(disturbed=[(0.0, 5.0)], **lasting, **ends) == ["LOST task"] * 2
    assert kinds(disturbed=[(0.0, 7.8)], **lasting, **ends) == []
    assert kinds(disturbed=[(0.0, 5.0), (11.9, 12.0)], **lasting, **ends) == []
    resumed = [(11.9, "SIGCONT")]
    found = kinds(signals=resumed, disturbed=[(0.0, 5.0)], **lasting, **ends)
    assert found == ["LOST task"] * 2
    # Signals of hosts, and their ends, are faults too.
    signals, exits = [(11.9, "SIGKILL")], [Exit(11.9, -9, None, True)]
    assert kinds(signals=signals, exits=exits, disturbed=[(0.0, 5.0)], **lasting, **ends) == []


# RULES.md, "Stable": 8 s after a final fault that took most of the core, and 4 s after any other.
@pytest.mark.parametrize(
    ("run_from", "later_fault", "found"),
    [(25.9, [], []), (26.1, [], ["LOST task"] * 2), (22.6, [(15.5, 15.5)], ["LOST task"] * 2)],
    ids=["final, in time", "final, late", "not final, late"],
)
def test_the_contact_time_counts_twice_after_a_final_loss_of_the_core(run_from, later_fault, found):
    lasting = {"state": "running", "spec": LASTING, "records": [RunRecord(TASK, 2, run_from)]}
    core = {"role": "core", "exits": [Exit(12.0, -9, None, True)], "starts": [0.0, 15.0]}
    core["signals"] = [(12.0, "SIGKILL")]
    ends = {"recovered_at": 40.0, "ended_at": 40.0}
    disturbed = [(0.0, 11.0), (11.9, 15.0), *later_fault]
    assert kinds(disturbed=disturbed, **core, **lasting, **ends) == found


def test_a_job_that_is_cancelled_or_given_up_needs_no_run():
    ends = {"disturbed": [(0.0, 20.0)], "recovered_at": 20.0, "ended_at": 24.0, "spec": LASTING}
    cancelled = Call(0, CANCEL, JOB, "ip", False, 10.0, 10.0, 10.1)
    assert kinds(calls=[cancelled], state="running", **ends) == []
    crashes = [
        RunRecord(TASK, n, n, n + 0.5, "crashed", worker_id=f"w{n}", is_lost=True) for n in (4, 5)
    ]
    assert kinds(records=crashes, state="failed", **ends) == []
    assert kinds(records=crashes, state="running", **ends) == ["LOST task"] * 2
    assert kinds(records=crashes[:1], state="failed", **ends) == ["LOST job"] + ["LOST task"] * 2


def test_a_long_running_job_does_not_end_by_itself():
    assert kinds(state="completed", spec=LASTING) == ["LOST job", "MIXED"]
    assert kinds(state="running", spec=LASTING) == []


# Guards against large tasks that wait without end, since smaller ones take what comes free.
def test_a_large_task_waits_where_it_has_room_but_for_finite_runs():
    large = {"cpu": 3000, "max_wait_seconds": 7.0, "waits_for_finite_runs": True}
    small = [Use(f"w{n}", "another", 4000, 4000, ALWAYS, is_finite=True) for n in range(2)]
    assert waits(uses=small, **large) == [(TASK, 1.0, ["w0", "w1"])]
    assert waits(uses=small, runs=[(7.9, 99.0)], **large) == []
    assert waits(uses=small, runs=[(8.1, 99.0)], **large) == [(TASK, 1.0, ["w0", "w1"])]
    lasting = [attrs.evolve(use, cpu=1001, is_finite=False) for use in small]
    assert waits(uses=lasting, **large) == []
    # One worker is enough, however full the others are.
    assert waits(uses=lasting[:1], **large) == [(TASK, 1.0, ["w1"])]
    best_effort = [attrs.evolve(use, cpu=0, is_finite=False, is_best_effort=True) for use in small]
    assert waits(uses=best_effort, **large) == []


LARGE = JobSpec(1, 3000, work="1000 ms", estimated_ms=1000)


@pytest.mark.parametrize(
    ("caller", "run_from", "crowd", "found"),
    [
        # The longest estimate is its own, 1 s, and work that has room has to start in 3 s.
        (LARGE_CALLER, 5.0, None, 0),
        (LARGE_CALLER, 5.2, None, 1),
        (0, 5.2, None, 0),
        # Others of a crowd may be before it.
        (LARGE_CALLER, 30.0, (4.0, 99.0), 0),
        (LARGE_CALLER, 30.0, (9.0, 99.0), 1),
    ],
)
def test_one_large_job_at_a_time_starts_in_time(caller, run_from, crowd, found):
    call = Call(caller, SUBMIT, OTHER_JOB, "ip", False, 1.0, 1.0, 1.1, 200)
    records = [RunRecord(f"{OTHER_JOB}.0.0.0", 1, run_from, run_from + 1, "done", 1, True)]
    seen = observed([call], records, {OTHER_JOB: LARGE})
    if crowd:
        seen.spec_by_job[JOB] = LARGE
        seen.calls.append(attrs.evolve(call, caller=CROWD_CALLERS[0], job_id=JOB, status=503))
    seen.crowd, seen.recovered_at, seen.ended_at = crowd, 0.0, 99.0
    assert [each.kind for each in judge(seen)].count("LARGE task") == found


# Guards against an old manifest at any host, in touch or not (rule CONFIG).
@pytest.mark.parametrize(
    ("sent_at", "version", "found"),
    [
        (12.4, 1, []),
        (12.6, 1, ["CONFIG"]),
        (12.6, 2, []),
        (20.1, 3, []),
        (40.0, 2, ["CONFIG"]),
        (40.0, 3, []),
    ],
)
def test_a_manifest_that_is_read_back_old_is_found(sent_at, version, found):
    assert kinds(reads=[ManifestRead("ip", sent_at, version)]) == found


# Guards against a group that has no leader in time after the last fault (recoveryS).
@pytest.mark.parametrize(
    ("sent_at", "found"), [(9.9, ["RECOVER"]), (10.0, []), (22.0, []), (22.1, ["RECOVER"])]
)
def test_a_manifest_that_is_not_read_back_in_time_is_found(sent_at, found):
    reads = [ManifestRead("ip", sent_at, 3)]
    assert kinds(reads=reads, disturbed=[(5.0, 10.0)], recovered_at=22.0) == found


def observed(calls, records, spec_by_job):
    """Return what was seen of one worker that was always up."""
    worker = types.SimpleNamespace(worker_id="w1", records=records, up=[(0.0, 99.0)])
    deployment = types.SimpleNamespace(
        entries=[], hosts=[], workers=[worker], acknowledged_version=0, manifest_reads=[],
        acknowledged_at_by_version={},
    )  # fmt: skip
    return Observations(deployment, calls, spec_by_job)


# Guards against SHORT: large jobs that are worth nothing to their callers, beside small ones.
@pytest.mark.parametrize(
    ("unserved", "found"),
    [
        (range(0), 0),
        (range(0, 30), 0),
        (range(270, 300), 1),
        (range(210, 270), 1),
        (range(210, 300), 2),
        # With 0.92 of all served, 0.46 would do: 11 of 30 come by chance, not 6.
        (range(270, 289), 0),
        (range(270, 294), 1),
    ],
)
def test_the_largest_jobs_of_a_kind_are_served_half_as_often_as_all(unserved, found):
    calls, records, spec_by_job = [], [], {}
    for number in range(300):
        job_id = f"{number:016x}"
        spec_by_job[job_id] = JobSpec(1, 1000 + number, work="1000 ms")
        calls.append(Call(CROWD_CALLERS[0], SUBMIT, job_id, "ip", False, 1.0, 1.0, 1.1, 200))
        # Three objectives: three times 500 ms and 1.5 times the work.
        ended_at = 1.0 + 6.1 if number in unserved else 1.0 + 5.9
        records.append(RunRecord(f"{job_id}.0.0.0", 1, ended_at - 1, ended_at, "done", 1, True))
    seen = observed(calls, records, spec_by_job)
    seen.crowd = 0.0, 20.0
    assert [each.kind for each in judge(seen)].count("SIZES") == found


def test_the_sizes_of_few_jobs_mean_nothing():
    calls = [
        Call(CROWD_CALLERS[0], SUBMIT, f"{n:016x}", "ip", False, 1.0, 1.0, 1.1, 200)
        for n in range(20)
    ]
    specs = {call.job_id: JobSpec(1, 1000 + n, work="9 ms") for n, call in enumerate(calls)}
    records = [RunRecord(f"{c.job_id}.0.0.0", 1, 2.0, 2.1, "done", 1, True) for c in calls[:18]]
    seen = observed(calls, records, specs)
    seen.crowd = 0.0, 20.0
    assert [each.kind for each in judge(seen)].count("SIZES") == 0
