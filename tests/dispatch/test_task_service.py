"""Heartbeats of workers, as the leader and the other hosts answer them."""

import pytest

from savoryshelf.clock import SystemClock
from savoryshelf.dispatch import task_service
from savoryshelf.dispatch.admission import Occupancy
from savoryshelf.dispatch.task_service import (
    MAX_FUTURE_MS,
    MAX_LOGGED_AS_IGNORED,
    NO_ROOM_RETRY_AFTER_MS,
    ImplausibleHeartbeat,
    TaskService,
    WorkerHeartbeat,
)
from savoryshelf.replication.service import OutcomeUnknown
from savoryshelf.replication.types import NotLeading
from savoryshelf.tasks import early_cancels
from savoryshelf.tasks.job import MAX_WAITING_AGE_MS
from savoryshelf.tasks.state_machine import TaskStateMachine
from savoryshelf.wire import codec
from savoryshelf.wire.generated import ttypes
from savoryshelf.wire.generated.ttypes import (
    AgentAssignment,
    IntendRuns,
    JobAnswerKind,
    JobCall,
    JobSpec,
    JobVerb,
    Manifest,
    RunEnd,
    RunIntent,
    RunOutcome,
    ServiceSpec,
    SettleRuns,
    TaskCommand,
    TaskCommandBody,
    WorkerLife,
)

from ..tasks.builders import HOST, JOB, accept, manifest, queue, record_intent, step, worker
from .applying_replica import FakeClock, FakeReplica


@pytest.fixture
def state_machine():
    return TaskStateMachine()


@pytest.fixture
def logged(monkeypatch):
    """The log lines of the task service, as pairs of a name and values."""
    lines = []
    monkeypatch.setattr(
        task_service, "log_event", lambda name, **values: lines.append((name, values))
    )
    return lines


def host(state_machine, is_leader=True, clock=None):
    replica = FakeReplica(state_machine, is_leader)
    return replica, TaskService(replica, state_machine, clock or SystemClock())


def heartbeat(sequence, draining=False, born_ms=1):
    record = worker(born_ms=born_ms)
    record.sequence, record.draining = sequence, draining
    record.leaving, record.fencing_token = False, 0
    return WorkerHeartbeat(record, 0)


def entry(state_machine, born_ms=1):
    return state_machine.ledger.worker_by_incarnation["w1", born_ms]


def saved_record(state_machine, born_ms=1):
    return codec.encode(entry(state_machine, born_ms).record)


def end(state_machine, *born_ms):
    """End incarnations of the worker, as on evidence of its agents."""
    incarnations = [WorkerLife("w1", each) for each in born_ms]
    state_machine.ledger.end_incarnations(incarnations, [])


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
    leader.heartbeat(heartbeat(2, draining=True))
    leader.leave("w1")
    _, next_leader = host(state_machine)
    next_leader.heartbeat(heartbeat(3))
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


def send_for(service, clock, seconds, first_sequence, **fields):
    """Send a heartbeat in each second, as a worker does."""
    for second in range(seconds):
        clock.seconds += 1.0
        service.heartbeat(heartbeat(first_sequence + second, **fields))


# Guards against a worker that drains or changes unnoticed for good: another writer's entry has
# the highest sequence that there is.
@pytest.mark.parametrize("highest", [2**53, 2**63 - 1])
def test_a_worker_is_believed_again_after_an_entry_with_the_highest_sequence(
    state_machine, highest
):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    leader.heartbeat(heartbeat(highest, draining=True))
    send_for(leader, clock, 25, 2)
    assert entry(state_machine).record.draining
    send_for(leader, clock, 10, 27)
    assert not entry(state_machine).record.draining
    # From then on its heartbeats count at once.
    if highest < 2**63 - 1:
        leader.heartbeat(heartbeat(40, draining=True))
        assert entry(state_machine).record.draining


def test_a_worker_is_believed_again_after_an_entry_of_a_later_start(state_machine):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    leader.heartbeat(heartbeat(1, born_ms=2))
    # Neither can be reached for a while.
    end(state_machine, 1, 2)
    send_for(leader, clock, 25, 2)
    assert entry(state_machine).has_ended
    send_for(leader, clock, 10, 27)
    assert not entry(state_machine).has_ended
    assert state_machine.ledger.worker_by_incarnation["w1", 2].has_ended
    leader.heartbeat(heartbeat(40, draining=True))
    assert entry(state_machine).record.draining


# A worker never comes back once a later start of it works.
def test_an_earlier_incarnation_stays_out_while_a_later_one_works(state_machine):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    leader.heartbeat(heartbeat(1, born_ms=2))
    end(state_machine, 1)
    send_for(leader, clock, 60, 2)
    assert entry(state_machine).has_ended
    assert not entry(state_machine, 2).has_ended


# Heartbeats that a partition has delayed arrive together, or are the same one sent again.
def test_delayed_heartbeats_are_never_believed(state_machine):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(100, draining=True))
    for sequence in range(1, 90):
        clock.seconds += 0.1
        leader.heartbeat(heartbeat(sequence))
    for _ in range(60):
        clock.seconds += 1.0
        leader.heartbeat(heartbeat(89))
    assert entry(state_machine).record.draining


