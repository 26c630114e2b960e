"""A settings file of any shape is refused by one kind of error, and does not end its process."""

import copy
import json

import pytest
from hypothesis import given, settings
from savoryshelf_platform.settings import decode_settings, read_settings

from savoryshelf.errors import InvalidSetting
from standins.platform import platform_settings

from .test_malformed import variants

SEEDS = ["10.0.0.1", "10.0.0.2"]
FIELDS = platform_settings("core", "10.0.0.1", {"control": 80, "peers": 7000}, SEEDS, "/data")


# Guards against a process that ends, or follows its settings no longer, after one odd value.
@settings(max_examples=300)
@given(variants(FIELDS))
def test_any_settings_are_refused_or_decoded(fields):
    try:
        decoded = decode_settings(copy.deepcopy(fields))
    except InvalidSetting:
        return
    assert not decoded.control_address or decoded.control_port in range(1, 2**16)
    assert decoded.peer_port in range(1, 2**16)
    assert all(isinstance(ip, str) for ip in decoded.seed_ips)


@pytest.mark.parametrize(
    "content",
    [b"", b"[]", b"{", b"[" * 100_000, b'{"node":' + b"9" * 5000 + b"}", b"\xff", b'"text"'],
    ids=lambda content: repr(content[:9]),
)
def test_an_unreadable_file_is_refused(tmp_path, content):
    path = tmp_path / "settings.json"
    path.write_bytes(content)
    with pytest.raises(InvalidSetting):
        read_settings(str(path))


# Guards against hosts that follow no list of seeds after one odd entry in it.
@pytest.mark.parametrize(
    "seed",
    [
        5,
        None,
        "",
        "10.0.0.3:99999",
        ":80",
        "a\x00b:80",
        "é" * 80 + ":80",
        ["x"],
        "a\nb:80",
        "localhost:80",
        "control-1.example:80",
    ],
)
def test_an_odd_seed_is_left_out(seed):
    decoded = decode_settings(json.loads(json.dumps(FIELDS | {"seeds": [seed, *FIELDS["seeds"]]})))
    assert decoded.seed_ips == SEEDS


# Guards against a name in place of an address, whose look-up blocks the whole process.
@pytest.mark.parametrize("name", ["localhost", "host.example", "10.1", ""])
@pytest.mark.parametrize("place", ["ip", "control", "front", "ready"])
def test_a_name_in_place_of_an_address_is_refused(place, name):
    changes = {"ip": name} if place == "ip" else {"listen": {place: f"{name}:80"}}
    with pytest.raises(InvalidSetting, match=place):
        decode_settings(copy.deepcopy(FIELDS | changes))
