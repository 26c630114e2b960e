"""What a control host logs of its start, and of an activity that fails."""

import os
import time

import pytest

from savoryshelf.dispatch import host as module
from savoryshelf.dispatch.host import TaskControlHost, TaskControlSettings
from savoryshelf.dispatch.leader_term import DispatchSettings

from ..platform.test_whole_path import NETWORK
from ..virtual_time import own_hub
from .fakes import LEASE_MS

IP = f"{NETWORK}.210"
SYNC_SECONDS = 0.05


@pytest.fixture
def lines(monkeypatch):
    logged = {}
    monkeypatch.setattr(module, "log_event", lambda name, **fields: logged.setdefault(name, fields))
    return logged


def make_host(folder):
    settings = TaskControlSettings(
        ip=IP, peer_port=0, failure_domain="z1", seed_ips=[IP], is_first_start=True,
        data_folder=str(folder), cluster_key="key", dispatch=DispatchSettings(LEASE_MS),
    )  # fmt: skip
    return TaskControlHost(settings, None)


# Guards against a slow start of which the log does not tell whether it waited for the disk.
def test_the_time_of_a_start_is_logged_with_that_of_its_disk(tmp_path, monkeypatch, lines):
    syncs = []

    def slow_sync(descriptor):
        syncs.append(descriptor)
        time.sleep(SYNC_SECONDS)

    monkeypatch.setattr(os, "fsync", slow_sync)
    # The activities of the host end with their hub.
    with own_hub():
        host = make_host(tmp_path)
        host.start()
        host.replica.stop()
    started = lines["control:started"]
    assert syncs
    assert started["disk_s"] >= len(syncs) * SYNC_SECONDS
    assert started["seconds"] >= started["disk_s"]
    assert 0.0 <= started["processor_s"] <= started["seconds"]


# Guards against a host that ends by an error of which nobody can tell where it was raised.
def test_an_activity_that_fails_ends_the_host_and_tells_where(tmp_path, lines):
    host = make_host(tmp_path)
    stopped_by = []
    host.replica.stop = stopped_by.append

    def look_around():
        raise RuntimeError("unforeseen")

    host._run_activity(look_around)
    failed = lines["control:duty_failed"]
    assert (failed["duty"], failed["error"]) == ("look_around", "RuntimeError('unforeseen')")
    assert ".look_around:" in failed["stack"][0]
    assert [repr(each) for each in stopped_by] == ["RuntimeError('unforeseen')"]
