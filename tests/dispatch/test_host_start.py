"""What a control host logs of its start."""

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


# Guards against a slow start of which the log does not tell whether it waited for the disk.
def test_the_time_of_a_start_is_logged_with_that_of_its_disk(tmp_path, monkeypatch, lines):
    syncs = []

    def slow_sync(descriptor):
        syncs.append(descriptor)
        time.sleep(SYNC_SECONDS)

    monkeypatch.setattr(os, "fsync", slow_sync)
    settings = TaskControlSettings(
        ip=IP, peer_port=0, failure_domain="z1", seed_ips=[IP], is_first_start=True,
        data_folder=str(tmp_path), cluster_key="key", dispatch=DispatchSettings(LEASE_MS),
    )  # fmt: skip
    # The activities of the host end with their hub.
    with own_hub():
        host = TaskControlHost(settings, None)
        host.start()
        host.replica.stop()
    started = lines["control:started"]
    assert syncs
    assert started["disk_s"] >= len(syncs) * SYNC_SECONDS
    assert started["seconds"] >= started["disk_s"]
    assert 0.0 <= started["processor_s"] <= started["seconds"]
