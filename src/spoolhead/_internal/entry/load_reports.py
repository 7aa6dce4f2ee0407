"""Fetches the load reports of upstreams: Prometheus text, in the names that vLLM publishes.

An entry fetches its part of the reports and gets the others from its neighbours in the hall; see
:mod:`~spoolhead._internal.policy.reporting`.
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
"""Turns between two fetches from an upstream of another hall."""

MAX_MISSED_TURNS = 3
"""Turns without a neighbour's report after which an entry fetches it itself."""

_RUNNING = "vllm:num_requests_running"
_WAITING = "vllm:num_requests_waiting"
_KV_USED = "vllm:kv_cache_usage_perc"
_PREEMPTIONS = "vllm:num_preemptions"
_CACHE_CONFIG = "vllm:cache_config_info"


def parse_report(text: str, received_s: float) -> load_report.LoadReport:
    """Read a load report.

    :param text: the report's text; what it does not name counts as 0.
    :param received_s: monotonic time of its arrival.
    :raises ValueError: if it is not in the format.
    :raises OverflowError: if a number in it has no bound.
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
    """One fetch under way."""

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
            self._owner.handle_answer(self._replica, b"".join(self._body))
        else:
            self._owner.handle_failure(self._replica, f"status {self._status}")

    def on_call_lost(self, reason: str) -> None:
        self._owner.handle_failure(self._replica, reason)


class LoadReports:
    """Fetches the report of each upstream again and again.

    :param loop: root of the program.
    :param config: interval of the fetches.
    :param calls: makes requests to upstreams.
    :param owner: knows the upstreams.
    :param neighbours: the other entries of the hall.
    :param collector: metrics.
    :param hall: hall of the entry; upstreams of other halls are asked less often.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.UpstreamSettings,
        calls: upstream_calls.UpstreamCalls,
        owner: dispatchers.Dispatcher,
        neighbours: entry_neighbours.Neighbours,
        collector: metrics.Metrics,
        hall: str,
    ) -> None:
        self._neighbours = neighbours
        self._hall = hall
        self._turn = 0
        self._fetched: list[entry_neighbours.NamedReport] = []
        self.fetched_counts: dict[str, int] = {}
        self._interval_s = config.report_interval_ms / 1000
        self._calls = calls
        self._owner = owner
        self._metrics = collector
        self._fetches: dict[str, _Fetch] = {}
        loop.scheduler.call_every(self._interval_s, self._fetch_all)

    def handle_answer(self, replica: replicas.Replica, body: bytes) -> None:
        """Take a report that has come."""
        self._fetches.pop(replica.name, None)
        try:
            report = parse_report(body.decode("utf-8"), clocks.get_s())
        except (ValueError, OverflowError) as error:
            logger.warning("report of %s cannot be read: %s", replica.name, error)
            return
        count = self.fetched_counts.get(replica.name, 0)
        self.fetched_counts[replica.name] = count + 1
        known = replica.report
        if known is not None and report.preemptions > known.preemptions:
            amount = report.preemptions - known.preemptions
            self._metrics.count(metrics.Metric.PREEMPTIONS, amount)
        self._fetched.append(entry_neighbours.NamedReport(replica.name, report))
        self._owner.handle_report(replica, report)

    def handle_neighbour_report(self, reports: Sequence[entry_neighbours.NamedReport]) -> None:
        """Take reports that a neighbour has fetched, those newer than what is known."""
        for item in reports:
            replica = self._owner.get_upstream(item.upstream)
            if replica is None:
                continue
            if replica.report is None or item.report.received_s > replica.report.received_s:
                self._owner.handle_report(replica, item.report)

    def handle_failure(self, replica: replicas.Replica, reason: str) -> None:
        """Note a fetch that failed; the last report grows old."""
        self._fetches.pop(replica.name, None)
        logger.debug("report of %s not fetched: %s", replica.name, reason)

    def _fetch_all(self) -> None:
        now_s = clocks.get_s()
        self._cancel_overdue(now_s)
        self._neighbours.broadcast_reports(self._fetched)
        self._fetched = []
        self._turn += 1
        live_entries = self._neighbours.get_live_entries(now_s)
        for replica in self._owner.upstreams:
            if replica.name not in self._fetches and self._is_due(replica, live_entries, now_s):
                self._fetch(replica, now_s)

    def _is_due(self, replica: replicas.Replica, live_entries: Sequence[str], now_s: float) -> bool:
        """Whether this entry is to fetch a report in this turn."""
        is_near = replica.row.hall == self._hall
        interval = 1 if is_near else OTHER_HALL_INTERVAL_TURNS
        if reporting.get_fetcher(replica.name, live_entries) == live_entries[0]:
            return self._turn % interval == 0
        if replica.report is None:
            return True
        age_s = now_s - replica.report.received_s
        return age_s > MAX_MISSED_TURNS * interval * self._interval_s

    def _fetch(self, replica: replicas.Replica, now_s: float) -> None:
        fetch = _Fetch(self, replica, now_s)
        self._fetches[replica.name] = fetch
        address = replica.row.address
        request = upstream_calls.make_request("GET", REPORT_PATH, address, [], b"")
        fetch.call = self._calls.open(address, request, fetch)

    def _cancel_overdue(self, now_s: float) -> None:
        for name, fetch in list(self._fetches.items()):
            if now_s - fetch.started_s > FETCH_TIMEOUT_INTERVALS * self._interval_s:
                del self._fetches[name]
                if fetch.call is not None:
                    fetch.call.cancel()
