"""Routes for callers: critical requests, and submitting, reading and cancelling batch jobs."""

import hashlib

from werkzeug.wrappers import Request, Response

from ...errors import Certainty, RequestRefused
from ...observability.logs import request_action, trace_id_of
from ...wire.generated import ttypes
from .app import EntryContext, authenticate, json_response, read_body, route

MAX_KEY_LENGTH = 200
MAX_WAIT_SECONDS = 25.0
JOB_ID_HEX_DIGITS = 24
BINARY_TYPE = "application/octet-stream"


@route("/v1/services/<service>", "POST")
def run_critical(context: EntryContext, request: Request, service: str) -> Response:
    """Run a critical request and return the worker's answer byte for byte."""
    team = _require_team(context, request)
    declarations = context.state.require_declarations(context.clock.monotonic())
    body = read_body(context, request, declarations.limits.max_body_bytes)
    timeout_ms = _parse_integer(request.headers.get("Savoryshelf-Timeout-Ms", "0"), "timeout")
    with request_action("entry:critical", service=service, team=team) as action:
        call = context.critical.make_call(
            service,
            team,
            request.content_type or BINARY_TYPE,
            body,
            timeout_ms,
            trace_id_of(action),
        )
        answer = context.critical.serve(call)
        action.add_success_fields(worker=answer.worker_id, attempts=answer.attempts)
    response = Response(answer.body, answer.status, content_type=answer.content_type)
    response.headers["Savoryshelf-Worker"] = answer.worker_id
    response.headers["Savoryshelf-Attempts"] = str(answer.attempts)
    return response


@route("/v1/jobs/<class_name>", "POST")
def submit_job(context: EntryContext, request: Request, class_name: str) -> Response:
    """Accept a batch job; the response is sent once a majority has stored it durably."""
    team = _require_team(context, request)
    key = request.headers.get("Idempotency-Key", "")
    if not 0 < len(key) <= MAX_KEY_LENGTH:
        detail = f"send an Idempotency-Key header of 1 to {MAX_KEY_LENGTH} characters"
        raise RequestRefused("no_key", detail, 400)
    batch_class = _require_batch_class(context, class_name)
    body = read_body(context, request, batch_class.max_body_bytes)
    with request_action("entry:submit", class_name=class_name, team=team) as action:
        job = ttypes.SubmitJob(
            job_id=job_id_of(team, key),
            team=team,
            key=key,
            class_name=class_name,
            body=body,
            urgent=request.headers.get("Savoryshelf-Urgent", "") == "1",
            body_digest=hashlib.sha256(body).hexdigest(),
            trace_id=trace_id_of(action),
        )
        reply = context.control.call("submit", job)
        action.add_success_fields(job_id=reply.job_id, duplicate=reply.duplicate)
    answer = {"job_id": reply.job_id, "state": reply.state, "duplicate": reply.duplicate}
    return json_response(answer, 202)


@route("/v1/jobs/<job_id>", "GET")
def show_job(context: EntryContext, request: Request, job_id: str) -> Response:
    """Return a job's state, waiting up to ``?wait=`` seconds for it to end."""
    view = _fetch_job(context, request, job_id)
    return json_response(
        {
            "job_id": view.job_id,
            "class": view.class_name,
            "state": view.state,
            "attempt": view.attempt,
            "reason": view.reason,
            "story": view.story.splitlines(),
        }
    )


@route("/v1/jobs/<job_id>/result", "GET")
def job_result(context: EntryContext, request: Request, job_id: str) -> Response:
    """Return the result of a finished job, byte for byte."""
    view = _fetch_job(context, request, job_id)
    if view.state == "done":
        return Response(view.result, content_type=BINARY_TYPE)
    certainty = Certainty.UNKNOWN if view.attempt else Certainty.NOT_RUN
    detail = f"the job is {view.state}: {view.reason}"
    raise RequestRefused(f"job_{view.state}", detail, 409, certainty)


@route("/v1/jobs/<job_id>", "DELETE")
def cancel_job(context: EntryContext, request: Request, job_id: str) -> Response:
    """Cancel a job; a job that has ended keeps its outcome."""
    view = context.control.call("cancel", _team_or_operator(context, request), job_id)
    return json_response({"job_id": view.job_id, "state": view.state, "reason": view.reason})


def job_id_of(team: str, key: str) -> str:
    """Return the id of a team's job with this idempotency key; equal at every entry host."""
    digest = hashlib.sha256(f"{team}\0{key}".encode()).hexdigest()
    return digest[:JOB_ID_HEX_DIGITS]


def _fetch_job(context: EntryContext, request: Request, job_id: str) -> ttypes.JobView:
    wait = _parse_wait_seconds(request.args.get("wait", "0"))
    team = _team_or_operator(context, request)
    return context.control.call("job", team, job_id, wait, timeout=wait + 5.0)


def _require_team(context: EntryContext, request: Request) -> str:
    """Return the calling team; raises RequestRefused unless its token is current."""
    bearer = authenticate(context, request)
    if not bearer.is_team:
        raise RequestRefused("forbidden", "use a team's token", 403)
    declarations = context.state.require_declarations(context.clock.monotonic())
    team = declarations.teams.get(bearer.team)
    if team is None or team.token_generation != bearer.generation:
        detail = f"team {bearer.team!r} is not declared, or this token of the team is out of date"
        raise RequestRefused("forbidden", detail, 403)
    return bearer.team


def _team_or_operator(context: EntryContext, request: Request) -> str:
    if authenticate(context, request).subject == "operator":
        return "*"
    return _require_team(context, request)


def _require_batch_class(context: EntryContext, class_name: str):
    declarations = context.state.require_declarations(context.clock.monotonic())
    batch_class = declarations.batch_classes.get(class_name)
    if batch_class is None:
        detail = f"no batch class {class_name!r} is declared"
        raise RequestRefused("no_such_class", detail, 404)
    return batch_class


def _parse_integer(text: str, name: str) -> int:
    try:
        value = int(text)
    except ValueError:
        value = -1
    if value < 0:
        raise RequestRefused("bad_request", f"{name}: {text!r} is not a whole number", 400)
    return value


def _parse_wait_seconds(text: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= MAX_WAIT_SECONDS:
        detail = f"wait: {text!r} is not a number of seconds from 0 to {MAX_WAIT_SECONDS}"
        raise RequestRefused("bad_request", detail, 400)
    return value
