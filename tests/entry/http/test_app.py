import io
import json

import pytest
from werkzeug.test import Client

from savoryshelf.entry.http import callers, operators, targets  # noqa: F401
from savoryshelf.entry.http.app import EntryApplication, EntryContext
from savoryshelf.errors import ControlUnavailable, RefusedByControl
from savoryshelf.tokens import InvalidToken, issue, verify
from savoryshelf.wire.generated import ttypes
from tests.entry.fakes import critical_path

TOKEN_KEY = "a-token-key-of-tests"


class ScriptedControl:
    """Answers every call with the test's value, or raises it if it is an error."""

    def __init__(self):
        self.calls = []
        self.answer = None

    def call(self, method, *arguments, **options):
        self.calls.append((method, arguments))
        if isinstance(self.answer, Exception):
            raise self.answer
        return self.answer


@pytest.fixture
def host():
    path, clock, state, client = critical_path()
    control = ScriptedControl()
    context = EntryContext(state, path, None, control, clock, TOKEN_KEY)
    http = Client(EntryApplication(context))
    http.context, http.control, http.worker_client = context, control, client
    return http


def bearer(subject="team:team", generation=1):
    return {"Authorization": f"Bearer {issue(TOKEN_KEY, subject, generation)}"}


def refusal(response):
    """Return the status, reason and certainty of a refusal."""
    content = json.loads(response.data)
    return response.status_code, content["reason"], content["certainty"]


def test_a_critical_answer_passes_through_byte_for_byte(host):
    body = bytes(range(256))
    response = host.post("/v1/services/quotes", data=body, headers=bearer(), buffered=True)
    assert response.data == b"answer to " + body
    assert response.headers["Savoryshelf-Worker"] == "w0"
    assert host.context.in_flight == 0


@pytest.mark.parametrize(
    ("headers", "expected"),
    [
        ({}, (401, "unauthenticated", "not run")),
        ({"Authorization": "Bearer team:team.1.0000"}, (401, "unauthenticated", "not run")),
        (bearer(generation=2), (403, "forbidden", "not run")),
        (bearer("team:nobody"), (403, "forbidden", "not run")),
        (bearer("operator"), (403, "forbidden", "not run")),
    ],
)
def test_only_a_team_with_a_current_token_may_call(host, headers, expected):
    response = host.post("/v1/services/quotes", data=b"x", headers=headers)
    assert refusal(response) == expected
    assert host.worker_client.worker_ids == []


@pytest.mark.parametrize("path", ["/v1/operator/views/status", "/v1/operator/views/jobs"])
def test_a_team_token_cannot_use_operator_routes(host, path):
    assert refusal(host.get(path, headers=bearer()))[:2] == (403, "forbidden")


def test_a_body_over_the_limit_is_refused(host):
    response = host.post("/v1/services/quotes", data=b"x" * 300_000, headers=bearer())
    assert refusal(response) == (413, "body_too_large", "not run")


def test_a_body_shorter_than_declared_is_refused(host):
    response = host.post(
        "/v1/services/quotes",
        input_stream=io.BytesIO(b"x"),
        headers=bearer(),
        environ_overrides={"CONTENT_LENGTH": "10"},
    )
    assert refusal(response) == (400, "body_truncated", "not run")


def test_an_unknown_path_or_method_is_refused(host):
    assert refusal(host.get("/v2/nothing"))[:2] == (404, "not_found")
    assert refusal(host.put("/v1/services/quotes"))[:2] == (405, "method_not_allowed")


def test_a_job_needs_a_key(host):
    response = host.post("/v1/jobs/plans", data=b"x", headers=bearer())
    assert refusal(response) == (400, "no_key", "not run")


def test_a_job_has_the_same_id_at_every_entry_host(host):
    host.control.answer = ttypes.SubmitReply("id", False, "queued")
    headers = bearer() | {"Idempotency-Key": "order-17"}
    assert host.post("/v1/jobs/plans", data=b"x", headers=headers).status_code == 202
    host.post("/v1/jobs/plans", data=b"x", headers=headers)
    ids = {arguments[0].job_id for _, arguments in host.control.calls}
    assert ids == {callers.job_id_of("team", "order-17")}


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (RefusedByControl("key_reused", "d"), (409, "key_reused", "not run")),
        (RefusedByControl("never_fits", "d"), (422, "never_fits", "not run")),
        (ControlUnavailable(["c0"]), (503, "control_unavailable", "not run")),
        (ControlUnavailable(["c0"], outcome_unknown=True), (503, "control_unavailable", "unknown")),
    ],
)
def test_refusals_by_control_keep_their_reason_and_certainty(host, answer, expected):
    host.control.answer = answer
    headers = bearer() | {"Idempotency-Key": "k"}
    assert refusal(host.post("/v1/jobs/plans", data=b"x", headers=headers)) == expected


def test_an_internal_error_is_answered_with_an_unknown_outcome(host):
    host.control.answer = ZeroDivisionError("a bug")
    headers = bearer() | {"Idempotency-Key": "k"}
    response = host.post("/v1/jobs/plans", data=b"x", headers=headers)
    assert refusal(response) == (500, "internal_error", "unknown")


@pytest.mark.parametrize("body", [b"", b"[]", b"{", b'{"declarations": {}}'])
def test_a_malformed_configuration_change_is_refused(host, body):
    response = host.put("/v1/operator/configuration", data=body, headers=bearer("operator"))
    assert response.status_code == 400
    assert host.control.calls == []


@pytest.mark.parametrize(
    "change",
    [
        {"slots": -1},
        {"slots": True},
        {"url": "http://name:1"},
        {"worker_id": ""},
        # They go into the headers of calls.
        {"worker_id": "w\n9"},
        {"incarnation": "1\r\nX: y"},
        {"incarnation": "\u0661"},
        {"incarnation": " 1"},
    ],
)
def test_a_malformed_announcement_is_refused(host, change):
    announcement = {
        "worker_id": "w9",
        "incarnation": "incarnation-1",
        "url": "http://127.0.0.1:9",
        "failure_domain": "fd",
        "rack": "r",
        "slots": 8,
        "connections": 64,
        "cores": 16,
        "memory_mb": 100,
        "accelerators": 0,
    }
    headers = bearer("target")
    assert host.post("/v1/targets", json=announcement, headers=headers).status_code == 202
    response = host.post("/v1/targets", json=announcement | change, headers=headers)
    assert refusal(response)[:2] == (400, "bad_announcement")


def test_a_stopping_host_is_not_ready_and_closes_connections(host):
    assert host.get("/readyz").status_code == 200
    host.context.state.is_stopping = True
    response = host.get("/readyz")
    assert (response.status_code, response.headers["Connection"]) == (503, "close")


def test_refusals_are_counted_by_reason(host):
    host.get("/v1/operator/views/status")
    text = host.get("/metrics").data.decode()
    assert 'savoryshelf_refusals_total{reason="unauthenticated"}' in text


@pytest.mark.parametrize("token", ["", "x", "a.b.c", "operator.1.", "operator.1.zz"])
def test_a_token_that_was_not_issued_is_invalid(token):
    with pytest.raises(InvalidToken):
        verify(TOKEN_KEY, token)
