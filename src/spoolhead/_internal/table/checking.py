"""The check that every edit of the table passes before it is accepted."""

from collections.abc import Sequence

from spoolhead._internal.models import codes, fault, rows
from spoolhead.coordination import versioned_table


class TableChecker:
    """Checks whole tables, parsing only the rows that are new since the last call."""

    def __init__(self) -> None:
        self._parsed: dict[versioned_table.RowKey, _ParsedRow] = {}

    def __call__(self, values: versioned_table.RowValues) -> Sequence[fault.Fault]:
        """Return every fault of a table; none means that it may be accepted."""
        faults: list[fault.Fault] = []
        parsed: dict[rows.Sheet, dict[str, rows.Row]] = {sheet: {} for sheet in rows.Sheet}
        for key, value in values.items():
            if key.sheet not in set(rows.Sheet):
                text = "no such sheet"
                faults.append(fault.Fault(codes.ResultCode.EDIT_INVALID, text, path=key.sheet))
                continue
            row = self._parse(key, value, faults)
            if row is not None:
                parsed[rows.Sheet(key.sheet)][key.name] = row
        return faults or rows.check_references(parsed)

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
