"""Every failure of savoryshelf, as a shallow tree under one base."""

import enum


class Certainty(enum.Enum):
    """What a caller may conclude about its request from a refusal."""

    NOT_RUN = "not run"
    """No byte of the request can have reached a worker, nor will any."""

    UNKNOWN = "unknown"
    """The request may have run, or may still run."""


class SavoryshelfError(Exception):
    """Base of every error which this package raises on purpose."""


class InvalidSetting(SavoryshelfError):
    """A flag or environment variable holds a value that cannot be used."""

    def __init__(self, setting: str, value: object, fix: str):
        super().__init__(f"{setting}: {value!r} cannot be used; {fix}")


class InvalidSettings(ExceptionGroup, SavoryshelfError):
    """All the wrong settings of one start, reported together."""

    def derive(self, excs):
        """Keep this type when the group is split."""
        return InvalidSettings(self.message, excs)


class InvalidDeclaration(SavoryshelfError):
    """A key of a declaration file holds a value that cannot be used."""

    def __init__(self, source: str, key: str, value: object, fix: str):
        super().__init__(f"{source}: {key}: {value!r} cannot be used; {fix}")
        self.key = key
        self.value = value
        self.fix = fix


class InvalidDeclarations(ExceptionGroup, SavoryshelfError):
    """All the wrong keys of one set of declaration files, reported together."""

    def derive(self, excs):
        """Keep this type when the group is split."""
        return InvalidDeclarations(self.message, excs)


class CorruptLog(SavoryshelfError):
    """Synced records of the log cannot be read back; the replica must not start.

    Cutting the log at the damage would forget what was acknowledged, so the
    operator removes the data folder and lets the replica rejoin as a learner.
    """

    def __init__(self, file: str, offset: int):
        super().__init__(
            f"{file}: damaged at byte {offset}, before its end; "
            "remove the data folder to rejoin under a new identity"
        )


class DiskFailed(SavoryshelfError):
    """The data folder cannot be written; the replica stops before it lies."""

    def __init__(self, operation: str, cause: OSError):
        super().__init__(f"{operation}: {cause}; free or replace the disk, then restart")


class PeerUnreachable(SavoryshelfError):
    """A call to another process failed; ``sent`` says whether it may have arrived."""

    def __init__(self, address: str, cause: object, sent: bool):
        super().__init__(f"{address}: {cause}")
        self.sent = sent


class ControlUnavailable(SavoryshelfError):
    """No control host answered as leader within the time allowed."""

    def __init__(self, addresses, outcome_unknown: bool = False):
        super().__init__(f"no leader among the control hosts {', '.join(addresses)}")
        self.outcome_unknown = outcome_unknown


class RefusedByControl(SavoryshelfError):
    """The control leader refused for good; nothing was changed.

    Thrift's own exceptions are immutable and cannot pass through a context
    manager, which sets their traceback; so they stop at the client.
    """

    def __init__(self, reason: str, detail: str):
        super().__init__(f"{reason}: {detail}")
        self.reason = reason
        self.detail = detail


class InvariantBroken(SavoryshelfError):
    """A state that must not exist was seen; the process stops rather than go on."""


class RequestRefused(SavoryshelfError):
    """A caller's request gets no answer; the reason code is part of the interface."""

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
