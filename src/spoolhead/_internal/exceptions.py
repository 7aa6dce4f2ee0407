"""Exceptions of the package: when each arises and how it reads to a person.

Expected failures travel as :class:`expression.Result` with a
:class:`~spoolhead._internal.models.fault.Fault`. An exception is for what a program cannot go
on from; the command line turns it into one line on standard error and an exit code.
"""

from collections.abc import Sequence

from spoolhead._internal.models import codes, fault


class SpoolheadError(Exception):
    """Base of all errors that a program reports without a traceback.

    :ivar code: numbered result code.
    """

    code = codes.ResultCode.INTERNAL


class SettingsError(SpoolheadError):
    """Raised at start when a settings or table file cannot be used.

    Reads as one line for each fault, each with its path in the file.
    """

    def __init__(self, path: str, faults: Sequence[fault.Fault]) -> None:
        self.path = path
        self.faults = list(faults)
        self.code = self.faults[0].code
        lines = [f"{path}: {len(self.faults)} fault(s)"]
        lines.extend(f"  {item}" for item in self.faults)
        super().__init__("\n".join(lines))


class LogDamagedError(SpoolheadError):
    """Raised when the table's log has a bad record that is not a torn last write.

    A torn last write is cut off, since nothing in it was ever acknowledged. Anything earlier
    was acknowledged, so the keeper must not serve without it.
    """

    code = codes.ResultCode.LOG_DAMAGED

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at byte {offset}: {reason}")
        self.offset = offset


class DiskError(SpoolheadError):
    """Raised when the data folder cannot be written or synced, for example when it is full."""

    code = codes.ResultCode.DISK_FAILED


class PeerError(SpoolheadError):
    """Raised by the command line when another spoolhead process does not answer as it should."""

    def __init__(self, code: codes.ResultCode, text: str) -> None:
        super().__init__(text)
        self.code = code
