"""How full an engine's memory may be planned, found from its preemptions.

The limit is a multiple of the engine's memory that what is foreseen on it may reach at any
horizon. It falls by a factor when the engine preempts, and rises slowly while it held work
back and the engine did not preempt. No constant is tied to an engine: what is expected is
wrong by a factor that differs between engines and workloads, and the limit absorbs it.
"""

INITIAL_LIMIT = 0.75
MIN_LIMIT = 0.3
MAX_LIMIT = 1.5
DECREASE_FACTOR = 0.85
INCREASE_PER_S = 0.005
DECREASE_INTERVAL_S = 1.0


class OperatingPoint:
    """Planning limit for one engine.

    :ivar limit: largest foreseen size of all work, as a multiple of the engine's memory.
    """

    __slots__ = ("_decreased_s", "_last_s", "_preemptions", "limit")

    def __init__(self) -> None:
        self.limit = INITIAL_LIMIT
        self._preemptions: int | None = None
        self._last_s: float | None = None
        self._decreased_s = 0.0

    def handle_report(self, *, preemptions: int, was_limiting: bool, now_s: float) -> None:
        """Learn from a load report.

        :param preemptions: the engine's count since its start.
        :param was_limiting: the limit held work back since the last report.
        :param now_s: monotonic time in seconds.
        """
        known, self._preemptions = self._preemptions, preemptions
        last_s, self._last_s = self._last_s, now_s
        if known is None or last_s is None or preemptions < known:
            return
        if preemptions > known:
            self._decrease(now_s)
        elif was_limiting:
            rise = INCREASE_PER_S * min(1.0, now_s - last_s)
            self.limit = min(MAX_LIMIT, self.limit + rise)

    def _decrease(self, now_s: float) -> None:
        # One overload shows in several reports; a fall for each would empty the engine.
        if now_s - self._decreased_s < DECREASE_INTERVAL_S:
            return
        self._decreased_s = now_s
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