# Guards against an entry whose start is so late that the worker's own heartbeats count as those
# of an earlier incarnation, and its runs as lost.
def test_a_start_more_than_a_day_ahead_is_refused(state_machine):
    replica, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    born_ms = SystemClock().wall_ms() + MAX_FUTURE_MS + 60_000
    with pytest.raises(ImplausibleHeartbeat):
        leader.heartbeat(heartbeat(1, born_ms=born_ms))
    assert replica.commits == 1 and not entry(state_machine).has_ended


# The wall clock of a control host may step; its workers must not be refused for that.
def test_a_start_hours_ahead_is_accepted(state_machine):
    _, leader = host(state_machine)
    born_ms = SystemClock().wall_ms() + MAX_FUTURE_MS // 2
    leader.heartbeat(heartbeat(1, born_ms=born_ms))
    assert ("w1", born_ms) in state_machine.ledger.worker_by_incarnation


# Guards against a start that brings a worker over its capacity: a delayed heartbeat of a time at
# which it had more brought that capacity back, after many heartbeats without a change.
@pytest.mark.parametrize("is_leader", [True, False], ids=["leader", "follower"])
def test_a_delayed_heartbeat_does_not_bring_back_a_larger_capacity(state_machine, is_leader):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    replica, service = host(state_machine, is_leader)
    service.heartbeat(heartbeat(5))
    delayed = heartbeat(4)
    delayed.record.millicores *= 2
    service.heartbeat(delayed)
    assert replica.commits == 0
    assert entry(state_machine).record.millicores == delayed.record.millicores // 2
    # A later one counts.
    grown = heartbeat(6)
    grown.record.millicores *= 2
    if is_leader:
        service.heartbeat(grown)
        assert entry(state_machine).record.millicores == grown.record.millicores
    else:
        with pytest.raises(ttypes.NotLeader):
            service.heartbeat(grown)


# Guards against a worker that is silenced for good on one host.
def test_a_follower_passes_on_a_worker_that_goes_on_to_send_heartbeats(state_machine):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    _, follower = host(state_machine, is_leader=False, clock=clock)
    follower.heartbeat(heartbeat(2**53))
    send_for(follower, clock, 25, 2, draining=True)
    with pytest.raises(ttypes.NotLeader):
        send_for(follower, clock, 10, 27, draining=True)
    with pytest.raises(ttypes.NotLeader):
        follower.heartbeat(heartbeat(90, draining=True))


# Guards against an acknowledged heartbeat that is not in the log: the worker sends the same one
# again after an answer that says that the outcome is unknown.
def test_a_heartbeat_whose_commit_failed_is_not_stale_when_it_is_sent_again(state_machine):
    replica, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    propose = replica.propose

    def fail(payload):
        raise OutcomeUnknown

    replica.propose = fail
    with pytest.raises(ttypes.Unavailable):
        leader.heartbeat(heartbeat(2, draining=True))
    replica.propose = propose
    leader.heartbeat(heartbeat(2, draining=True))
    assert entry(state_machine).record.draining


# Guards against TWICE: one heartbeat in the name of a worker, with a later start, released all that
# ran there, although nobody had reached the later incarnation.
@pytest.mark.parametrize("heartbeats", [1, 60])
def test_heartbeats_of_a_later_incarnation_leave_the_earlier_one_as_it_is(
    state_machine, heartbeats
):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    ledger = state_machine.ledger
    ledger.put_manifest(manifest())
    accept(ledger, step(2), step(lasting=True))
    ledger.assign_agents([AgentAssignment(WorkerLife("w1", 1), "c0.disk/1")], 6)
    runs = {(f"{JOB}.0.0.0", 1), (f"{JOB}.0.1.0", 1)}
    for task, run in runs:
        assert record_intent(ledger, task, run)
    before = saved_record(state_machine)

    def check():
        assert entry(state_machine).task_by_run.keys() == runs
        assert not entry(state_machine).has_ended
        assert saved_record(state_machine) == before
        for task, run in runs:
            found = state_machine.ledger.find_task(task)
            assert found.incarnation_by_run == {run: ("w1", 1)} and not found.crashes
            assert not record_intent(state_machine.ledger, task, run + 1, ("w1", 2))

    send_for(leader, clock, heartbeats, 1, born_ms=2)
    check()
    _, next_leader = host(state_machine, clock=clock)
    send_for(next_leader, clock, heartbeats, 100, born_ms=2)
    check()
    state_machine.restore(state_machine.snapshot())
    check()
    send_for(next_leader, clock, heartbeats, 200, born_ms=2, draining=True)
    send_for(next_leader, clock, heartbeats, 1, born_ms=3)
    check()
    # Each incarnation is ended by evidence of its own only.
    state_machine.ledger.end_incarnations([WorkerLife("w1", 2)], [], crashed=True)
    check()
    state_machine.ledger.end_incarnations([WorkerLife("w1", 1)], [], crashed=True)
    assert entry(state_machine).has_ended and not entry(state_machine).task_by_run
    assert not entry(state_machine, 3).has_ended


# Guards against a start on a worker that drains: its heartbeats were acknowledged and ignored,
# since another writer had named a later start.
def test_an_incarnation_that_has_not_ended_is_heard_though_a_later_one_is_noted(state_machine):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    leader.heartbeat(heartbeat(1, born_ms=2))
    leader.heartbeat(heartbeat(2, draining=True))
    assert entry(state_machine).record.draining
    assert not entry(state_machine, 2).record.draining
    # A delayed one of the same incarnation changes nothing.
    leader.heartbeat(heartbeat(1))
    assert entry(state_machine).record.draining


