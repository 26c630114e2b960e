"""Classes of the operators' declarations, and their conversion from and to JSON.

The classes are immutable and validate their values on construction.
"""

import json
from collections.abc import Callable, Iterator

import attrs
import cattrs
from cattrs.preconf.json import make_converter

from ..errors import InvalidDeclaration, InvalidDeclarations

MAX_BODY_BYTES_LIMIT = 1024 * 1024
"""Upper bound of the values that may be declared as ``max_body_bytes``."""


def _between(low: float, high: float):
    """Return an attrs validator for numbers from ``low`` to ``high``, both included."""

    def check(instance, attribute, value):
        if not low <= value <= high:
            raise InvalidDeclaration(
                type(instance).__name__, attribute.name, value, f"use {low} to {high}"
            )

    return check


@attrs.frozen(kw_only=True)
class Weights:
    """Relative weights of the organisation's objectives; only their ratios matter."""

    tail_latency: float = attrs.field(default=1.0, validator=_between(0, 1000))
    throughput: float = attrs.field(default=1.0, validator=_between(0, 1000))
    evictions: float = attrs.field(default=1.0, validator=_between(0, 1000))


@attrs.frozen(kw_only=True)
class Service:
    """A latency-critical service.

    Its requests are idempotent and are answered on the caller's connection.
    """

    target_ms: int = attrs.field(default=250, validator=_between(1, 60_000))
    """Target for the 99th percentile of the request latency."""

    timeout_ms: int = attrs.field(default=2000, validator=_between(10, 60_000))
    """Time after which a request is refused if it has no answer yet."""

    max_attempts: int = attrs.field(default=2, validator=_between(1, 5))
    """Maximum number of attempts of a request, hedged ones included.

    One more is made if the last attempt is known not to have run.
    """

    cores: float = attrs.field(default=1.0, validator=_between(0, 1024))
    memory_mb: int = attrs.field(default=256, validator=_between(0, 4_194_304))
    repeatable: bool = attrs.field(default=True)

    @repeatable.validator
    def _check_repeatable(self, attribute, value):
        if not value:
            raise InvalidDeclaration(
                "Service",
                "repeatable",
                value,
                "requests that must not be repeated belong to a batch class; "
                "declare one and submit them as urgent jobs",
            )


@attrs.frozen(kw_only=True)
class BatchClass:
    """A class of batch jobs; its resource demands are hints."""

    repeatable: bool = True
    """Whether a task that failed, or whose outcome is unknown, may be started again."""

    cores: float = attrs.field(default=1.0, validator=_between(0, 1024))
    memory_mb: int = attrs.field(default=1024, validator=_between(0, 4_194_304))
    accelerators: int = attrs.field(default=0, validator=_between(0, 64))
    expected_s: float = attrs.field(default=60.0, validator=_between(0, 604_800))
    max_failures: int = attrs.field(default=3, validator=_between(1, 20))
    """Number of failed attempts after which a repeatable job is reported as failed."""

    max_body_bytes: int = attrs.field(default=65_536, validator=_between(0, MAX_BODY_BYTES_LIMIT))
    """Maximum size of the body of a submitted job."""


@attrs.frozen(kw_only=True)
class Team:
    """Quotas of one team of the organisation, counted in jobs."""

    max_running: int = attrs.field(default=50, validator=_between(0, 100_000))
    max_queued: int = attrs.field(default=1000, validator=_between(0, 1_000_000))
    token_generation: int = attrs.field(default=1, validator=_between(1, 1_000_000))
    """Only tokens of this generation are valid; raise it to invalidate the tokens issued so far."""


@attrs.frozen(kw_only=True)
class Limits:
    """Limits and intervals of the whole site."""

    critical_reserve_slots: int = attrs.field(default=3, validator=_between(0, 64))
    """Slots of each worker that batch work cannot use; critical requests may use all slots."""

    max_waiting: int = attrs.field(default=64, validator=_between(0, 10_000))
    """Maximum number of critical requests that wait for capacity on one entry host."""

    max_body_bytes: int = attrs.field(default=262_144, validator=_between(1, MAX_BODY_BYTES_LIMIT))
    """Maximum size of the body of a critical request."""

    result_ttl_s: int = attrs.field(default=86_400, validator=_between(60, 2_592_000))
    """How long an ended job's record, result and idempotency key are kept."""

    retry_budget: float = attrs.field(default=0.1, validator=_between(0, 1))
    """Maximum ratio of retries to first attempts on one entry host."""

    urgent_wait_s: float = attrs.field(default=2.0, validator=_between(0, 60))
    """How long an urgent job waits for free capacity before other batch work is evicted for it."""

    report_interval_s: float = attrs.field(default=2.0, validator=_between(0.1, 10))
    """Interval of a worker's reports to its owner; the end of a task is reported at once."""

    task_lease_s: float = attrs.field(default=10.0, validator=_between(0.5, 120))
    """How long a worker keeps running batch tasks without a reply from its owner."""

    @task_lease_s.validator
    def _check_lease(self, attribute, value):
        if value < 3 * self.report_interval_s:
            raise InvalidDeclaration(
                "Limits", "task_lease_s", value, "use at least three times report_interval_s"
            )


