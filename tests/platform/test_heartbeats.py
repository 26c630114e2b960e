"""Heartbeats with values that no worker can have are refused, by a short message."""

import orjson
import pytest
from savoryshelf_platform.errors import Malformed
from savoryshelf_platform.workers import decode_heartbeat

from .test_decoding import HEARTBEAT, encoded

MAX_MESSAGE_LENGTH = 400
NAMES = ["w-1.example:80", "w_1:80", "localhost:80", "0x7f.1:80", "10.0.9:80", "167772169:80"]
"""Hosts that have to be looked up, or are numbers in a form that only some programs read."""


# Guards against entries of another writer that no call can be made to, and against look-ups of
# names, which block the whole process.
@pytest.mark.parametrize(
    "address",
    [
        "10.0.0.9:99999", "10.0.0.9:65536", "10.0.0.9:0", "10.0.0.9:" + "9" * 5000, "10.0.0.9:",
        "10.0.0.9:\u0663\u0664", "10.0.0.9:\u00b2", "10.0.0.9:+8", ":80", "a\nb:80", "a b:80",
        "a\x00b:80", "[::1:80", "::1:80", "[10.0.0.9]:80", "[fe80::1%25x]:80", "a..b:80",
        "x" * 64 + ".example:80", "x." * 200 + "x:80", "\u00e9.example:80", "http://x:80", "a/b:80",
        "300.0.0.1:80", "-a:80", "x" * 10**6, *NAMES,
        "[10.0.0.9:80", "10.0.0.9]:80", "]10.0.0.9[:80", "[[::1]]:80",
    ],
    ids=lambda address: repr(address[:20]),
)  # fmt: skip
def test_an_address_that_cannot_be_called_is_refused(address):
    with pytest.raises(Malformed, match="address|bytes") as refused:
        decode_heartbeat("i-1", encoded(HEARTBEAT, address=address))
    assert len(str(refused.value)) < MAX_MESSAGE_LENGTH


@pytest.mark.parametrize(
    "address",
    ["10.0.0.9:80", "10.0.0.9:65535", "10.0.0.9:1", "[2001:db8::1]:80"],
)
def test_an_address_that_can_be_called_is_accepted(address):
    assert decode_heartbeat("i-1", encoded(HEARTBEAT, address=address)).record.address == address


@pytest.mark.parametrize("worker_id", ["", "i\n1", "i 1", "i\u4e00", "i" * 300, "i\x00"], ids=repr)
def test_an_id_that_no_header_can_carry_is_refused(worker_id):
    with pytest.raises(Malformed, match="id"):
        decode_heartbeat(worker_id, encoded(HEARTBEAT))


NESTED = orjson.loads(b"[" * 200 + b"]" * 200)


@pytest.mark.parametrize(
    "changes",
    [
        {"labels": ["a"] * 10_000}, {"labels": ["a" * 10_000]}, {"labels": NESTED},
        {"labels": [NESTED]}, {"service": "s" * 10_000}, {"zone": "z" * 10_000},
        {"capacity": {"cpu": 2**31 - 1}}, {"capacity": {"memMb": 2**63 - 1}},
        {"capacity": {"gpu": 2**31 - 1}}, {"sequence": 2**63 - 1}, {"born": 2**63 - 1},
        {"clockMs": 2**63 - 1}, {"state": "s" * 10_000}, {"unknown": "x" * 10**6},
    ],
    ids=lambda changes: next(iter(changes)),
)  # fmt: skip
def test_what_no_worker_has_is_refused_by_a_short_message(changes):
    with pytest.raises(Malformed) as refused:
        decode_heartbeat("i-1", encoded(HEARTBEAT, **changes))
    assert len(str(refused.value)) < MAX_MESSAGE_LENGTH


# Guards against an answer that says nothing of the cause: the message itself could not be made.
@pytest.mark.parametrize("depth", [300, 900, 1000, 100_000])
def test_deeply_nested_labels_are_refused(depth):
    body = encoded(HEARTBEAT, labels="DEEP").replace(b'"DEEP"', b"[" * depth + b"]" * depth)
    with pytest.raises(Malformed):
        decode_heartbeat("i-1", body)
