"""``spoolhead edit``: changes, adds or removes one row."""

import json
from collections.abc import Sequence

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.commands import keepers
from spoolhead._internal.models import rows, settings
from spoolhead.coordination import versioned_table


class RowChange:
    """The requested change of a row.

    :ivar sheet: sheet of the row.
    :ivar name: name of the row.
    :ivar assignments: list of ``COLUMN=VALUE``; a value that is not valid JSON is text.
    :ivar is_removal: whether the row is to be removed.
    :ivar expected_version: version that the row must have; None for its current version.
    """

    __slots__ = ("assignments", "expected_version", "name", "is_removal", "sheet")

    def __init__(
        self,
        *,
        sheet: rows.Sheet,
        name: str,
        assignments: Sequence[str],
        is_removal: bool,
        expected_version: int | None,
    ) -> None:
        self.sheet = sheet
        self.name = name
        self.assignments = assignments
        self.is_removal = is_removal
        self.expected_version = expected_version


def run(
    config: settings.OperatorSettings, change: RowChange, options: keepers.EditOptions
) -> exit_codes.ExitCode:
    """Send a change of one row; columns that are not named stay unchanged."""
    if change.is_removal == bool(change.assignments):
        output.print_error("name columns as COLUMN=VALUE, or give --remove, not both")
        return exit_codes.ExitCode.BAD_INPUT
    malformed = [assignment for assignment in change.assignments if "=" not in assignment]
    if malformed:
        output.print_error(f"not COLUMN=VALUE: {', '.join(malformed)}")
        return exit_codes.ExitCode.BAD_INPUT
    table_rows = keepers.unpack_rows(keepers.get_table(config))
    key = versioned_table.RowKey(change.sheet, change.name)
    row = table_rows.get(key)
    if change.is_removal and row is None:
        output.print_error(f"there is no row {key}")
        return exit_codes.ExitCode.NOT_FOUND
    version = row.version if row is not None else versioned_table.ABSENT_VERSION
    if change.expected_version is not None:
        version = change.expected_version
    value = None if change.is_removal else _assign(row, change.assignments)
    edit = versioned_table.RowEdit(key, version, value)
    return keepers.send_edit(config, [edit], options)


def _assign(
    row: versioned_table.VersionedRow | None, assignments: Sequence[str]
) -> dict[str, object]:
    value = dict(row.value) if row is not None else {}
    for assignment in assignments:
        column, _, text = assignment.partition("=")
        value[column] = _parse_value(text)
    return value


def _parse_value(text: str) -> object:
    try:
        return json.loads(text)
    except ValueError:
        return text
