"""Settings of a daemon.

Each setting is a command-line flag and an environment variable.  All of them
are validated together, so that one start reports every invalid setting.
"""

import ipaddress
import os
from collections.abc import Callable, Mapping

import attrs

from .entry.routing import POLICIES as ROUTING_POLICIES
from .errors import InvalidSetting, InvalidSettings
from .scheduling.interference import POLICIES as INTERFERENCE_POLICIES
from .scheduling.placement import POLICIES as PLACEMENT_POLICIES

ENVIRONMENT_PREFIX = "SAVORYSHELF_"
MIN_KEY_LENGTH = 16


@attrs.frozen
class Description:
    """Help text and parser of a setting, and how to correct an invalid value (``fix``)."""

    help: str
    parse: Callable[[str], object]
    fix: str


def _setting(help_text: str, parse: Callable[[str], object], fix: str, **options):
    """Return an attrs field with its description in the metadata."""
    return attrs.field(metadata={"description": Description(help_text, parse, fix)}, **options)


def _parse_name(text: str) -> str:
    if not text or not all(c.isalnum() or c in "-_" for c in text):
        raise ValueError
    return text


def _parse_address(text: str) -> str:
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host)
    if not 0 <= int(port) <= 65535:
        raise ValueError
    return text


def _parse_key(text: str) -> str:
    if len(text) < MIN_KEY_LENGTH:
        raise ValueError
    return text


def _parse_seconds(text: str) -> float:
    value = float(text)
    if not 0 <= value <= 3600:
        raise ValueError
    return value


def _registry_key_parser(registry: Mapping[str, object]) -> Callable[[str], str]:
    """Return a parser that accepts only keys of ``registry``."""

    def parse(text: str) -> str:
        if text not in registry:
            raise ValueError
        return text

    return parse


def _parse_positive_integer(text: str) -> int:
    value = int(text)
    if value < 1:
        raise ValueError
    return value


def _parse_control_hosts(text: str) -> tuple[tuple[str, str, str], ...]:
    """Parse ``name=ip:port@failure-domain`` items separated by commas."""
    hosts = []
    for item in text.split(","):
        name, _, rest = item.strip().partition("=")
        address, _, domain = rest.partition("@")
        hosts.append((_parse_name(name), _parse_address(address), domain))
    if len({name for name, *_ in hosts}) != len(hosts):
        raise ValueError
    return tuple(hosts)


def _parse_writable_folder(text: str) -> str:
    os.makedirs(text, exist_ok=True)
    if not os.access(text, os.W_OK):
        raise ValueError
    return text


_ADDRESS_FIX = "use an IP address and a port, such as 10.0.0.5:7000"
_SECONDS_FIX = "use a number of seconds from 0 to 3600"
_KEY_FIX = f"use at least {MIN_KEY_LENGTH} characters"


@attrs.frozen(kw_only=True)
class _CommonSettings:
    """Settings of both roles."""

    name: str = _setting(
        "Name of this host, unique in its role.",
        _parse_name,
        "use letters, digits, hyphens and underscores",
    )
    listen: str = _setting(
        "Address (ip:port) for connections of other processes (thrift).",
        _parse_address,
        _ADDRESS_FIX,
    )
    http_listen: str = _setting(
        "Address (ip:port) of the HTTP server.", _parse_address, _ADDRESS_FIX
    )
    failure_domain: str = _setting(
        "Failure domain of this host.",
        _parse_name,
        "use letters, digits, hyphens and underscores",
        default="",
    )
    control_hosts: tuple = _setting(
        "Control hosts: name=ip:port@failure-domain, separated by commas.",
        _parse_control_hosts,
        "use name=ip:port@failure-domain items with unique names",
    )
    cluster_key: str = _setting(
        "Secret by which the site's processes authenticate to each other.",
        _parse_key,
        _KEY_FIX,
        repr=False,
    )


