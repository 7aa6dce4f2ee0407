"""Counters and latency histograms of a program, served as text.

The format is Prometheus's text exposition format.
"""

from http import HTTPStatus

import prometheus_client
from prometheus_client import registry

from spoolhead._internal.models import settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.network import request_reader, small_server

CONTENT_TYPE = "text/plain; version=0.0.4"
LATENCY_BUCKETS_MS = (5, 10, 25, 50, 100, 180, 250, 400, 800, 1_500, 1_800, 3_000, 6_000, 40_000)
"""Upper bounds: objectives and good pauses of routes in use among customary steps."""


class PrometheusMetrics:
    """The figures of one process."""

    def __init__(self) -> None:
        self._registry = registry.CollectorRegistry(auto_describe=False)

    def make_counter(self, name: str, text: str, *labels: str) -> prometheus_client.Counter:
        """Return a new counter.

        :param text: what it counts.
        """
        return prometheus_client.Counter(name, text, labels, registry=self._registry)

    def make_gauge(self, name: str, text: str) -> prometheus_client.Gauge:
        """Return a new gauge.

        :param text: what it shows.
        """
        return prometheus_client.Gauge(name, text, registry=self._registry)

    def make_histogram(self, name: str, text: str, *labels: str) -> prometheus_client.Histogram:
        """Return a new histogram of milliseconds.

        :param text: what it measures.
        """
        return prometheus_client.Histogram(
            name, text, labels, registry=self._registry, buckets=LATENCY_BUCKETS_MS
        )

    def serve(
        self, loop: loops.Loop, config: settings.GatewaySettings | settings.QuorumKeeperSettings
    ) -> None:
        """Serve the figures where a program's settings say, if they do."""
        if config.metrics_port is None:
            return
        small_server.SmallServer(
            (config.host, config.metrics_port),
            channel="metrics",
            limits=config.callers,
            answer=self.answer,
        ).register(loop)

    def answer(self, request: request_reader.WireRequest) -> small_server.SmallAnswer:
        """Answer a request for the figures."""
        del request
        body = prometheus_client.generate_latest(self._registry)
        return small_server.SmallAnswer(HTTPStatus.OK, body, CONTENT_TYPE)
