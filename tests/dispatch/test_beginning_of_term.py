"""The work of a new leader leaves the processor to replication again and again."""

import contextlib

import eventlet
import pytest
from eventlet import hubs

from savoryshelf.replication.types import Timing

from ..tasks.builders import step
from .group import FakeGroup

POLL_SECONDS = 0.003
"""Processor time of a session's first poll, with the connection; calls cost 2 to 5 ms."""

START_SECONDS = 0.0015
"""Processor time of a call that starts a run."""

TICK_SECONDS = 0.05

BEGUN_IN_SECONDS = 3.0
"""Long-running work that lost its host has to run again after this time."""

pytestmark = pytest.mark.usefixtures("on_virtual_time")


def use_processor(seconds):
    """Let time pass in which no other green thread runs."""
    hubs.get_hub().now += seconds


class CostlyGroup(FakeGroup):
    """A group in which each first call to a worker takes processor time."""

    def __init__(self, *arguments):
        self._called_workers = set()
        super().__init__(*arguments)

    def poll(self, incarnation, *arguments):
        if incarnation.worker_id not in self._called_workers:
            self._called_workers.add(incarnation.worker_id)
            use_processor(POLL_SECONDS)
        return super().poll(incarnation, *arguments)

    def start(self, *arguments):
        use_processor(START_SECONDS)
        return super().start(*arguments)


@pytest.fixture(name="lags")
def timer_lags(on_virtual_time):
    """Yield a list of how late a green thread runs that ticks as a replica does."""
    lags = []

    def tick():
        while True:
            began_at = on_virtual_time.monotonic()
            eventlet.sleep(TICK_SECONDS)
            lags.append(on_virtual_time.monotonic() - began_at - TICK_SECONDS)

    thread = eventlet.spawn(tick)
    yield lags
    thread.kill()


@contextlib.contextmanager
def _group_with_sessions(clock, workers):
    group = CostlyGroup(["c0"], [f"w{number}" for number in range(workers)])
    sessions = group.agent_by_host["c0"].session_by_incarnation
    began_at = clock.monotonic()
    while len(sessions) < workers or not all(each.is_responsive for each in sessions.values()):
        assert clock.monotonic() < began_at + BEGUN_IN_SECONDS
        eventlet.sleep(TICK_SECONDS)
    yield group
    group.close()
    assert group.failures == []


# Guards against CONFIG and RECOVER by a leader that begins all its sessions at one go: no heartbeat
# is sent meanwhile.
@pytest.mark.parametrize("workers", [33, 64, 446])
def test_the_sessions_with_a_whole_fleet_leave_time_for_heartbeats(lags, on_virtual_time, workers):
    with _group_with_sessions(on_virtual_time, workers):
        pass
    assert max(lags) < Timing().heartbeat_interval / 2


# Guards against the same by the start calls of a whole backlog, which one commit allows at once.
@pytest.mark.parametrize("workers", [33, 64, 446])
def test_the_starts_of_a_backlog_leave_time_for_heartbeats(lags, on_virtual_time, workers):
    with _group_with_sessions(on_virtual_time, workers) as group:
        lags.clear()
        began_at = on_virtual_time.monotonic()
        group.submit(step(4 * workers))
        while sum(len(each.starts) for each in group.worker_by_id.values()) < 4 * workers:
            assert on_virtual_time.monotonic() < began_at + BEGUN_IN_SECONDS
            eventlet.sleep(TICK_SECONDS)
    assert max(lags) < Timing().heartbeat_interval / 2
