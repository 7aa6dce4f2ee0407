"""The newest typical pace of each instance that any process determined.

Performs no I/O; the current time is passed in.
"""

import math
from collections.abc import Iterable

from spoolhead._internal.models import instance_pace
from spoolhead._internal.policy import pace_estimate

CHANGE_SHARE = 0.1
"""Relative difference from the known pace from which a pace is reported to other processes."""
RENEWAL_AGE_S = 300.0
"""Age from which an unchanged pace is reported again, before it expires everywhere."""
MIN_REPORT_INTERVAL_S = 2.0
"""Minimum interval between two reports of an instance's pace, by whichever entries."""
MIN_RENEWAL_S = 1.0
"""Minimum time by which an equal pace must be newer: each transfer adds its delay to the time."""


class PaceRegistry:
    """Merges paces that this process determined with those of others: the newest wins.

    A measured pace is newer than every stated one for the time for which it overrules the
    statements of the instance.
    """

    def __init__(self) -> None:
        self._paces: dict[int, instance_pace.TimedPace] = {}

    def get(self, key: int) -> instance_pace.TimedPace | None:
        """Return the newest pace of an instance, or None if none is known."""
        return self._paces.get(key)

    def get_keys(self) -> list[int]:
        """Return the keys of the instances with a known pace, the last recorded at the end."""
        return list(self._paces)

    def is_due(self, key: int, percent: int, now_s: float, *, is_measured: bool) -> bool:
        """Return whether a pace that this process determined must be reported to others."""
        known = self._paces.get(key)
        if known is None:
            return True
        age_s = now_s - known.determined_s
        if known.is_measured != is_measured:
            return is_measured or age_s > pace_estimate.OVERRULE_TTL_S
        if age_s < MIN_REPORT_INTERVAL_S:
            return False
        renewal_s = pace_estimate.OVERRULE_TTL_S / 2 if is_measured else RENEWAL_AGE_S
        is_changed = abs(percent - known.percent) > CHANGE_SHARE * known.percent
        return is_changed or age_s >= renewal_s

    def record(self, key: int, pace: instance_pace.TimedPace) -> bool:
        """Record a pace; return whether it replaces the known one."""
        known = self._paces.get(key)
        if known is not None and not _is_newer(pace, known):
            return False
        # The keys are in the order in which their paces were recorded.
        self._paces.pop(key, None)
        self._paces[key] = pace
        return True

    def merge(self, paces: Iterable[instance_pace.AgedPace], now_s: float) -> list[int]:
        """Merge paces reported by another process, except expired ones.

        :returns: the keys whose pace was replaced.
        """
        replaced = []
        for item in paces:
            determined_s = now_s - item.age_ms / 1000
            if now_s - determined_s > pace_estimate.RETENTION_S:
                continue
            pace = instance_pace.TimedPace(item.percent, determined_s, is_measured=item.is_measured)
            if self.record(item.key, pace):
                replaced.append(item.key)
        return replaced

    def get_aged(self, keys: Iterable[int], now_s: float) -> list[instance_pace.AgedPace]:
        """Return the paces of some instances with their ages, as sent to other processes."""
        aged = []
        for key in keys:
            pace = self._paces.get(key)
            if pace is not None:
                age_ms = max(0, math.ceil((now_s - pace.determined_s) * 1000))
                aged.append(
                    instance_pace.AgedPace(key, pace.percent, age_ms, is_measured=pace.is_measured)
                )
        return aged

    def expire(self, now_s: float) -> None:
        """Remove paces that were determined too long ago."""
        for key, pace in list(self._paces.items()):
            if now_s - pace.determined_s > pace_estimate.RETENTION_S:
                del self._paces[key]


def _is_newer(pace: instance_pace.TimedPace, known: instance_pace.TimedPace) -> bool:
    # A statement must be newer than a measurement by the time for which that overrules it.
    ttl_s = pace_estimate.OVERRULE_TTL_S
    pace_s = pace.determined_s + (ttl_s if pace.is_measured else 0.0)
    known_s = known.determined_s + (ttl_s if known.is_measured else 0.0)
    is_same = (pace.percent, pace.is_measured) == (known.percent, known.is_measured)
    return pace_s - known_s >= MIN_RENEWAL_S if is_same else pace_s > known_s
