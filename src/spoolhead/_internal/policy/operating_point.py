"""Adapts the planned memory use of an engine to its preemptions.

The limit is the maximum predicted memory use at any horizon, as a multiple of the engine's memory.
It decreases by a factor when the engine preempts, and increases slowly while it blocks requests and
the engine does not preempt. No constant depends on the engine: predictions are off by a factor that
differs between engines and workloads, and the limit compensates for it.
"""

INITIAL_LIMIT = 0.75
MIN_LIMIT = 0.3
MAX_LIMIT = 1.5
DECREASE_FACTOR = 0.85
INCREASE_PER_S = 0.005
DECREASE_INTERVAL_S = 1.0
"""Minimum time between two decreases."""


class OperatingPoint:
    """Planning limit of one engine.

    :ivar limit: maximum predicted memory use, as a multiple of the engine's memory.
    """

    __slots__ = ("_decreased_s", "_last_report_s", "_preemptions", "limit")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._preemptions: int | None = None
        self._last_report_s: float | None = None
        self._decreased_s = 0.0

    def handle_report(self, *, preemptions: int, was_limiting: bool, now_s: float) -> None:
        """Adjust the limit to a load report.

        :param preemptions: preemptions since the engine started.
        :param was_limiting: whether the limit blocked requests since the last report.
        :param now_s: monotonic time in seconds.
        """
        previous, self._preemptions = self._preemptions, preemptions
        last_s, self._last_report_s = self._last_report_s, now_s
        if previous is None or last_s is None or preemptions < previous:
            return
        if preemptions > previous:
            self._decrease(now_s)
        elif was_limiting:
            increase = INCREASE_PER_S * min(1.0, now_s - last_s)
            self.limit = min(MAX_LIMIT, self.limit + increase)

    def _decrease(self, now_s: float) -> None:
        # One overload appears in several reports; a decrease for each would empty the engine.
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
