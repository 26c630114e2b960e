import attrs
import pytest

from savoryshelf.control.sessions import EntrySessions
from savoryshelf.leases import ENTRY_LEASE_SECONDS, granter_deadline
from savoryshelf.scheduling.ownership import (
    OVERLOAD_DETECTION_SECONDS,
    OVERLOAD_MOVE_INTERVAL_SECONDS,
    OverloadDetector,
    assign_unowned,
    rebalance,
    release_for_overload,
)
from savoryshelf.targets.state import MAX_LOST_WORKERS, Fleet
from savoryshelf.wire.generated.ttypes import (
    Assignment,
    ChangeStanding,
    RegisterEntry,
    RemoveEntry,
    SyncRequest,
    WorkerAnnouncement,
    WorkerStanding,
)

ENTRIES = ["e0", "e1"]


def fleet_of(workers=2, owner="e0"):
    fleet = Fleet()
    for entry_id in ENTRIES:
        fleet.register_entry(RegisterEntry(entry_id, "incarnation-1", entry_id, "http://x", "fd"))
    for number in range(workers):
        fleet.register_worker(announcement_of(f"w{number}"), 0)
        if owner:
            fleet.assign(Assignment(f"w{number}", owner, "incarnation-1"))
    return fleet


def announcement_of(worker_id, incarnation="incarnation-1"):
    url = f"http://127.0.0.1/{worker_id}"
    return WorkerAnnouncement(worker_id, incarnation, url, "fd", "r", 8, 64, 16.0, 1000, 0)


def record_sync(sessions, entry_id, assignment_version, now):
    sessions.record_sync(
        SyncRequest(
            entry_id=entry_id,
            incarnation="incarnation-1",
            assignment_version=assignment_version,
            notes=[],
            acknowledged_starts=[],
            acknowledged_stops=[],
        ),
        now,
    )


def test_an_owned_worker_is_not_assigned_to_another_entry_host():
    fleet = fleet_of()
    assert not fleet.assign(Assignment("w0", "e1", "incarnation-1"))
    assert fleet.workers_by_id["w0"].owner_id == "e0"


def test_a_released_worker_is_reassigned_only_when_its_owner_has_acknowledged():
    fleet, sessions = fleet_of(1), EntrySessions(0.0)
    active_entries = list(fleet.entries_by_id.values())
    record_sync(sessions, "e0", fleet.assignment_version, 1.0)
    fleet.release("w0", "e0")
    assert assign_unowned(fleet, active_entries, sessions.has_acknowledged_release) == []
    record_sync(sessions, "e0", fleet.assignment_version, 2.0)
    assert len(assign_unowned(fleet, active_entries, sessions.has_acknowledged_release)) == 1


def test_a_released_worker_is_free_when_its_owner_is_removed():
    fleet, sessions = fleet_of(1), EntrySessions(0.0)
    fleet.release("w0", "e0")
    fleet.remove_entry(RemoveEntry("e0", "incarnation-1"))
    assert sessions.has_acknowledged_release(fleet.workers_by_id["w0"])


def test_a_lost_worker_that_returns_is_not_assigned_before_its_last_owner_has_acknowledged():
    fleet, sessions = fleet_of(1), EntrySessions(0.0)
    fleet.change_standing(ChangeStanding("", "w0", WorkerStanding.LOST, "incarnation-1"), 1)
    fleet.register_worker(announcement_of("w0"), 2)
    active_entries = list(fleet.entries_by_id.values())
    assert assign_unowned(fleet, active_entries, sessions.has_acknowledged_release) == []


def test_the_lease_of_an_entry_host_expires_at_the_deadline_of_its_granter():
    fleet, sessions = fleet_of(), EntrySessions(0.0)
    entry = fleet.entries_by_id["e0"]
    record_sync(sessions, "e0", 0, 100.0)
    end = granter_deadline(100.0, ENTRY_LEASE_SECONDS)
    assert not sessions.lease_has_expired(entry, end - 0.01)
    assert sessions.lease_has_expired(entry, end + 0.01)


def test_a_new_leader_waits_for_leases_that_its_predecessor_may_have_granted():
    fleet, sessions = fleet_of(), EntrySessions(elected_at=100.0)
    entry = fleet.entries_by_id["e0"]
    assert not sessions.lease_has_expired(entry, 100.0 + ENTRY_LEASE_SECONDS)
    assert sessions.lease_has_expired(entry, granter_deadline(100.0, ENTRY_LEASE_SECONDS) + 0.01)


