"""A short soak with fixed seeds: promises hold while faults overlap."""

import collections
import itertools

import pytest

from standins.soak.faults import (
    draw_closings,
    draw_crashes,
    draw_cuts,
    draw_far_seconds,
    draw_faults,
    draw_losses,
    draw_resets,
)
from standins.soak.run import run_soak

SEEDS = [
    # Entry hosts exited 2.6 s after SIGTERM and cut the requests that waited for a new leader.
    (3190, 12.0),
    # The same cause in some runs; the leader is also killed while another host is paused.
    (53, 12.0),
    # Workers restart under their id while most are idle: what the next incarnation of a worker ran
    # was settled as lost with the earlier one, and ran twice.
    (3, 30.0),
    # The same cause.
    (8, 30.0),
]
"""Seeds, and the duration of their faults in seconds."""

SEEDS_WITH_CLOSINGS = [
    # All hosts end twice, the first time right after a job was accepted.
    (1, 6.0),
]
"""Long-running tasks that had a run before and get none afterwards would be found in these."""


def test_the_series_of_a_seed_is_always_the_same():
    assert draw_faults(1, 60.0) == draw_faults(1, 60.0)
    assert draw_faults(1, 60.0) != draw_faults(2, 60.0)


def test_each_series_with_closings_ends_all_hosts_and_loses_at_most_one_disk():
    for seed in range(1, 50):
        series = draw_closings(seed, 20.0, draw_faults(seed, 20.0))
        assert series == draw_closings(seed, 20.0, draw_faults(seed, 20.0))
        closings = [fault.kind for fault in series if fault.kind.startswith("all_ended")]
        assert len(closings) in (1, 2)
        assert closings.count("all_ended_and_a_disk_lost") <= 1


def test_each_series_with_crashes_keeps_the_other_faults_and_loses_workers_together():
    seen = set()
    for seed in range(1, 50):
        without = draw_faults(seed, 20.0)
        series = draw_crashes(seed, 20.0, without)
        assert series == draw_crashes(seed, 20.0, without)
        added = collections.Counter(f.kind for f in series) - collections.Counter(
            f.kind for f in without
        )
        assert added and added.total() == len(series) - len(without)
        seen |= added.keys()
        assert [fault for fault in series if fault.kind not in added] == without
    assert seen == {
        "all_workers_lost",
        "half_of_workers_lost",
        "starts_unanswered",
        "starts_unanswered_in_turn",
    }


def test_each_series_with_cuts_leaves_three_control_hosts_in_touch_and_loses_two_disks_at_most():
    kinds = collections.Counter()
    for seed in range(1, 200):
        without = draw_closings(seed, 30.0, draw_faults(seed, 30.0))
        series = draw_cuts(seed, 30.0, without)
        assert series == draw_cuts(seed, 30.0, without)
        added = [fault for fault in series if fault not in without]
        changes = [fault.at for fault in added if "changed" in fault.kind]
        added = [fault for fault in added if "changed" not in fault.kind]
        assert all(a.at <= at <= a.at + a.seconds for a, at in zip(added, changes, strict=True))
        assert added and all(a.at + a.seconds < b.at for a, b in itertools.pairwise(added))
        left_out = [fault for fault in without if fault not in series]
        assert all("control" in fault.kind or "leader" in fault.kind for fault in left_out)
        lost = [fault.kind for fault in series if "disk" in fault.kind]
        assert len(lost) <= 1
        kinds.update(fault.kind for fault in added)
        for moment in (fault.at for fault in series):
            assert sum(controls_away(fault, moment) for fault in series) <= 2, (seed, moment)
    assert len(kinds) == 7 and min(kinds.values()) > 50


def test_each_series_with_resets_keeps_the_other_faults_and_ends_with_lost_hosts():
    kinds = collections.Counter()
    for seed in range(1, 100):
        without = draw_cuts(seed, 20.0, draw_closings(seed, 20.0, draw_faults(seed, 20.0)))
        series = draw_resets(seed, 20.0, without)
        assert series == draw_resets(seed, 20.0, without)
        added = [fault for fault in series if fault not in without]
        assert [fault for fault in series if fault not in added] == without
        assert added[-1] is series[-1] and added[-1].kind.endswith("lost_after_resets")
        assert all(fault.at + fault.seconds + 2.0 < added[-1].at for fault in without)
        assert sum("disk" in fault.kind for fault in series) <= 1
        kinds.update(fault.kind for fault in added)
    assert len(kinds) == 6 and min(kinds.values()) > 20


def test_each_series_with_losses_has_two_disks_lost_at_once_at_most_and_later_ones_in_time():
    kinds, delays, within = collections.Counter(), collections.Counter(), 0
    for seed in range(1, 200):
        closed = draw_closings(seed, 30.0, draw_faults(seed, 30.0))
        without = draw_resets(seed, 30.0, draw_cuts(seed, 30.0, closed, 4.0))
        series = draw_losses(seed, 30.0, without)
        assert series == draw_losses(seed, 30.0, without)
        losses = [fault for fault in series if fault.kind == "disks_lost_in_turn"]
        assert all(4.0 < fault.seconds <= 10.0 for fault in losses)
        last = series[-1]
        assert last in losses or last == without[-1]
        # A host whose connections are reset is there all the time.
        others = [fault for fault in series if not fault.kind.endswith("_reset")]
        assert all(fault.at + fault.seconds + 4.0 < last.at + 0.1 for fault in others[:-1])
        left_out = [fault for fault in without[:-1] if fault not in series]
        assert all(controls_away(fault, fault.at) for fault in left_out)
        closings = [fault for fault in series if fault.kind.startswith("all_ended")]
        for loss, closing in itertools.product(losses, closings):
            is_after = closing.at + closing.seconds + 11.9 < loss.at
            assert is_after or loss.at + loss.seconds + 4.0 <= closing.at
        for moment in (fault.at for fault in series):
            assert sum(controls_away(fault, moment) for fault in others) <= 2, (seed, moment)
        # Hosts with new disks count as lost for 4 s after they are back.
        disks = [fault for fault in series if "disk" in fault.kind and fault not in closings]
        for one, other in itertools.combinations(disks, 2):
            assert other.at >= one.at + one.seconds + 4.0
        within += len([fault for fault in losses if fault is not last])
        kinds[last.kind] += 1
        delays[draw_far_seconds(seed)] += 1
    assert kinds["disks_lost_in_turn"] > 70 and within > 50
    assert set(delays) == {0.02, 0.08} and min(delays.values()) > 70


