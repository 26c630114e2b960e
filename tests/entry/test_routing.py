import random

import pytest

from savoryshelf.entry.routing import POLICIES
from savoryshelf.entry.targets import ResourceDemand
from tests.promises.fakes import ManualClock

from .fakes import entry_state, owned


@pytest.fixture
def targets():
    state = entry_state(ManualClock(), owned("w0", slots=8), owned("w1", slots=8))
    return list(state.targets.by_id.values())


def choose(policy, targets, now=0.0):
    return POLICIES[policy]("quotes", targets, random.Random(0), now).worker_id


def test_the_worker_expected_to_answer_first_is_chosen(targets):
    targets[0].record_response("quotes", 0.5, 0.0)
    targets[1].record_response("quotes", 0.1, 0.0)
    assert choose("expected_latency", targets) == "w1"


def test_a_worker_that_was_slow_is_tried_again_after_a_while(targets):
    targets[0].record_response("quotes", 0.5, 0.0)
    targets[1].record_response("quotes", 0.1, 60.0)
    assert choose("expected_latency", targets, now=60.0) == "w0"


def test_outstanding_requests_affect_the_choice(targets):
    for target in targets:
        target.record_response("quotes", 0.1, 0.0)
    targets[0].reserve("r1", ResourceDemand())
    targets[0].reserve("r2", ResourceDemand())
    assert choose("expected_latency", targets) == "w1"
    assert choose("least_outstanding", targets) == "w1"
    assert choose("two_choices", targets) == "w1"


def test_round_robin_chooses_the_least_recently_used_worker(targets):
    targets[0].last_dispatch_number = 7
    assert choose("round_robin", targets) == "w1"


def test_the_latency_ratio_is_tail_latency_over_its_target_and_decays(targets):
    targets[0].record_response("quotes", 0.5, 0.0)
    assert targets[0].latency_ratio({"quotes": 0.25}, now=0.0) == 2.0
    assert targets[0].latency_ratio({"quotes": 0.25}, now=10.0) == 0.5
    assert targets[0].latency_ratio({}, now=0.0) == 0.0


def test_varying_latencies_have_a_higher_ratio_than_steady_ones_of_the_same_mean(targets):
    for number in range(200):
        targets[0].record_response("quotes", 0.1, 0.0)
        targets[1].record_response("quotes", 0.02 if number % 2 else 0.18, 0.0)
    steady, varying = (target.latency_ratio({"quotes": 0.25}, now=0.0) for target in targets)
    assert steady < 0.5 < 1.0 < varying
