"""Validation of the table, which every edit must pass before it is accepted."""

from collections.abc import Sequence

from spoolhead._internal.models import codes, fault, rows
from spoolhead.coordination import versioned_table


class TableChecker:
    """Validates tables incrementally: only rows changed since the last valid table are checked."""

    def __init__(self) -> None:
        self._parsed: dict[versioned_table.RowKey, _ParsedRow] = {}
        self._accepted_values: dict[versioned_table.RowKey, object] = {}

    def __call__(self, values: versioned_table.RowValues) -> Sequence[fault.Fault]:
        """Return all faults of a table; a table without faults may be accepted."""
        faults: list[fault.Fault] = []
        parsed: dict[str, dict[str, rows.Row]] = {sheet: {} for sheet in rows.Sheet}
        for key, value in values.items():
            if key.sheet not in parsed:
                text = "no such sheet"
                faults.append(fault.Fault(codes.ResultCode.EDIT_INVALID, text, path=key.sheet))
                continue
            row = self._parse(key, value, faults)
            if row is not None:
                parsed[key.sheet][key.name] = row
        if faults:
            return faults
        faults = rows.check_references(parsed, self._get_changed(values))
        if not faults:
            self._accepted_values = dict(values)
        return faults

    def _get_changed(self, values: versioned_table.RowValues) -> list[tuple[rows.Sheet, str]]:
        """Return the rows whose references must be checked.

        These are the changed rows, or all rows if a service was changed or removed.
        """
        accepted = self._accepted_values
        changed = [key for key, value in values.items() if accepted.get(key) is not value]
        removed = [key for key in accepted if key not in values]
        if any(key.sheet == rows.Sheet.SERVICES for key in (*changed, *removed)):
            changed = list(values)
        return [(rows.Sheet(key.sheet), key.name) for key in changed]

    def _parse(
        self, key: versioned_table.RowKey, value: object, faults: list[fault.Fault]
    ) -> rows.Row | None:
        known = self._parsed.get(key)
        if known is not None and known.value is value:
            return known.row
        result = rows.parse_row(rows.Sheet(key.sheet), key.name, value)
        if result.is_error():
            faults.extend(result.error)
            return None
        self._parsed[key] = _ParsedRow(value, result.ok)
        return result.ok


class _ParsedRow:
    __slots__ = ("row", "value")

    def __init__(self, value: object, row: rows.Row) -> None:
        self.value = value
        self.row = row
