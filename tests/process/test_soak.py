"""A short soak with fixed seeds: promises hold while faults overlap."""

import pytest

from standins.soak.faults import draw_faults
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


def test_the_series_of_a_seed_is_always_the_same():
    assert draw_faults(1, 60.0) == draw_faults(1, 60.0)
    assert draw_faults(1, 60.0) != draw_faults(2, 60.0)


@pytest.mark.parametrize(("seed", "seconds"), SEEDS)
def test_no_promise_is_broken_while_faults_overlap(tmp_path, seed, seconds):
    result = run_soak(tmp_path, seed, seconds, "small")
    assert not result.findings, result.report(histories_per_kind=1)
