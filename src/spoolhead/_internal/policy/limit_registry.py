"""The newest rate limit that each instance stated.

Performs no I/O; the current time is passed in.
"""

import math
from collections.abc import Iterable

from spoolhead._internal.models import rate_limit

UNLIMITED_PER_S = 10_000.0
"""Limits from this value on are ignored: the whole fleet is designed for fewer requests a
second."""
RETENTION_S = 600.0
"""Time after which a limit that was not stated again expires. The same holds for the removal of a
limit, which must outlive every report of the limit."""
RENEWAL_AGE_S = 1.0
"""Age of the known limit from which a statement of the same limit counts as a change."""


class LimitRegistry:
    """Merges limits read from answers with those reported by other processes: the newest wins."""

    def __init__(self) -> None:
        self._stated: dict[int, rate_limit.StatedLimit] = {}

    def __len__(self) -> int:
        return len(self._stated)

    def get(self, key: int) -> rate_limit.StatedLimit | None:
        """Return the newest stated limit of an instance, or None if there is none."""
        return self._stated.get(key)

    def get_limit_per_s(self, key: int) -> float | None:
        """Return the limit in force, or None if there is none."""
        stated = self._stated.get(key)
        if stated is None or stated.limit_per_s is None or stated.limit_per_s >= UNLIMITED_PER_S:
            return None
        return stated.limit_per_s

    def get_keys(self) -> list[int]:
        """Return the keys of the instances with a known statement."""
        return list(self._stated)

    @property
    def limited_count(self) -> int:
        """Number of instances with a limit in force."""
        return sum(self.get_limit_per_s(key) is not None for key in self._stated)

    def record(self, key: int, limit_per_s: float | None, stated_s: float) -> bool:
        """Record a limit that an instance stated.

        :param limit_per_s: requests a second; None if the answer stated no limit.
        :returns: whether to broadcast it: it changes the limit, or renews an old statement.
        """
        known = self._stated.get(key)
        if known is not None and known.stated_s >= stated_s:
            return False
        self._stated[key] = rate_limit.StatedLimit(limit_per_s, stated_s)
        known_per_s = known.limit_per_s if known is not None else None
        if known_per_s != limit_per_s:
            return True
        return known is not None and limit_per_s is not None and _is_old(known, stated_s)

    def merge(self, limits: Iterable[rate_limit.AgedLimit], now_s: float) -> list[int]:
        """Merge limits reported by another process; return the keys to broadcast."""
        return [
            item.key
            for item in limits
            if self.record(item.key, item.limit_per_s, now_s - item.age_ms / 1000)
        ]

    def get_aged(self, keys: Iterable[int], now_s: float) -> list[rate_limit.AgedLimit]:
        """Return the limits of some instances with their ages, as sent to other processes."""
        aged = []
        for key in keys:
            stated = self._stated.get(key)
            if stated is not None:
                age_ms = math.ceil((now_s - stated.stated_s) * 1000)
                aged.append(rate_limit.AgedLimit(key, stated.limit_per_s, max(0, age_ms)))
        return aged

    def get_all_aged(self, now_s: float) -> list[rate_limit.AgedLimit]:
        """Return all limits with their ages, as sent to another process."""
        return self.get_aged(list(self._stated), now_s)

    def expire(self, now_s: float) -> None:
        """Remove limits that were stated too long ago."""
        for key, stated in list(self._stated.items()):
            if now_s - stated.stated_s > RETENTION_S:
                del self._stated[key]


def _is_old(known: rate_limit.StatedLimit, now_s: float) -> bool:
    return now_s - known.stated_s >= RENEWAL_AGE_S