# Each new incarnation of an id is logged once, with those before it that may go on.
def test_a_later_incarnation_is_logged_once_with_the_earlier_ones(state_machine, logged):
    _, leader = host(state_machine)
    for sequence in (1, 2):
        for born_ms in (1, 2, 3):
            leader.heartbeat(heartbeat(sequence, born_ms=born_ms, draining=sequence == 2))
    restarted = [values for name, values in logged if name == "worker:restarted"]
    assert restarted == [
        {"worker": "w1", "born": 2, "earlier": [1]},
        {"worker": "w1", "born": 3, "earlier": [1, 2]},
    ]


# Guards against a worker that drains unnoticed while an entry of a later start is in the ledger.
def test_an_incarnation_that_has_not_ended_is_believed_again_though_a_later_one_is_noted(
    state_machine,
):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(2**53, draining=True))
    leader.heartbeat(heartbeat(1, born_ms=2))
    send_for(leader, clock, 25, 2)
    assert entry(state_machine).record.draining
    send_for(leader, clock, 10, 27)
    assert not entry(state_machine).record.draining


def of_service(service_name, sequence, **fields):
    """Return a heartbeat that names a service."""
    sent = heartbeat(sequence, **fields)
    sent.record.service_name = service_name
    return sent


def ignored(lines):
    return [values for name, values in lines if name == "heartbeat:ignored"]


# Guards against workers of another deployment: an entry with a service that is not named here names
# no worker to use.
def test_a_new_incarnation_of_a_service_that_no_manifest_names_is_ignored_until_one_does(
    state_machine, logged
):
    replica, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    for sequence in range(1, 6):
        assert leader.heartbeat(of_service("foreign", sequence)) == ""
    assert replica.commits == 0 and not state_machine.ledger.worker_by_incarnation
    (line,) = ignored(logged)
    assert (line["worker"], line["born"], line["service"]) == ("w1", 1, "foreign")
    assert "service" in line["why"]
    services = [ServiceSpec(name, True, False) for name in ("dispatch", "foreign")]
    state_machine.ledger.put_manifest(Manifest(2, [queue()], services, "{}"))
    leader.heartbeat(of_service("foreign", 6))
    assert entry(state_machine).record.service_name == "foreign"
    assert entry(state_machine).is_schedulable


def test_a_later_incarnation_of_a_service_that_no_manifest_names_changes_nothing(state_machine):
    replica, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    leader.heartbeat(heartbeat(1))
    leader.heartbeat(of_service("foreign", 1, born_ms=2))
    assert replica.commits == 1
    assert state_machine.ledger.worker_by_incarnation.keys() == {("w1", 1)}


def test_a_follower_decides_nothing_on_an_incarnation_that_it_does_not_know(state_machine):
    state_machine.ledger.put_manifest(manifest())
    replica, follower = host(state_machine, is_leader=False)
    for _ in range(2):
        # The leader may know a newer manifest.
        with pytest.raises(ttypes.NotLeader):
            follower.heartbeat(of_service("foreign", 1))
    assert replica.commits == 0


# Workers announce themselves before the first manifest comes.
def test_any_service_is_accepted_before_the_first_manifest(state_machine):
    _, leader = host(state_machine)
    leader.heartbeat(of_service("foreign", 1))
    assert entry(state_machine).is_schedulable


# Its runs have to be stopped, and their ends noted.
@pytest.mark.parametrize("has_ended", [False, True])
def test_a_known_incarnation_stays_when_its_service_leaves_the_manifest(state_machine, has_ended):
    _, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    leader.heartbeat(heartbeat(1))
    without = Manifest(2, [], [ServiceSpec("other", True, False)], "{}")
    state_machine.ledger.put_manifest(without)
    if has_ended:
        end(state_machine, 1)
    leader.heartbeat(heartbeat(2, draining=True))
    assert entry(state_machine).record.draining and not entry(state_machine).has_ended


# Guards against an incarnation that comes back as a worker of another deployment.
def test_an_ended_incarnation_does_not_come_back_with_a_service_that_no_manifest_names(
    state_machine,
):
    _, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    leader.heartbeat(heartbeat(1))
    end(state_machine, 1)
    leader.heartbeat(of_service("foreign", 2))
    assert entry(state_machine).has_ended
    leader.heartbeat(heartbeat(2))
    assert entry(state_machine).is_schedulable


# Guards against memory that another writer fills.
def test_what_is_logged_as_ignored_is_bounded(state_machine, logged):
    _, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    for number in range(3 * MAX_LOGGED_AS_IGNORED):
        leader.heartbeat(of_service("foreign", 1, born_ms=number))
    assert len(leader._logged_as_ignored) == MAX_LOGGED_AS_IGNORED


OTHER_WRITER = {
    "address": "10.0.0.9:80",
    "service_name": "other",
    "failure_domain": "zone-b",
    "rack": "r9",
    "labels": ["b", "r1"],
}
"""What cannot change within one incarnation, each with the value of another writer."""

each_fixed_field = pytest.mark.parametrize("field", OTHER_WRITER)


