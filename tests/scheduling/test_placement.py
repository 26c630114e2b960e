import random

from hypothesis import given
from hypothesis import strategies as st

from savoryshelf.scheduling.placement import (
    MAX_RESERVED_SHARE,
    MAX_SAMPLED_WORKERS,
    POLICIES,
    Demand,
    FreeCapacity,
    place,
)


def demand(job_id, team="team", urgent=False, submitted_ms=0, cores=1.0, avoid=""):
    return Demand(job_id, 1, team, urgent, submitted_ms, cores, 1.0, 0, avoid)


def free_capacity(worker_id, slots=2, cores=8.0, slowdown=1.0, accelerators=0):
    return FreeCapacity(
        worker_id, "incarnation", "rack", slots, cores, 100.0, accelerators, 8, slowdown
    )


def placed(demands, capacities, running=None, quotas=None, policy="calm"):
    quotas = {"team": 100, "other": 100} if quotas is None else quotas
    choose = POLICIES[policy]
    placements = place(demands, capacities, running or {}, quotas, choose, random.Random(0))
    return [(each.demand.job_id, each.worker_id) for each in placements]


def jobs(placements):
    return [job_id for job_id, _ in placements]


def test_urgent_work_is_placed_first():
    waiting = [demand("old", submitted_ms=1), demand("urgent", urgent=True, submitted_ms=2)]
    assert jobs(placed(waiting, [free_capacity("w0", slots=1)])) == ["urgent"]


def test_a_job_that_fits_nowhere_does_not_block_the_jobs_behind_it():
    waiting = [demand("huge", cores=99.0), demand("small", submitted_ms=5)]
    assert jobs(placed(waiting, [free_capacity("w0")])) == ["small"]


def test_a_team_at_its_quota_waits():
    waiting = [demand("a"), demand("b", team="other")]
    assert jobs(placed(waiting, [free_capacity("w0")], {"team": 3}, {"team": 3, "other": 3})) == [
        "b"
    ]


def test_the_team_with_the_smaller_share_of_its_quota_is_placed_first():
    waiting = [demand("a", submitted_ms=1), demand("b", team="other", submitted_ms=2)]
    quotas = {"team": 10, "other": 10}
    assert jobs(placed(waiting, [free_capacity("w0", slots=1)], {"team": 5}, quotas)) == ["b"]


def test_no_job_of_an_undeclared_team_is_placed():
    assert placed([demand("a", team="undeclared")], [free_capacity("w0")]) == []


def test_a_worker_with_a_lower_slowdown_is_preferred():
    capacities = [free_capacity("w0", slots=4, slowdown=2.0), free_capacity("w1", slots=1)]
    assert placed([demand("a")], capacities) == [("a", "w1")]


def test_the_worker_of_the_previous_attempt_is_avoided():
    assert placed(
        [demand("a", avoid="w0")], [free_capacity("w0", slots=4), free_capacity("w1")]
    ) == [("a", "w1")]


def test_accelerators_are_kept_for_work_that_needs_them():
    capacities = [free_capacity("w0", slots=4, accelerators=2), free_capacity("w1", slots=1)]
    assert placed([demand("a")], capacities) == [("a", "w1")]


def test_the_only_fitting_worker_of_a_large_fleet_is_found():
    capacities = [free_capacity(f"w{n}", cores=1.0) for n in range(MAX_SAMPLED_WORKERS * 3)]
    capacities.append(free_capacity("large", cores=64.0))
    assert placed([demand("a", cores=32.0)], capacities) == [("a", "large")]


# Guards against a large job that waits without end: each round passes it by, and younger ones take
# whatever comes free on each worker.
def test_a_job_that_needs_a_whole_worker_gets_its_turn_beside_a_stream_of_small_ones():
    seconds_by_run, run_seconds, waiting = {}, 4, []
    for round_ in range(50 * run_seconds):
        waiting += [demand(f"{round_}-{n}", cores=2.0, submitted_ms=round_) for n in range(3)]
        if round_ == run_seconds:
            waiting.append(demand("large", cores=8.0, submitted_ms=round_ - 1))
        capacities = [free_capacity(f"w{n}", slots=4) for n in range(2)]
        for (job, worker_id), left in list(seconds_by_run.items()):
            if left > 1:
                seconds_by_run[job, worker_id] = left - 1
                capacities[int(worker_id[1:])].allocate(demand(job, cores=2.0))
            else:
                del seconds_by_run[job, worker_id]
        started = placed(waiting, capacities)
        seconds_by_run |= dict.fromkeys(started, run_seconds)
        waiting = [each for each in waiting if each.job_id not in jobs(started)]
        if "large" in jobs(started):
            return
    raise AssertionError(f"it waits for {50 * run_seconds} s, while runs take {run_seconds} s")


