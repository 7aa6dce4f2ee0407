"""Remembers and logs what was decided on each request."""

import collections
import logging
from collections.abc import Callable

from spoolhead._internal.models import codes, decision, fault, requests, settings
from spoolhead._internal.policy import placement
from spoolhead._internal.utils import metrics

logger = logging.getLogger("spoolhead.decisions")


class DecisionHistory:
    """Decisions on the newest requests, for operators who ask.

    :param config: the entry's settings.
    :param collector: metrics.
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
        """Return what was decided on a request, oldest first."""
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
        """Take note of a decision.

        :param choice: upstreams that it was taken among.
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
        self, request_id: str, workspace: str, item: fault.Fault, arrived_s: float
    ) -> None:
        """Take note of a refusal before there was anything to choose from."""
        self._append(
            decision.Decision(
                request_id=request_id,
                workspace=workspace,
                service="",
                action="refuse",
                code=item.code,
                wait_ms=self._get_age_ms(arrived_s),
                text=item.text,
            )
        )

    def _get_age_ms(self, arrived_s: float) -> int:
        return int((self._clock() - arrived_s) * 1000)

    def _append(self, item: decision.Decision) -> None:
        self._metrics.count(metrics.Metric.DECISIONS, kind=str(int(item.code)))
        self._decisions.setdefault(item.request_id, []).append(item)
        while len(self._decisions) > self._config.remembered_decisions:
            self._decisions.popitem(last=False)
        if logger.isEnabledFor(logging.INFO):
            logger.info(item.action, extra={"fields": item.get_fields()})
