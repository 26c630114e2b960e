"""Single workers crash one after the other, under a submission of tasks that last."""

import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from lib2.site import Requester, Site, manifest, run_case  # noqa: E402
from lib2.worker import Worker  # noqa: E402

WORKERS = 7
"""One of them is a share of 0.143; the limit is 0.15."""

TASKS = 14
DOWN_SECONDS = 1.0
TURN_SECONDS = 2.4
LONGEST_SECONDS = 90.0


def case(site: Site, has_trouble: bool) -> list[str]:
    """Return what broke the rule."""
    workers = [Worker(site, f"i-{n:08x}", labels=["a", f"r1-{n}"]) for n in range(WORKERS)]
    site.start(manifest())
    requester = Requester(site)
    step = {
        "count": TASKS, "cpu": 2000, "memMb": 1000, "estimatedMs": 400, "longRunning": True
    }  # fmt: skip
    job = requester.submit([step], "lasts 2000")
    site.wait_until(
        lambda: sum(len(w.busy_with(job)) for w in workers) == TASKS, "all tasks to work"
    )
    began_at, turn, last_state = time.monotonic(), 0, ""
    while time.monotonic() - began_at < LONGEST_SECONDS and last_state != "failed":
        worker = workers[turn % WORKERS]
        next_at = time.monotonic() + TURN_SECONDS
        if has_trouble:
            worker.crash()
            time.sleep(DOWN_SECONDS)
            worker.start()
        while time.monotonic() < next_at and last_state != "failed":
            status, state = requester.state(job)
            if status == 200 and state != last_state:
                site.note(f"GET {job}: {status} {state}")
                last_state = state
            time.sleep(0.25)
        turn += 1
    runs = [run for worker in workers for run in worker.runs]
    failed = sum(run.how == "failed" for run in runs)
    site.note(f"{turn} turns, {len(runs)} runs, {failed} of them ended 'failed'")
    if last_state == "failed" and not failed:
        return [f"LOST: {job} is shown as failed; no run of it has ended 'failed'"]
    return []


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
