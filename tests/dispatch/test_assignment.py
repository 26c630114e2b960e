"""Hundreds of workers, and hosts that come and go: who calls which worker."""

from collections import Counter

import attrs

from savoryshelf.dispatch.assignment import (
    MAX_MOVES,
    MAX_WORKERS_OF_LEADER,
    UNEVEN_LOAD,
    AssignableAgent,
    AssignableWorker,
    plan_assignments,
)

LEADER = AssignableAgent("leader", "north", is_leader=True)
OTHERS = [AssignableAgent(f"other-{n}", ("north", "south")[n % 2]) for n in range(4)]


def plan(fleet, agents, may_move=True, fleet_size=None):
    return plan_assignments(fleet, agents, fleet_size or len(fleet), may_move)


def workers(count, agent_id=None):
    return [
        AssignableWorker((f"w{n}", 1), ("north", "south")[n % 2], agent_id) for n in range(count)
    ]


def test_the_leader_calls_all_workers_of_a_small_fleet():
    planned = plan(workers(33), [LEADER, *OTHERS], may_move=True)
    assert Counter(planned.values()) == {"leader": 33}


def test_the_other_hosts_share_the_workers_of_a_large_fleet_by_region():
    fleet = workers(446)
    planned = plan(fleet, [LEADER, *OTHERS], may_move=False)
    load = Counter(planned.values())
    assert set(load) == {other.agent_id for other in OTHERS}
    assert max(load.values()) <= 2 * min(load.values())
    region_by_agent = {other.agent_id: other.region for other in OTHERS}
    assert all(region_by_agent[planned[w.key]] == w.region for w in fleet)


def test_the_leader_calls_workers_of_a_large_fleet_where_hardly_another_host_is_left():
    planned = plan(workers(446), [LEADER, OTHERS[0]], may_move=False)
    assert set(planned.values()) == {"leader", "other-0"}


def test_only_the_workers_without_an_agent_are_assigned():
    fleet = workers(200, "other-0") + [AssignableWorker(("lost", 1), "north")]
    planned = plan(fleet, [LEADER, *OTHERS], may_move=False)
    assert set(planned) == {("lost", 1)}
    assert planned["lost", 1] != "other-0"


def test_a_small_fleet_keeps_its_agent_when_the_leader_changes():
    fleet = workers(33, "other-0")
    assert plan(fleet, [LEADER, *OTHERS], may_move=True) == {}


# Guards against runs of a lost worker that wait for its lease anew with each agent that it gets.
def test_a_worker_that_may_not_move_stays_with_its_agent_while_others_move():
    fleet = workers(200, "leader")
    kept = attrs.evolve(fleet[0], may_move=False)
    planned = plan([kept, *fleet[1:]], [LEADER, *OTHERS])
    assert kept.key not in planned
    assert len(planned) == MAX_MOVES
    # It gets another one all the same once its agent is gone.
    assert kept.key in plan([kept, *fleet[1:]], OTHERS)


def test_the_load_is_evened_out_in_small_steps():
    fleet = workers(400, "other-0")
    for _ in range(200):
        planned = plan(fleet, [LEADER, *OTHERS], may_move=True)
        if not planned:
            break
        assert len(planned) <= MAX_MOVES
        fleet = [AssignableWorker(w.key, w.region, planned.get(w.key, w.agent_id)) for w in fleet]
    load = Counter(worker.agent_id for worker in fleet)
    assert max(load.values()) <= UNEVEN_LOAD * 100 + 2
    assert plan(fleet, [LEADER, *OTHERS], may_move=True) == {}


def test_the_leader_gives_the_workers_of_a_grown_fleet_away():
    fleet = workers(MAX_WORKERS_OF_LEADER + 1, "leader")
    planned = plan(fleet, [LEADER, *OTHERS], may_move=True)
    assert planned
    assert "leader" not in planned.values()


def test_without_an_agent_nothing_is_assigned():
    assert plan(workers(3), [], may_move=True) == {}


def test_a_few_workers_of_a_large_fleet_are_not_taken_for_a_small_fleet():
    planned = plan(workers(3), [LEADER, *OTHERS], fleet_size=446)
    assert "leader" not in planned.values()
