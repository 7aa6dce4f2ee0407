"""Differences between two lists of packed rows. The first value of a row is its key."""

Row = list[object]


class RowChanges:
    """Changes from one list to another.

    :ivar changed: rows that are new or different in the second list.
    :ivar gone: keys of rows that are missing in the second list.
    """

    __slots__ = ("changed", "gone")

    def __init__(self, changed: list[Row], gone: list[object]) -> None:
        self.changed = changed
        self.gone = gone


def compare(before: list[Row], after: list[Row]) -> RowChanges:
    """Return the changes from one list to another."""
    remaining = {row[0]: row for row in before}
    changed = [row for row in after if remaining.pop(row[0], None) != row]
    return RowChanges(changed, list(remaining))
