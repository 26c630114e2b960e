import random

from savoryshelf.dispatch.interference import (
    BEARABLE_OCCUPANCY,
    FIRST_WEIGHT,
    HIGHEST_OWN_OCCUPANCY,
    MOST_IMAGES,
    Disturbance,
    occupancy,
    room_beside,
)
from savoryshelf.tasks import snapshot

from ..tasks.builders import ledger

ROOM = room_beside(HIGHEST_OWN_OCCUPANCY)
"""Of a serving run at its highest load."""


def learned(weight_by_image, readings=200, noise=0.03):
    """Return a model that has read steps of all those images beside one serving image."""
    disturbance, randomness = Disturbance(), random.Random(1)
    for _ in range(readings):
        steps = {image: randomness.uniform(-3.0, 3.0) for image in weight_by_image}
        response = sum(weight_by_image[image] * step for image, step in steps.items())
        disturbance.learn("serving", response + randomness.uniform(-noise, noise), steps)
    return disturbance


def test_a_pair_that_was_never_seen_is_tried():
    assert Disturbance().excess("serving", {"filling": 4.0}) <= ROOM


def test_one_bad_step_keeps_a_pair_apart():
    disturbance = Disturbance()
    disturbance.learn("serving", 0.5, {"filling": 3.0})
    assert disturbance.excess("serving", {"filling": 2.0}) > ROOM
    assert disturbance.excess("other", {"filling": 2.0}) <= ROOM


def test_pairs_that_are_never_alone_are_told_apart():
    disturbance = learned({"heavy": 0.1, "light": 0.0})
    assert abs(disturbance.weight("heavy", "serving") - 0.1) < 0.02
    assert disturbance.weight("light", "serving") < 0.005


def test_images_that_nearly_always_step_together_are_told_apart():
    disturbance, randomness = Disturbance(), random.Random(2)
    for _ in range(400):
        step = randomness.uniform(-3.0, 3.0)
        steps = {"heavy": step, "light": step + randomness.uniform(-0.5, 0.5)}
        disturbance.learn("serving", 0.1 * step, steps)
    assert disturbance.weight("heavy", "serving") > 0.07
    assert disturbance.weight("light", "serving") < 0.03


def test_the_load_of_a_serving_run_itself_teaches_nothing_of_a_steady_image():
    disturbance = Disturbance()
    for _ in range(50):
        disturbance.learn("serving", 0.4, {"steady": 0.0})
    assert disturbance.weight("steady", "serving") == FIRST_WEIGHT


def test_a_pair_that_has_changed_is_learned_anew():
    disturbance, randomness = learned({"filling": 0.1}, readings=3000), random.Random(3)
    for _ in range(1000):
        disturbance.learn("serving", 0.0, {"filling": randomness.uniform(-3.0, 3.0)})
    assert disturbance.weight("filling", "serving") < 0.03


def test_weights_hold_when_the_sums_are_scaled_back():
    disturbance = learned({"heavy": 0.1}, readings=12_000)
    assert abs(disturbance.weight("heavy", "serving") - 0.1) < 0.02


def test_the_images_that_weigh_most_are_blamed_and_harmless_ones_are_not():
    disturbance = learned({"heavy": 0.1, "light": 0.0})
    shares = disturbance.blamed("serving", {"heavy": 2.0, "light": 2.0}, 0.1)
    assert list(shares) == ["heavy"]
    assert 0.35 < shares["heavy"] < 0.65
    assert list(disturbance.blamed("serving", {"heavy": 2.0, "light": 2.0}, 0.0)) == ["heavy"]


def test_occupancy_rises_with_the_tail_and_room_ends_at_what_is_bearable():
    assert occupancy(0.1) == 0.0
    assert occupancy(0.4) < occupancy(1.0) < occupancy(50.0) < 1.0
    assert room_beside(BEARABLE_OCCUPANCY) == 0.0
    assert room_beside(0.1) > ROOM > 0.0


def test_only_so_many_filling_images_are_remembered():
    disturbance = Disturbance()
    for number in range(3 * MOST_IMAGES):
        disturbance.learn("serving", 0.5, {f"filling-{number}": 2.0})
    assert len(disturbance.learned_beyond({})) <= MOST_IMAGES


def test_only_so_many_serving_images_are_remembered():
    disturbance = Disturbance()
    for number in range(3 * MOST_IMAGES):
        disturbance.learn(f"serving-{number}", 0.5, {"filling": 2.0})
    assert len(disturbance.learned_beyond({})) <= MOST_IMAGES


def test_a_new_leader_starts_with_what_the_last_one_told():
    first = Disturbance()
    first.learn("serving", 0.5, {"filling": 2.0})
    held = ledger()
    held.update_weights(first.learned_beyond(held.weight_by_pair))
    held = snapshot.load(snapshot.save(held))
    second = Disturbance(dict(held.weight_by_pair))
    assert second.weight("filling", "serving") == first.weight("filling", "serving")
    assert first.learned_beyond(held.weight_by_pair) == []
