"""Measures the paces of a service's instances by the intervals between events of streams.

Performs no I/O; the current time is passed in. An interval also depends on the requests and
prompts beside the stream, so the short intervals of each instance are compared, and a caller should
act on clear differences only.
"""

import collections
import statistics

WINDOW_S = 2.0
"""Age up to which the blocks of an instance's streams count."""
MIN_BLOCKS = 8
"""Minimum number of blocks in the window for a measurement."""
MIN_SPAN_S = 1.2
"""Minimum time between the first and the last of them: two slow periods of an instance."""
MAX_BLOCKS = 64
"""Maximum number of blocks stored per instance."""
SHORT_QUANTILE = 0.25
"""Quantile of the intervals that is compared."""
MIN_PEERS = 3
"""Minimum number of other instances with a measurement."""
PEER_TTL_S = 60.0
"""Age up to which the measurement of another instance counts."""
MIN_MEASUREMENTS = 5
"""Separate windows of an instance from which its pace is known though it states none."""


class _Measured:
    """Measurements of one instance.

    :ivar blocks: recent blocks of its streams, as (time, interval).
    :ivar interval_s: short interval of the last complete window.
    :ivar at_s: monotonic time of that window's end.
    :ivar factors: results of separate windows.
    :ivar factors_s: monotonic time at which the last of these was recorded.
    """

    __slots__ = ("at_s", "blocks", "factors", "factors_s", "interval_s")

    def __init__(self) -> None:
        self.blocks: collections.deque[tuple[float, float]] = collections.deque(maxlen=MAX_BLOCKS)
        self.interval_s = 0.0
        self.at_s = 0.0
        self.factors: collections.deque[float] = collections.deque(maxlen=MIN_MEASUREMENTS)
        self.factors_s = 0.0


class PaceMeasurement:
    """Measured intervals of the instances of one service."""

    __slots__ = ("_instances", "_stated_factors")

    def __init__(self) -> None:
        self._instances: dict[int, _Measured] = {}
        self._stated_factors: dict[int, float] = {}

    def record_block(
        self, key: int, interval_s: float, now_s: float, *, stated_factor: float | None
    ) -> float | None:
        """Record a block of a stream.

        :param key: key of the instance.
        :param stated_factor: typical pace by the instance's statements; None if it states nothing.
        :returns: measured pace relative to the other instances, if enough was measured.
        """
        measured = self._instances.setdefault(key, _Measured())
        self._stated_factors[key] = stated_factor or 1.0
        blocks = measured.blocks
        blocks.append((now_s, interval_s))
        while now_s - blocks[0][0] > WINDOW_S:
            blocks.popleft()
        if len(blocks) < MIN_BLOCKS or now_s - blocks[0][0] < MIN_SPAN_S:
            return None
        intervals = sorted(item[1] for item in blocks)
        measured.interval_s = intervals[int((len(intervals) - 1) * SHORT_QUANTILE)]
        measured.at_s = now_s
        usual_s = self._get_usual_interval_s(key, now_s)
        if usual_s is None:
            return None
        factor = measured.interval_s / usual_s
        if now_s - measured.factors_s >= WINDOW_S:
            measured.factors_s = now_s
            measured.factors.append(factor)
        return factor

    def get_long_term_factor(self, key: int) -> float | None:
        """Return the median of an instance's last windows, or None without enough of them."""
        measured = self._instances.get(key)
        if measured is None or len(measured.factors) < MIN_MEASUREMENTS:
            return None
        return statistics.median(measured.factors)

    def expire(self, now_s: float) -> None:
        """Remove the instances without a recent measurement."""
        for key, measured in list(self._instances.items()):
            newest_s = measured.blocks[-1][0]
            if now_s - newest_s > PEER_TTL_S:
                del self._instances[key]
                del self._stated_factors[key]

    def _get_usual_interval_s(self, key: int, now_s: float) -> float | None:
        """Return the interval at the usual pace, by the other instances and their statements."""
        intervals = [
            measured.interval_s / self._stated_factors[other]
            for other, measured in self._instances.items()
            if other != key and measured.interval_s and now_s - measured.at_s <= PEER_TTL_S
        ]
        return statistics.median(intervals) if len(intervals) >= MIN_PEERS else None
