"""Tracks the paces that instances state in answers or that other entries report."""

import collections
import logging
from collections.abc import Callable, Iterable

from spoolhead._internal.models import dialects, instance_pace
from spoolhead._internal.policy import (
    pace_broadcast,
    pace_estimate,
    pace_measurement,
    pace_registry,
    slow_periods,
    upstream_registry,
)
from spoolhead._internal.relay import block_meter

logger = logging.getLogger(__name__)

CLEAR_RATIO = 1.25
"""Ratio of a measured pace to the usual one from which it is used where nothing is stated."""


class UpstreamPaces:
    """Keeps the pace estimates in the registry of instances up to date.

    :param upstreams: the known instances.
    :param request_broadcast: called when a pace is to be reported to other entries.
    :param measures_pace: whether paces are also measured where no instance states one.
    :param on_overruled: called when a measurement begins to overrule an instance's statements.
    """

    __slots__ = (
        "_logged_factors",
        "_measurements",
        "_measures_pace",
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
        *,
        measures_pace: bool = False,
        on_overruled: Callable[[], None] = lambda: None,
    ) -> None:
        self._upstreams = upstreams
        self._request_broadcast = request_broadcast
        self._measures_pace = measures_pace
        self._on_overruled = on_overruled
        self._measurements: dict[str, pace_measurement.PaceMeasurement] = collections.defaultdict(
            pace_measurement.PaceMeasurement
        )
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
        factor = upstream.pace.own_stated_factor
        if upstream.pace.is_settled and factor is not None:
            self._report(upstream.key, factor, now_s, is_measured=False)

    def handle_events(
        self,
        upstream: upstream_registry.Upstream,
        meter: block_meter.BlockMeter,
        count: int,
        now_s: float,
    ) -> None:
        """Measure the pace by events that arrived in a stream, where paces are in use.

        :param meter: measures the stream's connection.
        """
        if not self._measures_pace and not self._slow_periods[upstream.instance.service].is_used:
            return
        interval_s = meter.record_events(count, now_s)
        if interval_s is None:
            return
        stated_factor = upstream.pace.stated_factor
        measurement = self._measurements[upstream.instance.service]
        factor = measurement.record_block(
            upstream.key, interval_s, now_s, stated_factor=stated_factor
        )
        if factor is not None and stated_factor is None:
            factor = measurement.get_long_term_factor(upstream.key)
            if factor is not None and not upstream.pace.is_known and _is_usual(factor):
                factor = None
        if factor is not None:
            self._handle_measured(upstream, factor, now_s)

    def _handle_measured(
        self, upstream: upstream_registry.Upstream, factor: float, now_s: float
    ) -> None:
        """Use a measured pace, and report it where it counts or corrects an earlier one."""
        self._bind(upstream)
        was_overruled = upstream.pace.is_overruled
        upstream.pace.record_measured(factor, now_s)
        self._handle_change(upstream, now_s, was_overruled=was_overruled)
        is_used = upstream.pace.source is pace_estimate.Source.MEASURED
        if is_used or self._is_overruled_elsewhere(upstream):
            self._report(upstream.key, factor, now_s, is_measured=True)

    def _is_overruled_elsewhere(self, upstream: upstream_registry.Upstream) -> bool:
        """Return whether a reported measurement overrules the statements of an instance."""
        reported = self._paces.get(upstream.key)
        stated_factor = upstream.pace.stated_factor
        if reported is None or not reported.is_measured or stated_factor is None:
            return False
        reported_factor = reported.percent / instance_pace.USUAL_PERCENT
        return pace_estimate.is_contradicting(reported_factor, stated_factor)

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
        for measurement in self._measurements.values():
            measurement.expire(now_s)
        for upstream in self._upstreams.get_all():
            if self._bind(upstream):
                self._apply_reported(upstream, now_s, reported_by="")
            elif upstream.pace.is_known:
                was_overruled = upstream.pace.is_overruled
                upstream.pace.update(now_s)
                self._handle_change(upstream, now_s, was_overruled=was_overruled)
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
        percent = instance_pace.compute_percent(factor)
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


def _is_usual(factor: float) -> bool:
    return 1.0 / CLEAR_RATIO < factor < CLEAR_RATIO
