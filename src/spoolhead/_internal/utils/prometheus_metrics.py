"""Counters, gauges and latency histograms of a program, in Prometheus's text exposition format."""

from http import HTTPStatus

import prometheus_client
from prometheus_client import registry

from spoolhead._internal.models import settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.network import request_reader, small_server

CONTENT_TYPE = "text/plain; version=0.0.4"
LATENCY_BUCKETS_MS = (5, 10, 25, 50, 100, 180, 250, 400, 800, 1_500, 1_800, 3_000, 6_000, 40_000)
"""Upper bounds of the buckets: customary steps, and the target latencies and acceptable pauses of
the routes in use."""


class PrometheusMetrics:
    """Metrics of one process."""

    def __init__(self) -> None:
        self._registry = registry.CollectorRegistry(auto_describe=False)

    def make_counter(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        """Register a new counter and return it.

        :param text: description of the counter.
        """
        return prometheus_client.Counter(name, text, labels, registry=self._registry)

    def make_gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        """Register a new gauge and return it.

        :param text: description of the gauge.
        """
        return prometheus_client.Gauge(name, text, registry=self._registry)

    def make_histogram(self, name: str, text: str, *labels: str) -> prometheus_client.Histogram:
        """Register a new histogram of durations in milliseconds and return it.

        :param text: description of the histogram.
        """
        return prometheus_client.Histogram(
            name, text, labels, registry=self._registry, buckets=LATENCY_BUCKETS_MS
        )

    def serve(
        self, loop: loops.Loop, config: settings.GatewaySettings | settings.QuorumKeeperSettings
    ) -> None:
        """Serve the metrics at the port in the settings; do nothing if there is none."""
        if config.metrics_port is None:
            return
        small_server.SmallServer(
            (config.host, config.metrics_port),
            channel="metrics",
            limits=config.callers,
            answer=self.answer,
        ).register(loop)

    def answer(self, request: request_reader.WireRequest) -> small_server.SmallAnswer:
        """Return the answer to a request for the metrics."""
        del request
        body = prometheus_client.generate_latest(self._registry)
        return small_server.SmallAnswer(HTTPStatus.OK, body, CONTENT_TYPE)
