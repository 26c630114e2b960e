"""Lines on a replica that has no leader, or whose thread is stuck."""

import eventlet
import orjson
import pytest
from eventlet.event import Event

from savoryshelf.observability import unforeseen
from savoryshelf.replication import service as service_module
from savoryshelf.replication import watch as watch_module
from savoryshelf.replication.watch import (
    LOG_INTERVAL_SECONDS,
    MAX_HUNG_SECONDS,
    STUCK_SECONDS,
    VOTER_SILENT_TIMEOUTS,
    ReplicaStuck,
)
from savoryshelf.wire.generated.ttypes import Member, Membership

from .group import TIMING
from .service_group import running_services

MAX_LINE_BYTES = 4096
VOTER_SILENT_SECONDS = VOTER_SILENT_TIMEOUTS * TIMING.election_timeout


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(
        watch_module, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    return lines


def named(lines, event):
    return [fields for name, fields in lines if name == event]


def follower_and_leader(group):
    leader = group.leader_name()
    first, second = sorted(set(group.service_by_name) - {leader})
    return first, second, leader


def replica_id(group, name):
    return group.service_by_name[name].core.replica_id


# Guards against lines of a group that is well, which would push others out of a record.
def test_a_group_with_a_leader_and_one_that_elects_another_log_nothing(lines):
    with running_services() as group:
        group.clock.sleep(5.0)
        group.service_by_name.pop(group.leader_name()).stop()
        group.wait_for_leader()
        group.clock.sleep(5.0)
    assert lines == []


# Guards against an outage of which nobody can tell why a voter has no leader.
def test_a_voter_without_a_leader_tells_what_it_knows(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        group.cut_off.add(first)
        core = group.service_by_name[first].core
        group.clock.sleep(13.0)
        own = named(lines, "replica:without_leader")
        assert len(own) == 3, "after 2 s, and then every 5 s"
        assert 2.0 < own[0]["seconds"] < 2.7
        assert own[1]["seconds"] == pytest.approx(own[0]["seconds"] + LOG_INTERVAL_SECONDS, abs=0.6)
        last = own[-1]
        assert last["membership"] == "voter"
        assert sorted(last["voters"]) == sorted(
            replica_id(group, n) for n in (first, second, leader)
        )
        assert last["learners"] == []
        assert (last["term"], last["voted_for"]) == (core.term, core.voted_for)
        assert (last["last_index"], last["last_term"]) == (core.log.last_index, core.log.last_term)
        assert (last["commit_index"], last["applied_index"]) == (
            core.commit_index,
            core.applied_index,
        )
        assert last["campaigns"] >= 3
        assert last["campaign_before"]["unanswered"] == sorted([second, leader])
        assert last["campaign"]["vote"] == "pre-vote"
        heard = {
            name: last["peers"][replica_id(group, name)]["heard_s"] for name in (second, leader)
        }
        assert heard[leader] == pytest.approx(last["seconds"], abs=0.1)
        assert heard[second] >= heard[leader], "it had sent nothing since the election"
        assert last["turn_s"] < 0.1
        assert "write_s" not in last
        assert len(orjson.dumps(last)) < MAX_LINE_BYTES


def test_the_return_of_a_leader_is_logged(lines):
    with running_services() as group:
        first, _, _ = follower_and_leader(group)
        group.cut_off.add(first)
        group.clock.sleep(4.0)
        group.cut_off.clear()
        group.clock.sleep(3.0)
        leader = group.leader_name()
        leader_id = replica_id(group, leader)
    (again,) = named(lines, "replica:has_leader_again")
    assert again["leader"] == leader_id
    assert 4.0 < again["without_s"] < 7.0


# Guards against voters that hear each other and yield to each other without a line that says so.
def test_the_latest_campaign_and_whom_it_yielded_to_are_told(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        group.service_by_name.pop(leader).stop()
        group.cut_links |= {(first, second), (second, first)}
        group.clock.sleep(2.5)
        core = group.service_by_name[second].core
        core.election.yielded_to = replica_id(group, first)
        core.role = watch_module.Role.FOLLOWER
        lines.clear()
        group.service_by_name[second]._watch._without_leader = None
        group.service_by_name[second]._watch._check(group.clock.monotonic())
    (line,) = named(lines, "replica:without_leader")
    assert line["campaign"]["yielded_to"] == first
    assert line["campaign"]["state"] == "yielded"


# Guards against a learner that waits for good and says nothing of what it is.
def test_a_learner_and_a_host_without_a_log_say_what_they_are(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        group.cut_off |= {first, second}
        learner, stranger = group.service_by_name[first].core, group.service_by_name[second].core
        members = [
            Member(each.replica_id, each.address, "", each.replica_id != learner.replica_id)
            for each in learner.log.membership.members
        ]
        learner.log._memberships = [(0, Membership(members))]
        stranger.log._memberships = [(0, Membership([]))]
        group.clock.sleep(5.0)
        kinds = {fields["membership"]: fields for fields in named(lines, "replica:without_leader")}
        assert set(kinds) == {"learner", "none", "voter"}
        assert kinds["voter"]["led_s"] < 3.0, "the leader that has lost its majority"
        assert kinds["learner"]["led_s"] is None
        assert kinds["learner"]["learners"] == [learner.replica_id]
        assert len(kinds["learner"]["voters"]) == 2
        assert kinds["none"]["voters"] == []
        # Members are unknown to it, and what they sent is told all the same.
        assert replica_id(group, leader) in kinds["none"]["peers"]


def stuck_disk(group, name):
    """Let no write of this host end from now on, and return what ends them."""
    release = Event()
    disk = group.disk_by_name[name]
    append = disk.append

    def wait_and_append(*arguments):
        release.wait()
        append(*arguments)

    disk.append = wait_and_append
    return release


# Guards against a replica that waits for its disk for good while its process answers calls.
def test_a_thread_that_waits_for_its_disk_is_shown_with_its_stack(lines):
    with running_services() as group:
        first, _, leader = follower_and_leader(group)
        release = stuck_disk(group, first)
        began_at = group.clock.monotonic()
        group.disk_by_name[first].write_in_progress_seconds = lambda: (
            group.clock.monotonic() - began_at
        )
        group.propose(leader)
        group.clock.sleep(14.0)
        stuck = named(lines, "replica:stuck")
        assert len(stuck) == 3
        for each in stuck:
            assert each["write_s"] == pytest.approx(each["seconds"], abs=0.2)
            assert each["disk_write_s"] == pytest.approx(each["seconds"], abs=0.2)
            assert not each["has_ended"]
            functions = [name.rpartition(":")[0] for name in each["stack"]]
            assert any(name.endswith("ReplicaStorage.write") for name in functions)
            assert functions[-1].endswith("main") or len(functions) == 16
            assert not any("/" in name for name in each["stack"])
            assert len(orjson.dumps(each)) < MAX_LINE_BYTES
        (without, *_) = named(lines, "replica:without_leader")
        assert without["write_s"] > 1.0
        assert without["turn_s"] > 1.0
        assert without["mailbox"] > 0
        heard = without["peers"][replica_id(group, leader)]["heard_s"]
        assert heard < 0.5, "the leader's messages arrive, and nothing reads them"
        release.send(None)
        group.clock.sleep(2.0)
        (goes_on,) = named(lines, "replica:goes_on")
        assert goes_on["stuck_s"] == pytest.approx(14.0, abs=0.7)


def test_a_disk_that_cannot_tell_leaves_its_time_out_and_may_take_long(lines):
    with running_services() as group:
        first, _, leader = follower_and_leader(group)
        release = stuck_disk(group, first)
        group.propose(leader)
        group.clock.sleep(14.0)
        for stuck in named(lines, "replica:stuck"):
            assert "disk_write_s" not in stuck
        assert not group.service_by_name[first].thread.dead
        release.send(None)


# Guards against a voter that never votes again and is taken to be there: the end of its write was
# not told, or its thread waits for something else that never comes.
@pytest.mark.parametrize("waits_for", ["the end of a write", "something else"])
def test_a_replica_that_is_stuck_and_not_at_its_disk_is_stopped(lines, monkeypatch, waits_for):
    with running_services() as group:
        first, _, leader = follower_and_leader(group)
        service = group.service_by_name[first]
        if waits_for == "the end of a write":
            stuck_disk(group, first)
            group.disk_by_name[first].write_in_progress_seconds = lambda: 0.0
        else:
            monkeypatch.setattr(service.core, "tick", lambda now: Event().wait())
        group.propose(leader)
        group.clock.sleep(STUCK_SECONDS + MAX_HUNG_SECONDS + 1.5)
        with pytest.raises(ReplicaStuck):
            service.wait()
    (stuck,) = named(lines, "replica:stuck")
    assert stuck["seconds"] < STUCK_SECONDS + 1.0
    (stopped,) = named(lines, "replica:stopped")
    assert stopped["seconds"] > STUCK_SECONDS + MAX_HUNG_SECONDS


# Guards against an end just as a slow disk is done, before its replica's thread has had a turn.
def test_a_replica_that_goes_on_after_a_long_write_is_not_stopped(lines):
    with running_services() as group:
        first, _, leader = follower_and_leader(group)
        release = stuck_disk(group, first)
        is_writing = True
        group.disk_by_name[first].write_in_progress_seconds = lambda: float(is_writing)
        group.propose(leader)
        group.clock.sleep(20.0)
        is_writing = False
        group.clock.sleep(MAX_HUNG_SECONDS - 1.0)
        release.send(None)
        group.clock.sleep(5.0)
        assert not group.service_by_name[first].thread.dead
    assert named(lines, "replica:stopped") == []


# Guards against an end of a replica that does one short write after another in a slow process:
# each has just ended when the watch looks.
def test_a_replica_that_is_at_one_write_after_another_is_not_stopped(lines):
    with running_services() as group:
        first, _, leader = follower_and_leader(group)
        service = group.service_by_name[first]
        release = stuck_disk(group, first)
        group.disk_by_name[first].write_in_progress_seconds = lambda: 0.0
        group.propose(leader)
        for _ in range(20):
            group.clock.sleep(0.7)
            service._write_began_at = group.clock.monotonic()
        assert not service.thread.dead
        release.send(None)
    assert named(lines, "replica:stopped") == []


# Guards against a line for each host after a standstill of the whole process.
def test_a_standstill_of_the_process_is_no_stuck_thread(lines):
    with running_services() as group:
        group.stand_still(3.0)
        group.clock.sleep(2.0)
    assert named(lines, "replica:stuck") == []


# Guards against a replica that ends for a fault of its watch.
def test_a_fault_of_the_watch_is_logged_once_and_ends_nothing(lines, monkeypatch):
    def fail(replica_id):
        raise RuntimeError("cannot tell")

    with running_services() as group:
        first, _, _ = follower_and_leader(group)
        service = group.service_by_name[first]
        monkeypatch.setattr(service, "sender_state", fail)
        group.cut_off.add(first)
        group.clock.sleep(8.0)
        group.cut_off.clear()
        group.clock.sleep(3.0)
        assert service.core.seconds_since_leader_contact(group.clock.monotonic()) < 1.0
        assert not service._watch_thread.dead
    (failed,) = named(lines, "replica:watch_failed")
    stack = failed.pop("stack")
    assert failed == {"error": "RuntimeError('cannot tell')"}
    assert ".fail:" in stack[0]
    assert "ReplicaWatch.check:" in stack[-1]


def test_the_senders_that_are_remembered_are_bounded(lines):
    with running_services() as group:
        service = group.service_by_name[group.leader_name()]
        for number in range(1000):
            service._watch.record_senders({f"host{number}.disk"})
        assert len(service._watch._heard_at_by_sender) == watch_module.MAX_SENDERS
        assert f"host{999}.disk" in service._watch._heard_at_by_sender


def silence_disk(group, voter, leader):
    release = stuck_disk(group, voter)
    group.propose(leader)
    return lambda: release.send(None)


def silence_replies(group, voter, leader):
    group.cut_links.add((voter, leader))
    return group.cut_links.clear


def silence_leader(group, voter, leader):
    group.cut_links.add((leader, voter))
    return group.cut_links.clear


# Guards against a voter that is deaf, or whose disk or link is, and that nobody misses until its
# vote is needed.
@pytest.mark.parametrize("silence", [silence_disk, silence_replies, silence_leader])
def test_a_leader_tells_once_of_a_voter_that_acknowledges_nothing(lines, monkeypatch, silence):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        state = {"connected": True, "queued": 3}
        monkeypatch.setattr(group.service_by_name[leader], "sender_state", lambda _: state)
        end_silence = silence(group, first, leader)
        group.clock.sleep(VOTER_SILENT_SECONDS - 0.5)
        assert named(lines, "replica:voter_silent") == []
        group.clock.sleep(20.0)
        (silent,) = named(lines, "replica:voter_silent")
        assert silent["voter"] == replica_id(group, first)
        assert silent["address"] == first
        assert VOTER_SILENT_SECONDS < silent["seconds"] < VOTER_SILENT_SECONDS + 0.7
        assert (silent["connected"], silent["queued"]) == (True, 3)
        if silence is silence_leader:
            assert silent["heard_s"] < 2.5, "it campaigns"
        else:
            assert silent["heard_s"] == pytest.approx(silent["seconds"], abs=0.1)
        assert named(lines, "replica:voter_back") == []
        end_silence()
        group.clock.sleep(3.0)
        assert group.leader_name() == leader
    (back,) = named(lines, "replica:voter_back")
    assert back["voter"] == replica_id(group, first)
    assert back["address"] == first
    assert 19.0 < back["silent_s"] < 26.0
    assert len(named(lines, "replica:voter_silent")) == 1


# Guards against a line that blames the voters for what the leader's own thread has not read.
@pytest.mark.parametrize("seconds", [3.0, VOTER_SILENT_SECONDS + 3.0])
def test_a_leader_whose_own_thread_stands_blames_no_voter(lines, seconds):
    with running_services() as group:
        leader = group.leader_name()
        release = stuck_disk(group, leader)
        group.propose(leader)
        group.clock.sleep(0.1)
        for service in group.service_by_name.values():
            # No other one is elected meanwhile.
            service.core._deadline += 2 * seconds
        group.clock.sleep(seconds)
        assert group.service_by_name[leader].is_leader
        release.send(None)
        group.clock.sleep(3.0)
    assert len(named(lines, "replica:stuck")) == 1 + (seconds > LOG_INTERVAL_SECONDS + 2.0)
    assert named(lines, "replica:voter_silent") == []


# Guards against a voter that is said to be back since a new term has begun to count its silence.
def test_a_new_term_tells_again_of_a_voter_that_is_still_silent(lines):
    with running_services() as group:
        first, second, leader = follower_and_leader(group)
        group.cut_off.add(first)
        group.clock.sleep(VOTER_SILENT_SECONDS + 1.0)
        assert len(named(lines, "replica:voter_silent")) == 1
        core = group.service_by_name[leader].core
        core._become_follower(core.term + 1, None)
        group.service_by_name[second].core._deadline += 5.0
        group.clock.sleep(4.0)
        assert group.leader_name() == leader
        assert len(named(lines, "replica:voter_silent")) == 1
        group.clock.sleep(4.0)
    assert len(named(lines, "replica:voter_silent")) == 2
    assert named(lines, "replica:voter_back") == []


# Guards against a replica that is not watched any more after one odd standstill: it would not be
# stopped when it is stuck.
def test_a_watch_goes_on_after_an_unforeseen_error(lines, monkeypatch):
    unforeseen_lines, failures = [], [RuntimeError("unforeseen")]
    monkeypatch.setattr(
        unforeseen, "log_event", lambda event, **fields: unforeseen_lines.append(fields)
    )

    def fail_once(delay):
        if failures:
            raise failures.pop()

    with running_services() as group:
        first, _, leader = follower_and_leader(group)
        service = group.service_by_name[first]
        monkeypatch.setattr(service._standstills, "_log_if_long", fail_once)
        stuck_disk(group, first)
        group.disk_by_name[first].write_in_progress_seconds = lambda: 0.0
        group.propose(leader)
        group.clock.sleep(STUCK_SECONDS + MAX_HUNG_SECONDS + 1.5)
        assert service.thread.dead
        with pytest.raises(ReplicaStuck):
            service.wait()
    assert not failures
    (line,) = unforeseen_lines
    assert (line["activity"], line["error"]) == (
        "watch for standstills",
        "RuntimeError('unforeseen')",
    )
    assert ".fail_once:" in line["stack"][0]


# Guards against a replica whose watch has ended for good, and that goes on unwatched.
def test_a_replica_whose_watch_has_ended_is_stopped(monkeypatch):
    service_lines = []
    monkeypatch.setattr(
        service_module, "log_event", lambda event, **fields: service_lines.append((event, fields))
    )

    def fail(_):
        raise RuntimeError("unforeseen")

    with running_services() as group:
        service = group.service_by_name[group.leader_name()]
        service_lines.clear()
        monkeypatch.setattr(service._standstills._clock, "sleep", fail)
        eventlet.sleep(0.2)
        monkeypatch.undo()
        assert service.thread.dead
        with pytest.raises(RuntimeError, match="unforeseen"):
            service.wait()
    stopped = [fields for event, fields in service_lines if event == "replica:stopped"]
    assert len(stopped) == len(group.service_by_name), "they share a clock"
    for each in stopped:
        assert each["why"] == "its watch has ended"
        assert each["error"] == "RuntimeError('unforeseen')"
        assert ".fail:" in each["stack"][0]


def add_learner(group, name):
    """Start a host with an empty disk that the leader adds; return its service."""
    added = group.add_host(name)
    member = Member(added.core.replica_id, name, "", False)
    leader = group.service_by_name[group.leader_name()]
    leader.change_membership(lambda core: core.add_learner(member))
    return added


# Guards against a host without a vote of which no line tells from whom it receives the log, and how
# much: whether a transfer goes on, stands still or was never begun could not be told afterwards.
def test_a_replica_that_is_no_voter_tells_what_it_receives(lines):
    with running_services() as group:
        leader = group.leader_name()
        leader_id = replica_id(group, leader)
        for _ in range(50):
            group.propose(leader)
        group.clock.sleep(1.0)
        added = group.add_host("d0")
        group.clock.sleep(3.0)
        before = named(lines, "replica:receives_log")
        assert 2 <= len(before) <= 4, "about one a second"
        assert {each["why"] for each in before} == {"no leader has sent anything"}
        assert {each["membership"] for each in before} == {"none"}
        lines.clear()
        member = Member(added.core.replica_id, "d0", "", False)
        group.service_by_name[leader].change_membership(lambda core: core.add_learner(member))
        group.clock.sleep(3.0)
        last = named(lines, "replica:receives_log")[-1]
        assert (last["membership"], last["leader"]) == ("learner", leader_id)
        assert last["entries"] == last["last_index"] == added.core.log.last_index
        assert last["last_term"] == added.core.log.last_term
        assert 1.5 < last["since_s"] < 3.5
        assert "why" not in last, "nothing is missing"
        group.propose(leader)
        group.clock.sleep(0.5)
        group.cut_links.add((leader, "d0"))
        group.clock.sleep(3.0)
        stalled = named(lines, "replica:receives_log")[-1]
        assert stalled["why"] == "no message from the leader"
        assert 1.5 < stalled["heard_s"] < 3.5
        assert 1.5 < stalled["progress_s"] < 4.0
        assert len(orjson.dumps(stalled)) < MAX_LINE_BYTES


def test_a_learner_that_lacks_what_its_entries_follow_says_so(lines, monkeypatch):
    with running_services() as group:
        leader = group.service_by_name[group.leader_name()]
        for _ in range(50):
            group.propose(group.leader_name())
        group.clock.sleep(1.0)
        deliver = group.deliver

        def lose_entries(name, message):
            request = message.payload.append_request
            if name != "d0" or not (request and request.entries):
                deliver(name, message)

        monkeypatch.setattr(group, "deliver", lose_entries)
        added = add_learner(group, "d0")
        group.clock.sleep(3.0)
        line = named(lines, "replica:receives_log")[-1]
        assert line["why"] == "what arrives follows entries that are missing"
        assert line["rejected"] > 0
        assert (line["entries"], line["last_index"]) == (0, added.core.log.last_index) == (0, 0)
        assert line["leader"] == leader.core.replica_id


def test_lines_on_what_is_received_are_bounded_and_end_with_the_vote(lines):
    with running_services() as group:
        added = add_learner(group, "d0")
        group.clock.sleep(60.0)
        assert len(named(lines, "replica:receives_log")) <= 11 + 50 / LOG_INTERVAL_SECONDS + 1
        lines.clear()
        leader = group.service_by_name[group.leader_name()]
        leader.change_membership(lambda core: core.promote(added.core.replica_id))
        group.clock.sleep(20.0)
        last = named(lines, "replica:receives_log")[-1]
        assert last["membership"] == "voter"
        assert len(named(lines, "replica:receives_log")) <= 2
