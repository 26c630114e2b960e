from savoryshelf.dispatch.health import QUARANTINE_SECONDS, FleetHealth


def test_a_single_failure_keeps_a_worker_in_use():
    health = FleetHealth()
    health.record_outcome("w1", False, 0.0)
    assert health.is_schedulable("w1", 0.0)


def test_failures_in_a_row_set_a_worker_aside_for_longer_each_time():
    health = FleetHealth()
    health.record_outcome("w1", False, 0.0)
    health.record_outcome("w1", False, 0.1)
    assert not health.is_schedulable("w1", 0.1 + QUARANTINE_SECONDS / 2)
    probe_at = 0.2 + QUARANTINE_SECONDS
    assert health.is_schedulable("w1", probe_at)
    health.record_outcome("w1", False, probe_at)
    assert not health.is_schedulable("w1", probe_at + 1.5 * QUARANTINE_SECONDS)


def test_a_success_takes_a_worker_back_at_once():
    health = FleetHealth()
    health.record_outcome("w1", False, 0.0)
    health.record_outcome("w1", False, 0.0)
    health.record_outcome("w1", True, 0.5)
    assert health.is_schedulable("w1", 0.5)
