from savoryshelf.configuration.declarations import BatchClass, Limits
from savoryshelf.control.feasibility import why_never
from savoryshelf.targets.state import Fleet
from savoryshelf.wire.generated.ttypes import WorkerAnnouncement


def fleet(*cores, slots=8):
    found = Fleet()
    for number, each in enumerate(cores):
        announced = WorkerAnnouncement(
            f"w{number}", "life", "http://x", "fd", "r", slots, 64, each, 1000, 0
        )
        found.register_worker(announced, 0)
    return found


def test_a_class_that_some_worker_could_run_is_let_through():
    assert why_never(BatchClass(cores=16, memory_mb=100), Limits(), fleet(4.0, 16.0)) == ""


def test_a_class_larger_than_every_worker_is_told_what_would_have_to_change():
    reason = why_never(BatchClass(cores=32, memory_mb=100), Limits(), fleet(4.0, 16.0))
    assert "needs 32" in reason
    assert "largest worker has 16" in reason


def test_a_reserve_that_leaves_no_slot_is_named():
    reason = why_never(BatchClass(cores=1, memory_mb=1), Limits(), fleet(4.0, slots=3))
    assert "critical_reserve_slots" in reason


def test_a_fleet_of_which_nothing_is_known_says_nothing():
    assert why_never(BatchClass(cores=999), Limits(), Fleet()) == ""
