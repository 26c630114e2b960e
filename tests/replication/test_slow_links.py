"""A leader whose links are slow makes room for one that can serve."""

import pytest

from . import group as simulated
from .group import TIMING, Group

SLOW_DELAY_SECONDS = 0.6 * TIMING.election_timeout
"""One way; what a majority replies to is older than an election timeout then."""

STEPS = 6
"""The links get slow so gradually that no reply is missing for long."""


# Guards against a leader that may answer nobody, as each reply is to what it sent too long ago, and
# stays in office for as long as its links are slow.
@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("seed", range(5))
def test_a_leader_behind_slow_links_is_replaced_by_one_that_can_serve(monkeypatch, count, seed):
    group = Group(count, seed, tick_seconds=0.01)
    group.run_for(4.0)
    group.far_names = {group.leader().name}
    for step in range(1, STEPS + 1):
        monkeypatch.setattr(simulated, "FAR_DELAY_SECONDS", SLOW_DELAY_SECONDS * step / STEPS)
        group.run_for(TIMING.election_timeout)
    group.run_for(8 * TIMING.election_timeout)
    ages = [
        host.core.seconds_since_quorum_contact(group.now) for host in group.host_by_name.values()
    ]
    assert min(ages) < TIMING.election_timeout
