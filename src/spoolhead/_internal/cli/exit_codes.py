"""Exit codes of the operators' program; ``docs/OPERATING.md`` lists them."""

import enum

from spoolhead._internal.models import codes


class ExitCode(enum.IntEnum):
    """Exit code of the operators' program."""

    OK = 0
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    NOT_FOUND = 5
    NOT_IN_FORCE = 6
    DIFFERENT = 7


_EXIT_CODES = {
    codes.ResultCode.SETTINGS_UNREADABLE: ExitCode.BAD_INPUT,
    codes.ResultCode.SETTINGS_INVALID: ExitCode.BAD_INPUT,
    codes.ResultCode.EDIT_INVALID: ExitCode.BAD_INPUT,
    codes.ResultCode.EDIT_CONFLICT: ExitCode.CONFLICT,
    codes.ResultCode.EDIT_ID_REUSED: ExitCode.CONFLICT,
    codes.ResultCode.EDIT_OUTCOME_UNKNOWN: ExitCode.UNREACHABLE,
    codes.ResultCode.PEER_UNREACHABLE: ExitCode.UNREACHABLE,
    codes.ResultCode.PEER_REFUSED: ExitCode.UNREACHABLE,
    codes.ResultCode.DECISION_NOT_FOUND: ExitCode.NOT_FOUND,
}


def get_exit_code(code: codes.ResultCode) -> ExitCode:
    """Return the exit code for a result code."""
    if code is codes.ResultCode.OK:
        return ExitCode.OK
    return _EXIT_CODES.get(code, ExitCode.FAILED)
