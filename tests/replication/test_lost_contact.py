"""Lines on lost leaderships and missed leaders: what they say of the cause."""

import time

import pytest

from savoryshelf.replication import delays, service
from savoryshelf.replication.delays import (
    KEPT_SECONDS,
    LOG_INTERVAL_SECONDS,
    LOGGED_STANDSTILL_SECONDS,
    Delay,
    RecentDelays,
    StandstillWatch,
)
from savoryshelf.wire.generated.ttypes import AppendReply, RaftMessage, RaftPayload

from ..virtual_time import virtual_time
from .group import TIMING
from .service_group import running_services

STALL_SECONDS = 2.5 * TIMING.election_timeout


@pytest.fixture(name="lines")
def logged_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(service, "log_event", lambda event, **fields: lines.append((event, fields)))
    return lines


def fields_of(lines, event):
    found = [fields for name, fields in lines if name == event]
    assert len(found) == 1, lines
    return found[0]


# Guards against a lost leadership whose cause no line tells: a slow disk looked like a lost link.
def test_a_leader_whose_disk_stalls_logs_the_length_of_its_sync(lines):
    with running_services() as group:
        lines.clear()
        leader = group.leader_name()
        group.disk_by_name[leader].sync_seconds = STALL_SECONDS
        group.propose(leader)
        group.clock.sleep(STALL_SECONDS + 1.0)
    ended = fields_of(lines, "replica:leadership_ended")
    assert ended["last_sync_s"] == ended["longest_sync_s"] == pytest.approx(STALL_SECONDS, abs=0.01)
    assert ended["last_sync_s_ago"] < 0.1
    assert ended["stood_still_s"] == 0.0


def test_a_leader_that_is_cut_off_logs_the_age_of_each_contact_and_no_delay(lines):
    with running_services() as group:
        lines.clear()
        leader = group.leader_name()
        group.cut_off.add(leader)
        group.clock.sleep(3.0)
    ended = fields_of(lines, "replica:leadership_ended")
    assert ended["why"] == "no majority has replied in time"
    assert ended["contact_s"].keys() == ended["reply_s"].keys()
    assert sorted([leader, *ended["contact_s"]]) == ["c0", "c1", "c2"]
    assert all(TIMING.election_timeout <= age < 1.3 for age in ended["contact_s"].values())
    assert ended["longest_sync_s"] == ended["stood_still_s"] == 0.0


def test_a_leader_that_one_voter_answers_names_the_other_when_it_is_lost_too(lines):
    with running_services() as group:
        lines.clear()
        leader = group.leader_name()
        first, second = sorted({"c0", "c1", "c2"} - {leader})
        group.cut_off.add(first)
        group.clock.sleep(3.0)
        group.cut_off.add(second)
        group.clock.sleep(1.5)
    ended = fields_of(lines, "replica:leadership_ended")
    assert ended["contact_s"][first] > 4.0
    assert TIMING.election_timeout <= ended["contact_s"][second] < 1.3


def test_a_process_that_stood_still_logs_for_how_long(lines):
    with running_services() as group:
        lines.clear()
        group.stand_still(STALL_SECONDS)
        group.clock.sleep(3.0)
    ended = fields_of(lines, "replica:leadership_ended")
    campaigns = [fields for name, fields in lines if name == "replica:campaigns"]
    for each in [ended, *campaigns[:1]]:
        assert each["stood_still_s"] == pytest.approx(STALL_SECONDS, abs=0.1)
        assert each["stood_still_processor_s"] < 1.0
        assert each["stood_still_s_ago"] < 0.5


def test_a_leader_that_another_one_replaces_logs_the_later_term(lines):
    with running_services() as group:
        lines.clear()
        leader = group.leader_name()
        core = group.service_by_name[leader].core
        term = core.term
        core._become_follower(term + 1, None)
        group.clock.sleep(0.1)
    ended = fields_of(lines, "replica:leadership_ended")
    assert ended["term"] == term
    assert ended["why"] == f"term {term + 1} has begun"


def test_a_leader_that_hears_of_a_later_term_logs_from_whom(lines):
    with running_services() as group:
        lines.clear()
        name = group.leader_name()
        leader, other = group.service_by_name[name].core, sorted({"c0", "c1", "c2"} - {name})[0]
        sender = group.service_by_name[other].core.replica_id
        payload = RaftPayload(append_reply=AppendReply(False, 0, 0))
        group.deliver(name, RaftMessage(sender, leader.replica_id, leader.term + 1, payload, 0))
        group.clock.sleep(0.1)
    assert fields_of(lines, "replica:leadership_ended")["heard"] == f"append_reply of {sender}"


def test_a_voter_that_misses_its_leader_logs_only_the_first_of_its_campaigns(lines):
    with running_services() as group:
        lines.clear()
        cut_off = next(name for name in group.service_by_name if name != group.leader_name())
        group.cut_off.add(cut_off)
        group.clock.sleep(10.0)
    assert fields_of(lines, "replica:campaigns")["leader_contact_s"] >= TIMING.election_timeout


def test_the_processor_time_of_a_standstill_tells_a_long_pass_from_a_suspension(monkeypatch):
    used = [0.0]
    monkeypatch.setattr(delays.time, "thread_time", lambda: used[0])
    for processor_seconds in (0.0, 0.7):
        with virtual_time() as clock:
            watch = StandstillWatch(clock)
            clock.sleep(0.7)
            used[0] += processor_seconds
            standstill = watch.longest(clock.monotonic())
        assert standstill.seconds == pytest.approx(0.65, abs=0.01)
        assert standstill.processor_seconds == pytest.approx(processor_seconds)
    assert delays.time is time


def test_only_delays_of_the_last_seconds_count():
    recent = RecentDelays()
    recent.record(Delay(10.0, 3.0))
    recent.record(Delay(12.0, 1.0))
    recent.record(Delay(13.0, 2.0))
    assert recent.longest(10.0 + KEPT_SECONDS).seconds == 3.0
    assert recent.longest(10.1 + KEPT_SECONDS).seconds == 2.0
    assert recent.longest(14.0 + KEPT_SECONDS).seconds == 0.0


# Guards against a standstill of which no line tells what the process was doing.
def test_a_process_that_stood_still_names_what_kept_it_and_writes_few_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(delays, "log_event", lambda event, **fields: lines.append((event, fields)))
    with running_services(count=1) as group:
        group.clock.sleep(LOG_INTERVAL_SECONDS)
        assert lines == []
        group.apply_seconds = STALL_SECONDS
        group.propose("c0")
        group.clock.sleep(1.0)
        stood_still = fields_of(lines, "process:stood_still")
        assert stood_still["seconds"] == pytest.approx(STALL_SECONDS, abs=0.1)
        (activity, seconds), *_ = stood_still["activities"].items()
        assert activity.startswith("ReplicaService._run")
        assert seconds == pytest.approx(STALL_SECONDS, abs=0.1)
        group.apply_seconds = 2 * LOGGED_STANDSTILL_SECONDS
        began_at = group.clock.monotonic()
        while group.clock.monotonic() < began_at + 4 * LOG_INTERVAL_SECONDS:
            group.propose("c0")
            group.clock.sleep(0.1)
        assert 4 <= len(lines) <= 6


def test_a_leader_that_ends_names_what_kept_it(lines):
    with running_services() as group:
        lines.clear()
        group.apply_seconds = STALL_SECONDS
        group.propose(group.leader_name())
        group.clock.sleep(3.0)
    ended = fields_of(lines, "replica:leadership_ended")
    assert next(iter(ended["stood_still_in"])).startswith("ReplicaService._run")
