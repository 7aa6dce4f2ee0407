"""How much longer work takes in the short slow periods of a service's instances.

Performs no I/O; the current time is passed in.
"""

import statistics
from collections.abc import Hashable

SLOW_RATIO = 1.5
"""Ratio of a figure to the instance's typical one from which it belongs to a slow period."""
MAX_RATIO = 5.0
"""Upper bound of a ratio, whatever instances state."""
MAX_INSTANCES = 64
"""Maximum number of instances that count, those with the newest figures."""
RETENTION_S = 600.0
"""Time for which the last slow figure of an instance counts."""


class SlowPeriods:
    """The last slow figure of each instance of one service, relative to its typical figure.

    The instances of a service share machines of one kind, so one that has not been slow yet is
    expected to become as slow as the others. Each instance counts once, whatever it states.

    :ivar ratio: median of the ratios; 1.0 if no instance has been slow.
    :ivar is_used: whether any instance of the service has stated its pace.
    """

    __slots__ = ("_ratios", "is_used", "ratio")

    def __init__(self) -> None:
        self._ratios: dict[Hashable, tuple[float, float]] = {}
        self.ratio = 1.0
        self.is_used = False

    def record(self, instance: Hashable, ratio: float, now_s: float) -> None:
        """Record a figure of an instance relative to its typical one; others are ignored."""
        if ratio < SLOW_RATIO:
            return
        self._ratios.pop(instance, None)
        self._ratios[instance] = (now_s, min(ratio, MAX_RATIO))
        if len(self._ratios) > MAX_INSTANCES:
            del self._ratios[next(iter(self._ratios))]
        self._update()

    def expire(self, now_s: float) -> None:
        """Remove the figures that are too old."""
        for instance, (recorded_s, _) in list(self._ratios.items()):
            if now_s - recorded_s > RETENTION_S:
                del self._ratios[instance]
        self._update()

    def _update(self) -> None:
        self.ratio = statistics.median(item[1] for item in self._ratios.values() or [(0.0, 1.0)])
