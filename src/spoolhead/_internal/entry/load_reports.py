"""Fetches load reports of upstreams: Prometheus text with vLLM's metric names.

An entry fetches a share of the reports and receives the others from its neighbours, the other
entries of its hall; see :mod:`~spoolhead._internal.policy.reporting`.
"""

import logging
from collections.abc import Sequence

from prometheus_client import parser

from spoolhead._internal.entry import dispatcher as dispatchers
from spoolhead._internal.entry import neighbours as entry_neighbours
from spoolhead._internal.models import load_report, settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.network import upstream_calls
from spoolhead._internal.policy import replicas, reporting
from spoolhead._internal.utils import clocks, metrics

logger = logging.getLogger(__name__)

REPORT_PATH = "/metrics"
MAX_REPORT_BYTES = 1_048_576
FETCH_TIMEOUT_INTERVALS = 8

OTHER_HALL_INTERVAL_TURNS = 4
"""Fetch intervals between two fetches from an upstream of another hall."""

MAX_MISSED_TURNS = 3
"""Fetch intervals without a report from the responsible neighbour after which an entry fetches the
report itself."""

_RUNNING = "vllm:num_requests_running"
_WAITING = "vllm:num_requests_waiting"
_KV_USED = "vllm:kv_cache_usage_perc"
_PREEMPTIONS = "vllm:num_preemptions"
_CACHE_CONFIG = "vllm:cache_config_info"


def parse_report(text: str, received_s: float) -> load_report.LoadReport:
    """Parse a load report.

    :param text: the report's text; missing metrics count as 0.
    :param received_s: monotonic time of its arrival, in seconds.
    :raises ValueError: if the text is malformed or a value is NaN.
    :raises OverflowError: if a value is infinite.
    """
    values: dict[str, float] = {}
    capacity = 0
    for family in parser.text_string_to_metric_families(text):
        for sample in family.samples:
            name = sample.name.removesuffix("_total")
            values[name] = values.get(name, 0.0) + sample.value
            if name == _CACHE_CONFIG:
                blocks = int(sample.labels.get("num_gpu_blocks", "0"))
                capacity += blocks * int(sample.labels.get("block_size", "0"))
    return load_report.LoadReport(
        running=int(values.get(_RUNNING, 0)),
        waiting=int(values.get(_WAITING, 0)),
        kv_used_tokens=int(values.get(_KV_USED, 0.0) * capacity),
        kv_capacity_tokens=capacity,
        preemptions=int(values.get(_PREEMPTIONS, 0)),
        received_s=received_s,
    )


class _Fetch:
    """A fetch in progress."""

    def __init__(self, owner: "LoadReports", replica: replicas.Replica, now_s: float) -> None:
        self._owner = owner
        self._replica = replica
        self._status = 0
        self._body: list[bytes] = []
        self._body_bytes = 0
        self.started_s = now_s
        self.call: upstream_calls.UpstreamCall | None = None

    def on_answer_head(self, status: int, headers: upstream_calls.Headers) -> None:
        self._status = status

    def on_answer_body(self, data: bytes) -> None:
        self._body_bytes += len(data)
        if self._body_bytes <= MAX_REPORT_BYTES:
            self._body.append(data)

    def on_answer_end(self) -> None:
        if self._status == 200 and self._body_bytes <= MAX_REPORT_BYTES:
            self._handle_report(b"".join(self._body))
        else:
            self._owner.handle_failure(self._replica, f"status {self._status}")

    def on_call_lost(self, reason: str) -> None:
        self._owner.handle_failure(self._replica, reason)

    def _handle_report(self, body: bytes) -> None:
        # The last line of the format ends with a line feed.
        if body.endswith(b"\n"):
            self._owner.handle_answer(self._replica, body)
        else:
            self._owner.handle_failure(self._replica, "the report was cut short")


