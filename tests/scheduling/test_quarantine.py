import pytest

from savoryshelf.scheduling.quarantine import (
    EARLY_PROBE_INTERVAL_SECONDS,
    FAILURES_BEFORE_QUARANTINE,
    MAX_PROBE_SECONDS,
    QUARANTINE_SECONDS,
    QuarantineState,
)


@pytest.fixture
def quarantined():
    state = QuarantineState()
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        state.record_failure(0.0)
    return state


def test_early_probes_have_a_bounded_pace(quarantined):
    """Guards against a worker that fails getting every request that only it can run."""
    assert quarantined.may_probe_early(0.0)
    quarantined.begin_probe(0.0)
    quarantined.record_failure(0.1)
    assert not quarantined.may_probe_early(EARLY_PROBE_INTERVAL_SECONDS - 0.01)
    assert quarantined.may_probe_early(EARLY_PROBE_INTERVAL_SECONDS)


def test_there_is_one_probe_at_a_time(quarantined):
    quarantined.begin_probe(0.0)
    assert not quarantined.may_probe_early(MAX_PROBE_SECONDS - 0.01)


def test_a_probe_that_hangs_does_not_prevent_later_ones(quarantined):
    """Guards against work that only one worker can run waiting for a request that hangs there."""
    quarantined.begin_probe(0.0)
    assert quarantined.may_probe_early(MAX_PROBE_SECONDS)


def test_a_failed_early_probe_leaves_the_quarantine_as_it_is(quarantined):
    """Guards against early probes that extend the quarantine for all other work."""
    quarantined.begin_probe(0.5)
    quarantined.record_failure(0.6)
    assert quarantined.is_quarantined(QUARANTINE_SECONDS - 0.01)
    assert not quarantined.is_quarantined(QUARANTINE_SECONDS)
    quarantined.begin_probe_if_due(QUARANTINE_SECONDS)
    quarantined.record_failure(QUARANTINE_SECONDS)
    assert quarantined.is_quarantined(3 * QUARANTINE_SECONDS - 0.01)
    assert not quarantined.is_quarantined(3 * QUARANTINE_SECONDS)


def test_a_successful_early_probe_ends_the_quarantine(quarantined):
    quarantined.begin_probe(0.5)
    quarantined.record_success()
    assert not quarantined.is_quarantined(0.6)
