"""Heartbeats of workers, as the leader and the other hosts answer them."""

import types

import pytest

from savoryshelf.clock import SystemClock
from savoryshelf.dispatch.task_service import TaskService, WorkerHeartbeat
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import AgentAssignment, WorkerLife

from ..tasks.builders import worker


class FakeReplica:
    """A replica whose proposals are applied at once."""

    leader_address = leader_name = "c0"

    def __init__(self, state_machine, is_leader=True):
        self._state_machine = state_machine
        self.is_leader = is_leader
        self.commits = 0
        self.leader_contact_age = 0.0
        self.core = types.SimpleNamespace(
            seconds_since_quorum_contact=lambda now: 0.0,
            seconds_since_leader_contact=lambda now: self.leader_contact_age,
        )

    def propose(self, payload):
        self.commits += 1
        return self._state_machine.apply(payload)


@pytest.fixture
def state_machine():
    return TaskStateMachine()


def host(state_machine, is_leader=True):
    replica = FakeReplica(state_machine, is_leader)
    return replica, TaskService(replica, state_machine, SystemClock())


def heartbeat(sequence, draining=False, born_ms=1):
    record = worker(born_ms=born_ms)
    record.sequence, record.draining = sequence, draining
    record.leaving, record.fencing_token = False, 0
    return WorkerHeartbeat(record, 0)


def entry(state_machine):
    return state_machine.ledger.worker_by_incarnation["w1", 1]


def test_only_changes_are_committed(state_machine):
    replica, service = host(state_machine)
    service.heartbeat(heartbeat(1))
    service.heartbeat(heartbeat(2))
    assert replica.commits == 1
    service.heartbeat(heartbeat(3, draining=True))
    assert replica.commits == 2
    assert entry(state_machine).record.draining


# A worker that drains was in use again: a new leader does not know which heartbeats its
# predecessors have taken.
def test_a_delayed_heartbeat_does_not_undo_a_later_one_on_a_new_leader(state_machine):
    _, earlier_leader = host(state_machine)
    earlier_leader.heartbeat(heartbeat(1))
    earlier_leader.heartbeat(heartbeat(3, draining=True))
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(2))
    assert entry(state_machine).record.draining


def test_a_worker_that_left_stays_out_of_use(state_machine):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    leader.leave("w1")
    _, next_leader = host(state_machine)
    next_leader.heartbeat(heartbeat(2))
    assert not entry(state_machine).is_schedulable


def test_a_follower_answers_a_heartbeat_without_changes(state_machine):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    assignment = AgentAssignment(WorkerLife("w1", 1), "10.0.0.7.disk/1")
    state_machine.ledger.assign_agents([assignment], 0)
    replica, follower = host(state_machine, is_leader=False)
    assert follower.heartbeat(heartbeat(2)) == "10.0.0.7"
    with pytest.raises(ttypes.NotLeader):
        follower.heartbeat(heartbeat(3, draining=True))
    replica.leader_contact_age = 5.0
    with pytest.raises(ttypes.Unavailable):
        follower.heartbeat(heartbeat(4))


def test_an_agent_and_its_token_survive_a_heartbeat(state_machine):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    assignment = AgentAssignment(WorkerLife("w1", 1), "10.0.0.7.disk/1")
    state_machine.ledger.assign_agents([assignment], 0)
    leader.heartbeat(heartbeat(2, draining=True))
    record = entry(state_machine).record
    assert (record.agent_id, record.fencing_token) == ("10.0.0.7.disk/1", 1)
