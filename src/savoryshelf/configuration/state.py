"""The configuration in force, as every control replica holds it."""

import attrs

from ..outcomes import Refusal
from ..wire.generated.ttypes import ApplyConfiguration
from .declarations import Declarations, from_document

HISTORY_LENGTH = 100


@attrs.define
class AppliedChange:
    """One accepted change; its operation id lets a resend find it."""

    version: int
    operation_id: str
    author: str
    at_ms: int
    document: str


@attrs.frozen
class Applied:
    """An accepted change and whether this was a resend of it."""

    version: int
    duplicate: bool


@attrs.define
class ConfigurationState:
    """The newest version, and enough history to answer operators who resend."""

    version: int = 0
    document: str = ""
    history: list[AppliedChange] = attrs.field(factory=list)

    def apply(self, change: ApplyConfiguration, at_ms: int) -> Applied | Refusal:
        """Accept the change if nobody else changed the version it was made from."""
        for previous_change in self.history:
            if previous_change.operation_id == change.operation_id:
                return Applied(previous_change.version, duplicate=True)
        if change.expected_version != self.version:
            return Refusal(
                "version_conflict",
                f"version {self.version} is in force, the change was made from "
                f"{change.expected_version}; look at the difference and apply again",
            )
        self.version += 1
        self.document = change.document
        applied = AppliedChange(
            self.version, change.operation_id, change.author, at_ms, change.document
        )
        self.history = [*self.history[-HISTORY_LENGTH + 1 :], applied]
        return Applied(self.version, duplicate=False)

    def declarations(self) -> Declarations | None:
        """Return the declarations in force, or None before the first change."""
        return from_document(self.document) if self.document else None
