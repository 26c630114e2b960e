import random

from savoryshelf.dispatch.disturbance import (
    BEARABLE_STRAIN,
    REST_STRAIN,
    Disturbance,
)
from savoryshelf.tasks import snapshot

from ..tasks.builders import ledger


def test_a_pair_that_was_never_seen_is_tried():
    assert Disturbance().predict("serving", {"filling": 4.0}) < BEARABLE_STRAIN


def test_one_bad_reading_keeps_a_pair_apart():
    disturbance = Disturbance()
    disturbance.learn("serving", 3.0, {"filling": 3.0})
    assert disturbance.predict("serving", {"filling": 2.0}) > BEARABLE_STRAIN
    assert disturbance.predict("other", {"filling": 2.0}) < BEARABLE_STRAIN


def test_pairs_that_are_never_alone_are_told_apart():
    true_weight = {"heavy": 0.8, "light": 0.0}
    disturbance, randomness = Disturbance(), random.Random(1)
    for _ in range(200):
        cores = {image: randomness.uniform(0.2, 3.0) for image in true_weight}
        strain = REST_STRAIN + sum(true_weight[i] * c for i, c in cores.items())
        disturbance.learn("serving", strain + randomness.uniform(-0.2, 0.2), cores)
    assert disturbance.weight("heavy", "serving") > 0.5
    assert disturbance.weight("light", "serving") < 0.15


def test_a_pair_is_tried_again_after_long_calm():
    disturbance = Disturbance()
    disturbance.learn("serving", 1.5, {"filling": 1.0})
    before = disturbance.weight("filling", "serving")
    for _ in range(100):
        disturbance.learn("serving", REST_STRAIN, {"filling": 1.0})
    assert disturbance.weight("filling", "serving") < before / 4


def test_the_images_that_weigh_most_are_blamed():
    disturbance = Disturbance()
    disturbance.learn("serving", 3.0, {"heavy": 2.0})
    assert disturbance.blamed("serving", {"heavy": 2.0, "light": 2.0}) == ["heavy"]


def test_a_new_leader_starts_with_what_the_last_one_told():
    first = Disturbance()
    first.learn("serving", 3.0, {"filling": 2.0})
    held = ledger()
    held.note_weights(first.learned_beyond(held.weight_by_pair))
    held = snapshot.load(snapshot.save(held))
    second = Disturbance(dict(held.weight_by_pair))
    assert second.weight("filling", "serving") == first.weight("filling", "serving")
    assert first.learned_beyond(held.weight_by_pair) == []
