import pytest

from savoryshelf.configuration.declarations import parse, to_document
from savoryshelf.entry.budget import RetryBudget
from savoryshelf.entry.lease import ControlLease
from savoryshelf.entry.state import MAX_PENDING_ANNOUNCEMENTS, EntryState
from savoryshelf.leases import ENTRY_LEASE_SECONDS, granter_deadline, holder_deadline
from savoryshelf.scheduling.quarantine import (
    FAILURES_BEFORE_QUARANTINE,
    QuarantineState,
    may_quarantine,
)
from tests.promises.fakes import ManualClock

from .fakes import entry_state, owned


def document(site):
    return to_document(parse({"customer": "c", "site": site}))


def test_an_older_configuration_never_replaces_a_newer_one():
    state = EntryState("e0")
    assert state.update_configuration(5, document("new"))
    assert not state.update_configuration(4, document("old"))
    assert state.declarations.site == "new"


def test_the_holder_of_a_lease_stops_before_its_granter_may_reassign_it():
    # The request left at 10 and arrived at once: the worst case for the order of the deadlines.
    assert holder_deadline(10.0, ENTRY_LEASE_SECONDS) < granter_deadline(10.0, ENTRY_LEASE_SECONDS)


def test_an_older_answer_never_shortens_a_lease():
    lease = ControlLease()
    lease.renew(10.0, 6.0)
    lease.renew(5.0, 6.0)
    assert lease.is_valid(15.0)


def test_a_worker_is_quarantined_after_failures_in_a_row_and_probed_once():
    quarantine = QuarantineState()
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        assert not quarantine.is_quarantined(0.0)
        quarantine.record_failure(0.0)
    assert quarantine.is_quarantined(1.0)
    assert not quarantine.is_quarantined(3.0)
    quarantine.begin_probe_if_due(3.0)
    assert quarantine.is_quarantined(3.0), "one probe at a time"
    quarantine.record_failure(3.0)
    assert quarantine.is_quarantined(6.0), "a failed probe doubles the quarantine"
    quarantine.begin_probe_if_due(8.0)
    quarantine.record_success()
    assert not quarantine.is_quarantined(8.0)


def test_a_success_between_failures_keeps_a_worker_in_use():
    quarantine = QuarantineState()
    for _ in range(10):
        quarantine.record_failure(0.0)
        quarantine.record_success()
    assert not quarantine.is_quarantined(0.0)


@pytest.mark.parametrize(("quarantined", "total", "allowed"), [(0, 1, True), (2, 4, False)])
def test_at_most_half_of_the_fleet_is_quarantined(quarantined, total, allowed):
    assert may_quarantine(quarantined, total) is allowed


def test_a_retry_budget_is_a_share_of_first_attempts():
    budget = RetryBudget(0.5)
    while budget.try_take():
        pass
    budget.record_first_attempt()
    assert not budget.try_take()
    budget.record_first_attempt()
    assert budget.try_take()


def test_pending_announcements_are_bounded():
    state = EntryState("e0")
    for number in range(MAX_PENDING_ANNOUNCEMENTS + 10):
        state.add_announcement(owned(f"w{number}").worker)
    assert len(state.announcement_by_id) == MAX_PENDING_ANNOUNCEMENTS
    assert f"w{MAX_PENDING_ANNOUNCEMENTS + 9}" in state.announcement_by_id


def test_the_task_lease_of_a_worker_expires_at_the_deadline_of_its_granter():
    state = entry_state(ManualClock(), owned("w0"))
    target = state.targets.by_id["w0"]
    end = granter_deadline(target.last_report_at, 10.0)
    assert not target.lease_has_expired(end - 0.01, ENTRY_LEASE_SECONDS)
    assert target.lease_has_expired(end + 0.01, ENTRY_LEASE_SECONDS)


@pytest.mark.parametrize("adopted", [False, True])
def test_a_worker_may_have_been_renewed_by_its_last_owner_until_a_report_was_answered(adopted):
    clock = ManualClock()
    target = entry_state(clock, owned("w0")).targets.by_id["w0"]
    target.adopted, target.lease_ends_at = adopted, float("-inf")
    end = granter_deadline(clock.now, 10.0 + ENTRY_LEASE_SECONDS)
    assert not target.lease_has_expired(end - 0.01, ENTRY_LEASE_SECONDS)
    assert target.lease_has_expired(end + 0.01, ENTRY_LEASE_SECONDS)


def test_an_owner_of_before_may_have_granted_a_longer_lease():
    clock = ManualClock()
    each = owned("w0")
    each.longest_task_lease_s = 60.0
    target = entry_state(clock, each).targets.by_id["w0"]
    assert target.lease_ends_at == granter_deadline(clock.now, 60.0)
    target.lease_ends_at = float("-inf")
    end = granter_deadline(clock.now, 60.0 + ENTRY_LEASE_SECONDS)
    assert not target.lease_has_expired(end - 0.01, ENTRY_LEASE_SECONDS)


def test_a_refused_probe_is_inconclusive_and_may_be_repeated():
    quarantine = QuarantineState()
    for _ in range(FAILURES_BEFORE_QUARANTINE):
        quarantine.record_failure(0.0)
    quarantine.begin_probe_if_due(3.0)
    quarantine.record_rejection()
    assert not quarantine.is_quarantined(3.0)
