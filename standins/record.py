"""The execution record of stand-in workers, and the check of guarantees against it.

Each line is a JSON object with the event, the worker, the time, and the key
that the caller put into the request.
"""

import json
import time
from collections import defaultdict

import attrs


class ExecutionRecord:
    """Appends events to a file shared by all workers of a process."""

    def __init__(self, path: str):
        self._file = open(path, "a", encoding="utf-8", buffering=1)  # noqa: SIM115

    def write(self, event: str, worker_id: str, **fields) -> None:
        """Append one event, with the monotonic time."""
        line = {"event": event, "worker": worker_id, "at": time.monotonic(), **fields}
        self._file.write(json.dumps(line) + "\n")


@attrs.define
class RecordCheck:
    """Result of checking the execution record against the guarantees."""

    ran_once: int = 0
    """Number of keys that finished exactly once."""

    run_twice_keys: list[str] = attrs.field(factory=list)
    overlapping_keys: list[str] = attrs.field(factory=list)
    """Keys of jobs of which an attempt was started before an earlier one had ended."""

    over_capacity: list[str] = attrs.field(factory=list)
    """Ids of workers that used more slots than they have."""

    capacity_refusals: int = 0
    """Requests and attempts that a worker refused for lack of a slot or resource."""

    critical_run_keys: set[str] = attrs.field(factory=set)
    started_keys: set[str] = attrs.field(factory=set)
    """Keys of jobs of which an attempt was started."""

    @property
    def violations(self) -> list[str]:
        """Return a description of each violated guarantee."""
        return [
            *(f"ran twice: {key}" for key in self.run_twice_keys),
            *(f"overlapping attempts: {key}" for key in self.overlapping_keys),
            *(f"over capacity: {worker}" for worker in self.over_capacity),
        ]


def read_events(path: str) -> list[dict]:
    """Return the events of a record in order of time; a last line cut off by a kill is ignored."""
    events = []
    with open(path, encoding="utf-8") as file:
        for line in file:
            if line.endswith("\n"):
                events.append(json.loads(line))
    return sorted(events, key=lambda event: event["at"])


def check_events(events: list[dict], unrepeatable_keys: set[str]) -> RecordCheck:
    """Check the events of a record.

    A key of a job that is not repeatable has run twice if it starts twice
    without a checkpoint; any key has run twice if it finishes twice.
    """
    check = RecordCheck()
    running_by_key: dict[str, set[tuple]] = defaultdict(set)
    fresh_starts: dict[str, int] = defaultdict(int)
    finishes: dict[str, int] = defaultdict(int)
    for event in events:
        key = event.get("key", "")
        run_key = (event["worker"], event.get("incarnation"), event.get("attempt"))
        match event["event"]:
            case "start":
                check.started_keys.add(key)
                if running_by_key[key]:
                    check.overlapping_keys.append(key)
                running_by_key[key].add(run_key)
                fresh_starts[key] += 0 if event["checkpoint"] else 1
            case "end":
                running_by_key[key].discard(run_key)
                finishes[key] += 1 if event["state"] == "finished" else 0
            case "died":
                # Ends every attempt of the same worker and incarnation.
                for running in running_by_key.values():
                    running -= {p for p in running if p[:2] == run_key[:2]}
            case "critical":
                check.critical_run_keys.add(key)
            case "guard_refused":
                check.capacity_refusals += 1
            case "over_capacity":
                check.over_capacity.append(event["worker"])
    for key, count in finishes.items():
        if count > 1:
            check.run_twice_keys.append(key)
        elif count == 1:
            check.ran_once += 1
    for key in unrepeatable_keys:
        if fresh_starts[key] > 1 and key not in check.run_twice_keys:
            check.run_twice_keys.append(key)
    return check
