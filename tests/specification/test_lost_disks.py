"""Random walks through the model of lost disks, where it is too large to be exhausted."""

from specification.lost_disks import GUARDS, THRESHOLD, walk

STEPS = 50


def test_no_walk_breaks_an_invariant():
    for seed in range(1500):
        assert walk(GUARDS, seed, STEPS) is None, seed


def test_walks_find_a_threshold_that_is_missing():
    assert any(walk(GUARDS - {THRESHOLD}, seed, STEPS) for seed in range(1500))
