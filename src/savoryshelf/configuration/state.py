"""Replicated state of the configuration: the version in force and its history."""

import attrs

from ..outcomes import Refusal
from ..wire.generated.ttypes import ApplyConfiguration
from .declarations import Declarations, from_document

HISTORY_LENGTH = 100
"""Number of changes kept.

An older change that is resent unchanged is refused as a version conflict.
"""


@attrs.define
class AppliedChange:
    """An accepted change in the history; a resent change is recognised by its operation id."""

    version: int
    operation_id: str
    author: str
    at_ms: int
    document: str


@attrs.frozen
class ApplyResult:
    """Result of an accepted change: its version, and whether it had been accepted before."""

    version: int
    duplicate: bool


@attrs.define
class ConfigurationState:
    """The version in force and the newest HISTORY_LENGTH changes.

    The history makes changes idempotent: a resent change gets its first result.
    """

    version: int = 0
    document: str = ""
    history: list[AppliedChange] = attrs.field(factory=list)

    def apply(self, change: ApplyConfiguration, at_ms: int) -> ApplyResult | Refusal:
        """Accept the change if it is based on the version in force, else refuse it."""
        for previous_change in self.history:
            if previous_change.operation_id == change.operation_id:
                return ApplyResult(previous_change.version, duplicate=True)
        if change.expected_version != self.version:
            return Refusal(
                "version_conflict",
                f"version {self.version} is in force, the change is based on version "
                f"{change.expected_version}; check the difference and apply again",
            )
        self.version += 1
        self.document = change.document
        applied = AppliedChange(
            self.version, change.operation_id, change.author, at_ms, change.document
        )
        self.history = [*self.history[-HISTORY_LENGTH + 1 :], applied]
        return ApplyResult(self.version, duplicate=False)

    def longest_task_lease_s(self) -> float:
        """Return the longest task lease of the changes that are kept; it may still be held."""
        documents = (change.document for change in self.history)
        return max((from_document(each).limits.task_lease_s for each in documents), default=0.0)

    def declarations(self) -> Declarations | None:
        """Return the declarations in force, or None before the first change."""
        return from_document(self.document) if self.document else None
