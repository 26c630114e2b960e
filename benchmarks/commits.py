"""Cost of a commit: latency, rate and bytes, for three and five replicas, synced or not.

Replicas are real processes' code in green threads of one process, over real
sockets and files; the processor time is that of all replicas together.
"""

import random
import statistics
import tempfile
import time
import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import os  # noqa: E402

import click  # noqa: E402

from savoryshelf.clock import SystemClock  # noqa: E402
from savoryshelf.control.handler import ControlHandler  # noqa: E402
from savoryshelf.disk import FolderDisk  # noqa: E402
from savoryshelf.replication.core import Timing  # noqa: E402
from savoryshelf.replication.links import PeerLinks  # noqa: E402
from savoryshelf.replication.service import ReplicaService  # noqa: E402
from savoryshelf.replication.storage import ReplicaStorage  # noqa: E402
from savoryshelf.wire.generated import ControlService  # noqa: E402
from savoryshelf.wire.generated.ttypes import Member, Membership  # noqa: E402
from savoryshelf.wire.peers import PeerServer  # noqa: E402

CLUSTER_KEY = "benchmark-cluster-key"
PAYLOAD_BYTES = 200


class ListMachine:
    """A state machine that only counts."""

    def __init__(self):
        self.count = 0

    def apply(self, payload):
        """Count one command."""
        self.count += 1
        return self.count

    def snapshot(self):
        """Return the count."""
        return str(self.count).encode()

    def restore(self, data):
        """Take a count over."""
        self.count = int(data)


class Host:
    """What the peers' handler needs of a control host."""

    def __init__(self):
        self.replica = None


def _make_group(folder: str, count: int) -> list[ReplicaService]:
    hosts = [Host() for _ in range(count)]
    servers = [
        PeerServer(
            ControlService, "127.0.0.1:0", lambda host=host: ControlHandler(CLUSTER_KEY, host)
        )
        for host in hosts
    ]
    storages = [ReplicaStorage(FolderDisk(os.path.join(folder, str(n)))) for n in range(count)]
    ids = [storage.identity(f"c{n}").replica_id for n, storage in enumerate(storages)]
    genesis = Membership([Member(ids[n], servers[n].address, "", True) for n in range(count)])
    for n, host in enumerate(hosts):
        host.replica = ReplicaService(
            ids[n],
            genesis,
            storages[n],
            ListMachine(),
            PeerLinks(CLUSTER_KEY),
            {},
            SystemClock(),
            Timing(),
            random.Random(n),
        )
        host.replica.start()
    return [host.replica for host in hosts]


def _leader(replicas: list[ReplicaService]) -> ReplicaService:
    while True:
        for replica in replicas:
            if replica.is_leader and replica.core.can_confirm:
                return replica
        eventlet.sleep(0.05)


def _measure(count: int, is_synced: bool, callers: int, seconds: float) -> None:
    if not is_synced:
        os.fdatasync = lambda descriptor: None
    with tempfile.TemporaryDirectory() as folder:
        replicas = _make_group(folder, count)
        leader = _leader(replicas)
        latencies: list[float] = []
        deadline = time.perf_counter() + seconds
        written = leader._storage.bytes_written

        def propose_until_the_end():
            while time.perf_counter() < deadline:
                started = time.perf_counter()
                leader.propose(b"x" * PAYLOAD_BYTES)
                latencies.append(time.perf_counter() - started)

        cpu = time.process_time()
        threads = [eventlet.spawn(propose_until_the_end) for _ in range(callers)]
        for thread in threads:
            thread.wait()
        cpu = time.process_time() - cpu
        written = leader._storage.bytes_written - written
        for replica in replicas:
            replica.stop()
    median = statistics.median(latencies) * 1000
    p99 = statistics.quantiles(latencies, n=100)[98] * 1000
    click.echo(
        f"{count} replicas, {'synced' if is_synced else 'not synced'}, {callers} callers: "
        f"median {median:.2f} ms, p99 {p99:.2f} ms, {len(latencies) / seconds:.0f} commits/s, "
        f"{cpu / len(latencies) * 1e6:.0f} us of CPU a commit (all replicas), "
        f"{written / len(latencies):.0f} bytes on disk a commit"
    )


@click.command()
@click.option("--seconds", default=3.0)
def main(seconds: float) -> None:
    """Measure commits."""
    real_sync = os.fdatasync
    for count in (3, 5):
        for is_synced in (True, False):
            for callers in (1, 64):
                os.fdatasync = real_sync
                _measure(count, is_synced, callers, seconds)


if __name__ == "__main__":
    main()
