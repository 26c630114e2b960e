from savoryshelf.dispatch.agent_fleet import (
    AGENT_TIMEOUT_SECONDS,
    MAX_AGENT_LAG_SECONDS,
    MAX_APPLY_LAG_SECONDS,
    MAX_REPLACED_IDS,
    AgentFleet,
)
from savoryshelf.wire.generated.ttypes import AgentReport, PairWeight, WorkerLife, WorkerState

from ..tasks.builders import ledger

AGENT = "c1.disk/1"


def report(number=1, states=(), weights=(), agent_id=AGENT, **fields):
    defaults = {
        "is_full": number == 1, "leaving": False, "applied_index": 100, "timer_lag_seconds": 0.0,
        "settlements": [], "ended_lives": [], "rejections": [], "region": "north",
    }  # fmt: skip
    return AgentReport(
        agent_id=agent_id, number=number, states=list(states), weights=list(weights),
        **(defaults | fields),
    )  # fmt: skip


def state(token=1, responsive=True, fenced=False, exclusion_ms=None):
    return WorkerState(
        WorkerLife("w1", 1), token, responsive, {"shop": 0.4}, exclusion_ms or {}, fenced
    )


def worker_with_token(token, agent_id=AGENT):
    (worker,) = ledger().worker_by_incarnation.values()
    worker.record.agent_id, worker.record.fencing_token = agent_id, token
    return worker


def test_an_agent_is_live_while_it_reports():
    fleet = AgentFleet()
    assert not fleet.is_live(AGENT, 0.0)
    fleet.record_report(report(), 0.0)
    assert fleet.usable_agents(AGENT_TIMEOUT_SECONDS) == {AGENT: "north"}
    assert fleet.usable_agents(AGENT_TIMEOUT_SECONDS + 0.1) == {}


def test_an_agent_that_leaves_is_not_live():
    fleet = AgentFleet()
    fleet.record_report(report(leaving=True), 0.0)
    assert not fleet.is_live(AGENT, 0.0)


def test_an_agent_that_has_not_applied_older_commits_is_not_live():
    fleet = AgentFleet()
    fleet.record_commit_index(200, 0.0)
    fleet.record_report(report(applied_index=150), 0.5)
    assert fleet.is_live(AGENT, 0.5), "the commits may be on their way"
    fleet.record_report(report(2, applied_index=150), MAX_APPLY_LAG_SECONDS)
    assert not fleet.is_live(AGENT, MAX_APPLY_LAG_SECONDS)
    fleet.record_report(report(3, applied_index=200), MAX_APPLY_LAG_SECONDS)
    assert fleet.is_live(AGENT, MAX_APPLY_LAG_SECONDS)


def test_a_lost_report_is_answered_by_the_request_for_a_full_one():
    fleet = AgentFleet()
    assert not fleet.record_report(report(1), 0.0)
    assert not fleet.record_report(report(2), 0.1)
    assert fleet.record_report(report(4), 0.2)
    assert not fleet.record_report(report(5, is_full=True), 0.3)


def test_a_report_that_arrives_late_is_ignored():
    fleet, worker = AgentFleet(), worker_with_token(1)
    fleet.record_report(report(2, [state(responsive=False)], is_full=True), 0.0)
    fleet.record_report(report(1, [state(responsive=True)]), 0.1)
    (view,) = fleet.views([worker], 0.1)
    assert not view.is_responsive


# Guards against a worker that gets no runs until its state changes, which may be never: a late
# report of its earlier agent replaced what its present one had said.
def test_a_late_state_of_an_earlier_agent_does_not_replace_that_of_the_present_one():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state(token=2)]), 0.0)
    fleet.record_report(report(states=[state(token=1)], agent_id="c2.disk/1"), 0.1)
    (view,) = fleet.views([worker_with_token(2)], 0.1)
    assert view.is_responsive


def test_a_state_counts_only_under_the_token_of_the_present_agent():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state(token=1)]), 0.0)
    (view,) = fleet.views([worker_with_token(1)], 0.0)
    assert view.is_responsive
    assert view.baseline_by_image == {"shop": 0.4}
    assert fleet.views([worker_with_token(2)], 0.0) == []