def test_urgent_work_may_use_a_reserved_worker():
    waiting = [
        demand("large", cores=8.0, submitted_ms=1),
        demand("urgent", urgent=True, submitted_ms=2),
        demand("small", submitted_ms=3),
    ]
    assert jobs(placed(waiting, [free_capacity("w0", cores=8.0)])) == ["urgent"]


def test_a_job_that_no_worker_can_ever_run_reserves_none():
    waiting = [demand(f"huge{n}", cores=9.0, submitted_ms=n) for n in range(20)]
    waiting.append(demand("small", submitted_ms=30))
    assert jobs(placed(waiting, [free_capacity("w0")])) == ["small"]


# Guards against idle workers: a backlog of large jobs must leave most of the fleet to small ones.
def test_a_backlog_of_large_jobs_reserves_a_limited_share_of_the_workers():
    capacities = [free_capacity(f"w{n:02}", slots=4) for n in range(20)]
    for capacity in capacities:
        capacity.allocate(demand("running", cores=4.0))
    waiting = [demand(f"large{n}", cores=8.0, submitted_ms=n) for n in range(20)]
    waiting += [demand(f"small{n}", cores=4.0, submitted_ms=30) for n in range(20)]
    started = placed(waiting, capacities)
    assert len(started) == len(capacities) - int(MAX_RESERVED_SHARE * len(capacities))
    assert all(job.startswith("small") for job in jobs(started))


def test_the_worker_that_lacks_least_is_reserved():
    capacities = [free_capacity(f"w{n}", slots=4) for n in range(3)]
    for capacity, cores in zip(capacities, (4.0, 2.0, 6.0), strict=True):
        capacity.allocate(demand("running", cores=cores))
    waiting = [demand("large", cores=8.0)]
    waiting += [demand(f"small{n}", cores=2.0, submitted_ms=1) for n in range(6)]
    assert {worker_id for _, worker_id in placed(waiting, capacities)} == {"w0", "w2"}


# Guards against a job that waits without end because it needs much of one resource of a worker.
@given(
    needs=st.lists(
        st.tuples(st.floats(0.1, 8), st.integers(1, 100), st.integers(1, 4)),
        min_size=1,
        max_size=12,
    ),
    worker_count=st.integers(1, 4),
    policy=st.sampled_from(sorted(POLICIES)),
)
def test_each_job_starts_once_those_ahead_of_it_have(needs, worker_count, policy):
    longest = 4
    waiting = [
        Demand(str(n), 1, "team", False, n, cores, memory_mb, 0)
        for n, (cores, memory_mb, _) in enumerate(needs)
    ]
    running = {}
    for round_ in range(longest * (len(needs) + 1)):
        waiting.append(demand(f"younger{round_}", cores=0.5, submitted_ms=100 + round_))
        capacities = [free_capacity(f"w{n}", slots=8) for n in range(worker_count)]
        running = {each: left - 1 for each, left in running.items() if left > 1}
        for each, worker_id in running:
            capacities[int(worker_id[1:])].allocate(each)
        started = place(
            waiting, capacities, {}, {"team": 1000}, POLICIES[policy], random.Random(round_)
        )
        for each in started:
            job_id = each.demand.job_id
            seconds = needs[int(job_id)][2] if job_id.isdigit() else longest
            running[each.demand, each.worker_id] = seconds
            waiting.remove(each.demand)
    assert all(each.job_id.startswith("younger") for each in waiting)


@given(
    sizes=st.lists(st.floats(0.1, 6), max_size=30),
    slots=st.lists(st.integers(0, 4), min_size=1, max_size=6),
    policy=st.sampled_from(sorted(POLICIES)),
)
def test_no_policy_exceeds_the_capacity_of_a_worker(sizes, slots, policy):
    waiting = [demand(str(n), cores=cores) for n, cores in enumerate(sizes)]
    capacities = [free_capacity(f"w{n}", slots=count) for n, count in enumerate(slots)]
    placements = placed(waiting, capacities, policy=policy)
    assert len(set(jobs(placements))) == len(placements)
    for each, count in zip(capacities, slots, strict=True):
        used = [sizes[int(job)] for job, worker in placements if worker == each.worker_id]
        assert len(used) <= count
        assert sum(used) <= 8.0 + 1e-9
