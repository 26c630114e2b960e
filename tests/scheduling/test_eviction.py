from savoryshelf.scheduling.eviction import Candidate, Shortfall, choose_victims


def candidate(job_id, worker_id="w0", runtime_s=10.0, evictions=0, cores=2.0):
    return Candidate(job_id, 1, worker_id, cores, 10.0, 0, runtime_s, evictions)


def victims(shortfalls, candidates, weight=1.0):
    return [each.job_id for each in choose_victims(shortfalls, candidates, weight)]


ONE_SLOT = Shortfall(slots=1, cores=0.0, memory_mb=0.0, accelerators=0)


def test_the_attempt_with_the_least_work_at_risk_is_evicted():
    candidates = [candidate("long", runtime_s=500.0), candidate("short", runtime_s=5.0)]
    assert victims({"w0": ONE_SLOT}, candidates) == ["short"]


def test_a_previously_evicted_attempt_costs_more_to_evict():
    candidates = [
        candidate("again", runtime_s=5.0, evictions=3),
        candidate("first", runtime_s=30.0),
    ]
    assert victims({"w0": ONE_SLOT}, candidates) == ["first"]


def test_a_high_eviction_weight_prefers_fewer_evictions():
    shortfall = Shortfall(slots=1, cores=4.0, memory_mb=0.0, accelerators=0)
    candidates = [
        candidate("a", "w0", runtime_s=10.0),
        candidate("b", "w0", runtime_s=10.0),
        candidate("big", "w1", runtime_s=100.0, cores=8.0),
    ]
    # Two attempts of 2 cores on w0 or a long one of 8 cores on w1 cover the shortfall.
    shortfalls = {"w0": shortfall, "w1": shortfall}
    assert victims(shortfalls, candidates, weight=0.1) == ["a", "b"]
    assert victims(shortfalls, candidates, weight=5.0) == ["big"]


def test_nothing_is_evicted_where_it_would_not_cover_the_shortfall():
    shortfall = Shortfall(slots=1, cores=100.0, memory_mb=0.0, accelerators=0)
    assert victims({"w0": shortfall}, [candidate("a")]) == []