class LoadReports:
    """Fetches the upstreams' load reports at a fixed interval.

    :param loop: the program's event loop.
    :param config: settings with the interval between fetches.
    :param calls: sends requests to upstreams.
    :param dispatcher: lists the upstreams and receives their reports.
    :param neighbours: the other entries of the hall.
    :param collector: receives metrics.
    :param hall: hall of the entry; upstreams of other halls are fetched less often.
    :ivar fetched_counts: reports fetched by this entry, by upstream.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.UpstreamSettings,
        calls: upstream_calls.UpstreamCalls,
        dispatcher: dispatchers.Dispatcher,
        neighbours: entry_neighbours.Neighbours,
        collector: metrics.Metrics,
        hall: str,
    ) -> None:
        self._neighbours = neighbours
        self._hall = hall
        self._interval_number = 0
        self._fetched: list[entry_neighbours.NamedReport] = []
        self.fetched_counts: dict[str, int] = {}
        self._interval_s = config.report_interval_ms / 1000
        self._calls = calls
        self._dispatcher = dispatcher
        self._metrics = collector
        self._fetches: dict[str, _Fetch] = {}
        loop.scheduler.call_every(self._interval_s, self._fetch_all)

    def handle_answer(self, replica: replicas.Replica, body: bytes) -> None:
        """Handle a fetched report."""
        self._fetches.pop(replica.name, None)
        try:
            report = parse_report(body.decode("utf-8"), clocks.get_s())
        except (ValueError, OverflowError) as error:
            logger.warning("cannot parse load report of %s: %s", replica.name, error)
            return
        count = self.fetched_counts.get(replica.name, 0)
        self.fetched_counts[replica.name] = count + 1
        known = replica.report
        if known is not None and report.preemptions > known.preemptions:
            amount = report.preemptions - known.preemptions
            self._metrics.increment(metrics.Metric.PREEMPTIONS, amount)
        self._fetched.append(entry_neighbours.NamedReport(replica.name, report))
        self._dispatcher.handle_report(replica, report)

    def handle_neighbour_report(self, reports: Sequence[entry_neighbours.NamedReport]) -> None:
        """Apply a neighbour's reports that are newer than the known reports."""
        for item in reports:
            replica = self._dispatcher.get_upstream(item.upstream)
            if replica is None:
                continue
            if replica.report is None or item.report.received_s > replica.report.received_s:
                self._dispatcher.handle_report(replica, item.report)

    def handle_failure(self, replica: replicas.Replica, reason: str) -> None:
        """Handle a failed fetch; the last report stays in use and ages."""
        self._fetches.pop(replica.name, None)
        logger.debug("cannot fetch load report of %s: %s", replica.name, reason)

    def _fetch_all(self) -> None:
        now_s = clocks.get_s()
        self._cancel_overdue(now_s)
        self._neighbours.broadcast_reports(self._fetched)
        self._fetched = []
        self._interval_number += 1
        live_entries = self._neighbours.get_live_entries(now_s)
        for replica in self._dispatcher.upstreams:
            if replica.name not in self._fetches and self._is_due(replica, live_entries, now_s):
                self._fetch(replica, now_s)

    def _is_due(self, replica: replicas.Replica, live_entries: Sequence[str], now_s: float) -> bool:
        """Return whether this entry fetches the upstream's report in this interval."""
        is_near = replica.row.hall == self._hall
        interval = 1 if is_near else OTHER_HALL_INTERVAL_TURNS
        if reporting.get_fetcher(replica.name, live_entries) == live_entries[0]:
            return self._interval_number % interval == 0
        if replica.report is None:
            return True
        age_s = now_s - replica.report.received_s
        return age_s > MAX_MISSED_TURNS * interval * self._interval_s

    def _fetch(self, replica: replicas.Replica, now_s: float) -> None:
        fetch = _Fetch(self, replica, now_s)
        self._fetches[replica.name] = fetch
        address = replica.row.address
        request = upstream_calls.make_request("GET", REPORT_PATH, address, [], b"")
        fetch.call = self._calls.open(address, request, fetch, max_body_bytes=MAX_REPORT_BYTES)

    def _cancel_overdue(self, now_s: float) -> None:
        for name, fetch in list(self._fetches.items()):
            if now_s - fetch.started_s > FETCH_TIMEOUT_INTERVALS * self._interval_s:
                del self._fetches[name]
                if fetch.call is not None:
                    fetch.call.cancel()
