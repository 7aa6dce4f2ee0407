"""Parses JSON with comments; duplicate keys in an object are refused."""

import json

import expression
import json5

from spoolhead._internal.models import codes, fault


class _DuplicateKeyError(ValueError):
    pass


def parse_with_comments(text: str) -> expression.Result[object, fault.Fault]:
    """Parse JSON that may contain comments and trailing commas.

    :param text: text of the file.
    :returns: the value, or a fault (``SETTINGS_UNREADABLE``) that names the line.
    """
    # json5 needs about 20 s for each megabyte, and a table of 17,000 rows has several megabytes.
    # The standard parser reads a file without comments in well under a second.
    try:
        return expression.Ok(json.loads(text, object_pairs_hook=_make_object))
    except _DuplicateKeyError as error:
        return expression.Error(_make_fault(str(error)))
    except ValueError:
        pass
    try:
        return expression.Ok(json5.loads(text, allow_duplicate_keys=False))
    except (ValueError, RecursionError) as error:
        return expression.Error(_make_fault(str(error)))


def _make_object(pairs: list[tuple[str, object]]) -> dict[str, object]:
    value = dict(pairs)
    if len(value) != len(pairs):
        names = [name for name, _ in pairs]
        duplicate = next(name for name in names if names.count(name) > 1)
        raise _DuplicateKeyError(f"the name {duplicate!r} stands twice in one object")
    return value


def _make_fault(text: str) -> fault.Fault:
    return fault.Fault(codes.ResultCode.SETTINGS_UNREADABLE, text)
