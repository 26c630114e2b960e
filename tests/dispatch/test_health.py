from savoryshelf.dispatch.health import QUARANTINE_SECONDS, FleetHealth


def test_a_single_failure_does_not_quarantine_a_worker():
    health = FleetHealth()
    health.record_outcome("w1", False, 0.0)
    assert health.is_schedulable("w1", 0.0)


def test_each_failed_probe_lengthens_the_quarantine():
    health = FleetHealth()
    health.record_outcome("w1", False, 0.0)
    health.record_outcome("w1", False, 0.1)
    assert not health.is_schedulable("w1", 0.1 + QUARANTINE_SECONDS / 2)
    probe_at = 0.2 + QUARANTINE_SECONDS
    assert health.is_schedulable("w1", probe_at)
    health.record_outcome("w1", False, probe_at)
    assert not health.is_schedulable("w1", probe_at + 1.5 * QUARANTINE_SECONDS)


def test_a_success_ends_the_quarantine():
    health = FleetHealth()
    health.record_outcome("w1", False, 0.0)
    health.record_outcome("w1", False, 0.0)
    health.record_outcome("w1", True, 0.5)
    assert health.is_schedulable("w1", 0.5)


def test_the_start_of_a_quarantine_is_told_with_its_length():
    health = FleetHealth()
    assert health.record_outcome("w1", False, 0.0) == 0.0
    assert health.record_outcome("w1", False, 0.1) == QUARANTINE_SECONDS
    assert health.record_outcome("w1", False, 0.2) == 0.0
    assert health.quarantined_count(0.2) == 1
    assert health.quarantined_count(0.2 + QUARANTINE_SECONDS) == 0
