"""Exceptions of the package.

Expected failures are returned as :class:`expression.Result` with a
:class:`~spoolhead._internal.models.fault.Fault`. Exceptions are for errors that a program cannot
recover from; the command line prints them as one line on standard error and sets the exit code.
"""

from collections.abc import Sequence

from spoolhead._internal.models import codes, fault


class SpoolheadError(Exception):
    """Base class of all errors that a program reports without a traceback.

    :ivar code: result code of the error.
    """

    code = codes.ResultCode.INTERNAL


class SettingsError(SpoolheadError):
    """Raised when a settings or table file cannot be used.

    The message has one line for each fault, with the path of the field in the file.
    """

    def __init__(self, path: str, faults: Sequence[fault.Fault]) -> None:
        self.path = path
        self.faults = list(faults)
        self.code = self.faults[0].code
        lines = [f"{path}: {len(self.faults)} fault(s)"]
        lines.extend(f"  {item}" for item in self.faults)
        super().__init__("\n".join(lines))


class LogDamagedError(SpoolheadError):
    """Raised when the table's log has a damaged record that is not a torn last write.

    A torn last write is truncated, since it was never acknowledged. Earlier records were
    acknowledged, so the keeper must not serve without them.
    """

    code = codes.ResultCode.LOG_DAMAGED

    def __init__(self, path: str, offset: int, reason: str) -> None:
        super().__init__(f"{path}: damaged at byte {offset}: {reason}")
        self.offset = offset


class DiskError(SpoolheadError):
    """Raised when the data folder cannot be written or synced, for example on a full disk."""

    code = codes.ResultCode.DISK_FAILED


class PeerError(SpoolheadError):
    """Raised by the command line when another spoolhead process gives no valid answer."""

    def __init__(self, code: codes.ResultCode, text: str) -> None:
        super().__init__(text)
        self.code = code