def controls_away(fault, moment):
    """Return how many control hosts a fault of a series takes at a moment, with some time more."""
    if not fault.at <= moment < fault.at + fault.seconds + 2.0:
        return 0
    if fault.kind in ("core_cut_in_two", "power_lost", "power_and_disks_lost"):
        return 2
    if fault.kind == "disks_lost_in_turn":
        return 2
    return fault.kind.startswith(("core", "control", "leader", "entries_cut"))


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_no_promise_is_broken_while_faults_overlap(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small")
    assert not result.findings, result.report(histories_per_kind=1)


@pytest.mark.parametrize(("seed", "seconds"), SEEDS_WITH_CLOSINGS)
def test_no_promise_is_broken_when_all_hosts_end_at_once(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small", closings=True)
    assert result.seen.long_running_jobs()
    assert not result.findings, result.report(histories_per_kind=1)


SEEDS_WITH_BEST_EFFORT = [
    # Best-effort runs are slowed down, paused and evicted beside serving ones, in a calm series.
    (1, 6.0),
]
"""Best-effort jobs with nothing at work for 3 s, though there is room, would be found in these."""


@pytest.mark.parametrize(("seed", "seconds"), SEEDS_WITH_BEST_EFFORT)
def test_best_effort_jobs_go_on_beside_serving_ones(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small", best_effort=True)
    best_effort = [each for each in result.best_effort_runs() if each.speeds]
    assert any(percent == 0 for run in best_effort for _, percent in run.speeds)
    assert any(run.outcome == "stopped" for run in best_effort)
    assert not result.findings, result.report(histories_per_kind=1)


SEEDS_WITH_LARGE_TASKS = [
    # A crowd that takes nearly all that long-running work leaves: on the code before
    # reservations, a large job got its turn only when the crowd had ended.
    (50103, 5.0),
]
"""Large tasks that get no turn beside smaller ones would be found in these."""


@pytest.mark.parametrize(("seed", "seconds"), SEEDS_WITH_LARGE_TASKS)
def test_large_tasks_get_their_turn_beside_small_ones(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small", closings=True, large=True)
    jobs = [job for job, spec in result.seen.spec_by_job.items() if spec.is_large]
    crowd_from = result.seen.crowd[0]
    assert any(r.started_at > crowd_from for job in jobs for r in result.seen.records(job))
    assert not result.findings, result.report(histories_per_kind=1)


SEEDS_WITH_CRASHES = [
    # Workers restart together, and are then cut off for longer than a lease: jobs were given up.
    (55112, 14.0),
    # Orders without an answer are carried out by the next incarnation, while their tasks run
    # elsewhere.
    (55113, 14.0),
    # Workers are away beyond their leases after crashes under a task: it was held for good.
    (55103, 20.0),
]
"""Jobs that fail for crashes that none of their tasks caused, and runs twice that callers could
have prevented, would be found in these."""


@pytest.mark.parametrize(("seed", "seconds"), SEEDS_WITH_CRASHES)
def test_no_promise_is_broken_when_workers_crash_and_orders_come_late(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small", crashes=True)
    held = [worker.late_orders.held_count for worker in result.seen.deployment.workers]
    assert sum(held) or any(record.workers_down > 2 for record in result.seen.records())
    assert any(spec.crashes_after_ms for spec in result.seen.spec_by_job.values())
    assert not result.findings, result.report(histories_per_kind=1)


SEEDS_WITH_LINKS = [
    # The leader is cut off, the core falls in two, and two hosts lose power, beside restarts.
    (58001, 14.0),
]
"""Manifests that are read back old, and work that rests after a change of the leader, would be
found in these."""


@pytest.mark.parametrize(("seed", "seconds"), SEEDS_WITH_LINKS)
def test_no_promise_is_broken_when_links_between_hosts_are_cut(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small", closings=True, links=True)
    assert result.seen.deployment.links.cuts
    assert not result.findings, result.report(histories_per_kind=1)


SEEDS_WITH_RESETS = [
    # The leader and another of five control hosts lose power after the other three were reset.
    (67011, 10.0, True),
    # The leader of three control hosts loses its disk after the other two were reset.
    (67002, 6.0, False),
]
"""Control hosts that go on without voting, since their writes do not end, would be found in these:
there was no leader again in either."""


@pytest.mark.parametrize(("seed", "seconds", "links"), SEEDS_WITH_RESETS)
def test_no_promise_is_broken_when_connections_are_reset(tmp_path, seed, seconds, links):
    result = run_soak(tmp_path, seed, seconds, "small", closings=links, links=links, resets=True)
    names = [name for host in result.seen.deployment.controls for _, name in host.signals]
    assert "SIGUSR2" in names
    assert not result.findings, result.report(histories_per_kind=1)
