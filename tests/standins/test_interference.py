"""The stand-in of interference: it follows from names and times, and the model reads it back."""

import pytest

from savoryshelf.dispatch.interference import utilisation_at
from standins.interference import LOAD_SECONDS, added_per_core, load, tail_ms


def test_the_load_of_a_task_follows_from_its_name_and_the_time():
    loads = [load("aa.0.0.0", LOAD_SECONDS * slot) for slot in range(200)]
    assert loads == [load("aa.0.0.0", LOAD_SECONDS * (slot + 0.9)) for slot in range(200)]
    assert loads != [load("aa.0.0.1", LOAD_SECONDS * slot) for slot in range(200)]
    over_target = sum(tail_ms(50, each) > 50 for each in loads)
    assert 10 < over_target < 80


def test_images_differ_in_what_they_add():
    assert added_per_core("a", "s") == added_per_core("a", "s") > 0
    assert len({added_per_core(image, "s") for image in "abcdef"}) == 6


@pytest.mark.parametrize("utilisation", [0.2, 0.5, 0.79, 0.81, 0.95])
def test_a_tail_tells_the_utilisation(utilisation):
    assert utilisation_at(tail_ms(10_000, utilisation) / 10_000) == pytest.approx(
        utilisation, abs=0.001
    )
    assert (tail_ms(10_000, utilisation) > 10_000) == (utilisation > 0.8)
