"""Encodes table rows as plain lists for messages and files."""

from collections.abc import Mapping, Sequence

from spoolhead.coordination import versioned_table

Rows = Mapping[versioned_table.RowKey, versioned_table.VersionedRow]


def pack_rows(table_rows: Rows) -> list[list[object]]:
    """Encode each row as a list of sheet, name, version and value."""
    return [[key.sheet, key.name, row.version, row.value] for key, row in table_rows.items()]


def unpack_rows(
    packed: Sequence[object],
) -> dict[versioned_table.RowKey, versioned_table.VersionedRow]:
    """Decode rows that :func:`pack_rows` encoded.

    :raises ValueError: if the input is malformed.
    """
    unpacked = {}
    for item in packed:
        if not isinstance(item, list) or len(item) != 4:
            raise ValueError("not a row")
        sheet, name, version, value = item
        if not isinstance(version, int) or not isinstance(value, dict):
            raise ValueError("not a row")
        key = versioned_table.RowKey(str(sheet), str(name))
        unpacked[key] = versioned_table.VersionedRow(version, value)
    return unpacked
