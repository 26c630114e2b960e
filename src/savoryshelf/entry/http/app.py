"""The WSGI application: routing, authentication, limits on bodies and typed refusals."""

import json
import traceback
from collections.abc import Callable

import attrs
import eventlet
from werkzeug.exceptions import HTTPException
from werkzeug.routing import Map, Rule
from werkzeug.wrappers import Request, Response

from ...clock import Clock
from ...errors import Certainty, ControlUnavailable, RefusedByControl, RequestRefused
from ...observability import metrics
from ...observability.http import operations_reply
from ...observability.logs import log_event
from ...tokens import Bearer, InvalidToken, verify
from ..batch import BatchDispatch
from ..control_client import ControlClient
from ..critical import CriticalPath
from ..state import EntryState

DEFAULT_MAX_BODY_BYTES = 1024 * 1024
STATUS_BY_REASON = {
    "no_such_job": 404,
    "no_such_worker": 404,
    "no_such_view": 404,
    "no_such_version": 404,
    "no_such_class": 404,
    "no_such_team": 403,
    "key_reused": 409,
    "version_conflict": 409,
    "membership_change_refused": 409,
    "team_queue_full": 429,
    "never_fits": 422,
}


@attrs.define
class EntryContext:
    """The dependencies that request handlers get."""

    state: EntryState
    critical: CriticalPath
    batch: BatchDispatch
    control: ControlClient
    clock: Clock
    token_key: str
    body_seconds: float = 10.0
    in_flight: int = 0


_RULES: list[Rule] = []
_HANDLER_BY_ENDPOINT: dict[str, Callable[..., Response]] = {}


def route(path: str, method: str):
    """Register a handler, called with the context, the request and the path's parameters."""

    def register(function):
        endpoint = f"{function.__module__}.{function.__qualname__}"
        _RULES.append(Rule(path, endpoint=endpoint, methods=[method]))
        _HANDLER_BY_ENDPOINT[endpoint] = function
        return function

    return register


class EntryApplication:
    """The WSGI callable: routes requests and turns errors into typed refusals."""

    def __init__(self, context: EntryContext):
        self._context = context
        self._url_map = Map([rule.empty() for rule in _RULES])

    def __call__(self, environ, start_response):
        """Answer one HTTP request."""
        request = Request(environ)
        reply = operations_reply(request.path, self._is_ready)
        if reply is None:
            response = self._counted_answer(request)
        else:
            response = Response(reply.body, reply.status, content_type=reply.content_type)
        if self._context.state.is_stopping:
            # Callers must not reuse a connection that is about to close.
            response.headers["Connection"] = "close"
        return response(environ, start_response)

    def _is_ready(self) -> bool:
        return self._context.state.is_ready(self._context.clock.monotonic())

    def _counted_answer(self, request: Request) -> Response:
        """Answer a request, counting it as in flight until the last byte is written."""
        self._context.in_flight += 1
        try:
            response = self._answer(request)
        except Exception as error:
            # An internal error must still give the caller a typed answer.
            log_event("entry:fault", error=repr(error), traceback=traceback.format_exc())
            fault = RequestRefused("internal_error", type(error).__name__, 500, Certainty.UNKNOWN)
            response = refusal_response(fault)
        response.call_on_close(self._finished)
        return response

    def _finished(self) -> None:
        self._context.in_flight -= 1

    def _answer(self, request: Request) -> Response:
        try:
            endpoint, parameters = self._url_map.bind_to_environ(request.environ).match()
            return _HANDLER_BY_ENDPOINT[endpoint](self._context, request, **parameters)
        except RequestRefused as error:
            return refusal_response(error)
        except RefusedByControl as error:
            status = STATUS_BY_REASON.get(error.reason, 400)
            return refusal_response(RequestRefused(error.reason, error.detail, status))
        except ControlUnavailable as error:
            return refusal_response(_control_unavailable(error))
        except HTTPException as error:
            reason = error.name.lower().replace(" ", "_")
            return refusal_response(RequestRefused(reason, error.description, error.code))


def _control_unavailable(error: ControlUnavailable) -> RequestRefused:
    certainty = Certainty.UNKNOWN if error.outcome_unknown else Certainty.NOT_RUN
    return RequestRefused("control_unavailable", str(error), 503, certainty)


def refusal_response(refusal: RequestRefused) -> Response:
    """Return the JSON answer to a refused request, and count its reason."""
    metrics.REFUSALS.labels(refusal.reason).inc()
    log_event("entry:refused", reason=refusal.reason, detail=refusal.detail)
    body = {
        "reason": refusal.reason,
        "detail": refusal.detail,
        "certainty": refusal.certainty.value,
    }
    return json_response(body, refusal.status)


def json_response(body: object, status: int = 200) -> Response:
    """Return a JSON answer."""
    return Response(json.dumps(body) + "\n", status=status, content_type="application/json")


def authenticate(context: EntryContext, request: Request) -> Bearer:
    """Return the bearer of the request's token; raises RequestRefused if it is invalid."""
    scheme, _, token = request.headers.get("Authorization", "").partition(" ")
    try:
        if scheme != "Bearer":
            raise InvalidToken("send the header Authorization: Bearer TOKEN")
        return verify(context.token_key, token)
    except InvalidToken as error:
        raise RequestRefused("unauthenticated", str(error), 401) from None


def require_subject(context: EntryContext, request: Request, subject: str) -> None:
    """Raise RequestRefused unless the request's token belongs to ``subject``."""
    if authenticate(context, request).subject != subject:
        raise RequestRefused("forbidden", f"only the {subject} token may do this", 403)


def read_body(
    context: EntryContext, request: Request, max_bytes: int = DEFAULT_MAX_BODY_BYTES
) -> bytes:
    """Return the whole body; raises RequestRefused if it is too large, truncated or slow."""
    declared_length = request.content_length
    if declared_length is not None and declared_length > max_bytes:
        raise RequestRefused("body_too_large", f"at most {max_bytes} bytes are taken", 413)
    try:
        with eventlet.Timeout(context.body_seconds):
            body = request.environ["wsgi.input"].read(
                max_bytes + 1 if declared_length is None else declared_length
            )
    except eventlet.Timeout:
        raise RequestRefused(
            "body_too_slow", f"the body took over {context.body_seconds} s", 408
        ) from None
    except (OSError, ValueError) as error:
        raise RequestRefused("body_truncated", str(error), 400) from None
    if declared_length is not None and len(body) < declared_length:
        raise RequestRefused(
            "body_truncated", f"{len(body)} of {declared_length} bytes were received", 400
        )
    if len(body) > max_bytes:
        raise RequestRefused("body_too_large", f"at most {max_bytes} bytes are taken", 413)
    return body


def read_json(
    context: EntryContext, request: Request, max_bytes: int = DEFAULT_MAX_BODY_BYTES
) -> dict:
    """Return the request's body as a JSON object; raises RequestRefused."""
    try:
        content = json.loads(read_body(context, request, max_bytes))
    except ValueError as error:
        raise RequestRefused("bad_json", str(error), 400) from None
    if not isinstance(content, dict):
        raise RequestRefused("bad_json", "send a JSON object", 400)
    return content
