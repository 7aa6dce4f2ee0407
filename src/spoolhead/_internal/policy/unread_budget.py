"""Bound on the bytes that a process buffers for callers that read slowly. Performs no I/O.

Each connection with unread bytes has a :class:`Backlog`. When the bytes of all backlogs exceed the
budget, the callers with the highest cost are dropped until the rest fits. Callers that read, if
slowly, come after those that have stopped. Within both, the cost is the unread bytes times the time
since the caller last read: one that paused just now costs little, and so does one that holds few
bytes for long.
"""

from collections.abc import Callable, Hashable, Iterator

STOPPED_S = 0.5
"""Time without reading from which a caller counts as one that has stopped."""
MIN_UNREAD_S = 0.001
"""Lower bound on the time without reading in the cost."""


class Backlog:
    """Unread bytes of one connection.

    :ivar unread_bytes: bytes in this process's buffer.
    :ivar kernel_bytes: bytes in the kernel's send buffer when it was last checked.
    :ivar read_s: time at which the caller last read, or at which the backlog began.
    """

    __slots__ = ("kernel_bytes", "read_s", "unread_bytes")

    def __init__(self, now_s: float) -> None:
        self.unread_bytes = 0
        self.kernel_bytes = 0
        self.read_s = now_s


class Drop:
    """A caller to drop and the grounds for it.

    :ivar key: its connection.
    :ivar unread_bytes: bytes in this process's buffer.
    :ivar unread_s: time since the caller last read.
    :ivar total_bytes: unread bytes of all callers before the drop.
    """

    __slots__ = ("key", "total_bytes", "unread_bytes", "unread_s")

    def __init__(self, key: Hashable, backlog: Backlog, total_bytes: int, now_s: float) -> None:
        self.key = key
        self.unread_bytes = backlog.unread_bytes
        self.unread_s = now_s - backlog.read_s
        self.total_bytes = total_bytes


Cost = Callable[[Backlog, float], tuple[bool, float]]


def compute_cost(backlog: Backlog, now_s: float) -> tuple[bool, float]:
    """Return whether the caller of a backlog has stopped, and its cost in byte-seconds."""
    unread_s = max(MIN_UNREAD_S, now_s - backlog.read_s)
    return unread_s >= STOPPED_S, backlog.unread_bytes * unread_s


class UnreadBudget:
    """The budget of unread bytes of one process.

    :param budget_bytes: maximum of unread bytes; 0 for no bound.
    :param cost: ranks the backlogs; the highest is dropped first.
    :param get_shared_bytes: returns the bytes that are left of a budget shared with other buffers;
        callers that read are dropped only beyond that.
    :ivar budget_bytes: maximum of unread bytes; 0 for no bound.
    :ivar total_bytes: unread bytes of all callers.
    """

    __slots__ = ("_backlogs", "_cost", "_get_shared_bytes", "budget_bytes", "total_bytes")

    def __init__(
        self,
        budget_bytes: int,
        cost: Cost = compute_cost,
        get_shared_bytes: Callable[[], int] = lambda: 0,
    ) -> None:
        self._get_shared_bytes = get_shared_bytes
        self.budget_bytes = budget_bytes
        self.total_bytes = 0
        self._cost = cost
        self._backlogs: dict[Hashable, Backlog] = {}

    def __len__(self) -> int:
        return len(self._backlogs)

    def __iter__(self) -> Iterator[Hashable]:
        return iter(list(self._backlogs))

    @property
    def is_exceeded(self) -> bool:
        """Whether callers must be dropped."""
        return 0 < self.budget_bytes < self.total_bytes

    def _is_shared_budget_exceeded(self) -> bool:
        return self.total_bytes > self._get_shared_bytes()

    def get_unread_bytes(self, key: Hashable) -> int:
        """Return the unread bytes of a connection."""
        backlog = self._backlogs.get(key)
        return backlog.unread_bytes if backlog is not None else 0

    def add(self, key: Hashable, added_bytes: int, now_s: float) -> int:
        """Record bytes that were buffered for a connection.

        :returns: the unread bytes of the connection.
        """
        backlog = self._backlogs.get(key)
        if backlog is None:
            backlog = self._backlogs[key] = Backlog(now_s)
        backlog.unread_bytes += added_bytes
        self.total_bytes += added_bytes
        return backlog.unread_bytes

    def record_read(self, key: Hashable, read_bytes: int, now_s: float) -> None:
        """Record bytes that left the buffer of a connection."""
        backlog = self._backlogs.get(key)
        if backlog is None:
            return
        backlog.unread_bytes -= read_bytes
        backlog.read_s = now_s
        self.total_bytes -= read_bytes
        if backlog.unread_bytes <= 0:
            del self._backlogs[key]

    def record_kernel_bytes(self, key: Hashable, kernel_bytes: int, now_s: float) -> None:
        """Record the bytes in the kernel's send buffer; fewer than before show that it is read.

        The kernel accepts more bytes only when a large part of its buffer is free, long after a
        slow caller has begun to read.
        """
        backlog = self._backlogs.get(key)
        if backlog is None:
            return
        if kernel_bytes < backlog.kernel_bytes:
            backlog.read_s = now_s
        backlog.kernel_bytes = kernel_bytes

    def remove(self, key: Hashable) -> None:
        """Remove a connection that was closed."""
        backlog = self._backlogs.pop(key, None)
        if backlog is not None:
            self.total_bytes -= backlog.unread_bytes

    def pop_drops(self, now_s: float) -> list[Drop]:
        """Remove and return the callers to drop so that the rest is within the budget."""
        drops: list[Drop] = []
        if not self.is_exceeded:
            return drops
        ranked = sorted(
            self._backlogs.items(), key=lambda item: self._cost(item[1], now_s), reverse=True
        )
        for key, backlog in ranked:
            has_stopped = now_s - backlog.read_s >= STOPPED_S
            if not self.is_exceeded or not (has_stopped or self._is_shared_budget_exceeded()):
                break
            drops.append(Drop(key, backlog, self.total_bytes, now_s))
            self.remove(key)
        return drops
