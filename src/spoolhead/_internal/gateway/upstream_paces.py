"""Tracks the paces that instances state in answers or that other entries report."""

import collections
import logging
from collections.abc import Callable, Iterable

from spoolhead._internal.models import dialects, instance_pace
from spoolhead._internal.policy import (
    pace_broadcast,
    pace_estimate,
    pace_registry,
    slow_periods,
    upstream_registry,
)

logger = logging.getLogger(__name__)


class UpstreamPaces:
    """Keeps the pace estimates in the registry of instances up to date.

    :param upstreams: the known instances.
    :param request_broadcast: called when a pace is to be reported to other entries.
    :param on_overruled: called when a measurement begins to overrule an instance's statements.
    """

    __slots__ = (
        "_logged_factors",
        "_on_overruled",
        "_own_s",
        "_paces",
        "_request_broadcast",
        "_slow_periods",
        "_to_report",
        "_upstreams",
    )

    def __init__(
        self,
        upstreams: upstream_registry.UpstreamRegistry,
        request_broadcast: Callable[[], None],
        on_overruled: Callable[[], None] = lambda: None,
    ) -> None:
        self._upstreams = upstreams
        self._request_broadcast = request_broadcast
        self._on_overruled = on_overruled
        self._paces = pace_registry.PaceRegistry()
        self._to_report = pace_broadcast.PaceBroadcast(self._paces)
        self._slow_periods: dict[str, slow_periods.SlowPeriods] = collections.defaultdict(
            slow_periods.SlowPeriods
        )
        self._own_s: dict[int, float] = {}
        self._logged_factors: dict[int, float] = {}

    @property
    def known_count(self) -> int:
        """Number of instances with a known pace."""
        return sum(upstream.pace.is_known for upstream in self._upstreams.get_all())

    def handle_answer(
        self, upstream: upstream_registry.Upstream, head: dialects.AnswerHead, now_s: float
    ) -> None:
        """Record the pace in an answer to a request or to a health probe, if any is stated."""
        load = head.load
        if load is None or load.pace_percent is None or head.is_misdirected:
            return
        self._bind(upstream)
        was_overruled = upstream.pace.is_overruled
        upstream.pace.record_stated(load.pace_percent, now_s)
        self._handle_change(upstream, now_s, was_overruled=was_overruled)
        stated_factor = upstream.pace.stated_factor
        if upstream.pace.is_settled and stated_factor is not None:
            self._report(upstream.key, stated_factor, now_s, is_measured=False)

    def merge(
        self, paces: Iterable[instance_pace.AgedPace], now_s: float, *, reported_by: str
    ) -> None:
        """Record paces that another process reports.

        :param reported_by: name of that process, for the log.
        """
        for key in self._paces.merge(paces, now_s):
            upstream = self._upstreams.get_by_key(key)
            if upstream is not None:
                self._apply_reported(upstream, now_s, reported_by=reported_by)

    def get_reported(self, now_s: float) -> list[instance_pace.AgedPace]:
        """Return the paces for a report sent now, and count them as sent."""
        return self._to_report.pop_batch(now_s)

    def handle_snapshot(self) -> None:
        """Schedule the paces that this entry determined: the hub may have missed the reports."""
        for key, determined_s in self._own_s.items():
            pace = self._paces.get(key)
            if pace is not None and pace.determined_s == determined_s:
                self._to_report.add([key])

    def refresh(self, now_s: float) -> None:
        """Remove old paces, and apply the known ones to newly listed instances."""
        self._paces.expire(now_s)
        for pool in self._slow_periods.values():
            pool.expire(now_s)
        for upstream in self._upstreams.get_all():
            if self._bind(upstream):
                self._apply_reported(upstream, now_s, reported_by="")
            elif upstream.pace.is_known:
                upstream.pace.update(now_s)
        known = set(self._paces.get_keys())
        self._own_s = {key: at_s for key, at_s in self._own_s.items() if key in known}
        listed = self._upstreams.get_by_key
        self._logged_factors = {
            key: factor for key, factor in self._logged_factors.items() if listed(key) is not None
        }

    def _bind(self, upstream: upstream_registry.Upstream) -> bool:
        """Have an instance share the slow periods of its service; return whether it is new."""
        pool = self._slow_periods[upstream.instance.service]
        is_new = upstream.pace.slow_periods is not pool
        upstream.pace.slow_periods = pool
        return is_new

    def _report(self, key: int, factor: float, now_s: float, *, is_measured: bool) -> None:
        """Schedule the report of a pace, unless the other entries know about the same one."""
        percent = max(1, round(factor * instance_pace.USUAL_PERCENT))
        if not self._paces.is_due(key, percent, now_s, is_measured=is_measured):
            return
        pace = instance_pace.TimedPace(percent, now_s, is_measured=is_measured)
        if self._paces.record(key, pace):
            self._own_s[key] = now_s
            self._to_report.add([key])
            self._request_broadcast()

    def _apply_reported(
        self, upstream: upstream_registry.Upstream, now_s: float, *, reported_by: str
    ) -> None:
        pace = self._paces.get(upstream.key)
        if pace is None:
            return
        self._bind(upstream)
        was_overruled = upstream.pace.is_overruled
        upstream.pace.record_reported(
            pace.percent, pace.determined_s, now_s, is_measured=pace.is_measured
        )
        self._handle_change(upstream, now_s, was_overruled=was_overruled, reported_by=reported_by)

    def _handle_change(
        self,
        upstream: upstream_registry.Upstream,
        now_s: float,
        *,
        was_overruled: bool,
        reported_by: str = "",
    ) -> None:
        """Count a new overruling, and log a clear change of the typical pace."""
        pace = upstream.pace
        if pace.is_overruled and not was_overruled:
            self._on_overruled()
        before = self._logged_factors.get(upstream.key, pace_estimate.USUAL_FACTOR)
        if abs(pace.typical_factor - before) <= pace_registry.CHANGE_SHARE * before:
            return
        self._logged_factors[upstream.key] = pace.typical_factor
        fields = {
            "upstream": upstream.instance.incarnation_id,
            "factor": round(pace.typical_factor, 2),
            "before": round(before, 2),
            "source": pace.source.value,
            "age_ms": int(pace.get_age_s(now_s) * 1000),
            "reported_by": reported_by,
        }
        logger.info("upstream changed its pace", extra={"fields": fields})
