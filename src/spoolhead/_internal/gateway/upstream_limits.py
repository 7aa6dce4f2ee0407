"""The rate limits that instances state: read in answers, and reported by other entries."""

import logging
from collections.abc import Callable, Iterable

from spoolhead._internal.models import dialects, rate_limit
from spoolhead._internal.policy import limit_registry, upstream_registry

logger = logging.getLogger(__name__)

REPORT_RETENTION_S = 4.0
"""Time for which reports carry a statement again, so that a short cut does not lose it."""


class UpstreamLimits:
    """The rate limits that one entry knows of.

    :param get_upstream: returns the instance that a datagram names by a number, if it is listed.
    :param request_broadcast: called when other entries should be told at once.
    :param on_change: called with the number of an instance whose limit has changed.
    :ivar registry: the newest statement of each instance.
    """

    __slots__ = (
        "_get_upstream",
        "_on_change",
        "_reported_s",
        "_request_broadcast",
        "_unreadable",
        "registry",
    )

    def __init__(
        self,
        get_upstream: Callable[[int], upstream_registry.Upstream | None],
        request_broadcast: Callable[[], None],
        on_change: Callable[[int], None],
    ) -> None:
        self.registry = limit_registry.LimitRegistry()
        self._get_upstream = get_upstream
        self._request_broadcast = request_broadcast
        self._on_change = on_change
        self._reported_s: dict[int, float] = {}
        self._unreadable: set[int] = set()

    def handle_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Record what an answer to a request states; an answer without a limit lifts it."""
        if head.is_misdirected:
            return
        key = upstream.key
        if head.is_limit_unreadable:
            self._log_unreadable(upstream)
            return
        self._unreadable.discard(key)
        before_per_s = self.registry.get_limit_per_s(key)
        if not self.registry.record(key, head.limit_per_s, now_s):
            return
        self._reported_s[key] = now_s
        self._record_change(key, before_per_s, reported_by="")
        self._request_broadcast()

    def handle_health_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Record a limit that an answer to a health question states.

        One without a limit says nothing: only answers to requests are known to state it.
        """
        if head.limit_per_s is not None:
            self.handle_answer(upstream, head, now_s)

    def merge(
        self, limits: Iterable[rate_limit.AgedLimit], now_s: float, *, reported_by: str
    ) -> None:
        """Record what another process reports.

        :param reported_by: name of that process.
        """
        for item in limits:
            before_per_s = self.registry.get_limit_per_s(item.key)
            self.registry.merge([item], now_s)
            self._record_change(item.key, before_per_s, reported_by=reported_by)

    def get_reported(self, now_s: float) -> list[rate_limit.AgedLimit]:
        """Return what a report made now should carry of what this entry read itself."""
        self._reported_s = {
            key: reported_s
            for key, reported_s in self._reported_s.items()
            if now_s - reported_s <= REPORT_RETENTION_S
        }
        return self.registry.get_aged(self._reported_s, now_s)

    def _log_unreadable(self, upstream: upstream_registry.Upstream) -> None:
        """Log an unreadable limit once; what is known stays in force."""
        if upstream.key in self._unreadable:
            return
        self._unreadable.add(upstream.key)
        fields = {"upstream": upstream.instance.incarnation_id}
        logger.warning("upstream stated an unreadable rate limit", extra={"fields": fields})

    def _record_change(self, key: int, before_per_s: float | None, *, reported_by: str) -> None:
        limit_per_s = self.registry.get_limit_per_s(key)
        if limit_per_s == before_per_s:
            return
        self._on_change(key)
        upstream = self._get_upstream(key)
        if upstream is None:
            return
        fields = {
            "upstream": upstream.instance.incarnation_id,
            "limit_per_s": limit_per_s,
            "before_per_s": before_per_s,
            "reported_by": reported_by,
        }
        logger.info("upstream changed its rate limit", extra={"fields": fields})