@attrs.frozen(kw_only=True)
class ControlSettings(_CommonSettings):
    """Settings of a control host."""

    data_folder: str = _setting(
        "Folder for the replicated log and snapshots, on a local disk.",
        _parse_writable_folder,
        "use a writable folder",
    )
    heartbeat_seconds: float = _setting(
        "Interval of the leader's heartbeats, in seconds.",
        _parse_seconds,
        _SECONDS_FIX,
        default=0.2,
    )
    election_seconds: float = _setting(
        "Time without leader contact before an election starts, in seconds.",
        _parse_seconds,
        _SECONDS_FIX,
        default=1.0,
    )
    snapshot_every: int = _setting(
        "Number of log entries between snapshots.",
        _parse_positive_integer,
        "use an integer of at least 1",
        default=5000,
    )
    placement_policy: str = _setting(
        "Policy that chooses workers for batch work.",
        _registry_key_parser(PLACEMENT_POLICIES),
        f"use one of {', '.join(sorted(PLACEMENT_POLICIES))}",
        default="calm",
    )

    interference_policy: str = _setting(
        "Policy for batch work that slows down critical requests.",
        _registry_key_parser(INTERFERENCE_POLICIES),
        f"use {' or '.join(sorted(INTERFERENCE_POLICIES))}",
        default="limit_then_evict",
    )

    @property
    def advertise(self) -> str:
        """Return the address that other processes connect to."""
        return self.listen


@attrs.frozen(kw_only=True)
class EntrySettings(_CommonSettings):
    """Settings of an entry host."""

    token_key: str = _setting(
        "Secret from which the tokens of teams, operators and targets are derived.",
        _parse_key,
        _KEY_FIX,
        repr=False,
    )
    routing_policy: str = _setting(
        "Policy that chooses workers for critical requests.",
        _registry_key_parser(ROUTING_POLICIES),
        f"use one of {', '.join(sorted(ROUTING_POLICIES))}",
        default="expected_latency",
    )
    body_seconds: float = _setting(
        "Timeout for reading a request body, in seconds.",
        _parse_seconds,
        _SECONDS_FIX,
        default=10.0,
    )
    drain_seconds: float = _setting(
        "Time for which a stopping host keeps serving, until load balancers avoid it, in seconds.",
        _parse_seconds,
        _SECONDS_FIX,
        default=2.0,
    )


SETTINGS_BY_ROLE = {"control": ControlSettings, "entry": EntrySettings}


def fields_of_all_roles() -> dict[str, attrs.Attribute]:
    """Return the settings of all roles, by name."""
    field_by_name: dict[str, attrs.Attribute] = {}
    for settings_class in SETTINGS_BY_ROLE.values():
        for field in attrs.fields(settings_class):
            field_by_name.setdefault(field.name, field)
    return field_by_name


def read_settings(role: str, text_by_name: Mapping[str, str | None]):
    """Return the settings of ``role``, parsed from their texts.

    Raises InvalidSettings with one InvalidSetting for each missing or invalid setting.
    """
    problems: list[InvalidSetting] = []
    values: dict[str, object] = {}
    settings_class = SETTINGS_BY_ROLE.get(role)
    if settings_class is None:
        problem = InvalidSetting("--role", role, f"use {' or '.join(SETTINGS_BY_ROLE)}")
        raise InvalidSettings("invalid settings", [problem])
    for field in attrs.fields(settings_class):
        text = text_by_name.get(field.name)
        if text is None:
            if field.default is attrs.NOTHING:
                problems.append(_missing_setting(field))
            continue
        try:
            values[field.name] = field.metadata["description"].parse(text)
        except (ValueError, OSError):
            problems.append(_invalid_setting(field, text))
    if problems:
        raise InvalidSettings("invalid settings", problems)
    return settings_class(**values)


def flag_of(name: str) -> str:
    """Return the command-line flag of a setting."""
    return "--" + name.replace("_", "-")


def _missing_setting(field: attrs.Attribute) -> InvalidSetting:
    variable = ENVIRONMENT_PREFIX + field.name.upper()
    return InvalidSetting(
        flag_of(field.name), None, f"a value is required: set the flag or {variable}"
    )


def _invalid_setting(field: attrs.Attribute, text: str) -> InvalidSetting:
    displayed_text = text if field.repr else "(hidden)"
    return InvalidSetting(flag_of(field.name), displayed_text, field.metadata["description"].fix)
