"""Registry of the models, whose guards can be removed, and the call of the model checker."""

import os
from collections.abc import Callable

import attrs
from minicheck import Protocol, check_safety

MAX_STATES = 3_000_000
"""Limit for models; one with more states is reported as undetermined."""

MUTANT_MAX_STATES = 500_000
"""Limit for mutants: a counterexample is valid even if the search was not exhaustive."""

SMALL_VARIABLE = "SPECIFICATION_SMALL"
MODELS: dict[str, "Specification"] = {}


def is_small() -> bool:
    """Return whether the small bounds of quick runs are in use."""
    return os.environ.get(SMALL_VARIABLE) == "1"


def bound(full: int, small: int) -> int:
    """Return a bound of a model: the full one, or the small one of quick runs."""
    return small if is_small() else full


@attrs.frozen
class Specification:
    """The model of one part of the protocol, with the titles of its guards."""

    name: str
    guards: tuple[str, ...]
    """Titles of the guards, in the order in which their mutants are checked."""

    make: Callable[[frozenset[str]], Protocol]
    """Returns the model with only the given guards active."""

    refuted_only_at_full_bounds: tuple[str, ...] = ()
    """Guards whose mutants have counterexamples only at full bounds."""

    @property
    def checkable_guards(self) -> tuple[str, ...]:
        """Return the guards whose mutants must be refuted at the bounds in use."""
        if not is_small():
            return self.guards
        return tuple(
            guard for guard in self.guards if guard not in self.refuted_only_at_full_bounds
        )


def specification(
    name: str, guards: tuple[str, ...], refuted_only_at_full_bounds: tuple[str, ...] = ()
):
    """Return a decorator that registers a function which makes a model from active guards."""

    def register(make):
        MODELS[name] = Specification(name, guards, make, refuted_only_at_full_bounds)
        return make

    return register


@attrs.frozen
class PropertyResult:
    """The checker's result for one property.

    ``holds`` is None if it is undetermined; ``trace_length`` is the number of states
    in the counterexample, or 0 without one.
    """

    property_name: str
    holds: bool | None
    states: int
    exhaustive: bool
    trace_length: int


def check(protocol: Protocol, max_states: int = MAX_STATES) -> list[PropertyResult]:
    """Explore at most ``max_states`` states and return the result for each property."""
    result = check_safety(protocol, max_states=max_states)
    return [
        PropertyResult(
            property_name=name,
            holds=found["holds"],
            states=result["reachable_states"],
            exhaustive=result["exhaustive"],
            trace_length=len(found["counterexample"] or []),
        )
        for name, found in result["properties"].items()
    ]
