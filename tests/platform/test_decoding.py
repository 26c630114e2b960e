import orjson
import pytest
from savoryshelf_platform.errors import Malformed
from savoryshelf_platform.manifests import decode_manifest
from savoryshelf_platform.submissions import decode_submission, encode_answer, is_job_id, verb_of
from savoryshelf_platform.workers import decode_heartbeat

from savoryshelf.wire.generated.ttypes import JobAnswer, JobAnswerKind, JobVerb

ROUTE = {
    "name": "r",
    "host": "h.example",
    "pathPrefix": "/q/",
    "timeoutMs": 3000,
    "targetLatencyMs": 500,
    "priority": 2,
    "service": "svc",
    "maxAttempts": 3,
    "stretch": 1.5,
}
SERVICE = {"name": "svc", "admissionCheck": True}
MANIFEST = {"version": 7, "routes": [ROUTE], "services": [SERVICE], "limits": {}}
HEARTBEAT = {
    "service": "svc",
    "address": "10.0.0.9:80",
    "zone": "z1",
    "state": "ready",
    "capacity": {"cpu": 16000, "memMb": 32000, "gpu": 0},
    "labels": ["a", "r1-3"],
    "clockMs": 5,
    "sequence": 4,
    "born": 99,
}


def encoded(body, **changes):
    return orjson.dumps(body | changes)


def test_a_manifest_is_decoded_and_its_document_is_the_body():
    body = encoded(MANIFEST)
    manifest = decode_manifest(body)
    assert manifest.version == 7
    assert manifest.queues[0].max_attempts == 3
    assert manifest.services[0].guards_capacity
    assert manifest.document.encode() == body


@pytest.mark.parametrize(
    "body",
    [
        encoded(MANIFEST)[:-9],
        b"[]",
        encoded(MANIFEST, version="7"),
        encoded(MANIFEST, routes=[ROUTE | {"service": "nobody"}]),
        encoded(MANIFEST, routes=[ROUTE, ROUTE | {"name": "other"}]),
        encoded(MANIFEST, routes=[ROUTE | {"timeoutMs": 0}]),
    ],
    ids=["truncated", "no object", "wrong type", "unknown service", "same prefix", "no timeout"],
)
def test_an_invalid_manifest_is_rejected(body):
    with pytest.raises(Malformed):
        decode_manifest(body)


def test_hosts_of_routes_differ_by_more_than_their_case():
    other = ROUTE | {"name": "other", "host": "H.Example"}
    assert decode_manifest(encoded(MANIFEST, routes=[other])).queues[0].host == "h.example"
    with pytest.raises(Malformed):
        decode_manifest(encoded(MANIFEST, routes=[ROUTE, other]))


# Guards against a manifest in force of which a part was not understood (rule CONFIG, issue 52).
@pytest.mark.parametrize(
    "changes",
    [
        {"limits": None},
        {"limits": []},
        {"limits": {"idleTimeoutMs": "15000"}},
        {"limits": {"maxBodyBytes": -1}},
        {"routes": [ROUTE | {"kind": 4}]},
        {"services": [SERVICE | {"healthPath": 4}]},
        {"services": [SERVICE | {"maxConnections": "64"}]},
        {"services": [SERVICE | {"tls": "no"}]},
        {"services": [SERVICE | {"protocol": 1}]},
    ],
    ids=str,
)
def test_a_manifest_of_which_any_known_part_is_odd_is_rejected(changes):
    with pytest.raises(Malformed):
        decode_manifest(encoded(MANIFEST, **changes))


def test_unknown_fields_of_a_manifest_are_passed_over():
    unknown = {"new": {"a": [1]}}
    body = encoded(
        MANIFEST | unknown,
        routes=[ROUTE | unknown],
        services=[SERVICE | unknown],
        limits={"idleTimeoutMs": 15000} | unknown,
    )
    assert decode_manifest(body).version == 7


def test_a_heartbeat_is_decoded_with_rack_and_capacity():
    record = decode_heartbeat("i-1", encoded(HEARTBEAT, state="draining")).record
    assert (record.rack, record.millicores, record.draining) == ("r1-3", 16000, True)
    assert record.life.born_ms == 99


@pytest.mark.parametrize(
    "changes",
    [{"state": "resting"}, {"capacity": 5}, {"sequence": None}, {"address": "x"}, {"zone": 4}],
    ids=str,
)
def test_an_invalid_heartbeat_is_rejected(changes):
    with pytest.raises(Malformed):
        decode_heartbeat("i-1", encoded(HEARTBEAT, **changes))


def test_a_submission_is_decoded_with_its_defaults():
    body = {"taskSpec": "t", "steps": [{"count": 2, "cpu": 500}, {"after": [0], "fills": True}]}
    spec = decode_submission(orjson.dumps(body))
    assert [step.count for step in spec.steps] == [2, 1]
    assert spec.steps[1].after == [0] and spec.steps[1].filling
    assert not spec.steps[0].lasting


@pytest.mark.parametrize(
    "body",
    [b"", b"{}", b'{"steps":[]}', b'{"steps":[{"after":[0]}]}', b'{"steps":[{"cpu":"1"}]}'],
)
def test_an_invalid_submission_is_rejected(body):
    with pytest.raises(Malformed):
        decode_submission(body)


def test_method_and_path_determine_the_verb():
    assert verb_of("POST", "/q/00000000000000a1") == JobVerb.SUBMIT
    assert verb_of("GET", "/q/") == JobVerb.COUNT
    assert verb_of("DELETE", "/q/") is None
    assert is_job_id("00000000000000a1") and not is_job_id("nothing")


def test_each_kind_of_answer_has_its_status():
    answers = {
        200: JobAnswer(JobAnswerKind.STATE, state="running"),
        410: JobAnswer(JobAnswerKind.GONE),
        404: JobAnswer(JobAnswerKind.NO_QUEUE),
        503: JobAnswer(JobAnswerKind.REFUSED, reason="busy"),
    }
    for status, answer in answers.items():
        assert encode_answer(answer)[0] == status
