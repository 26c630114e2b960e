import eventlet
import pytest

from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import SyncRequest
from tests.promises.test_guarantees import Guarantees


def sync_request(entry_id, incarnation, wait_seconds=0.0):
    return SyncRequest(
        entry_id=entry_id,
        incarnation=incarnation,
        address="a",
        http_url="http://127.0.0.1:1",
        failure_domain="fd",
        configuration_version=1,
        assignment_version=-1,
        leaving=False,
        announcements=[],
        notes=[],
        acknowledged_starts=[],
        acknowledged_stops=[],
        free_slots=0,
        shard=0,
        wait_seconds=wait_seconds,
        is_full=True,
    )


# Guards against two owners under one epoch: a process of an entry host that had been replaced, and
# was only frozen, was told what the other one owns.
def test_a_sync_that_another_process_under_the_name_overtakes_is_told_nothing():
    machine = Guarantees()
    machine.set_up_site()
    cluster = machine.cluster
    site, fleet = cluster.site, cluster.state_machine.state.fleet
    request = sync_request("e0", "earlier", wait_seconds=0.2)
    site.sync(request)
    machine.cluster.leader_loop._run_round()
    request.assignment_version = fleet.assignment_version
    ledger = cluster.state_machine.state.ledger
    request.acknowledged_starts = [
        ttypes.AttemptKey(job.job_id, job.attempt, 0) for job in ledger.placed()
    ]
    waiting = eventlet.spawn(site.sync, request)
    eventlet.sleep(0)
    assert not waiting.dead
    site.sync(sync_request("e0", "later"))
    cluster.leader_loop._run_round()
    assert fleet.owned_by("e0")
    assert fleet.entries_by_id["e0"].incarnation == "later"
    with pytest.raises(ttypes.Unavailable) as refusal:
        waiting.wait()
    assert not refusal.value.outcome_unknown


def test_an_entry_host_that_leaves_gets_a_reply():
    machine = Guarantees()
    machine.set_up_site()
    request = sync_request("e0", "earlier")
    request.leaving = True
    assert machine.cluster.site.sync(request) is not None
