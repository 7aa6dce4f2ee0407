"""Statsd metrics, aggregated in the process and sent once an interval.

A packet for each token would cost more than relaying the token. So counters are summed, and
durations go into histograms whose quantiles are sent as gauges.
"""

import collections
import enum
import logging

import statsd
from hdrh import histogram

from spoolhead._internal.models import settings

logger = logging.getLogger(__name__)

_MAX_DURATION_MS = 3_600_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (50, 95, 99)


class Metric(enum.StrEnum):
    """Names of the metrics, described in ``docs/METRICS.md``."""

    STALL_MS = "stall_ms"
    FIRST_TOKEN_MS = "first_token_ms"
    BETWEEN_TOKENS_MS = "between_tokens_ms"
    QUEUE_WAIT_MS = "queue_wait_ms"
    PREEMPTIONS = "preemptions"
    DECISIONS = "decisions"
    TOKENS = "tokens"
    REQUESTS = "requests"
    RETRIES = "retries"
    RESUMES = "resumes"
    EXCEPTIONS = "exceptions"
    RUNNING = "running"
    WAITING = "waiting"
    CONNECTIONS = "connections"
    TABLE_VERSION = "table_version"
    KEEPER_CONNECTED = "keeper_connected"


class Metrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._counts: dict[str, int] = {}
        self._gauges: dict[str, float] = {}
        self._times: dict[str, collections.Counter[int]] = {}

    def increment(self, metric: Metric, amount: int = 1, *, kind: str = "") -> None:
        """Add to a counter.

        :param kind: suffix of the metric's name, to count kinds separately.
        """
        name = f"{metric}.{kind}" if kind else str(metric)
        self._counts[name] = self._counts.get(name, 0) + amount

    def record_duration(self, metric: Metric, duration_ms: float) -> None:
        """Record a duration in milliseconds."""
        # Called for each token: counting whole milliseconds costs a tenth of recording them in a
        # histogram, and the durations of one second have few distinct values.
        times = self._times.get(metric)
        if times is None:
            times = self._times[metric] = collections.Counter()
        times[min(_MAX_DURATION_MS, max(1, int(duration_ms)))] += 1

    def set_gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        self._gauges[metric] = value

    def send(self, pipeline: statsd.client.base.PipelineBase) -> None:
        """Send all values, and reset counters and durations. Gauges stay.

        :param pipeline: an open pipeline of a statsd client.
        """
        for name, amount in self._counts.items():
            pipeline.incr(name, amount)
        for name, value in self._gauges.items():
            pipeline.gauge(name, value)
        for name, times in self._times.items():
            _send_times(pipeline, name, times)
        self._times.clear()
        self._counts.clear()


def _send_times(
    pipeline: statsd.client.base.PipelineBase, name: str, times: collections.Counter[int]
) -> None:
    durations = histogram.HdrHistogram(1, _MAX_DURATION_MS, _SIGNIFICANT_DIGITS)
    for duration_ms, count in times.items():
        durations.record_value(duration_ms, count)
    pipeline.incr(f"{name}.count", durations.get_total_count())
    for percent in _QUANTILES:
        pipeline.gauge(f"{name}.p{percent}", durations.get_value_at_percentile(percent))


class Sender:
    """Sends a process's metrics to a statsd server over UDP."""

    def __init__(self, config: settings.StatsdSettings, metrics: Metrics) -> None:
        self._metrics = metrics
        self._client = statsd.StatsClient(host=config.host, port=config.port, prefix=config.prefix)

    def send(self) -> None:
        """Send all values; packets that get lost are not sent again."""
        with self._client.pipeline() as pipeline:
            self._metrics.send(pipeline)
