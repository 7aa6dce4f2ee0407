"""Records the callers of an entry that are dropped because they leave too many bytes unread."""

import logging

from spoolhead._internal.gateway import entry_metrics
from spoolhead._internal.models import settings
from spoolhead._internal.policy import body_budget, unread_budget

logger = logging.getLogger(__name__)


class SlowReaders:
    """The unread bytes of an entry's callers.

    :param config: the entry's settings.
    :param metrics: metrics of the entry.
    :ivar unread: budget of the unread bytes of all callers.
    :ivar bodies: budget of all bodies, of which the unread bytes are a part.
    """

    def __init__(
        self, config: settings.GatewaySettings, metrics: entry_metrics.EntryMetrics
    ) -> None:
        self.bodies = body_budget.BodyBudget(
            config.callers.held_bytes, lambda: self.unread.total_bytes
        )
        self.unread = unread_budget.UnreadBudget(
            config.unread_bytes, get_shared_bytes=lambda: self.bodies.unread_limit_bytes
        )
        self._metrics = metrics
        metrics.unread_bytes.set_function(lambda: self.unread.total_bytes)

    def record_drop(self, request_id: str, drop: unread_budget.Drop, is_running: bool) -> None:
        """Record a dropped caller.

        :param request_id: id of its request; empty if the request was refused.
        :param is_running: whether its request was still being served.
        """
        fields = {
            "request": request_id,
            "unread_bytes": drop.unread_bytes,
            "unread_ms": int(drop.unread_s * 1000),
            "total_bytes": drop.total_bytes,
            "budget_bytes": self.unread.budget_bytes,
            "is_running": is_running,
        }
        logger.warning("caller dropped", extra={"fields": fields})
        self._metrics.dropped_callers.inc()
