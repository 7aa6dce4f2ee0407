"""When an entry asks again for a permit that was rejected; no I/O, time passed in."""

import math

OTHER_WORKSPACES_FRACTION = 0.25
"""Part of the backoff after which requests of other workspaces ask, so that one does not keep all
others from being heard."""


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
    """The rejections that one entry got."""

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

        :param key: number of the instance.
        :param rank: rank of the request that was rejected.
        :param workspace: its workspace.
        :param retry_after_ms: when a request that is refused now should come back.
        :param backoff_ms: time for which not to ask again.
        """
        rejection = _Rejection(rank, workspace, retry_at_s=now_s + max(0, retry_after_ms) / 1000)
        backoff_s = max(0, backoff_ms) / 1000
        rejection.until_s = now_s + backoff_s
        rejection.others_until_s = now_s + backoff_s * OTHER_WORKSPACES_FRACTION
        known = self._rejections.get(key)
        if known is not None and known.until_s > now_s:
            # The most urgent request that was rejected decides who still may ask.
            rejection.rank = min(rank, known.rank)
        self._rejections[key] = rejection

    def blocks(self, key: int, rank: int, workspace: str, now_s: float) -> bool:
        """Tell whether a request need not ask, as one at least as urgent was just rejected."""
        rejection = self._rejections.get(key)
        if rejection is None or rank < rejection.rank:
            return False
        is_same = workspace == rejection.workspace
        return now_s < (rejection.until_s if is_same else rejection.others_until_s)

    def get_retry_after_ms(self, key: int, now_s: float) -> int:
        """Return when a request that is not granted may come back."""
        rejection = self._rejections.get(key)
        if rejection is None:
            return 0
        return_s = max(rejection.retry_at_s, rejection.others_until_s)
        return max(1, math.ceil((return_s - now_s) * 1000))

    def expire(self, now_s: float) -> None:
        """Forget rejections that keep nobody back any more."""
        self._rejections = {
            key: item
            for key, item in self._rejections.items()
            if now_s < max(item.until_s, item.retry_at_s)
        }

    def clear(self, key: int) -> None:
        """Forget the rejection for an instance."""
        self._rejections.pop(key, None)
