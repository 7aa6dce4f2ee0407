"""Reads the rate limits that instances state in their answers."""

import logging

from spoolhead._internal.models import dialects
from spoolhead._internal.policy import limit_book, upstream_book

logger = logging.getLogger(__name__)


class UpstreamLimits:
    """The rate limits that one entry knows of.

    :ivar book: the newest statement of each instance.
    """

    __slots__ = ("_unreadable", "book")

    def __init__(self) -> None:
        self.book = limit_book.LimitBook()
        self._unreadable: set[int] = set()

    def take_answer(
        self, upstream: upstream_book.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Record what an answer to a request states; an answer without a limit lifts it."""
        if head.is_misdirected:
            return
        key = upstream.key
        if head.is_limit_unreadable:
            self._note_unreadable(upstream)
            return
        self._unreadable.discard(key)
        before_per_s = self.book.get_limit_per_s(key)
        self.book.record(key, head.limit_per_s, now_s)
        limit_per_s = self.book.get_limit_per_s(key)
        if limit_per_s != before_per_s:
            log_change(upstream, limit_per_s, before_per_s, reported_by="")

    def _note_unreadable(self, upstream: upstream_book.Upstream) -> None:
        """Log an unreadable limit once; what is known stays in force."""
        if upstream.key in self._unreadable:
            return
        self._unreadable.add(upstream.key)
        fields = {"upstream": upstream.instance.life_id}
        logger.warning("upstream stated an unreadable rate limit", extra={"fields": fields})


def log_change(
    upstream: upstream_book.Upstream,
    limit_per_s: float | None,
    before_per_s: float | None,
    *,
    reported_by: str,
) -> None:
    """Log that the limit of an instance has changed.

    :param reported_by: process that reported it; empty if this entry read it in an answer.
    """
    fields = {
        "upstream": upstream.instance.life_id,
        "limit_per_s": limit_per_s,
        "before_per_s": before_per_s,
        "reported_by": reported_by,
    }
    logger.info("upstream changed its rate limit", extra={"fields": fields})