def test_a_sync_of_an_entry_host_under_removal_is_ignored():
    sessions = EntrySessions(0.0)
    sessions.begin_removal("e0")
    record_sync(sessions, "e0", 0, 1.0)
    assert "e0" not in sessions.by_id


def test_workers_are_assigned_evenly():
    fleet = fleet_of(6, owner="")
    active_entries = list(fleet.entries_by_id.values())
    owners = [a.entry_id for a in assign_unowned(fleet, active_entries, lambda worker: True)]
    assert sorted(owners) == ["e0"] * 3 + ["e1"] * 3


def test_the_least_loaded_worker_moves_when_an_entry_host_joins():
    fleet = fleet_of(4)
    active_entries = list(fleet.entries_by_id.values())
    release = rebalance(fleet, active_entries, {"w0": 3, "w1": 0, "w2": 2, "w3": 9})
    assert (release.worker_id, release.entry_id) == ("w1", "e0")


def test_a_balanced_fleet_releases_no_worker():
    fleet = fleet_of(1)
    assert rebalance(fleet, list(fleet.entries_by_id.values()), {}) is None


def test_a_drained_worker_stays_drained_when_it_restarts():
    fleet = fleet_of(1)
    fleet.change_standing(ChangeStanding("op", "w0", WorkerStanding.DRAINED, ""), 1)
    fleet.register_worker(announcement_of("w0", "incarnation-2"), 2)
    assert fleet.workers_by_id["w0"].standing == WorkerStanding.DRAINED


# Guards against orders of the owner for one incarnation that count as known for another one.
def test_a_new_incarnation_is_assigned_only_when_the_owner_has_released_the_earlier_one():
    fleet, sessions = fleet_of(1), EntrySessions(0.0)
    active_entries = list(fleet.entries_by_id.values())
    record_sync(sessions, "e0", fleet.assignment_version, 1.0)
    epoch = fleet.workers_by_id["w0"].epoch
    fleet.register_worker(announcement_of("w0", "incarnation-2"), 2)
    assert fleet.workers_by_id["w0"].epoch > epoch
    assert assign_unowned(fleet, active_entries, sessions.has_acknowledged_release) == []
    record_sync(sessions, "e0", fleet.assignment_version, 2.0)
    assert len(assign_unowned(fleet, active_entries, sessions.has_acknowledged_release)) == 1


# Guards against calls to a process that runs under the id and the incarnation of another one.
@pytest.mark.parametrize("field", ["url", "failure_domain", "rack"])
def test_within_one_incarnation_a_worker_stays_where_it_is(field):
    fleet = fleet_of(1)
    before = attrs.evolve(fleet.workers_by_id["w0"])
    elsewhere = announcement_of("w0")
    setattr(elsewhere, field, "http://127.0.0.1/elsewhere")
    assert not fleet.register_worker(elsewhere, 2)
    assert fleet.workers_by_id["w0"] == before
    resized = announcement_of("w0")
    resized.slots = 4
    fleet.register_worker(resized, 3)
    assert fleet.workers_by_id["w0"].slots == 4, "its capacity may change"


def test_a_lost_worker_may_return_at_another_address():
    fleet = fleet_of(1)
    fleet.change_standing(ChangeStanding("", "w0", WorkerStanding.LOST, "incarnation-1"), 1)
    elsewhere = announcement_of("w0")
    elsewhere.url = "http://127.0.0.1/elsewhere"
    fleet.register_worker(elsewhere, 2)
    assert fleet.workers_by_id["w0"].url == elsewhere.url


# Guards against work that is placed, refused and placed again on a worker that leaves.
def test_an_announcement_that_is_late_does_not_return_a_leaving_worker():
    fleet = fleet_of(1)
    fleet.change_standing(ChangeStanding("", "w0", WorkerStanding.LEAVING, "incarnation-1"), 1)
    fleet.register_worker(announcement_of("w0"), 2)
    assert fleet.workers_by_id["w0"].standing == WorkerStanding.LEAVING
    fleet.register_worker(announcement_of("w0", "incarnation-2"), 3)
    assert fleet.workers_by_id["w0"].standing == WorkerStanding.ACTIVE


