from savoryshelf.dispatch.demand import LEAST_SHARE, MOST_SHARE, SWING, EndingDemand


def test_room_is_left_before_any_demand_was_seen():
    assert EndingDemand().share("service", 10_000) == LEAST_SHARE


def test_steady_demand_is_left_its_room_and_what_it_swings():
    demand = EndingDemand()
    for second in range(60):
        demand.note({"service": 1000}, float(second))
    assert abs(demand.share("service", 10_000) - 0.1 * SWING) < 0.01
    assert demand.share("another", 10_000) == LEAST_SHARE


def test_a_backlog_does_not_keep_lasting_work_out_for_good():
    demand = EndingDemand()
    for second in range(60):
        demand.note({"service": 90_000}, float(second))
    assert demand.share("service", 10_000) == MOST_SHARE
    demand.note({}, 100.0)
    assert demand.share("service", 10_000) == LEAST_SHARE


def test_many_looks_in_one_moment_count_as_one():
    demand = EndingDemand()
    demand.note({}, 0.0)
    for _ in range(100):
        demand.note({"service": 5000}, 0.001)
    assert demand.share("service", 10_000) == LEAST_SHARE