def test_the_workers_of_an_agent_that_is_not_live_are_unresponsive():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state()]), 0.0)
    (view,) = fleet.views([worker_with_token(1)], AGENT_TIMEOUT_SECONDS + 0.1)
    assert not view.is_responsive


def test_an_image_is_excluded_for_as_long_as_the_agent_said():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state(exclusion_ms={"batch": 1000})]), 0.0)
    assert fleet.views([worker_with_token(1)], 0.9)[0].excluded_images == {"batch"}
    assert fleet.views([worker_with_token(1)], 1.0)[0].excluded_images == set()


def test_weights_of_several_agents_are_averaged_by_the_information_behind_them():
    fleet = AgentFleet()
    fleet.merge_weights(report(weights=[PairWeight("batch", "shop", 0.2, 3.0)]))
    (merged,) = fleet.merge_weights(
        report(weights=[PairWeight("batch", "shop", 0.1, 1.0)], agent_id="c2.disk/1")
    )
    assert abs(merged.weight - 0.175) < 1e-9


def test_a_worker_is_fenced_only_under_its_present_token():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state(token=1, fenced=True)]), 0.0)
    assert fleet.is_fenced(worker_with_token(1))
    assert not fleet.is_fenced(worker_with_token(2))


# One slow host among several must neither keep its workers nor slow the starts of all others down.
def test_an_agent_on_a_slow_host_gets_no_workers():
    fleet = AgentFleet()
    for number in range(4):
        lag = 5 * MAX_AGENT_LAG_SECONDS if number == 0 else 0.001
        fleet.record_report(report(agent_id=f"c{number}.disk/1", timer_lag_seconds=lag), 0.0)
    assert set(fleet.usable_agents(0.0)) == {"c1.disk/1", "c2.disk/1", "c3.disk/1"}
    assert fleet.typical_timer_lag(0.0) == 0.001


def test_agents_that_all_lag_keep_their_workers():
    fleet = AgentFleet()
    for number in range(4):
        lag = 0.001 if number == 0 else 5 * MAX_AGENT_LAG_SECONDS
        fleet.record_report(report(agent_id=f"c{number}.disk/1", timer_lag_seconds=lag), 0.0)
    assert len(fleet.usable_agents(0.0)) == 4
    assert fleet.typical_timer_lag(0.0) == 5 * MAX_AGENT_LAG_SECONDS


def test_a_restarted_agent_replaces_its_earlier_incarnation_at_once():
    fleet = AgentFleet()
    fleet.record_report(report(agent_id="c1.disk/1"), 0.0)
    fleet.record_report(report(agent_id="c2.disk/1"), 0.0)
    fleet.record_report(report(agent_id="c1.disk/2"), 0.1)
    assert set(fleet.usable_agents(0.1)) == {"c1.disk/2", "c2.disk/1"}


# Guards against an agent that loses its workers to a late report of its earlier process.
def test_a_late_report_of_an_earlier_process_replaces_no_agent():
    fleet = AgentFleet()
    fleet.record_report(report(agent_id="c1.disk/1", number=4), 0.0)
    fleet.record_report(report(agent_id="c1.disk/2", number=1), 0.1)
    assert not fleet.record_report(report(agent_id="c1.disk/1", number=5), 0.2)
    assert list(fleet.usable_agents(0.2)) == ["c1.disk/2"]


def test_the_earlier_agents_that_are_remembered_are_bounded():
    fleet = AgentFleet()
    for number in range(2 * MAX_REPLACED_IDS):
        fleet.record_report(report(agent_id=f"c1.disk/{number}"), 0.0)
    assert len(fleet._replaced_ids) == MAX_REPLACED_IDS


# Guards against the time since an agent is gone that counts as work of the runs it never started.
def test_views_tell_for_how_long_an_agent_that_is_gone_has_not_reported():
    fleet = AgentFleet()
    fleet.record_report(report(states=[state()]), 0.0)
    (live,) = fleet.views([worker_with_token(1)], AGENT_TIMEOUT_SECONDS)
    (gone,) = fleet.views([worker_with_token(1)], AGENT_TIMEOUT_SECONDS + 0.25)
    assert (live.is_responsive, live.unreported_seconds) == (True, 0.0)
    assert (gone.is_responsive, gone.unreported_seconds) == (False, AGENT_TIMEOUT_SECONDS + 0.25)
