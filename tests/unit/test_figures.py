"""Figures served as text."""

from spoolhead._internal.gateway import entry_figures
from spoolhead._internal.models import route_table
from spoolhead._internal.quorum import keeper_figures
from spoolhead._internal.utils import prometheus_metrics


def test_counters_and_histograms_are_served_as_text():
    made = prometheus_metrics.Figures()
    entry = entry_figures.EntryFigures(made)
    entry.note_end(route_table.RequestKind.ONCE, "answered", 42.0)
    entry.first_event_ms.observe(450.0)
    body = made.answer(None).body.decode()
    assert 'spoolhead_requests_total{kind="once",outcome="answered"} 1.0' in body
    assert 'spoolhead_request_ms_bucket{kind="once",le="50.0"} 1.0' in body
    assert 'spoolhead_first_event_ms_bucket{le="400.0"} 0.0' in body


def test_two_programs_figures_do_not_meet():
    first, second = prometheus_metrics.Figures(), prometheus_metrics.Figures()
    keeper_figures.KeeperFigures(first).table_version.set(7)
    keeper_figures.KeeperFigures(second)
    assert "spoolhead_table_version 7.0" in first.answer(None).body.decode()
    assert "spoolhead_table_version 0.0" in second.answer(None).body.decode()


def test_an_answer_states_its_length():
    data = prometheus_metrics.Figures().answer(None).pack()
    head, _, body = data.partition(b"\r\n\r\n")
    assert f"Content-Length: {len(body)}".encode() in head
