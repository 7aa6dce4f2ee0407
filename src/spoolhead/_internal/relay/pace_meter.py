"""Measures a stream: time to the first event and longest pause.

Performs no I/O; the current time is passed in.
"""


class PaceMeter:
    """Measurements of one stream.

    :param began_s: monotonic time at which the request arrived, in seconds.
    :ivar first_ms: time to the first event; None before it.
    :ivar longest_pause_ms: longest pause between two parts of the stream.
    :ivar events_before_longest_pause: number of events that were forwarded before that pause.
    """

    __slots__ = (
        "_began_s",
        "_last_s",
        "first_ms",
        "events_before_longest_pause",
        "longest_pause_ms",
    )

    def __init__(self, began_s: float) -> None:
        self._began_s = began_s
        self._last_s = began_s
        self.first_ms: int | None = None
        self.longest_pause_ms = 0
        self.events_before_longest_pause = 0

    def record_events(self, events_before: int, now_s: float) -> None:
        """Record the arrival of events.

        :param events_before: number of events that were forwarded before them.
        """
        pause_ms = int((now_s - self._last_s) * 1000)
        self._last_s = now_s
        if self.first_ms is None:
            self.first_ms = pause_ms
        elif pause_ms > self.longest_pause_ms:
            self.longest_pause_ms = pause_ms
            self.events_before_longest_pause = events_before
