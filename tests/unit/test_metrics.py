"""Metrics served as text."""

from spoolhead._internal.gateway import entry_metrics
from spoolhead._internal.models import route_table
from spoolhead._internal.quorum import keeper_metrics
from spoolhead._internal.utils import prometheus_metrics


def test_counters_and_histograms_are_served_as_text():
    made = prometheus_metrics.PrometheusMetrics()
    entry = entry_metrics.EntryMetrics(made)
    entry.record_end(route_table.RequestKind.ONCE, "answered", 42.0)
    entry.first_event_ms.observe(450.0)
    body = made.answer(None).body.decode()
    assert 'spoolhead_requests_total{kind="once",outcome="answered"} 1.0' in body
    assert 'spoolhead_request_ms_bucket{kind="once",le="50.0"} 1.0' in body
    assert 'spoolhead_first_event_ms_bucket{le="400.0"} 0.0' in body


def test_two_programs_figures_do_not_meet():
    first, second = prometheus_metrics.PrometheusMetrics(), prometheus_metrics.PrometheusMetrics()
    keeper_metrics.KeeperMetrics(first).table_version.set(7)
    keeper_metrics.KeeperMetrics(second)
    assert "spoolhead_table_version 7.0" in first.answer(None).body.decode()
    assert "spoolhead_table_version 0.0" in second.answer(None).body.decode()


def test_an_answer_states_its_length():
    data = prometheus_metrics.PrometheusMetrics().answer(None).pack()
    head, _, body = data.partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head
