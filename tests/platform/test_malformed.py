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
from savoryshelf.wire import codec

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


@pytest.mark.parametrize(
    "body",
    [b'{"steps":[5]}', b'{"steps":[{},{"after":["x"]}]}', b'{"steps":[{"cpu":9999999999}]}'],
)
def test_a_submission_with_a_step_of_another_shape_is_refused(body):
    with pytest.raises(Malformed):
        decode_submission(body)