def of_other_writer(field, sequence, **fields):
    """Return a heartbeat of the same incarnation with another value in one field."""
    sent = heartbeat(sequence, **fields)
    setattr(sent.record, field, OTHER_WRITER[field])
    return sent


def send_as_other_writer(service, clock, seconds, first_sequence, field):
    for second in range(seconds):
        clock.seconds += 1.0
        service.heartbeat(of_other_writer(field, first_sequence + second))


def working_host(state_machine, clock=None):
    """Return a leader that knows a worker with an agent and a run; both services are named."""
    services = [ServiceSpec(name, True, False) for name in ("dispatch", "other")]
    ledger = state_machine.ledger
    ledger.put_manifest(Manifest(1, [queue()], services, "{}"))
    replica, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    accept(ledger, step(lasting=True))
    ledger.assign_agents([AgentAssignment(WorkerLife("w1", 1), "c0.disk/1")], 6)
    assert record_intent(ledger, f"{JOB}.0.0.0")
    replica.commits = 0
    return replica, leader


def runs(state_machine):
    return set(entry(state_machine).task_by_run)


# Guards against calls that reach another worker, and runs that are taken for ended then: another
# writer's heartbeat gave a live worker an address, or a service, of its own.
@each_fixed_field
def test_a_heartbeat_that_says_another_of_a_live_worker_is_ignored_and_logged_once(
    state_machine, logged, field
):
    replica, leader = working_host(state_machine)
    before = saved_record(state_machine)
    for sequence in range(2, 22):
        assert leader.heartbeat(of_other_writer(field, sequence)) == "c0"
    assert replica.commits == 0 and saved_record(state_machine) == before
    (line,) = ignored(logged)
    assert (line["worker"], line["born"]) == ("w1", 1)
    assert field in line["why"] and len(line["why"]) < 200
    # The worker's own heartbeats count as before.
    leader.heartbeat(heartbeat(2, draining=True))
    assert entry(state_machine).record.draining
    assert runs(state_machine) == {(f"{JOB}.0.0.0", 1)}


@each_fixed_field
def test_a_follower_takes_nothing_of_another_writer(state_machine, field):
    working_host(state_machine)
    replica, follower = host(state_machine, is_leader=False)
    before = saved_record(state_machine)
    with pytest.raises(ttypes.NotLeader):
        follower.heartbeat(of_other_writer(field, 2**50))
    assert follower.heartbeat(heartbeat(2)) == "c0"
    # It is no reason to take the worker's own heartbeats for stale.
    with pytest.raises(ttypes.NotLeader):
        follower.heartbeat(heartbeat(3, draining=True))
    assert replica.commits == 0 and saved_record(state_machine) == before


# Guards against a worker under a wrong service or label for good: the first record was false.
@pytest.mark.parametrize("field", [each for each in OTHER_WRITER if each != "address"])
@pytest.mark.parametrize("changes_host", [False, True], ids=["", "new leader and snapshot"])
def test_a_worker_that_goes_on_to_contradict_its_first_record_is_believed(
    state_machine, field, changes_host
):
    clock = FakeClock()
    _, leader = working_host(state_machine, clock)
    if changes_host:
        _, leader = host(state_machine, clock=clock)
        state_machine.restore(state_machine.snapshot())
    send_as_other_writer(leader, clock, 25, 2, field)
    assert getattr(entry(state_machine).record, field) != OTHER_WRITER[field]
    send_as_other_writer(leader, clock, 10, 27, field)
    record = entry(state_machine).record
    assert getattr(record, field) == OTHER_WRITER[field]
    # Nothing of the incarnation is taken for ended, and its agent goes on.
    assert runs(state_machine) == {(f"{JOB}.0.0.0", 1)}
    assert (record.agent_id, record.fencing_token) == ("c0.disk/1", 7)
    # From then on the first writer is the other one.
    leader.heartbeat(heartbeat(100))
    assert getattr(entry(state_machine).record, field) == OTHER_WRITER[field]
    leader.heartbeat(of_other_writer(field, 50, draining=True))
    assert entry(state_machine).record.draining


# Guards against runs that are taken for ended while they go on at the recorded address.
def test_another_address_is_taken_only_once_the_incarnation_at_the_recorded_one_has_ended(
    state_machine,
):
    clock = FakeClock()
    _, leader = working_host(state_machine, clock)
    before = saved_record(state_machine)
    send_as_other_writer(leader, clock, 120, 2, "address")
    assert saved_record(state_machine) == before
    assert runs(state_machine) == {(f"{JOB}.0.0.0", 1)}
    end(state_machine, 1)
    leader.heartbeat(of_other_writer("address", 130))
    assert entry(state_machine).record.address == OTHER_WRITER["address"]
    assert entry(state_machine).is_schedulable


# Guards against a worker that stays out of use: nothing runs in its name at an address that is
# wrong, so nothing is called there, and no call shows that.
def test_the_agent_looks_anew_at_an_idle_incarnation_whose_worker_names_another_address(
    state_machine,
):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    state_machine.ledger.assign_agents([AgentAssignment(WorkerLife("w1", 1), "c0.disk/1")], 6)
    send_as_other_writer(leader, clock, 25, 2, "address")
    assert entry(state_machine).record.fencing_token == 7
    send_as_other_writer(leader, clock, 10, 27, "address")
    record = entry(state_machine).record
    # Under a new token a new session polls at once.
    assert (record.agent_id, record.fencing_token) == ("c0.disk/1", 8)
    assert (record.address, entry(state_machine).has_ended) == ("10.0.0.1:80", False)


