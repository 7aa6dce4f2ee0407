"""Logs the decisions on each request and keeps the latest decisions in memory."""

import collections
import logging
from collections.abc import Callable

from spoolhead._internal.models import codes, decision, fault, requests, settings
from spoolhead._internal.policy import placement
from spoolhead._internal.utils import metrics

logger = logging.getLogger("spoolhead.decisions")


class DecisionHistory:
    """Decisions on the most recent requests, for operators' queries.

    Keeps at most ``remembered_decisions`` requests; the oldest request is removed first.

    :param config: the entry's settings.
    :param collector: receives the count of decisions.
    :param clock: returns the monotonic time in seconds.
    """

    def __init__(
        self,
        config: settings.EntrySettings,
        collector: metrics.Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._config = config
        self._metrics = collector
        self._clock = clock
        self._decisions: collections.OrderedDict[str, list[decision.Decision]] = (
            collections.OrderedDict()
        )

    def get(self, request_id: str) -> list[decision.Decision]:
        """Return the decisions on a request, oldest first."""
        return list(self._decisions.get(request_id, ()))

    def record(
        self,
        request: requests.CallerRequest,
        action: str,
        code: codes.ResultCode,
        *,
        choice: placement.Choice | None = None,
        text: str = "",
    ) -> None:
        """Record a decision.

        :param choice: the placement that led to it, with all candidates.
        """
        chosen = choice.replica if choice is not None else None
        self._append(
            decision.Decision(
                request_id=request.request_id,
                workspace=request.workspace,
                service=request.service_name,
                action=action,
                code=code,
                wait_ms=self._get_age_ms(request.arrived_s),
                upstream=chosen.name if chosen is not None else "",
                candidates=choice.candidates if choice is not None else (),
                text=text,
            )
        )

    def record_refusal(
        self, request_id: str, workspace: str, cause: fault.Fault, arrived_s: float
    ) -> None:
        """Record a refusal that was made before a service and upstreams were known."""
        self._append(
            decision.Decision(
                request_id=request_id,
                workspace=workspace,
                service="",
                action="refuse",
                code=cause.code,
                wait_ms=self._get_age_ms(arrived_s),
                text=cause.text,
            )
        )

    def _get_age_ms(self, arrived_s: float) -> int:
        return int((self._clock() - arrived_s) * 1000)

    def _append(self, entry: decision.Decision) -> None:
        self._metrics.increment(metrics.Metric.DECISIONS, kind=str(int(entry.code)))
        self._decisions.setdefault(entry.request_id, []).append(entry)
        while len(self._decisions) > self._config.remembered_decisions:
            self._decisions.popitem(last=False)
        if logger.isEnabledFor(logging.INFO):
            logger.info(entry.action, extra={"fields": entry.get_fields()})
