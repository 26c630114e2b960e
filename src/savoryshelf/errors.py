"""Exceptions of savoryshelf; all derive from SavoryshelfError."""

import enum


class Certainty(enum.Enum):
    """Whether a refused request may have been executed."""

    NOT_RUN = "not run"
    """No part of the request has reached a worker or will reach one; a retry is safe."""

    UNKNOWN = "unknown"
    """The request may have been executed or may be executed later."""


class SavoryshelfError(Exception):
    """Base class of the exceptions that this package raises."""


class InvalidSetting(SavoryshelfError):
    """The value of a flag or environment variable is missing or invalid."""

    def __init__(self, setting: str, value: object, fix: str):
        super().__init__(f"{setting}: {value!r} is invalid; {fix}")


class InvalidSettings(ExceptionGroup, SavoryshelfError):
    """All invalid settings of a process, raised together when it starts."""

    def derive(self, excs):
        """Keep this type when the group is split."""
        return InvalidSettings(self.message, excs)


class InvalidDeclaration(SavoryshelfError):
    """A key of a declaration file is unknown or missing, or its value is invalid."""

    def __init__(self, source: str, key: str, value: object, fix: str):
        super().__init__(f"{source}: {key}: {value!r} is invalid; {fix}")
        self.key = key
        self.value = value
        self.fix = fix


class InvalidDeclarations(ExceptionGroup, SavoryshelfError):
    """All invalid keys of a set of declaration files, raised together."""

    def derive(self, excs):
        """Keep this type when the group is split."""
        return InvalidDeclarations(self.message, excs)


class CorruptLog(SavoryshelfError):
    """Records of the log that were synced to disk are corrupt; the replica must not start.

    Truncating the log at the corrupt record would lose acknowledged entries.
    The operator removes the data folder and the replica rejoins as a learner.
    """

    def __init__(self, file: str, offset: int):
        super().__init__(
            f"{file}: damaged at byte {offset}, before its end; "
            "remove the data folder to rejoin under a new identity"
        )


class DiskFailed(SavoryshelfError):
    """Writing to the data folder failed, other than for lack of space.

    The replica stops, so that it never acknowledges data that is not on disk.
    """

    def __init__(self, operation: str, cause: OSError):
        super().__init__(f"{operation}: {cause}; free or replace the disk, then restart")


class PeerUnreachable(SavoryshelfError):
    """A call to another process failed; ``sent`` is false if it cannot have arrived there."""

    def __init__(self, address: str, cause: object, sent: bool):
        super().__init__(f"{address}: {cause}")
        self.sent = sent


class ControlUnavailable(SavoryshelfError):
    """No control host answered as leader before the deadline.

    ``outcome_unknown`` is true if the request may have been executed.
    """

    def __init__(self, addresses, outcome_unknown: bool = False):
        super().__init__(f"no leader among the control hosts {', '.join(addresses)}")
        self.outcome_unknown = outcome_unknown


class RefusedByControl(SavoryshelfError):
    """The control leader rejected a request permanently and changed nothing.

    The client raises this instead of the thrift exception.  Thrift exceptions
    are immutable, so a context manager cannot set their traceback.
    """

    def __init__(self, reason: str, detail: str):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class InvariantBroken(SavoryshelfError):
    """An internal invariant does not hold; the process stops."""


class RequestRefused(SavoryshelfError):
    """A caller's request is refused; ``reason`` is a code of the public interface."""

    def __init__(
        self,
        reason: str,
        detail: str,
        status: int = 503,
        certainty: Certainty = Certainty.NOT_RUN,
    ):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail
        self.status = status
        self.certainty = certainty
