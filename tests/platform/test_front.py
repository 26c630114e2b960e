"""Headers of callers with odd numbers."""

import io
import types

import orjson
import pytest
from savoryshelf_platform.front import (
    DEFAULT_WAIT_SECONDS,
    MAX_HAND_IN_SECONDS,
    MAX_WAIT_SECONDS,
    Front,
    _remaining_seconds,
)
from savoryshelf_platform.http import read_body

from savoryshelf.wire.generated.ttypes import JobAnswer, JobAnswerKind


# Guards against an answer that says the outcome is unknown: an odd header raised ValueError.
@pytest.mark.parametrize("deadline", ["\u00b2", "9" * 5000, "9" * 30, "-5", "", "5.5", "1e9"])
def test_an_odd_deadline_leaves_a_usable_time(deadline):
    seconds = _remaining_seconds({"HTTP_X_DEADLINE_MS": deadline})
    assert 0 < seconds <= MAX_WAIT_SECONDS
    assert MAX_WAIT_SECONDS > DEFAULT_WAIT_SECONDS


@pytest.mark.parametrize("length", ["\u00b2", "9" * 5000, "9" * 30, "-5", "x"])
def test_an_odd_content_length_is_refused(length):
    assert read_body({"CONTENT_LENGTH": length}, 1000) is None


# Guards against callers that come back at once to a service that has no room for their work.
def test_a_refused_submission_is_answered_with_the_time_to_come_back():
    refused = JobAnswer(JobAnswerKind.REFUSED, retry_after_ms=4_200, reason="not run: no room")
    front = Front(types.SimpleNamespace(call=lambda call, seconds: refused))
    body = orjson.dumps({"taskSpec": "work", "steps": [{"count": 1, "cpu": 1000}]})
    reply = front.answer(
        {
            "REQUEST_METHOD": "POST",
            "PATH_INFO": "/q/00000000000000a1",
            "CONTENT_LENGTH": str(len(body)),
            "wsgi.input": io.BytesIO(body),
        }
    )
    assert (reply.status, reply.headers) == (503, (("Retry-After", "5"),))
    assert orjson.loads(reply.body) == {"error": "not run: no room"}


# Guards against a hand-in that is still under way when its cancel has been forgotten.
@pytest.mark.parametrize(
    ("method", "longest"), [("POST", MAX_HAND_IN_SECONDS), ("GET", MAX_WAIT_SECONDS)]
)
def test_a_submission_is_handed_in_for_a_bounded_time(method, longest):
    seconds = answer(method, "/q/00000000000000a1", HTTP_X_DEADLINE_MS="9" * 12).seconds
    assert longest - 1.0 <= seconds <= longest


def test_a_submission_that_was_cancelled_before_is_told_that_it_has_not_run():
    cancelled = JobAnswer(JobAnswerKind.CANCELLED, reason="not run: cancelled before")
    reply = answer("POST", "/q/00000000000000a1", cancelled).reply
    assert (reply.status, reply.headers) == (503, ())
    assert orjson.loads(reply.body) == {"error": "not run: cancelled before"}


# Guards against memory for ids that no submission can have.
def test_a_cancel_of_what_cannot_be_a_submission_reaches_no_control_host():
    for path in ("/q/nonsense", "/q/" + "0" * 5000, "/q/00000000000000g1"):
        asked = answer("DELETE", path)
        assert asked.reply.status == 410 and asked.seconds is None
    assert answer("DELETE", "/q/00000000000000a1").seconds is not None


def answer(method, path, answer=None, **headers):
    """Return the front's reply to a request, and for how long it asked the leader, if it did."""
    asked = types.SimpleNamespace(seconds=None)

    def call(call, seconds):
        asked.seconds = seconds
        return answer or JobAnswer(JobAnswerKind.GONE)

    body = orjson.dumps({"taskSpec": "work", "steps": [{"count": 1, "cpu": 1000}]})
    environ = {"REQUEST_METHOD": method, "PATH_INFO": path, "CONTENT_LENGTH": str(len(body))}
    front = Front(types.SimpleNamespace(call=call))
    asked.reply = front.answer(environ | {"wsgi.input": io.BytesIO(body)} | headers)
    return asked


# Guards against a route that is there and not found: HTTP lets a request name its host with a port,
# in any case, and in the request line (rule CONFIG, issue 52).
@pytest.mark.parametrize(
    ("host", "path"),
    [
        ("h.example", "/q/"),
        ("h.example:8161", "/q/"),
        ("H.Example", "/q/"),
        ("10.0.0.1:8161", "http://h.example/q/"),
        ("10.0.0.1:8161", "http://H.example:8161/q/"),
    ],
)
def test_a_route_is_found_however_http_lets_its_host_be_written(host, path):
    calls = []

    def record(call, seconds):
        calls.append(call)
        return JobAnswer(JobAnswerKind.COUNTED, waiting=0)

    front = Front(types.SimpleNamespace(call=record))
    front.answer({"REQUEST_METHOD": "GET", "PATH_INFO": path, "HTTP_HOST": host})
    assert [(call.host, call.path) for call in calls] == [("h.example", "/q/")]
