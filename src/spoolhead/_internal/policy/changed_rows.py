"""Load totals that are sent in bounded batches: changed rows first, then the rest in rotation.

Performs no I/O.
"""

import collections

from spoolhead._internal.models import queue_rows, shared_load

MAX_CHANGED_ROWS_PER_DATAGRAM = 20
"""Maximum number of changed rows per batch, the longest waiting first: 240 bytes, so that 40
datagrams a second stay under 10 KB/s however many instances there are. 195 entries with 80 requests
a second change an estimated five rows in 25 ms."""
MAX_REPEATED_ROWS_PER_DATAGRAM = 3
"""Unchanged rows sent in rotation with each batch, to repair lost datagrams: within half a second
with 37 instances and ten datagrams a second or more."""
MAX_CHANGED_BUCKETS_PER_DATAGRAM = 5
"""Maximum number of changed rows of workspace buckets per batch: 90 bytes. They have a bound of
their own, so that they delay no load of instances."""
MAX_REPEATED_BUCKETS_PER_DATAGRAM = 1
"""Unchanged rows of workspace buckets sent in rotation with each batch."""
EMPTY_ROW_SEND_COUNT = 3
"""Number of times that a row without load is sent before it is removed."""


class _RowGroup:
    """Rows with common bounds per batch, and the set of those that are still to be sent."""

    __slots__ = (
        "_changed",
        "_empty_send_counts",
        "_max_changed",
        "_max_repeated",
        "_rotation",
        "_rows",
    )

    def __init__(self, max_changed: int, max_repeated: int) -> None:
        self._max_changed = max_changed
        self._max_repeated = max_repeated
        self._rows: shared_load.LoadByInstance = {}
        self._changed: dict[int, None] = {}
        self._rotation: collections.deque[int] = collections.deque()
        self._empty_send_counts: dict[int, int] = {}

    @property
    def has_changes(self) -> bool:
        """Whether a row has changed since it was last sent."""
        return bool(self._changed)

    def add(self, key: int, load: shared_load.InstanceLoad, sign: int) -> None:
        """Add load to a row, or subtract it with a sign of -1."""
        row = self._rows.get(key)
        if row is None:
            row = self._rows[key] = shared_load.InstanceLoad()
            self._rotation.append(key)
        row.add(load, sign)
        self._changed.setdefault(key)
        self._empty_send_counts.pop(key, None)

    def pop_batch(self) -> shared_load.LoadByInstance:
        """Return the rows to send next, and count them as sent."""
        rows: shared_load.LoadByInstance = {}
        for key in list(self._changed)[: self._max_changed]:
            del self._changed[key]
            rows[key] = self._rows[key].copy()
        for _ in range(min(self._max_repeated, len(self._rotation))):
            key = self._rotation.popleft()
            rows[key] = self._rows[key].copy()
            if self._count_empty_send(key):
                del self._rows[key]
                self._empty_send_counts.pop(key, None)
                self._changed.pop(key, None)
            else:
                self._rotation.append(key)
        return rows

    def get_all(self) -> shared_load.LoadByInstance:
        """Return all rows."""
        return {key: row.copy() for key, row in self._rows.items()}

    def _count_empty_send(self, key: int) -> bool:
        """Return whether a row without load has been sent often enough to be removed."""
        if self._rows[key]:
            return False
        send_count = self._empty_send_counts.get(key, 0) + 1
        self._empty_send_counts[key] = send_count
        return send_count >= EMPTY_ROW_SEND_COUNT


class ChangedRows:
    """Load totals by instance, and the set of rows that are still to be sent."""

    __slots__ = ("_buckets", "_loads")

    def __init__(self) -> None:
        self._loads = _RowGroup(MAX_CHANGED_ROWS_PER_DATAGRAM, MAX_REPEATED_ROWS_PER_DATAGRAM)
        self._buckets = _RowGroup(
            MAX_CHANGED_BUCKETS_PER_DATAGRAM, MAX_REPEATED_BUCKETS_PER_DATAGRAM
        )

    @property
    def has_changes(self) -> bool:
        """Whether a row has changed since it was last sent."""
        return self._loads.has_changes or self._buckets.has_changes

    def add(self, key: int, load: shared_load.InstanceLoad, sign: int = 1) -> None:
        """Add load to a row, or subtract it with a sign of -1."""
        if load:
            self._get_group(key).add(key, load, sign)

    def replace(
        self, key: int, old: shared_load.InstanceLoad | None, new: shared_load.InstanceLoad
    ) -> None:
        """Replace one contribution to a row by another."""
        if old == new:
            return
        if old is not None:
            self.add(key, old, -1)
        self.add(key, new)

    def pop_batch(self) -> shared_load.LoadByInstance:
        """Return the rows to send next, and count them as sent."""
        return {**self._loads.pop_batch(), **self._buckets.pop_batch()}

    def get_all(self) -> shared_load.LoadByInstance:
        """Return all rows."""
        return {**self._loads.get_all(), **self._buckets.get_all()}

    def _get_group(self, key: int) -> _RowGroup:
        return self._buckets if key >= queue_rows.BUCKET_KEY_START else self._loads
