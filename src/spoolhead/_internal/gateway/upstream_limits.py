"""Tracks the rate limits that instances state in answers or that other entries report."""

import logging
from collections.abc import Callable, Iterable

from spoolhead._internal.models import dialects, rate_limit
from spoolhead._internal.policy import limit_registry, upstream_registry

logger = logging.getLogger(__name__)

REPORT_RETENTION_S = 4.0
"""Time for which reports repeat a limit, so that it survives a short network partition."""


class UpstreamLimits:
    """The rate limits that one entry knows.

    :param get_upstream: returns the listed instance with a key, as used in datagrams, or None.
    :param request_broadcast: called when a limit must be reported to other entries at once.
    :param on_change: called with the key of an instance whose limit has changed.
    :ivar registry: the newest limit of each instance.
    """

    __slots__ = (
        "_get_upstream",
        "_on_change",
        "_reported_s",
        "_request_broadcast",
        "_unreadable_keys",
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
        self._unreadable_keys: set[int] = set()

    def handle_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Record the limit in an answer to a request; an answer without one removes the limit."""
        if head.is_misdirected:
            return
        key = upstream.key
        if head.is_limit_unreadable:
            self._log_unreadable(upstream)
            return
        self._unreadable_keys.discard(key)
        previous_limit_per_s = self.registry.get_limit_per_s(key)
        if not self.registry.record(key, head.limit_per_s, now_s):
            return
        self._reported_s[key] = now_s
        self._record_change(key, previous_limit_per_s, reported_by="")
        self._request_broadcast()

    def handle_health_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Record the limit in an answer to a health probe.

        An answer without a limit is ignored: only answers to requests are known to state it.
        """
        if head.limit_per_s is not None:
            self.handle_answer(upstream, head, now_s)

    def merge(
        self, limits: Iterable[rate_limit.AgedLimit], now_s: float, *, reported_by: str
    ) -> None:
        """Record limits that another process reports.

        :param reported_by: name of that process, for the log.
        """
        for item in limits:
            previous_limit_per_s = self.registry.get_limit_per_s(item.key)
            self.registry.merge([item], now_s)
            self._record_change(item.key, previous_limit_per_s, reported_by=reported_by)

    def get_reported(self, now_s: float) -> list[rate_limit.AgedLimit]:
        """Return the limits from recent answers, which a report sent now must carry."""
        self._reported_s = {
            key: reported_s
            for key, reported_s in self._reported_s.items()
            if now_s - reported_s <= REPORT_RETENTION_S
        }
        return self.registry.get_aged(self._reported_s, now_s)

    def _log_unreadable(self, upstream: upstream_registry.Upstream) -> None:
        """Log an unreadable limit once; the previous limit stays in force."""
        if upstream.key in self._unreadable_keys:
            return
        self._unreadable_keys.add(upstream.key)
        fields = {"upstream": upstream.instance.incarnation_id}
        logger.warning("upstream stated an unreadable rate limit", extra={"fields": fields})

    def _record_change(
        self, key: int, previous_limit_per_s: float | None, *, reported_by: str
    ) -> None:
        limit_per_s = self.registry.get_limit_per_s(key)
        if limit_per_s == previous_limit_per_s:
            return
        self._on_change(key)
        upstream = self._get_upstream(key)
        if upstream is None:
            return
        fields = {
            "upstream": upstream.instance.incarnation_id,
            "limit_per_s": limit_per_s,
            "before_per_s": previous_limit_per_s,
            "reported_by": reported_by,
        }
        logger.info("upstream changed its rate limit", extra={"fields": fields})
