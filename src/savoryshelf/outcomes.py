"""Answers of the replicated state which every slice may give."""

import attrs


@attrs.frozen
class Refusal:
    """The command changed nothing; ``reason`` is a stable code."""

    reason: str
    detail: str


@attrs.frozen
class Accepted:
    """The command was carried out, or had been before."""

    duplicate: bool = False
