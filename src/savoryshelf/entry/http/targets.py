"""Routes for targets: announcements, and reports to the owner."""

import ipaddress
import urllib.parse

from werkzeug.wrappers import Request, Response

from ...errors import RequestRefused
from ...tokens import TARGET
from ...wire.generated.ttypes import WorkerAnnouncement
from .app import EntryContext, json_response, read_json, require_subject, route

_HEADER_FIELDS = ("worker_id", "incarnation")
"""Fields that each call to the worker carries in its headers."""

_TEXT_FIELDS = (*_HEADER_FIELDS, "url", "failure_domain", "rack")
_INTEGER_FIELDS = ("slots", "connections", "memory_mb", "accelerators")
MAX_TEXT_LENGTH = 200
MAX_REPORT_BYTES = 32 * 1024 * 1024
"""A report lists every task, including results not acknowledged yet."""


@route("/v1/targets", "POST")
def announce(context: EntryContext, request: Request) -> Response:
    """Accept a worker's announcement; any entry host forwards it to control."""
    require_subject(context, request, TARGET)
    context.state.require_declarations(context.clock.monotonic())
    context.state.add_announcement(_parse_announcement(read_json(context, request)))
    return json_response({"accepted": True}, 202)


@route("/v1/targets/<worker_id>/report", "POST")
def report(context: EntryContext, request: Request, worker_id: str) -> Response:
    """Apply an owned worker's report and renew its lease; 409 if this host is not the owner."""
    require_subject(context, request, TARGET)
    content = read_json(context, request, MAX_REPORT_BYTES)
    try:
        reply = context.batch.handle_report(worker_id, int(content["epoch"]), content)
    except (KeyError, TypeError, ValueError) as error:
        raise RequestRefused("bad_report", f"{type(error).__name__}: {error}", 400) from None
    if reply is None:
        raise RequestRefused("not_owner", "announce again to find the owner", 409)
    return json_response(reply)


def _parse_announcement(content: dict) -> WorkerAnnouncement:
    values = {}
    for name in _TEXT_FIELDS:
        values[name] = _require_field(content, name, str)
    for name in _HEADER_FIELDS:
        text = values[name]
        if not (text.isascii() and text.isprintable() and text == text.strip()):
            detail = f"{name}: {text!r} is invalid; use printable ASCII characters"
            raise RequestRefused("bad_announcement", detail, 400)
    for name in _INTEGER_FIELDS:
        values[name] = _require_field(content, name, int)
    values["cores"] = float(_require_field(content, "cores", (int, float)))
    url = urllib.parse.urlsplit(values["url"])
    try:
        ipaddress.ip_address(url.hostname or "")
        is_usable = url.scheme == "http" and url.port is not None
    except ValueError:
        is_usable = False
    if not is_usable:
        raise RequestRefused(
            "bad_announcement",
            f"url: {values['url']!r} is invalid; use http://IP-ADDRESS:PORT",
            400,
        )
    return WorkerAnnouncement(**values)


def _require_field(content: dict, name: str, kind):
    value = content.get(name)
    is_valid = isinstance(value, kind) and not isinstance(value, bool)
    if is_valid and isinstance(value, str):
        is_valid = 0 < len(value) <= MAX_TEXT_LENGTH
    elif is_valid:
        is_valid = value >= 0
    if not is_valid:
        raise RequestRefused(
            "bad_announcement",
            f"{name}: {value!r} is invalid; texts have 1 to {MAX_TEXT_LENGTH} characters, "
            "numbers are at least 0",
            400,
        )
    return value
