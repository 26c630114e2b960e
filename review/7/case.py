"""Requesters give up and cancel while the leader is killed; some cancels overtake the hand-in."""

import http.client
import json
import pathlib
import random
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))
from standin2 import CannotRun, Requester, Site, Worker, manifest, run_case  # noqa: E402

JOBS = 30
LEAVING_EACH = 3
"""One of three requesters leaves: a share of 0.33; the site has 0.35."""

GIVE_UP_SECONDS = 0.3
DOWN_SECONDS = 3.5
CANCEL_SECONDS = 3.0
STOP_SECONDS = 0.4
CALM_SECONDS = 8.0
"""Waited after all this before anything is judged: twice ``contactMs``."""


class OneSubmission:
    """A requester that hands one submission in; some leave early, and cancel."""

    def __init__(self, site: Site, number: int):
        self._site, self._number = site, number
        self.job = f"{random.getrandbits(64):016x}"
        self.leaves = number % LEAVING_EACH == 0
        self.acknowledged_at, self.status = 0.0, 0

    def run(self) -> None:
        """Hand the submission in; leave early and cancel, or try until it is accepted."""
        fronts = self._site.fronts
        address = f"{fronts[self._number % len(fronts)].ip}:{self._site.ports['front']}"
        step = {"count": 1, "cpu": 100, "memMb": 10, "estimatedMs": 400, "longRunning": True}
        body = json.dumps({"taskSpec": "lasts 100", "steps": [step]})
        headers = {
            "Host": "q.example", "X-Deadline-Ms": "3000", "Content-Type": "application/json"
        }  # fmt: skip
        requester = Requester(self._site)
        requester.next_front = self._number
        if not self.leaves:
            self.job = requester.submit([step], "lasts 100")
            return
        connection = http.client.HTTPConnection(address, timeout=GIVE_UP_SECONDS)
        try:
            connection.request("POST", f"/q/{self.job}", body, headers)
            answer = connection.getresponse().status
            self._site.note(f"POST {self.job}: {answer}")
        except OSError:
            self._site.note(f"POST {self.job}: given up after {GIVE_UP_SECONDS} s")
        finally:
            connection.close()
        requester.next_front = self._number + 1
        self.status = requester.cancel(self.job)
        self.acknowledged_at = time.monotonic()


def case(site: Site, has_trouble: bool) -> list[str]:
    """Return what broke the rule."""
    workers = [Worker(site, f"i-{n:08x}", labels=["a", f"r1-{n}"]) for n in range(3)]
    site.start(manifest())
    leader = site.wait_until(site.leader, "a leader")
    requesters = [OneSubmission(site, n) for n in range(JOBS)]
    threads = [threading.Thread(target=each.run, daemon=True) for each in requesters]
    if has_trouble:
        site.note(f"the leader {leader.ip} is killed")
        leader.kill()
    killed_at = time.monotonic()
    for thread in threads:
        thread.start()
        time.sleep(0.05)
    if has_trouble:
        time.sleep(max(0.0, killed_at + DOWN_SECONDS - time.monotonic()))
        leader.start()
        site.note(f"{leader.ip} is started again")
    for thread in threads:
        thread.join()
    time.sleep(CANCEL_SECONDS + STOP_SECONDS + CALM_SECONDS)
    leaving = [each for each in requesters if each.leaves]
    if not all(each.acknowledged_at for each in leaving):
        raise CannotRun("not all cancels were acknowledged")
    broken = []
    for each in leaving:
        for worker in workers:
            for run in worker.busy_with(each.job):
                seconds = time.monotonic() - each.acknowledged_at
                broken.append(
                    f"UNASKED: {run} is at work {seconds:.1f} s after its cancel was acknowledged "
                    f"with {each.status}; it began {run.began_at - each.acknowledged_at:+.2f} s "
                    "from then"
                )
    return broken


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
