"""Callers look at moments which work runs: it has to be at work for most of the time."""

import pytest

from ..tasks.builders import accept, record_intent, step, worker
from .test_bounded_waits import (
    BATCH,
    MAX_START_SECONDS,
    RUN_SECONDS,
    Site,
    disturbing,
    serve_everywhere,
)

OTHER_JOB = "00000000000000b2"
LOOK_SECONDS = 1.0
"""How often a caller looks; shorter than the time for which work may have nothing running."""

PHASES = [number / 20 for number in range(20)]


def longest_unseen_seconds(spans, phase, first, last):
    """Return the longest time between looks of which none, first and last included, sees a run."""
    longest, unseen_since, at = 0.0, None, first + phase
    while at <= last:
        if any(began_at <= at < ended_at for began_at, ended_at in spans):
            unseen_since = None
        else:
            unseen_since = at if unseen_since is None else unseen_since
            longest = max(longest, at - unseen_since)
        at += LOOK_SECONDS
    return longest


# Guards against overdue work that gets one short run in each deferral: looks once a second that
# are in phase with it find nothing running for as long as that goes on.
@pytest.mark.parametrize("phase", PHASES)
def test_overdue_best_effort_work_is_seen_running_by_looks_of_any_phase(phase):
    site = Site(
        *[worker(f"w{n}", millicores=9000, memory_mb=9000) for n in range(4)],
        interference=disturbing(),
    )
    serve_everywhere(site)
    accept(site.ledger, step(60, **BATCH))
    began_at = site.now
    site.run(12.0)
    spans = [(at, at + RUN_SECONDS) for at, _, _ in site.starts]
    unseen = longest_unseen_seconds(spans, phase, began_at, site.now)
    assert unseen < MAX_START_SECONDS


# Guards against waits that each new leader counts from its first pass: under leaders that change
# again and again, what preferences hold back never starts.
def test_overdue_work_starts_though_the_leader_changes_each_second():
    site = Site(
        *[worker(f"w{n}", millicores=9000, memory_mb=9000) for n in range(4)],
        interference=disturbing(),
    )
    serve_everywhere(site)
    site.ledger.at_ms = site.wall_ms
    accept(site.ledger, step(60, **BATCH))
    accepted_at = site.now
    for _ in range(4):
        site.run(1.0)
        site.change_leader()
    assert site.starts[0][0] - accepted_at < MAX_START_SECONDS


# Guards against a service that counts as busy by what may exist on workers that do not answer.
def test_best_effort_work_starts_though_workers_that_do_not_answer_are_fully_reserved():
    records = [worker(f"w{n}", millicores=9000, memory_mb=9000) for n in range(4)]
    site = Site(*records, interference=disturbing())
    serve_everywhere(site, millicores=4000)
    site.unresponsive = {"w3"}
    lost = step(lasting=True, millicores=5000)
    accept(site.ledger, lost, job_id=OTHER_JOB)
    record_intent(site.ledger, f"{OTHER_JOB}.0.0.0", incarnation=("w3", 1))
    accept(site.ledger, step(2, **BATCH))
    site.run(MAX_START_SECONDS)
    assert site.starts
