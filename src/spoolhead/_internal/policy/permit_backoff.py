"""Decides when an entry may request a permit again after a rejection.

Performs no I/O; the current time is passed in.
"""

import math

OTHER_WORKSPACES_FRACTION = 0.25
"""Fraction of the backoff after which the entry may request permits for other workspaces, so that
one workspace does not block all others."""


class _Rejection:
    """The latest rejection for one instance."""

    __slots__ = ("others_until_s", "rank", "retry_at_s", "until_s", "workspace")

    def __init__(self, rank: int, workspace: str, *, retry_at_s: float) -> None:
        self.rank = rank
        self.workspace = workspace
        self.retry_at_s = retry_at_s
        self.until_s = 0.0
        self.others_until_s = 0.0


class PermitBackoff:
    """The permit rejections that one entry received."""

    __slots__ = ("_rejections",)

    def __init__(self) -> None:
        self._rejections: dict[int, _Rejection] = {}

    def record(
        self,
        key: int,
        rank: int,
        workspace: str,
        *,
        retry_after_ms: int,
        backoff_ms: int,
        now_s: float,
    ) -> None:
        """Record a rejection.

        :param key: key of the instance.
        :param rank: rank of the request that was rejected.
        :param workspace: its workspace.
        :param retry_after_ms: time after which a request that is refused now should retry.
        :param backoff_ms: time for which the entry must not request a permit again.
        """
        rejection = _Rejection(rank, workspace, retry_at_s=now_s + max(0, retry_after_ms) / 1000)
        backoff_s = max(0, backoff_ms) / 1000
        rejection.until_s = now_s + backoff_s
        rejection.others_until_s = now_s + backoff_s * OTHER_WORKSPACES_FRACTION
        known = self._rejections.get(key)
        if known is not None and known.until_s > now_s:
            # Only requests more urgent than every rejected one may still request a permit.
            rejection.rank = min(rank, known.rank)
        self._rejections[key] = rejection

    def blocks(self, key: int, rank: int, workspace: str, now_s: float) -> bool:
        """Return whether a request must wait, as one at least as urgent was just rejected."""
        rejection = self._rejections.get(key)
        if rejection is None or rank < rejection.rank:
            return False
        is_same = workspace == rejection.workspace
        return now_s < (rejection.until_s if is_same else rejection.others_until_s)

    def get_retry_after_ms(self, key: int, now_s: float) -> int:
        """Return the time after which a request without a permit may retry."""
        rejection = self._rejections.get(key)
        if rejection is None:
            return 0
        retry_s = max(rejection.retry_at_s, rejection.others_until_s)
        return max(1, math.ceil((retry_s - now_s) * 1000))

    def expire(self, now_s: float) -> None:
        """Remove rejections that no longer block any request."""
        self._rejections = {
            key: item
            for key, item in self._rejections.items()
            if now_s < max(item.until_s, item.retry_at_s)
        }

    def clear(self, key: int) -> None:
        """Remove the rejection for an instance."""
        self._rejections.pop(key, None)