# Guards against a worker that another writer keeps out by its own ignored heartbeats.
def test_ignored_writers_are_counted_apart(state_machine):
    clock = FakeClock()
    _, leader = working_host(state_machine, clock)
    for second in range(40):
        leader.heartbeat(of_other_writer("address", 2**50 + second))
        send_as_other_writer(leader, clock, 1, 2 + second, "service_name")
    assert entry(state_machine).record.service_name == OTHER_WRITER["service_name"]
    assert entry(state_machine).record.address == "10.0.0.1:80"


# Guards against an acknowledged heartbeat that the ledger did not take: two writers name a new
# incarnation at the same time.
def test_a_heartbeat_that_the_ledger_did_not_take_leaves_no_trace(state_machine):
    replica, leader = host(state_machine)
    propose = replica.propose

    def propose_after_another(payload):
        replica.propose = propose
        host(state_machine)[1].heartbeat(heartbeat(1))
        return propose(payload)

    replica.propose = propose_after_another
    leader.heartbeat(of_other_writer("address", 2**50))
    assert entry(state_machine).record.address == "10.0.0.1:80"
    leader.heartbeat(heartbeat(2, draining=True))
    assert entry(state_machine).record.draining


def left(state_machine):
    """Return the starts of the incarnations that count as about to exit."""
    workers = state_machine.ledger.worker_by_incarnation
    return [key[1] for key, worker in sorted(workers.items()) if worker.record.leaving]


@pytest.fixture(params=[False, True], ids=["", "new leader and snapshot"])
def leader_after(request, state_machine):
    """Return the leader to send a leave to: the one that heard the heartbeats, or another."""

    def choose(leader):
        if not request.param:
            return leader
        state_machine.restore(state_machine.snapshot())
        return host(state_machine)[1]

    return choose


# Issue 3: a worker that left kept its tasks for a lease.
@pytest.mark.parametrize("crashed_before", [False, True])
def test_a_leave_is_taken_for_the_incarnation_that_drains(
    state_machine, leader_after, crashed_before
):
    replica, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    if crashed_before:
        # A worker that crashes sends no leave.
        leader.heartbeat(heartbeat(1, born_ms=2))
        end(state_machine, 1)
    born_ms = 2 if crashed_before else 1
    leader.heartbeat(heartbeat(2, draining=True, born_ms=born_ms))
    leader = leader_after(leader)
    leader.leave("w1")
    assert left(state_machine) == [born_ms]
    assert not entry(state_machine, born_ms).has_ended
    assert entry(state_machine, born_ms).record.draining
    commits = replica.commits
    leader.leave("w1")
    leader.leave("w2")
    assert replica.commits == commits and left(state_machine) == [born_ms]


# Guards against an incarnation that ends at its first unanswered call: the leave was of another.
def test_a_leave_is_not_taken_for_an_incarnation_that_has_not_drained(state_machine, leader_after):
    replica, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    leader = leader_after(leader)
    leader.leave("w1")
    assert left(state_machine) == [] and entry(state_machine).is_schedulable


@pytest.mark.parametrize("other_incarnation", ["is ready", "drains", "has drained and ended"])
@pytest.mark.parametrize("born_ms", [1, 2], ids=["earlier", "later"])
def test_a_leave_that_may_be_of_another_incarnation_is_taken_for_none(
    state_machine, leader_after, other_incarnation, born_ms
):
    """Guards against TWICE: the later incarnation drains, and the other's leave comes late."""
    other = 3 - born_ms
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1, born_ms=other))
    leader.heartbeat(heartbeat(2, born_ms=other, draining=other_incarnation != "is ready"))
    if other_incarnation == "has drained and ended":
        end(state_machine, other)
    state_machine.ledger.upsert_worker(heartbeat(1, born_ms=born_ms).record)
    leader.heartbeat(heartbeat(2, born_ms=born_ms, draining=True))
    leader = leader_after(leader)
    leader.leave("w1")
    assert left(state_machine) == []
    # It drains, so it gets no runs, and its lease is waited out as for any silent worker.
    assert entry(state_machine, born_ms).record.draining
    assert not entry(state_machine, born_ms).has_ended


# The leave of an earlier incarnation was taken, and may come again after a lost answer.
def test_a_leave_that_comes_again_is_not_taken_for_a_later_incarnation(state_machine, leader_after):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1, draining=True))
    leader.leave("w1")
    end(state_machine, 1)
    leader.heartbeat(heartbeat(1, born_ms=2))
    leader = leader_after(leader)
    leader.leave("w1")
    assert entry(state_machine, 2).is_schedulable
    leader.heartbeat(heartbeat(2, born_ms=2, draining=True))
    leader.leave("w1")
    assert left(state_machine) == [1]


class SteppingClock(FakeClock):
    """A clock whose wall time a test steps."""

    offset_ms = 0

    def wall_ms(self):
        return super().wall_ms() + self.offset_ms


