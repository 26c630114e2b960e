"""Outcomes of commands, shared by all components of the replicated state."""

import attrs


@attrs.frozen
class Refusal:
    """The command was refused and changed nothing; ``reason`` is a stable code."""

    reason: str
    detail: str


@attrs.frozen
class Accepted:
    """The command was applied; ``duplicate`` means that it had been applied before."""

    duplicate: bool = False
