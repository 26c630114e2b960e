"""Reads declarations from a base file and a site's overlay, and merges the two."""

from collections.abc import Iterator

import yaml

from ..errors import InvalidDeclaration, InvalidDeclarations
from .declarations import Declarations, parse, to_content


def load(base_path: str, overlay_path: str | None = None) -> Declarations:
    """Return the declarations of a base file, merged with a site's overlay if given.

    Raises InvalidDeclarations for the first of these that is found, with all its
    occurrences: a file that cannot be read, keys of the overlay that repeat a
    value of the base, and the errors of ``parse``.
    """
    base = _read(base_path)
    if not overlay_path:
        return parse(base, lambda key: base_path)
    overlay = _read(overlay_path)
    redundant = [
        InvalidDeclaration(
            overlay_path, key, value, "the base holds the same value; remove the key"
        )
        for key, value in _find_redundant_keys(base, overlay, "")
    ]
    if redundant:
        raise InvalidDeclarations("the overlay repeats values of the base", redundant)
    return parse(
        merge(base, overlay), lambda key: overlay_path if _contains_key(overlay, key) else base_path
    )


def merge(base: dict, overlay: dict) -> dict:
    """Return ``base`` updated recursively by ``overlay``; a null removes a key."""
    merged = dict(base)
    for key, value in overlay.items():
        if value is None:
            merged.pop(key, None)
        elif isinstance(value, dict) and isinstance(merged.get(key), dict):
            merged[key] = merge(merged[key], value)
        else:
            merged[key] = value
    return merged


def differences(before: Declarations, after: Declarations) -> list[tuple[str, object, object]]:
    """Return (key, old value, new value) for each difference; None if the key is absent."""
    old, new = _flatten(to_content(before)), _flatten(to_content(after))
    keys = sorted(old.keys() | new.keys())
    return [(key, old.get(key), new.get(key)) for key in keys if old.get(key) != new.get(key)]


def _read(path: str) -> dict:
    try:
        with open(path, encoding="utf-8") as file:
            content = yaml.safe_load(file)
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        problem = InvalidDeclaration(path, "(file)", str(error), "use a readable YAML file")
        raise InvalidDeclarations("unreadable file", [problem]) from None
    if not isinstance(content, dict):
        problem = InvalidDeclaration(path, "(file)", content, "use a YAML mapping at the top level")
        raise InvalidDeclarations("not a mapping", [problem])
    return content


def _contains_key(content: dict, key: str) -> bool:
    """Return whether ``content`` contains the dotted ``key``."""
    for part in key.split("."):
        if not isinstance(content, dict) or part not in content:
            return False
        content = content[part]
    return True


def _find_redundant_keys(base: dict, overlay: dict, path: str) -> Iterator[tuple[str, object]]:
    for key, value in overlay.items():
        key_path = f"{path}.{key}" if path else str(key)
        if isinstance(value, dict) and isinstance(base.get(key), dict):
            yield from _find_redundant_keys(base[key], value, key_path)
        elif key in base and base[key] == value:
            yield key_path, value


def _flatten(content: dict, path: str = "") -> dict[str, object]:
    value_by_key_path: dict[str, object] = {}
    for key, value in content.items():
        key_path = f"{path}.{key}" if path else str(key)
        if isinstance(value, dict):
            value_by_key_path.update(_flatten(value, key_path))
        else:
            value_by_key_path[key_path] = value
    return value_by_key_path
