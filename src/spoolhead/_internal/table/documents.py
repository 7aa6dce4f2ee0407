"""Reads table files of operators and computes the differences between tables.

A table file is JSON with comments: an object of sheets, each an object of rows by name.
"""

import enum
import pathlib
from collections.abc import Mapping

import expression

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, fault, rows
from spoolhead._internal.table import checking, packing
from spoolhead._internal.utils import jsonc
from spoolhead.coordination import versioned_table

Document = dict[versioned_table.RowKey, Mapping[str, object]]


class DifferenceKind(enum.StrEnum):
    """Kind of difference between two versions of a row."""

    ADDED = "added"
    CHANGED = "changed"
    REMOVED = "removed"


class Difference:
    """A row that differs between two tables.

    :ivar key: key of the row.
    :ivar kind: whether the row was added, changed or removed.
    :ivar old: columns in the old table; None for an added row.
    :ivar new: columns in the new table; None for a removed row.
    """

    __slots__ = ("key", "kind", "new", "old")

    def __init__(
        self,
        key: versioned_table.RowKey,
        old: Mapping[str, object] | None,
        new: Mapping[str, object] | None,
    ) -> None:
        self.key = key
        self.old = old
        self.new = new
        if old is None:
            self.kind = DifferenceKind.ADDED
        elif new is None:
            self.kind = DifferenceKind.REMOVED
        else:
            self.kind = DifferenceKind.CHANGED

    def get_changed_columns(self) -> list[str]:
        """Return the columns whose values differ, sorted."""
        old, new = self.old or {}, self.new or {}
        return sorted(name for name in {*old, *new} if old.get(name) != new.get(name))


def parse_document(text: str) -> expression.Result[Document, list[fault.Fault]]:
    """Parse and validate the text of a table file.

    :returns: the rows, or all faults found.
    """
    parsed = jsonc.parse_with_comments(text)
    if parsed.is_error():
        return expression.Error([parsed.error])
    if not isinstance(parsed.ok, dict):
        return expression.Error([_make_fault("", "the file is not an object of sheets")])
    document: Document = {}
    faults = []
    for sheet, sheet_rows in parsed.ok.items():
        if sheet not in set(rows.Sheet) or not isinstance(sheet_rows, dict):
            names = ", ".join(rows.Sheet)
            faults.append(_make_fault(sheet, f"not a sheet; the sheets are {names}"))
            continue
        for name, value in sheet_rows.items():
            document[versioned_table.RowKey(sheet, name)] = value
    faults.extend(checking.TableChecker()(document))
    return expression.Error(faults) if faults else expression.Ok(document)


def read_document(path: str) -> Document:
    """Read and validate a table file.

    :raises exceptions.SettingsError: with all faults, if the file is unreadable or invalid.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        item = fault.Fault(codes.ResultCode.SETTINGS_UNREADABLE, str(error))
        raise exceptions.SettingsError(path, [item]) from error
    parsed = parse_document(text)
    if parsed.is_error():
        raise exceptions.SettingsError(path, parsed.error)
    return parsed.ok


def get_differences(table_rows: packing.Rows, document: Document) -> list[Difference]:
    """Return the changes that turn a table into a document, sorted by row key.

    Halls missing from the document stay unchanged: a file written before a hall was evacuated must
    not undo the evacuation.
    """
    differences = []
    row_keys = [key for key in table_rows if key.sheet != rows.Sheet.HALLS]
    for key in sorted({*row_keys, *document}, key=str):
        old = table_rows[key].value if key in table_rows else None
        new = document.get(key)
        if old != new:
            differences.append(Difference(key, old, new))
    return differences


def make_edits(
    table_rows: packing.Rows, differences: list[Difference]
) -> list[versioned_table.RowEdit]:
    """Return edits that apply the differences, each conditional on the row's current version."""
    edits = []
    for item in differences:
        known = table_rows.get(item.key)
        version = known.version if known is not None else versioned_table.ABSENT_VERSION
        edits.append(versioned_table.RowEdit(item.key, version, item.new))
    return edits


def make_document(table_rows: packing.Rows) -> dict[str, dict[str, object]]:
    """Return a table as the content of a table file."""
    document: dict[str, dict[str, object]] = {sheet: {} for sheet in rows.Sheet}
    for key in sorted(table_rows, key=str):
        document.setdefault(key.sheet, {})[key.name] = table_rows[key].value
    return document


def _make_fault(path: str, text: str) -> fault.Fault:
    return fault.Fault(codes.ResultCode.EDIT_INVALID, text, path=path)