@attrs.frozen(kw_only=True)
class ExpectedFleet:
    """The workers that a site should have; ``status`` shows how many are missing.

    ``cores``, ``memory_mb``, ``slots`` and ``connections`` are those of one
    worker.  A worker is used from its announcement on, whether it is expected or
    not.
    """

    workers: int = attrs.field(default=0, validator=_between(0, 100_000))
    cores: float = attrs.field(default=0.0, validator=_between(0, 1024))
    memory_mb: int = attrs.field(default=0, validator=_between(0, 4_194_304))
    slots: int = attrs.field(default=0, validator=_between(0, 1024))
    connections: int = attrs.field(default=0, validator=_between(0, 100_000))
    workers_per_rack: int = attrs.field(default=0, validator=_between(0, 1000))
    region_by_failure_domain: dict[str, str] = attrs.field(factory=dict)


@attrs.frozen(kw_only=True)
class Declarations:
    """The whole configuration of one site.

    ``customer`` names the organisation that the site belongs to.
    """

    customer: str
    site: str = ""
    weights: Weights = Weights()
    services: dict[str, Service] = attrs.field(factory=dict)
    batch_classes: dict[str, BatchClass] = attrs.field(factory=dict)
    teams: dict[str, Team] = attrs.field(factory=dict)
    limits: Limits = Limits()
    fleet: ExpectedFleet = ExpectedFleet()


_CONVERTER = make_converter(forbid_extra_keys=True, detailed_validation=True)


def parse(content: dict, source_of: Callable[[str], str] | None = None) -> Declarations:
    """Return the declarations in ``content``.

    ``source_of`` returns the file that a key comes from.  Raises
    InvalidDeclarations with one InvalidDeclaration for each unknown or missing
    key and each value of the wrong type.  Only if there are none, it is raised
    for all values out of range.
    """
    source_of = source_of or (lambda key: "declarations")
    try:
        # Construction would stop at the first invalid value. The validators run
        # one by one below instead, so that all invalid values are reported.
        with attrs.validators.disabled():
            declarations = _CONVERTER.structure(content, Declarations)
    except cattrs.BaseValidationError as error:
        problems = list(_convert_structure_errors(error, "", source_of))
        raise InvalidDeclarations("invalid declarations", problems) from None
    problems = list(_find_invalid_values(declarations, "", source_of))
    if problems:
        raise InvalidDeclarations("invalid declarations", problems)
    return declarations


def _find_invalid_values(instance, path: str, source_of) -> Iterator[InvalidDeclaration]:
    """Run the validators; yield an error for each invalid value."""
    if isinstance(instance, dict):
        for key, value in instance.items():
            yield from _find_invalid_values(value, _join_path(path, key), source_of)
        return
    if not attrs.has(type(instance)):
        return
    for field in attrs.fields(type(instance)):
        value = getattr(instance, field.name)
        key = _join_path(path, field.name)
        yield from _find_invalid_values(value, key, source_of)
        try:
            if field.validator is not None:
                field.validator(instance, field, value)
        except InvalidDeclaration as error:
            yield InvalidDeclaration(source_of(key), key, value, error.fix)


def _convert_structure_errors(
    error: BaseException, path: str, source_of
) -> Iterator[InvalidDeclaration]:
    """Yield an error for each key that cattrs could not structure.

    cattrs attaches the path of a key to its exceptions as notes.
    """
    path = _extend_path(path, error)
    if isinstance(error, BaseExceptionGroup):
        for inner in error.exceptions:
            yield from _convert_structure_errors(inner, path, source_of)
    elif isinstance(error, cattrs.ForbiddenExtraKeysError):
        for key in sorted(_join_path(path, extra_field) for extra_field in error.extra_fields):
            fix = "unknown key; remove it or correct its name"
            yield InvalidDeclaration(source_of(key), key, key.rpartition(".")[2], fix)
    elif isinstance(error, KeyError):
        yield InvalidDeclaration(source_of(path), path, None, "the required key is missing; add it")
    else:
        yield InvalidDeclaration(source_of(path), path, str(error), "use a value of the key's type")


def _extend_path(path: str, error: BaseException) -> str:
    for note in getattr(error, "__notes__", []):
        name = getattr(note, "name", getattr(note, "index", None))
        if name is not None:
            path = _join_path(path, str(name))
    return path


def _join_path(path: str, key: str) -> str:
    return f"{path}.{key}" if path else key


def to_content(declarations: Declarations) -> dict:
    """Return the declarations as plain dicts, with all defaults."""
    return _CONVERTER.unstructure(declarations)


def to_document(declarations: Declarations) -> str:
    """Return the declarations as canonical JSON, as it is stored in the log."""
    return json.dumps(to_content(declarations), sort_keys=True, separators=(",", ":"))


def from_document(document: str) -> Declarations:
    """Return the declarations stored as canonical JSON."""
    return parse(json.loads(document), lambda key: "configuration in force")
