"""What calls and sessions conclude from ends of connections, under eventlet as in the product."""

import json
import os
import pathlib
import subprocess
import sys

import pytest

ROOT = pathlib.Path(__file__).resolve().parents[2]

NOT_DELIVERED = {
    "refused", "dropped", "accepted order", "accepted reset", "accepted silence", "asked order",
    "asked reset", "asked silence", "asked error", "asked garbage", "idle order", "idle reset",
}  # fmt: skip
IN_DOUBT = {
    f"{point} {how}"
    for point in ("identified", "ordered", "answering")
    for how in ("order", "reset", "silence")
}


def results_of(part):
    search_path = os.pathsep.join([str(ROOT / "platform"), os.environ.get("PYTHONPATH", "")])
    done = subprocess.run(
        [sys.executable, "-W", "ignore", "-m", "tests.platform.connection_ends", part],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
        cwd=ROOT,
        env=os.environ | {"PYTHONPATH": search_path},
    )
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


@pytest.fixture(scope="module")
def calls():
    return results_of("calls")


@pytest.fixture(scope="module")
def leaving():
    return results_of("leaving")


# Guards against TWICE: a start that the worker may have read counted as one that did not reach it.
def test_a_start_counts_as_not_delivered_only_if_the_worker_has_read_none_of_it(calls):
    assert calls.keys() == NOT_DELIVERED | IN_DOUBT
    kinds = {name: kind for name, (kind, _) in calls.items()}
    assert {name for name, kind in kinds.items() if kind == "not delivered"} == NOT_DELIVERED
    assert {name for name, kind in kinds.items() if kind == "in doubt"} == IN_DOUBT
    was_read = {name for name, (_, was_read) in calls.items() if was_read}
    assert was_read == {name for name in IN_DOUBT if not name.startswith("identified")}


# Guards against TWICE: connections of a leaving worker ended, by a reset for example, while it
# worked on, and its task was started elsewhere.
@pytest.mark.parametrize("how", ["order", "reset"])
@pytest.mark.parametrize("then", ["refused", "dropped"])
def test_ends_of_connections_do_not_tell_that_a_leaving_worker_has_exited(leaving, how, then):
    reasons, lease_left_ms = leaving[f"{how} {then}"]
    assert reasons == ["lease expired"]
    assert lease_left_ms < 0