# Guards against a worker that is never adopted again: it knows the epoch of before its record was
# dropped, and refuses lower ones.
def test_the_epochs_of_a_worker_rise_after_its_record_was_dropped():
    fleet = fleet_of(MAX_LOST_WORKERS + 1)
    epoch = fleet.workers_by_id["w0"].epoch
    for worker_id in list(fleet.workers_by_id):
        fleet.change_standing(ChangeStanding("", worker_id, WorkerStanding.LOST, ""), 1)
    fleet.expire(0)
    assert "w0" not in fleet.workers_by_id
    fleet.register_worker(announcement_of("w0"), 2)
    fleet.assign(Assignment("w0", "e0", "incarnation-1"))
    assert fleet.workers_by_id["w0"].epoch > epoch


def test_a_fleet_of_a_snapshot_without_the_newest_epoch_goes_on_from_its_workers():
    fleet = fleet_of(3)
    restored = Fleet(fleet.workers_by_id, fleet.entries_by_id)
    restored.release("w0", "e0")
    restored.assign(Assignment("w0", "e1", "incarnation-1"))
    assert restored.workers_by_id["w0"].epoch == fleet.newest_epoch + 1


def test_a_resent_change_of_standing_is_idempotent():
    fleet = fleet_of(1)
    drain = ChangeStanding("op", "w0", WorkerStanding.DRAINED, "")
    fleet.change_standing(drain, 1)
    fleet.change_standing(ChangeStanding("op-2", "w0", WorkerStanding.ACTIVE, ""), 2)
    assert fleet.change_standing(drain, 3).duplicate
    assert fleet.workers_by_id["w0"].standing == WorkerStanding.ACTIVE


def test_a_new_incarnation_of_an_entry_host_owns_nothing():
    fleet = fleet_of()
    fleet.register_entry(RegisterEntry("e0", "incarnation-2", "e0", "http://x", "fd"))
    assert fleet.owned_by("e0") == []


def test_an_entry_host_is_overloaded_only_after_a_sustained_lack_of_slots():
    detector = OverloadDetector()
    detector.observe({"e0": 0, "e1": 5}, 0.0)
    assert detector.overloaded_entry_ids(OVERLOAD_DETECTION_SECONDS - 1) == set()
    assert detector.overloaded_entry_ids(OVERLOAD_DETECTION_SECONDS) == {"e0"}
    detector.observe({"e0": 1, "e1": 5}, OVERLOAD_DETECTION_SECONDS)
    detector.observe({"e0": 0, "e1": 5}, OVERLOAD_DETECTION_SECONDS + 1)
    assert detector.overloaded_entry_ids(OVERLOAD_DETECTION_SECONDS + 2) == set()


def test_moves_for_overload_are_spaced():
    detector = OverloadDetector()
    assert detector.may_move(0.0)
    detector.record_move(0.0)
    assert not detector.may_move(OVERLOAD_MOVE_INTERVAL_SECONDS - 1)
    assert detector.may_move(OVERLOAD_MOVE_INTERVAL_SECONDS)


def test_an_idle_worker_moves_from_the_most_free_slots_to_the_overloaded_entry_host():
    fleet = fleet_of(3, owner="e1")
    active_entries = list(fleet.entries_by_id.values())
    release = release_for_overload(
        fleet, active_entries, {"e0": 0, "e1": 20}, {"w0": 4, "w1": 0, "w2": 0}
    )
    assert (release.worker_id, release.entry_id) == ("w1", "e1")
    fleet.release(release.worker_id, release.entry_id)
    assignments = assign_unowned(fleet, active_entries, lambda worker: True, {"e0"})
    assert [(a.worker_id, a.entry_id) for a in assignments] == [("w1", "e0")]


def test_no_entry_host_releases_a_worker_that_it_needs_itself():
    fleet = fleet_of(2, owner="e1")
    active_entries = list(fleet.entries_by_id.values())
    # A worker has 8 slots: with 15 free, fewer than 8 would remain after its release.
    assert release_for_overload(fleet, active_entries, {"e0": 0, "e1": 15}, {}) is None
    # No worker is idle.
    assert (
        release_for_overload(fleet, active_entries, {"e0": 0, "e1": 16}, {"w0": 1, "w1": 1}) is None
    )
    # The entry host owns a single worker.
    assert (
        release_for_overload(fleet_of(1, owner="e1"), active_entries, {"e0": 0, "e1": 99}, {})
        is None
    )
