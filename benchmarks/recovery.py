"""Catch-up time of a stopped replica, and its recovery from disk, by missed changes."""

import warnings

warnings.filterwarnings("ignore", message=r"\s*Eventlet is deprecated")

import eventlet  # noqa: E402

eventlet.monkey_patch()

import tempfile  # noqa: E402
import time  # noqa: E402

import click  # noqa: E402

from savoryshelf.configuration.declarations import parse, to_document  # noqa: E402
from savoryshelf.control.state import SiteStateMachine  # noqa: E402
from savoryshelf.wire import codec  # noqa: E402
from savoryshelf.wire.generated import ttypes  # noqa: E402
from savoryshelf.wire.generated.ttypes import Command, CommandBody  # noqa: E402

from .group import Group, Link  # noqa: E402

CALLERS = 64
SNAPSHOT_EVERY = 400
BODY = b"b" * 200


def _commit(leader, **body) -> None:
    leader.replica.propose(codec.encode(Command(1, CommandBody(**body))))


def _accept_jobs(leader, count: int) -> None:
    numbers = iter(range(count))

    def accept_some():
        for number in numbers:
            job = ttypes.SubmitJob(
                f"{number:024d}", "t", str(number), "plans", BODY, False, "d", ""
            )
            _commit(leader, submit_job=job)

    for thread in [eventlet.spawn(accept_some) for _ in range(CALLERS)]:
        thread.wait()


def _measure(changes: int, is_far: bool) -> None:
    with tempfile.TemporaryDirectory() as folder:
        far = frozenset({0, 1, 2}) if is_far else frozenset()
        group = Group(folder, 3, SiteStateMachine, SNAPSHOT_EVERY, far, Link())
        leader = group.leader()
        document = to_document(parse({"customer": "c", "batch_classes": {"plans": {}}}))
        change = ttypes.ApplyConfiguration("first", 0, document, "")
        _commit(leader, apply_configuration=change)
        stopped_host = next(host for host in group.hosts if host is not leader)
        stopped_host.replica.stop()
        _accept_jobs(leader, changes)
        target_index = leader.replica.core.commit_index
        snapshot_kb = len(leader.replica.core.snapshot.state) / 1000
        started = time.perf_counter()
        group.start(stopped_host)
        while stopped_host.replica.core.applied_index < target_index:
            eventlet.sleep(0.005)
        catch_up_s = time.perf_counter() - started
        stopped_host.replica.stop()
        started = time.perf_counter()
        group.start(stopped_host)
        recovery_s = time.perf_counter() - started
        group.stop()
    link = "20 ms, 15 Mbit/s" if is_far else "near"
    click.echo(f"| {changes} | {link} | {snapshot_kb:.0f} | {catch_up_s:.2f} | {recovery_s:.3f} |")


@click.command()
def main() -> None:
    """Measure a replica that missed 500, 2000 or 8000 changes."""
    click.echo("| changes missed | link | snapshot KB | catch-up s | recovery from disk s |")
    click.echo("|---" * 5 + "|")
    for is_far in (False, True):
        for changes in (500, 2000, 8000):
            _measure(changes, is_far)


if __name__ == "__main__":
    main()
