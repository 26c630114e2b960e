from savoryshelf.configuration.declarations import BatchClass, Limits
from savoryshelf.control.feasibility import explain_infeasibility
from savoryshelf.targets.state import Fleet
from savoryshelf.wire.generated.ttypes import WorkerAnnouncement


def fleet_with_cores(*cores, slots=8):
    fleet = Fleet()
    for number, worker_cores in enumerate(cores):
        announcement = WorkerAnnouncement(
            f"w{number}", "incarnation-1", "http://x", "fd", "r", slots, 64, worker_cores, 1000, 0
        )
        fleet.register_worker(announcement, 0)
    return fleet


def test_a_class_that_fits_one_worker_is_feasible():
    assert (
        explain_infeasibility(
            BatchClass(cores=16, memory_mb=100), Limits(), fleet_with_cores(4.0, 16.0)
        )
        == ""
    )


def test_a_class_larger_than_every_worker_is_refused_with_need_and_maximum():
    reason = explain_infeasibility(
        BatchClass(cores=32, memory_mb=100), Limits(), fleet_with_cores(4.0, 16.0)
    )
    assert "needs 32" in reason
    assert "largest worker has 16" in reason


def test_a_reserve_that_leaves_no_batch_slot_is_the_stated_reason():
    reason = explain_infeasibility(
        BatchClass(cores=1, memory_mb=1), Limits(), fleet_with_cores(4.0, slots=3)
    )
    assert "critical_reserve_slots" in reason


def test_an_empty_fleet_makes_no_class_infeasible():
    assert explain_infeasibility(BatchClass(cores=999), Limits(), Fleet()) == ""