# Guards against a start on a worker that drains: the wall clock of the leader stepped back by days,
# and all heartbeats of its workers were refused.
def test_a_known_incarnation_is_heard_after_a_step_of_the_leaders_clock(state_machine):
    clock = SteppingClock()
    _, leader = host(state_machine, clock=clock)
    born_ms = clock.wall_ms()
    leader.heartbeat(heartbeat(1, born_ms=born_ms))
    clock.offset_ms = -2 * MAX_FUTURE_MS
    leader.heartbeat(heartbeat(2, born_ms=born_ms, draining=True))
    assert entry(state_machine, born_ms).record.draining
    with pytest.raises(ImplausibleHeartbeat):
        leader.heartbeat(heartbeat(1, born_ms=born_ms + 1))


# Guards against LIMIT: calls to an incarnation without a start time reach any of its id, so one
# worker would get the runs of two.  The heartbeats of an id tell its start always or never.
@pytest.mark.parametrize("has_ended", [False, True])
def test_heartbeats_without_a_start_bring_no_incarnation_beside_those_that_have_one(
    state_machine, logged, has_ended
):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    leader.heartbeat(heartbeat(1))
    if has_ended:
        end(state_machine, 1)
    send_for(leader, clock, 60, 1, born_ms=0)
    assert state_machine.ledger.worker_by_incarnation.keys() == {("w1", 1)}
    assert len(ignored(logged)) == 1


def test_a_worker_that_never_tells_its_start_is_used(state_machine):
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1, born_ms=0))
    leader.heartbeat(heartbeat(2, born_ms=0, draining=True))
    assert entry(state_machine, 0).record.draining


# The wall clock of a worker's host stepped back before it started again.  Its next
# incarnation counts as a late heartbeat until the later one is found to have ended and 30 s are
# over; nothing runs twice.
def test_a_next_incarnation_with_an_earlier_start_is_believed_after_the_other_has_ended(
    state_machine,
):
    clock = FakeClock()
    _, leader = host(state_machine, clock=clock)
    ledger = state_machine.ledger
    ledger.put_manifest(manifest())
    leader.heartbeat(heartbeat(1, born_ms=5))
    accept(ledger, step())
    assert record_intent(ledger, f"{JOB}.0.0.0", 1, ("w1", 5))
    send_for(leader, clock, 60, 1, born_ms=4)
    assert ledger.worker_by_incarnation.keys() == {("w1", 5)}
    assert ledger.find_task(f"{JOB}.0.0.0").incarnation_by_run == {1: ("w1", 5)}
    end(state_machine, 5)
    send_for(leader, clock, 25, 61, born_ms=4)
    assert ledger.worker_by_incarnation.keys() == {("w1", 5)}
    send_for(leader, clock, 10, 86, born_ms=4)
    assert entry(state_machine, 4).is_schedulable
    # From then on it is heard at once.
    leader.heartbeat(heartbeat(100, born_ms=4, draining=True))
    assert entry(state_machine, 4).record.draining


def announced(sequence, draining=False, **fields):
    """Return a heartbeat with some fields of its record replaced."""
    sent = heartbeat(sequence, draining)
    for name, value in fields.items():
        setattr(sent.record, name, value)
    return sent


ODD_RECORDS = pytest.mark.parametrize(
    "odd",
    [{"labels": [], "rack": ""}, {"failure_domain": "z9"}, {"address": "10.9.9.9:80"}],
    ids=["labels", "domain", "address"],
)


# Guards against DRAIN: a worker's own heartbeat was acknowledged and not recorded, since the first
# record of its incarnation was another writer's.
@ODD_RECORDS
def test_a_draining_heartbeat_that_contradicts_the_record_keeps_starts_away(state_machine, odd):
    state_machine.ledger.put_manifest(manifest())
    _, leader = host(state_machine)
    leader.heartbeat(announced(1, **odd))
    leader.heartbeat(heartbeat(2))
    assert entry(state_machine).is_schedulable
    leader.heartbeat(heartbeat(3, draining=True))
    assert not entry(state_machine).is_schedulable
    record = entry(state_machine).record
    assert all(getattr(record, name) == value for name, value in odd.items())


@ODD_RECORDS
def test_a_worker_that_contradicts_its_record_can_leave(state_machine, odd):
    state_machine.ledger.put_manifest(manifest())
    _, leader = host(state_machine)
    leader.heartbeat(announced(1, **odd))
    leader.heartbeat(heartbeat(2, draining=True))
    leader.leave("w1")
    assert entry(state_machine).record.leaving


# Guards against a worker that another writer keeps out of use by one heartbeat.
@ODD_RECORDS
def test_a_worker_is_used_again_after_another_writer_says_that_it_drains(state_machine, odd):
    state_machine.ledger.put_manifest(manifest())
    _, leader = host(state_machine)
    leader.heartbeat(heartbeat(1))
    leader.heartbeat(announced(2, draining=True, **odd))
    assert not entry(state_machine).is_schedulable
    leader.heartbeat(heartbeat(2))
    assert entry(state_machine).is_schedulable


# Guards against a commit for each heartbeat of an incarnation that has ended for good.
def test_heartbeats_of_an_incarnation_that_has_left_and_ended_change_nothing(state_machine, logged):
    replica, leader = host(state_machine)
    leader.heartbeat(heartbeat(1, draining=True))
    leader.leave("w1")
    end(state_machine, 1)
    commits = replica.commits
    for sequence in range(2, 8):
        leader.heartbeat(heartbeat(sequence))
    assert replica.commits == commits
    assert entry(state_machine).has_ended
    (line,) = ignored(logged)
    assert line["why"] == "this life has left and ended"


