"""What callers see who look once a second, beside a crowd of best-effort steps.

Serving runs reserve just under half of the service, so each step has to have something at work.
"""

import random

import eventlet
import pytest

from ..tasks.builders import step
from ..virtual_time import virtual_time
from .protocol_worker import USUAL_LOAD
from .startable_group import LOAD_SECONDS, MAX_WAIT_SECONDS, StartableGroup

WORKER_COUNT = 16
WORKER_MILLICORES = 4000
SERVING_IMAGES = [f"shop-{n}" for n in range(4)]
BATCH_IMAGES = [f"batch-{n}" for n in range(8)]
SERVING_MILLICORES = 650
SERVING_SHARE = 0.488
PRESSED_LOAD = 0.78
WATCHED_SECONDS = 15.0
SAMPLE_SECONDS = 0.05
SAMPLES_PER_LOOK = 20
"""Callers look once a second."""

LOOKS = round(MAX_WAIT_SECONDS) + 1
"""As many looks in a row as there are in the time for which nothing may be at work."""


class Crowd:
    """A group with serving runs everywhere, and more best-effort steps than can run at a time."""

    def __init__(self, group, seed, steps):
        self.group, self.random = group, random.Random(seed)
        for image in BATCH_IMAGES:
            for serving in SERVING_IMAGES:
                weight = self.random.choice([0.01, 0.05, 0.1, 0.25])
                group.judge.weight_by_pair[image, serving] = weight
        for n in range(WORKER_COUNT):
            group.start_worker(f"w{n}")
        eventlet.sleep(1.0)
        self._serve()
        eventlet.sleep(3.0)
        self.phases = [self.random.uniform(0.0, LOAD_SECONDS) for _ in range(WORKER_COUNT)]
        self.jobs = [self._submit(n) for n in range(steps)]

    def _serve(self):
        count = int(WORKER_COUNT * WORKER_MILLICORES * SERVING_SHARE / SERVING_MILLICORES)
        for n, image in enumerate(SERVING_IMAGES):
            serving = step(
                count // len(SERVING_IMAGES), lasting=True, target_ms=50, image=image,
                millicores=SERVING_MILLICORES, memory_mb=40,
            )  # fmt: skip
            self.group.submit(serving, job_id=f"{0xD00 + n:016x}")

    def _submit(self, n):
        job_id, drawn = f"{0xE000 + n:016x}", self.random
        batch = step(
            drawn.randint(2, 14), filling=True, image=drawn.choice(BATCH_IMAGES),
            millicores=drawn.randint(250, 900), memory_mb=drawn.randint(20, 60),
            estimated_ms=drawn.randint(500, 2200),
        )  # fmt: skip
        self.group.submit(batch, job_id=job_id)
        return job_id

    def watch(self):
        """Return, by sample, the jobs that have startable tasks and nothing at work."""
        samples, clock = [], self.group.clock
        end = clock.monotonic() + WATCHED_SECONDS
        while clock.monotonic() < end:
            now = clock.monotonic()
            for phase, worker in zip(self.phases, self.group.worker_by_id.values(), strict=True):
                is_pressed = int((now + phase) / LOAD_SECONDS) % 2
                worker.set_load(PRESSED_LOAD if is_pressed else USUAL_LOAD)
            eventlet.sleep(SAMPLE_SECONDS)
            at_work = {name.partition(".")[0] for name in self.group.judge.tasks_at_work()}
            startable = {job_id for job_id, _, _ in self.group.ledger.startable_group_by_key}
            samples.append(startable - at_work)
        return samples


def jobs_never_seen(samples, jobs):
    """Return the jobs that show nothing at work in ``LOOKS`` looks in a row, of any phase."""
    missed = set()
    for phase in range(SAMPLES_PER_LOOK):
        looks = samples[phase::SAMPLES_PER_LOOK]
        for first in range(len(looks) - LOOKS + 1):
            missed |= set.intersection(*looks[first : first + LOOKS])
    return missed & set(jobs)


# Guards against LOST: work that pauses for less than the users allow, but of which each look in
# that time falls into a pause, since its runs are shorter than the time between two looks.
@pytest.mark.parametrize(("seed", "steps"), [(1, 40), (1, 60), (2, 60), (4, 80)])
def test_each_step_of_a_crowd_is_seen_at_work(seed, steps):
    with virtual_time() as clock:
        group = StartableGroup(clock)
        try:
            crowd = Crowd(group, seed, steps)
            assert not jobs_never_seen(crowd.watch(), crowd.jobs)
            assert not group.judge.violations and not group.failures
            assert not group.harmed_runs(clock.monotonic())
        finally:
            group.close()
