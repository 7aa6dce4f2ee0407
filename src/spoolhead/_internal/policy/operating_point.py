"""How full an engine's memory may be planned, found from its preemptions.

The limit is a multiple of the engine's memory that what is foreseen on it may reach at any
horizon. It falls by a factor when the engine preempts, and rises slowly while it held work
back and the engine did not preempt. No constant is tied to an engine: what is expected is
wrong by a factor that differs between engines and workloads, and the limit absorbs it.
"""

FIRST_LIMIT = 0.75
LOWEST_LIMIT = 0.3
HIGHEST_LIMIT = 1.5
FALL_FACTOR = 0.85
RISE_PER_S = 0.005
HOLD_AFTER_FALL_S = 1.0


class OperatingPoint:
    """Planning limit for one engine.

    :ivar limit: largest foreseen size of all work, as a multiple of the engine's memory.
    """

    __slots__ = ("_fell_s", "_last_s", "_preemptions", "limit")

    def __init__(self) -> None:
        self.limit = FIRST_LIMIT
        self._preemptions: int | None = None
        self._last_s: float | None = None
        self._fell_s = 0.0

    def handle_report(self, *, preemptions: int, was_binding: bool, now_s: float) -> None:
        """Learn from a load report.

        :param preemptions: the engine's count since its start.
        :param was_binding: the limit held work back since the last report.
        :param now_s: monotonic time in seconds.
        """
        known, self._preemptions = self._preemptions, preemptions
        last_s, self._last_s = self._last_s, now_s
        if known is None or last_s is None or preemptions < known:
            return
        if preemptions > known:
            self._fall(now_s)
        elif was_binding:
            rise = RISE_PER_S * min(1.0, now_s - last_s)
            self.limit = min(HIGHEST_LIMIT, self.limit + rise)

    def _fall(self, now_s: float) -> None:
        # One overload shows in several reports; a fall for each would empty the engine.
        if now_s - self._fell_s < HOLD_AFTER_FALL_S:
            return
        self._fell_s = now_s
        self.limit = max(LOWEST_LIMIT, self.limit * FALL_FACTOR)
