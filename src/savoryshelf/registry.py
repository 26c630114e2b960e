"""Registries that map keys to functions and are filled by decorators."""

from collections.abc import Callable, Hashable
from typing import TypeVar

Function = TypeVar("Function", bound=Callable)


def registry_decorator(
    function_by_key: dict,
) -> Callable[[Hashable], Callable[[Function], Function]]:
    """Return a decorator factory: ``@register(key)`` adds a function to ``function_by_key``."""

    def register(key: Hashable) -> Callable[[Function], Function]:
        def add(function: Function) -> Function:
            function_by_key[key] = function
            return function

        return add

    return register
