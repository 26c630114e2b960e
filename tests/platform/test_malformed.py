"""Input of any shape is either refused as malformed or decoded to something that can be sent on."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from savoryshelf_platform.errors import Malformed
from savoryshelf_platform.manifests import decode_manifest
from savoryshelf_platform.submissions import decode_submission
from savoryshelf_platform.workers import _decode_poll_result, decode_heartbeat

from savoryshelf.dispatch.worker_api import WorkerUnresponsive
from savoryshelf.tasks import snapshot
from savoryshelf.wire import codec
from savoryshelf.wire.generated.ttypes import (
    AcceptTasks,
    RunEnd,
    RunOutcome,
    SettleRuns,
    WorkerLife,
)

from ..tasks.builders import HOST, JOB, ledger
from .test_decoding import HEARTBEAT, MANIFEST

SUBMISSION = {
    "taskSpec": "t",
    "steps": [
        {"count": 2, "cpu": 500, "memMb": 10, "gpu": 1, "estimatedMs": 900.5, "image": "i"},
        {"after": [0], "fills": True, "targetMs": 50, "antiAffinity": 1, "dataRack": "r1"},
    ],
    "repetitions": 2, "firstRunMs": 5, "intervalMs": 7,
}  # fmt: skip
POLL_RESULT = {
    "clockMs": 5,
    "running": [["a.0.0.0", 1, "", 40, 12], ["a.0.0.1", 1, "", 40]],
    "endedRuns": [[3, "a.0.0.2", 1, "done", ""]],
}
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=5),
    lambda children: (
        st.lists(children, max_size=3) | st.dictionaries(st.text(max_size=5), children, max_size=3)
    ),
    max_leaves=5,
)


def _replaced(value, path, replacement):
    if not path:
        return replacement
    copy = value.copy()
    copy[path[0]] = _replaced(value[path[0]], path[1:], replacement)
    return copy


def variants(body):
    """Return a strategy of the body with a value anywhere in it replaced by another."""
    return st.builds(_replaced, st.just(body), st.sampled_from(list(_paths_of(body))), JSON)


def _paths_of(body):
    yield ()
    pending = [((), body)]
    while pending:
        path, value = pending.pop()
        if isinstance(value, dict):
            children = list(value.items())
        elif isinstance(value, list):
            children = list(enumerate(value))
        else:
            children = []
        for key, child in children:
            yield (*path, key)
            pending.append(((*path, key), child))


def assert_refused_or_encodable(decode, body):
    try:
        decoded = decode(orjson.dumps(body))
    except Malformed:
        return
    assert codec.encode(decoded)


@settings(max_examples=400)
@given(variants(SUBMISSION))
def test_any_submission_is_refused_or_decoded(body):
    assert_refused_or_encodable(decode_submission, body)


# Guards against control hosts that cannot start any more: what was accepted raised an error each
# time that a snapshot with it was read.
@settings(max_examples=200)
@given(st.sampled_from([{}, {"gang": True}, {"longRunning": True}]), st.integers(-1, 2))
def test_a_submission_that_is_accepted_can_be_read_from_a_snapshot(fields, count):
    body = {"steps": [{"count": 1}, {"count": count, "after": [0]} | fields]}
    try:
        spec = decode_submission(orjson.dumps(body))
    except Malformed:
        assert count < 1
        return
    task_ledger = ledger()
    task_ledger.accept(AcceptTasks(JOB, HOST, f"/quotes/{JOB}", spec))
    assert snapshot.load(snapshot.save(task_ledger)).job_by_id.keys() == {JOB}


@settings(max_examples=400)
@given(variants(MANIFEST))
def test_any_manifest_is_refused_or_decoded(body):
    assert_refused_or_encodable(decode_manifest, body)


@settings(max_examples=400)
@given(variants(HEARTBEAT))
def test_any_heartbeat_is_refused_or_decoded(body):
    assert_refused_or_encodable(lambda data: decode_heartbeat("i-1", data).record, body)


@given(st.binary(max_size=50))
def test_bytes_that_are_no_json_are_refused(data):
    for decode in (decode_submission, decode_manifest, lambda d: decode_heartbeat("i-1", d)):
        with pytest.raises(Malformed):
            decode(data + b"\xff")


# A reply of a worker with values of another type ended the thread that polls the worker.
@settings(max_examples=400)
@given(variants(POLL_RESULT))
def test_any_poll_result_is_unusable_or_has_values_of_the_right_types(body):
    try:
        result = _decode_poll_result(body)
    except WorkerUnresponsive:
        return
    assert type(result.clock_ms) is int
    for status in result.running:
        assert isinstance(status.task, str) and isinstance(status.checkpoint, str)
        assert [type(n) for n in (status.run, status.progress_percent, status.gauge)] == [int] * 3
    for end in result.ends:
        assert isinstance(end.task, str) and isinstance(end.checkpoint, str)
        assert [type(n) for n in (end.number, end.run)] == [int] * 2
    ends = [RunEnd(e.task, e.run, e.outcome, e.checkpoint, e.number) for e in result.ends]
    assert codec.encode(SettleRuns(WorkerLife("w1", 1), 1, ends, 1))


# Guards against a host that ends by itself again and again: what a worker listed could not be
# sent to the leader, and a report that fails ends its host.
@pytest.mark.parametrize(
    ("position", "value"),
    [
        (position, value)
        for position in (0, 2)
        for value in (2**63, 2**64 - 1, -1, 0, True, "1", 1.5)
    ]
    + [(2, 2**31)],
    ids=str,
)
def test_an_end_with_an_odd_number_is_left_out_and_the_others_are_not(position, value):
    odd_row = [4, "a.0.0.3", 1, "done", ""]
    odd_row[position] = value
    good_row = [3, "a.0.0.2", 1, "done", ""]
    body = POLL_RESULT | {"endedRuns": [odd_row, good_row]}
    result = _decode_poll_result(body)
    assert [end.task for end in result.ends] == ["a.0.0.2"]
    assert result.unreadable_ends == 1
    assert result.unreadable_end_numbers == ([4] if position == 2 else [])


NESTED = orjson.loads(b"[" * 900 + b"]" * 900)


@pytest.mark.parametrize(
    "row",
    [5, None, "abcde", [], {"a": 1}, ["a.0.0.3"], ["a.0.0.3", 2**40, "", 5], [[1], 1, "", 5],
     NESTED, [NESTED, 1, "", 5], ["a.0.0.3", -1, "", 5]],
    ids=lambda row: str(row)[:20] if row is not NESTED else "nested",
)  # fmt: skip
def test_an_odd_row_of_a_run_leaves_the_others(row):
    body = POLL_RESULT | {"running": [row, *POLL_RESULT["running"]]}
    result = _decode_poll_result(body)
    assert [status.task for status in result.running] == ["a.0.0.0", "a.0.0.1"]
    assert result.unreadable_runs == 1
    assert len(result.ends) == 1


# Guards against an error that leaves a whole list unread, and against numbers that cannot be sent.
@pytest.mark.parametrize(
    ("row", "numbers"),
    [(5, []), (None, []), ([], []), ([7], [7]), (["7"], []), ([True, "a"], []), ([NESTED], []),
     ([7, 5, 1, "done", ""], [7]), ([2**63, "a"], []), ({"0": 7}, []), ([7, "a", 1], [7])],
    ids=lambda value: str(value)[:20],
)  # fmt: skip
def test_the_number_of_an_end_that_cannot_be_read_is_known_if_it_can_be_read(row, numbers):
    result = _decode_poll_result(POLL_RESULT | {"endedRuns": [row]})
    assert result.ends == [] and result.unreadable_ends == 1
    assert result.unreadable_end_numbers == numbers


@pytest.mark.parametrize("how", ["preempted", None, 5, []], ids=str)
def test_an_end_of_an_unknown_kind_is_no_result(how):
    body = POLL_RESULT | {"endedRuns": [[3, "a.0.0.2", 1, how, None]]}
    (end,) = _decode_poll_result(body).ends
    assert (end.task, end.outcome, end.checkpoint) == ("a.0.0.2", RunOutcome.LOST, "")


@pytest.mark.parametrize(
    "gauge", [2**63, 1e300, -5, "fast", None, NESTED], ids=lambda g: str(g)[:9]
)
def test_an_odd_gauge_or_progress_does_not_hide_the_run(gauge):
    body = POLL_RESULT | {"running": [["a.0.0.0", 1, gauge, gauge, gauge]]}
    (status,) = _decode_poll_result(body).running
    assert (status.task, status.run) == ("a.0.0.0", 1)
    assert 0 <= status.gauge < 2**31 and 0 <= status.progress_percent <= 100
    assert isinstance(status.checkpoint, str)


@pytest.mark.parametrize("clock", [2**63, -1, 2**60, "5", None, 5.5], ids=str)
def test_a_poll_with_an_odd_clock_is_no_answer(clock):
    with pytest.raises(WorkerUnresponsive):
        _decode_poll_result(POLL_RESULT | {"clockMs": clock})


@pytest.mark.parametrize(
    "body",
    [b'{"steps":[5]}', b'{"steps":[{},{"after":["x"]}]}', b'{"steps":[{"cpu":9999999999}]}'],
)
def test_a_submission_with_a_step_of_another_shape_is_refused(body):
    with pytest.raises(Malformed):
        decode_submission(body)
