import pytest

from savoryshelf.errors import InvalidSettings
from savoryshelf.settings import read_settings

ENTRY = {
    "name": "e0",
    "listen": "127.0.0.1:7000",
    "http_listen": "127.0.0.1:8000",
    "control_hosts": "c0=127.0.0.1:7001@pe-1,c1=127.0.0.1:7002@pe-2",
    "cluster_key": "a-key-of-sixteen",
    "token_key": "another-key-of-16",
}


def test_settings_are_read():
    settings = read_settings("entry", ENTRY)
    assert settings.control_hosts[1] == ("c1", "127.0.0.1:7002", "pe-2")


def test_all_wrong_settings_are_reported_together():
    invalid_settings = ENTRY | {"listen": "localhost:7000", "drain_seconds": "soon", "name": None}
    with pytest.raises(InvalidSettings) as caught:
        read_settings("entry", invalid_settings)
    text = " ".join(str(error) for error in caught.value.exceptions)
    assert len(caught.value.exceptions) == 3
    assert "'localhost:7000'" in text
    assert "SAVORYSHELF_NAME" in text


def test_a_secret_is_never_shown():
    """Secrets must not reach logs, neither in error messages nor in the settings' repr."""
    with pytest.raises(InvalidSettings) as caught:
        read_settings("entry", ENTRY | {"cluster_key": "short-secret"})
    assert "short-secret" not in str(caught.value.exceptions[0])
    assert "a-key-of-sixteen" not in repr(read_settings("entry", ENTRY))


def test_an_unknown_role_is_refused():
    with pytest.raises(InvalidSettings, match="invalid settings"):
        read_settings("scheduler", ENTRY)
