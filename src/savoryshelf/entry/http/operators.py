"""Routes for operators: views, configuration, draining targets and removing replicas."""

import secrets

from werkzeug.wrappers import Request, Response

from ...configuration.declarations import parse, to_document
from ...errors import InvalidDeclarations, RequestRefused
from ...tokens import OPERATOR
from ...wire.generated import ttypes
from ...wire.generated.ttypes import WorkerStanding
from .app import EntryContext, json_response, read_json, require_subject, route

_STANDING_BY_ACTION = {"drain": WorkerStanding.DRAINED, "return": WorkerStanding.ACTIVE}


@route("/v1/operator/views/<name>", "GET")
def view(context: EntryContext, request: Request, name: str) -> Response:
    """Return one of the leader's views."""
    require_subject(context, request, OPERATOR)
    text = context.control.call("view", name, request.args.get("argument", ""))
    return Response(text + "\n", content_type="application/json")


@route("/v1/operator/configuration", "PUT")
def apply_configuration(context: EntryContext, request: Request) -> Response:
    """Apply declarations if ``expected_version`` is still the current version."""
    require_subject(context, request, OPERATOR)
    content = read_json(context, request)
    try:
        document = to_document(parse(content["declarations"]))
        change = ttypes.ApplyConfiguration(
            str(content["operation_id"]),
            int(content["expected_version"]),
            document,
            str(content.get("author", "")),
        )
    except InvalidDeclarations as error:
        detail = "; ".join(str(each) for each in error.exceptions)
        raise RequestRefused("invalid_declarations", detail, 400) from None
    except (KeyError, TypeError, ValueError) as error:
        raise RequestRefused("bad_request", f"{type(error).__name__}: {error}", 400) from None
    reply = context.control.call("apply", change)
    return json_response({"version": reply.version, "duplicate": reply.duplicate})


@route("/v1/operator/targets/<worker_id>/<action>", "POST")
def change_standing(
    context: EntryContext, request: Request, worker_id: str, action: str
) -> Response:
    """Drain a worker, or make it active again."""
    require_subject(context, request, OPERATOR)
    standing = _STANDING_BY_ACTION.get(action)
    if standing is None:
        raise RequestRefused("not_found", f"use {' or '.join(_STANDING_BY_ACTION)}", 404)
    operation_id = request.headers.get("Idempotency-Key") or secrets.token_hex(8)
    change = ttypes.ChangeStanding(operation_id, worker_id, standing, "")
    context.control.call("change_standing", change)
    return json_response({"worker_id": worker_id, "standing": standing.name.lower()})


@route("/v1/operator/replicas/<name>", "DELETE")
def remove_replica(context: EntryContext, request: Request, name: str) -> Response:
    """Remove a control replica permanently."""
    require_subject(context, request, OPERATOR)
    context.control.call("remove_replica", name, idempotent=False)
    return json_response({"removed": name})
