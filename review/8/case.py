"""The answer to the order that pauses a task is lost; the order itself was carried out."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standin2 import CannotRun, Requester, Site, Worker, manifest, run_case  # noqa: E402

TARGET_MS = 400
DISTURBANCE_MS = 4000
DISTURBED_SECONDS = 1.0
"""How long the disturbance lasts on after the task has been paused."""

WORK_SECONDS = 12.0
LONGEST_SECONDS = 45.0
ALLOWED_SECONDS = 3.0
"""How long a submission may have nothing running."""


def case(site: Site, has_trouble: bool) -> list[str]:
    """Return what broke the rule."""
    workers = [Worker(site, f"i-{n:08x}", labels=["a", f"r1-{n}"]) for n in range(2)]
    site.start(manifest())
    requester = Requester(site)
    serving = {
        "count": 2, "cpu": 4000, "memMb": 1000, "estimatedMs": 400, "longRunning": True,
        "image": "desk", "targetMs": TARGET_MS, "antiAffinity": 1,
    }  # fmt: skip
    serving_job = requester.submit([serving], "lasts 4000 serves")
    site.wait_until(lambda: all(w.busy_with(serving_job) for w in workers), "the serving tasks")
    time.sleep(3.0)
    filling = {
        "count": 1, "cpu": 2000, "memMb": 1000, "estimatedMs": int(1000 * WORK_SECONDS),
        "image": "plan", "fills": True,
    }  # fmt: skip
    job = requester.submit([filling], f"{int(1000 * WORK_SECONDS)} 2000 fills")
    worker = site.wait_until(lambda: next((w for w in workers if w.busy_with(job)), None), "a run")
    run = worker.busy_with(job)[0]
    lost = []

    def loses_answer(path: str, body: dict) -> bool:
        if path.endswith("/pace") and body["percent"] == 0 and not lost:
            lost.append(time.monotonic())
            return has_trouble
        return False

    for each in workers:
        each.loses_answer = loses_answer
    site.wait_until(lambda: run.progress() >= 60, "the task to be over half done")
    site.note("the task that fills disturbs the one that serves from now on")
    worker.disturbance_ms = DISTURBANCE_MS
    site.wait_until(lambda: lost, "the task to be paused", 20)
    time.sleep(DISTURBED_SECONDS)
    site.note("it does not any more")
    worker.disturbance_ms = 0.0
    calm_at = time.monotonic()
    while time.monotonic() - calm_at < LONGEST_SECONDS:
        status, state = requester.state(job)
        if state == "completed":
            site.note(f"GET {job}: {status} {state}")
            return []
        time.sleep(0.5)
    at_work = [r for w in workers for r in w.busy_with(job) if r.percent > 0]
    site.note(f"GET {job}: {status} {state}; {run}: {run.percent} % since it was paused")
    if at_work or run.percent:
        raise CannotRun("the task is at work, and has not ended")
    seconds = time.monotonic() - calm_at
    return [
        f"LOST: {job} has had nothing at work for {seconds:.0f} s of calm, beside an idle worker"
    ]


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
