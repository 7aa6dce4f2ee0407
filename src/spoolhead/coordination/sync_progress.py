"""Tracks which records of a member's log are synced to disk; performs no I/O."""


class SyncProgress:
    """Counts the records that a member has written and the records that are synced.

    :param durable_index: index of the last log entry that was on disk at the start.
    :ivar written: number of the last record written; the first is 1.
    :ivar synced: number up to which all records are synced.
    :ivar durable_index: index up to which all log entries are synced.
    """

    __slots__ = ("_pending", "durable_index", "synced", "written")

    def __init__(self, durable_index: int) -> None:
        self.written = 0
        self.synced = 0
        self.durable_index = durable_index
        self._pending: list[tuple[int, int]] = []

    def note_written(self, last_index: int) -> None:
        """Record that one record was written.

        :param last_index: index of the log's last entry once the record is synced.
        """
        self.written += 1
        self._pending.append((self.written, last_index))

    def note_synced(self, record_number: int) -> None:
        """Record that all records up to the given number are synced."""
        self.synced = max(self.synced, record_number)
        while self._pending and self._pending[0][0] <= self.synced:
            self.durable_index = self._pending.pop(0)[1]

    def note_void(self, index: int) -> None:
        """Record that the log entries at and after an index were invalidated."""
        self.durable_index = min(self.durable_index, index - 1)
        self._pending = [
            (number, min(last_index, index - 1)) for number, last_index in self._pending
        ]
