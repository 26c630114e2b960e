"""Cost of a commit: latency, rate and bytes, for three and five replicas, synced or not.

Processor time is the sum over all replicas.
"""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import os  # noqa: E402
import statistics  # noqa: E402
import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402

from .group import Group  # noqa: E402

PAYLOAD_BYTES = 200


class CountingStateMachine:
    """A state machine that counts its commands."""

    def __init__(self):
        self.count = 0

    def apply(self, payload: bytes) -> int:
        """Count one command."""
        self.count += 1
        return self.count

    def snapshot(self) -> bytes:
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data: bytes) -> None:
        """Restore the count."""
        self.count = int(data)


def _measure(name: str, count: int, callers: int, seconds: float, far=frozenset()) -> None:
    with tempfile.TemporaryDirectory() as folder:
        group = Group(folder, count, CountingStateMachine, far=far)
        leader = group.leader()
        latencies: list[float] = []
        written = leader.storage.bytes_written
        cpu, deadline = time.process_time(), time.perf_counter() + seconds

        def propose_until_deadline():
            while time.perf_counter() < deadline:
                started = time.perf_counter()
                leader.replica.propose(b"x" * PAYLOAD_BYTES)
                latencies.append(time.perf_counter() - started)

        for thread in [eventlet.spawn(propose_until_deadline) for _ in range(callers)]:
            thread.wait()
        cpu = time.process_time() - cpu
        written = leader.storage.bytes_written - written
        group.stop()
    median = statistics.median(latencies) * 1000
    p99 = statistics.quantiles(latencies, n=100)[98] * 1000
    where = f", leader {leader.name}" if far else ""
    click.echo(
        f"| {name}{where} | {callers} | {median:.2f} | {p99:.2f} | {len(latencies) / seconds:.0f} "
        f"| {cpu / len(latencies) * 1e6:.0f} | {written / len(latencies):.0f} |"
    )


@click.command()
@click.option("--seconds", default=3.0)
def main(seconds: float) -> None:
    """Measure commits with 1 and 64 concurrent callers."""
    click.echo("| replicas | callers | median ms | p99 ms | commits/s | CPU us | disk B |")
    click.echo("|---" * 7 + "|")
    real_sync = os.fdatasync
    for count in (3, 5):
        for callers in (1, 64):
            _measure(f"{count}, synced", count, callers, seconds)
            os.fdatasync = lambda descriptor: None
            _measure(f"{count}, not synced", count, callers, seconds)
            os.fdatasync = real_sync
    # Two replicas are near each other; c2 is behind a slow link between regions.
    for callers in (1, 64):
        _measure("2 near and c2 behind 20 ms, 15 Mbit/s", 3, callers, seconds, frozenset({2}))


if __name__ == "__main__":
    main()
