import random

from savoryshelf.dispatch.interference import (
    MAX_IMAGES,
    PEAK_BASELINE_UTILISATION,
    PRIOR_WEIGHT,
    UTILISATION_LIMIT,
    InterferenceModel,
    interference_headroom,
    utilisation_at,
)
from savoryshelf.tasks import snapshot

from ..tasks.builders import ledger

PEAK_HEADROOM = interference_headroom(PEAK_BASELINE_UTILISATION)
"""Headroom of a serving run at its usual peak load."""


SAMPLE_SECONDS = 0.05
"""Time between two samples of a serving image on a small site."""


def fitted_model(weight_by_image, samples=200, noise=0.03):
    """Return a model fitted to random load changes of these images beside one serving image."""
    interference, rng = InterferenceModel(), random.Random(1)
    for number in range(samples):
        deviation_by_image = {image: rng.uniform(-3.0, 3.0) for image in weight_by_image}
        utilisation_deviation = sum(
            weight_by_image[image] * deviation for image, deviation in deviation_by_image.items()
        )
        interference.add_sample(
            "serving",
            utilisation_deviation + rng.uniform(-noise, noise),
            deviation_by_image,
            number * SAMPLE_SECONDS,
        )
    return interference


def test_the_prior_weight_lets_an_unknown_pair_be_tried():
    assert InterferenceModel().added_utilisation("serving", {"best-effort": 4.0}) <= PEAK_HEADROOM


def test_one_sample_of_strong_interference_exceeds_the_headroom():
    interference = InterferenceModel()
    interference.add_sample("serving", 0.5, {"best-effort": 3.0}, 0.0)
    assert interference.added_utilisation("serving", {"best-effort": 2.0}) > PEAK_HEADROOM
    assert interference.added_utilisation("other", {"best-effort": 2.0}) <= PEAK_HEADROOM


def test_images_that_always_run_together_get_separate_weights():
    interference = fitted_model({"heavy": 0.1, "light": 0.0})
    assert abs(interference.weight("heavy", "serving") - 0.1) < 0.02
    assert interference.weight("light", "serving") < 0.005


def test_images_with_correlated_load_get_separate_weights():
    interference, rng = InterferenceModel(), random.Random(2)
    for number in range(400):
        deviation = rng.uniform(-3.0, 3.0)
        deviation_by_image = {"heavy": deviation, "light": deviation + rng.uniform(-0.5, 0.5)}
        interference.add_sample(
            "serving", 0.1 * deviation, deviation_by_image, number * SAMPLE_SECONDS
        )
    assert interference.weight("heavy", "serving") > 0.07
    assert interference.weight("light", "serving") < 0.03


def test_load_changes_beside_a_steady_image_leave_its_weight_unchanged():
    interference = InterferenceModel()
    for number in range(50):
        interference.add_sample("serving", 0.4, {"steady": 0.0}, number * SAMPLE_SECONDS)
    assert interference.weight("steady", "serving") == PRIOR_WEIGHT


def test_weights_follow_a_change_in_interference():
    interference, rng = fitted_model({"best-effort": 0.1}, samples=3000), random.Random(3)
    for number in range(3000, 4000):
        deviation_by_image = {"best-effort": rng.uniform(-3.0, 3.0)}
        interference.add_sample("serving", 0.0, deviation_by_image, number * SAMPLE_SECONDS)
    assert interference.weight("best-effort", "serving") < 0.03


def test_rescaling_the_sums_keeps_the_weights():
    interference = fitted_model({"heavy": 0.1}, samples=12_000)
    assert abs(interference.weight("heavy", "serving") - 0.1) < 0.02


def test_images_that_interfere_most_are_throttled_and_negligible_ones_are_not():
    interference = fitted_model({"heavy": 0.1, "light": 0.0})
    shares = interference.throttle_shares("serving", {"heavy": 2.0, "light": 2.0}, 0.1)
    assert list(shares) == ["heavy"]
    assert 0.35 < shares["heavy"] < 0.65
    assert list(interference.throttle_shares("serving", {"heavy": 2.0, "light": 2.0}, 0.0)) == [
        "heavy"
    ]


def test_utilisation_rises_with_latency_and_headroom_ends_at_the_limit():
    assert utilisation_at(0.1) == 0.0
    assert utilisation_at(0.4) < utilisation_at(1.0) < utilisation_at(50.0) < 1.0
    assert interference_headroom(UTILISATION_LIMIT) == 0.0
    assert interference_headroom(0.1) > PEAK_HEADROOM > 0.0


def test_the_number_of_best_effort_images_is_bounded():
    interference = InterferenceModel()
    for number in range(3 * MAX_IMAGES):
        interference.add_sample("serving", 0.5, {f"best-effort-{number}": 2.0}, 0.0)
    assert len(interference.changed_weights({})) <= MAX_IMAGES


def test_the_number_of_serving_images_is_bounded():
    interference = InterferenceModel()
    for number in range(3 * MAX_IMAGES):
        interference.add_sample(f"serving-{number}", 0.5, {"best-effort": 2.0}, 0.0)
    assert len(interference.changed_weights({})) <= MAX_IMAGES


def test_a_new_leader_starts_with_the_committed_weights():
    first_model = InterferenceModel()
    first_model.add_sample("serving", 0.5, {"best-effort": 2.0}, 0.0)
    task_ledger = ledger()
    task_ledger.update_weights(first_model.changed_weights(task_ledger.weight_by_pair))
    task_ledger = snapshot.load(snapshot.save(task_ledger))
    second_model = InterferenceModel(dict(task_ledger.weight_by_pair))
    assert second_model.weight("best-effort", "serving") == first_model.weight(
        "best-effort", "serving"
    )
    assert first_model.changed_weights(task_ledger.weight_by_pair) == []


# With hundreds of workers the fit got so many samples that it forgot a pair within seconds, and
# every fifth best-effort run was evicted from beside one that it had been known to disturb.
def test_many_samples_a_second_make_the_weights_more_precise():
    interference, rng = InterferenceModel(), random.Random(4)
    errors = []
    for number in range(20_000):
        deviation = rng.uniform(-1.0, 1.0)
        utilisation_deviation = 0.05 * deviation + rng.uniform(-0.6, 0.6)
        interference.add_sample(
            "serving", utilisation_deviation, {"best-effort": deviation}, number / 2000
        )
        errors.append(abs(interference.weight("best-effort", "serving") - 0.05))
    assert sum(errors[-10_000:]) / 10_000 < 0.008
