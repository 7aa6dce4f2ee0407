"""What differs between two lists of packed rows, each named by its first value."""

Row = list[object]


class RowChanges:
    """What leads from one list to another.

    :ivar changed: rows that are new or differ.
    :ivar gone: names of rows that are not in the second list.
    """

    __slots__ = ("changed", "gone")

    def __init__(self, changed: list[Row], gone: list[object]) -> None:
        self.changed = changed
        self.gone = gone


def compare(before: list[Row], after: list[Row]) -> RowChanges:
    """Return what differs between two lists."""
    known = {row[0]: row for row in before}
    changed = [row for row in after if known.pop(row[0], None) != row]
    return RowChanges(changed, list(known))
