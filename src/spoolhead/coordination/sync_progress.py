"""How far a member's log is safe on its disk, by numbered records; no I/O."""


class SyncProgress:
    """Records that a member has written, and those of them that are synced.

    :param durable_index: index of the last log entry that the disk held at the start.
    :ivar written: number of the last record written; the first is 1.
    :ivar synced: number up to which records are synced.
    :ivar durable_index: index of the last log entry that is synced, with all before it.
    """

    __slots__ = ("_pending", "durable_index", "synced", "written")

    def __init__(self, durable_index: int) -> None:
        self.written = 0
        self.synced = 0
        self.durable_index = durable_index
        self._pending: list[tuple[int, int]] = []

    def note_written(self, last_index: int) -> None:
        """Take note of a record.

        :param last_index: index of the log's last entry once the record is synced.
        """
        self.written += 1
        self._pending.append((self.written, last_index))

    def note_synced(self, record_number: int) -> None:
        """Take note that records up to a number are synced."""
        self.synced = max(self.synced, record_number)
        while self._pending and self._pending[0][0] <= self.synced:
            self.durable_index = self._pending.pop(0)[1]

    def note_void(self, index: int) -> None:
        """Take note that what stood in the log at an index and behind it is void."""
        self.durable_index = min(self.durable_index, index - 1)
        self._pending = [
            (number, min(last_index, index - 1)) for number, last_index in self._pending
        ]
