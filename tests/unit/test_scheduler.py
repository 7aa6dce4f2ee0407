"""A stall of the process is logged by its timers."""

import logging

from spoolhead._internal.network import scheduler


class _Event:
    def reduce_time_left(self, left_s):
        pass


def test_a_standstill_is_logged_with_its_length(monkeypatch, caplog):
    now = [100.0]
    monkeypatch.setattr(scheduler.clocks, "get_s", lambda: now[0])
    monkeypatch.setattr(scheduler.clocks, "get_running_s", lambda: now[0])
    timers = scheduler.Scheduler()
    ran = []
    timers.call_later(0.1, lambda: ran.append(now[0]))
    with caplog.at_level(logging.WARNING):
        now[0] += 3.1
        timers._on_generate_events(_Event())
        timers.call_later(0.1, lambda: ran.append(now[0]))
        now[0] += 0.15
        timers._on_generate_events(_Event())
    assert len(ran) == 2
    (record,) = caplog.records
    assert record.getMessage() == "process stood still"
    assert record.fields["late_ms"] == 3000
