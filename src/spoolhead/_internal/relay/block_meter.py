"""Measures the mean interval between events in short blocks of a stream.

Performs no I/O; the current time is passed in.
"""

BLOCK_EVENTS = 4
"""Events in a block: enough that the delay of a single event hardly changes its length."""


class BlockMeter:
    """Measurements of one connection of a stream."""

    __slots__ = ("_began_s", "_events")

    def __init__(self) -> None:
        self._began_s: float | None = None
        self._events = 0

    def record_events(self, count: int, now_s: float) -> float | None:
        """Record the arrival of events.

        :returns: mean interval between the events of a block in seconds, if that ends with them.
        """
        if self._began_s is None:
            # The first events come after the wait and the prefill.
            self._began_s = now_s
            return None
        self._events += count
        if self._events < BLOCK_EVENTS:
            return None
        interval_s = (now_s - self._began_s) / self._events
        self._began_s = now_s
        self._events = 0
        return interval_s