LONG_RUNNING = JobSpec("work", [step(6, lasting=True)], 0, 0, 1000)


def submission(job_id=JOB, spec=LONG_RUNNING):
    return JobCall(JobVerb.SUBMIT, HOST, f"/quotes/{job_id}", spec, "trace")


def full_host(state_machine):
    """A leader without room for any job, and its replica."""
    state_machine.ledger.put_manifest(manifest())
    replica, service = host(state_machine)
    service.occupancy_without_room = lambda queue, spec: Occupancy(4_000, 4_000, 2_000.0)
    return replica, service


def test_a_job_without_room_is_refused_at_once_and_never_runs(state_machine, logged):
    replica, service = full_host(state_machine)
    answer = service.job_call(submission())
    assert (answer.kind, answer.retry_after_ms) == (JobAnswerKind.REFUSED, NO_ROOM_RETRY_AFTER_MS)
    assert not replica.commits
    assert not state_machine.ledger.job_by_id
    ((name, values),) = logged
    assert name == "job:refused"
    assert (values["long_running"], values["kept"], values["total"]) == (4_000, 2_000, 4_000)


def test_a_refused_job_is_accepted_once_there_is_room(state_machine):
    _, service = full_host(state_machine)
    service.job_call(submission())
    service.occupancy_without_room = lambda queue, spec: None
    assert service.job_call(submission()).kind == JobAnswerKind.ACCEPTED


# Guards against a "not run" that is not true: the answer to the first attempt was lost.
def test_a_resend_of_an_accepted_job_is_accepted_without_room(state_machine):
    _, service = full_host(state_machine)
    accept(state_machine.ledger, step(lasting=True))
    assert service.job_call(submission()).kind == JobAnswerKind.ACCEPTED


# Guards against the same: an earlier leader accepted it, and this one had not applied that.
def test_a_job_that_turns_out_to_be_accepted_is_not_refused(state_machine):
    replica, service = full_host(state_machine)
    replica.on_confirm = lambda: accept(state_machine.ledger, step(lasting=True))
    assert service.job_call(submission()).kind == JobAnswerKind.ACCEPTED


# Guards against the same: the acceptance may still be committed.
def test_a_job_of_which_the_outcome_is_unknown_is_not_refused(state_machine):
    replica, service = full_host(state_machine)
    state_without_room, propose = service.occupancy_without_room, replica.propose
    service.occupancy_without_room = lambda queue, spec: None

    def lose_outcome(payload):
        raise OutcomeUnknown()

    replica.propose = lose_outcome
    with pytest.raises(ttypes.Unavailable):
        service.job_call(submission())
    service.occupancy_without_room, replica.propose = state_without_room, propose
    assert service.job_call(submission()).kind == JobAnswerKind.ACCEPTED
    other = submission("00000000000000a2")
    assert service.job_call(other).kind == JobAnswerKind.REFUSED


# Guards against a refusal by a host that has been replaced as leader without knowing it.
def test_a_job_is_refused_by_a_confirmed_leader_only(state_machine):
    replica, service = full_host(state_machine)

    def depose():
        raise NotLeading(None)

    replica.on_confirm = depose
    with pytest.raises(ttypes.NotLeader):
        service.job_call(submission())


# Guards against a success on a dropped queue: the job had been accepted before the drop, and its
# resend came after it (rule CONFIG, issue 52).
def test_a_resend_of_an_accepted_job_to_a_dropped_queue_finds_no_queue(state_machine):
    state_machine.ledger.put_manifest(manifest())
    _, service = host(state_machine)
    assert service.job_call(submission()).kind == JobAnswerKind.ACCEPTED
    service.put_manifest(Manifest(2, [], [ServiceSpec("svc", False, False)], "{}"))
    assert service.job_call(submission()).kind == JobAnswerKind.NO_QUEUE
    assert list(state_machine.ledger.job_by_id) == [JOB]


def cancel_of(job_id=JOB):
    return JobCall(JobVerb.CANCEL, HOST, f"/quotes/{job_id}", trace_id="trace")


def read_of(job_id=JOB):
    return JobCall(JobVerb.READ, HOST, f"/quotes/{job_id}", trace_id="trace")


# Guards against a task that runs for good though its cancel was acknowledged, whoever leads when
# its hand-in arrives (rule UNASKED, issue 64).
@pytest.mark.parametrize("is_same_leader", [True, False])
def test_a_hand_in_that_its_cancel_has_overtaken_is_refused(state_machine, logged, is_same_leader):
    _, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    assert leader.job_call(cancel_of()).kind == JobAnswerKind.GONE
    if not is_same_leader:
        state_machine.restore(state_machine.snapshot())
        _, leader = host(state_machine)
    for _ in range(2):
        answer = leader.job_call(submission())
        assert answer.kind == JobAnswerKind.CANCELLED
        assert answer.reason.startswith("not run")
    assert leader.job_call(read_of()).kind == JobAnswerKind.GONE
    assert leader.job_call(cancel_of()).kind == JobAnswerKind.GONE
    assert state_machine.ledger.job_by_id == {}
    assert "job:cancelled_before" in [name for name, _ in logged]


