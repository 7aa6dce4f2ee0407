"""Confirms conclusions about an instance before other entries act on them.

That an instance does not answer may be due to this entry's own connections. A conclusion from it is
therefore confirmed by an answer of another instance, on a connection opened after the failure.
"""

import logging
import random
from collections.abc import Callable, Sequence

from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import upstream_registry
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

CONFIRM_TIMEOUT_S = 0.3
"""Time within which another instance must answer; without an answer the conclusion is dropped."""
MIN_INTERVAL_S = 0.3
"""Minimum interval between two checks of the same conclusion."""
PROBES_AT_ONCE = 2
"""Number of other instances that are probed for a check."""


class _Pending:
    """A conclusion that is not confirmed yet.

    :ivar incarnation_id: the instance that it is about.
    :ivar kind: what was concluded, for the log.
    :ivar since_s: time of the failure.
    :ivar action: what to do once it is confirmed.
    """

    __slots__ = ("action", "incarnation_id", "kind", "since_s")

    def __init__(
        self, incarnation_id: str, kind: str, since_s: float, action: Callable[[], None]
    ) -> None:
        self.incarnation_id = incarnation_id
        self.kind = kind
        self.since_s = since_s
        self.action = action


class ConclusionCheck:
    """Conclusions of one entry about instances that did not answer it.

    :param timers: scheduler for timers.
    :param registry: the known instances.
    :param rng: source of random numbers.
    :param probe: sends a probe on a new connection to an instance.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        registry: upstream_registry.UpstreamRegistry,
        rng: random.Random,
        *,
        probe: Callable[[upstream_registry.Upstream], None],
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._timers = timers
        self._registry = registry
        self._rng = rng
        self._probe = probe
        self._clock = clock
        self._pending: list[_Pending] = []
        self._checked_s: dict[tuple[str, str], float] = {}

    def confirm(self, incarnation_id: str, kind: str, action: Callable[[], None]) -> None:
        """Perform an action once it is confirmed that an instance's failure is its own.

        If the instance is the only one, there is nothing to compare it with, and the action is
        performed at once.

        :param kind: what was concluded, for the log.
        """
        now_s = self._clock()
        if now_s - self._checked_s.get((incarnation_id, kind), -MIN_INTERVAL_S) < MIN_INTERVAL_S:
            return
        others = self._get_others(incarnation_id)
        if not others:
            action()
            return
        self._record_check(incarnation_id, kind, now_s)
        item = _Pending(incarnation_id, kind, now_s, action)
        self._pending.append(item)
        self._timers.call_later(CONFIRM_TIMEOUT_S, lambda: self._drop(item))
        available = [upstream for upstream in others if not upstream.rest.is_resting(now_s)]
        count = min(PROBES_AT_ONCE, len(available))
        for upstream in self._rng.sample(available, count):
            self._probe(upstream)

    def record_answered(self, upstream: upstream_registry.Upstream, opened_s: float) -> None:
        """Record that an instance answered a call on a new connection."""
        if not self._pending:
            return
        remaining: list[_Pending] = []
        for item in self._pending:
            is_other = upstream.instance.incarnation_id != item.incarnation_id
            if is_other and opened_s >= item.since_s:
                # The answer is still being handled by the request that received it.
                self._timers.call_later(0, item.action)
            else:
                remaining.append(item)
        self._pending = remaining

    def _drop(self, item: _Pending) -> None:
        if item not in self._pending:
            return
        self._pending.remove(item)
        fields = {"upstream": item.incarnation_id, "kind": item.kind}
        logger.warning("conclusion about upstream is not reported", extra={"fields": fields})

    def _get_others(self, incarnation_id: str) -> Sequence[upstream_registry.Upstream]:
        return [
            upstream
            for upstream in self._registry.get_all()
            if upstream.instance.incarnation_id != incarnation_id and not upstream.is_leaving
        ]

    def _record_check(self, incarnation_id: str, kind: str, now_s: float) -> None:
        self._checked_s = {
            key: checked_s
            for key, checked_s in self._checked_s.items()
            if now_s - checked_s < MIN_INTERVAL_S
        }
        self._checked_s[incarnation_id, kind] = now_s