# Guards against the same where the hand-in is already proposed when the cancel comes.
def test_a_hand_in_that_is_committed_after_its_cancel_is_refused(state_machine):
    replica, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    propose = replica.propose

    def cancel_first(payload):
        replica.propose = propose
        assert leader.job_call(cancel_of()).kind == JobAnswerKind.GONE
        return propose(payload)

    replica.propose = cancel_first
    assert leader.job_call(submission()).kind == JobAnswerKind.CANCELLED
    assert state_machine.ledger.job_by_id == {}


# Guards against an acknowledged cancel that was not kept.
def test_a_cancel_that_cannot_be_kept_is_not_acknowledged(state_machine, monkeypatch):
    monkeypatch.setattr(early_cancels, "MAX_EARLY_CANCELS", 0)
    _, leader = host(state_machine)
    state_machine.ledger.put_manifest(manifest())
    answer = leader.job_call(cancel_of())
    assert answer.kind == JobAnswerKind.REFUSED and answer.retry_after_ms > 0
    assert leader.job_call(submission()).kind == JobAnswerKind.ACCEPTED
    assert leader.job_call(cancel_of()).state == "cancelled"


class WallClock(FakeClock):
    """A clock whose wall-clock time a test sets as well."""

    ms = 1_700_000_000_000

    def wall_ms(self):
        return self.ms


class QueueWithOneJob:
    """A leader whose job consists of two tasks."""

    def __init__(self):
        self.clock = WallClock()
        self.state_machine = TaskStateMachine()
        self.state_machine.ledger.put_manifest(manifest())
        self.state_machine.ledger.upsert_worker(worker())
        accept(self.state_machine.ledger, step(2))
        self.change_leader()

    def change_leader(self):
        _, self.leader = host(self.state_machine, clock=self.clock)

    def commit(self, **body):
        command = TaskCommand(self.clock.wall_ms(), TaskCommandBody(**body))
        return self.state_machine.apply(codec.encode(command))

    def plan_start(self, index=0, run=1):
        intent = RunIntent(f"{JOB}.0.0.{index}", run, WorkerLife("w1", 1))
        assert self.commit(intend_runs=IntendRuns([intent]))

    def settle(self, outcome, index=0, run=1):
        end = RunEnd(f"{JOB}.0.0.{index}", run, outcome, "", 0)
        self.commit(settle_runs=SettleRuns(WorkerLife("w1", 1), 0, [end]))

    def count(self):
        answer = self.leader.job_call(JobCall(JobVerb.COUNT, HOST, "/quotes/", trace_id="trace"))
        assert answer.kind == JobAnswerKind.COUNTED
        return answer.waiting


# Guards against MIXED: a job that waits was not counted while its starts were on their way to
# workers that refuse them all.
@pytest.mark.parametrize("has_new_leader", [False, True])
def test_a_job_whose_starts_are_refused_again_and_again_is_counted_as_waiting(has_new_leader):
    site = QueueWithOneJob()
    assert site.count() == 1
    for run in range(1, 30):
        for index in (0, 1):
            site.plan_start(index, run)
        if has_new_leader:
            site.change_leader()
        for _ in range(3):
            assert site.count() == 1
            site.clock.ms += 100
        for index in (0, 1):
            site.settle(RunOutcome.NEVER_RAN, index, run)
        assert site.count() == 1


# Guards against a count that is older than the 2 s that the protocol allows.
@pytest.mark.parametrize("has_new_leader", [False, True])
def test_a_job_that_has_begun_is_not_counted_for_longer_than_a_count_may_be_old(has_new_leader):
    site = QueueWithOneJob()
    site.plan_start()
    if has_new_leader:
        site.change_leader()
    site.clock.ms += MAX_WAITING_AGE_MS - 1
    site.plan_start(index=1)
    assert site.count() == 1
    site.clock.ms += 1
    assert site.count() == 0
    # The newer start does not make the job wait again.
    site.settle(RunOutcome.NEVER_RAN, index=1)
    site.plan_start(index=1, run=2)
    assert site.count() == 0


@pytest.mark.parametrize("outcome", [o for o in RunOutcome if o is not RunOutcome.NEVER_RAN])
def test_a_job_of_which_a_run_has_ended_is_not_counted_at_its_next_start(outcome):
    site = QueueWithOneJob()
    site.plan_start()
    site.settle(outcome)
    assert site.count() == 0
    site.plan_start(index=1)
    assert site.count() == 0


# Guards against a job that counts as waiting long after it has begun, on a host whose clock is
# behind that of the leader before it, or whose own clock has stepped back.
@pytest.mark.parametrize("has_command", [False, True])
@pytest.mark.parametrize("step_ms", [-3_600_000, -1, 3_600_000])
def test_a_start_that_was_planned_on_another_clock_counts_as_begun(step_ms, has_command):
    site = QueueWithOneJob()
    site.plan_start()
    site.clock.ms += step_ms
    if has_command:
        site.settle(RunOutcome.DONE, index=1, run=7)
        # The time of a command counts, whether or not the clock is right again.
        site.clock.ms -= step_ms
    assert site.count() == 0


def test_a_start_in_a_snapshot_counts_as_begun():
    site = QueueWithOneJob()
    site.plan_start()
    site.state_machine.restore(site.state_machine.snapshot())
    assert site.count() == 0
