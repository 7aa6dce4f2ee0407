"""Which alarms a hub sends and how often, and that an entry handles each alarm once."""

import logging

import pytest

from lib import load_fleet
from spoolhead._internal.gateway import alarm_exchange
from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import (
    alarm_broadcast,
    repeats,
    standing_alarms,
    upstream_registry,
)

KINDS = shared_load.AlarmKind


def _make(*alarms):
    standing = standing_alarms.StandingAlarms()
    broadcast = alarm_broadcast.AlarmBroadcast(standing)
    for alarm in alarms:
        standing.record(alarm, 0.0)
        broadcast.add(alarm, 0.0)
    return broadcast


def _make_alarm(kind, *, incarnation_id="i-1", sequence=1, for_ms=0):
    return shared_load.Alarm(incarnation_id, kind, reporter="e1", sequence=sequence, for_ms=for_ms)


def _get_later(broadcast, until_s):
    """Return the repeated alarms up to a time, as (time, remaining time of the alarm)."""
    for _ in range(alarm_broadcast.SEND_COUNT):
        assert broadcast.pop_batch(0.0)
    assert not broadcast.has_pending
    steps = range(1, round(until_s / repeats.REPEAT_INTERVAL_S) + 1)
    times_s = [number * repeats.REPEAT_INTERVAL_S for number in steps]
    return [(now_s, alarm.for_ms) for now_s in times_s for alarm in broadcast.pop_batch(now_s)]


def test_an_alarm_that_holds_is_repeated_with_what_is_left_of_it():
    """Guards against an entry that loses the first datagrams and never receives the alarm."""
    broadcast = _make(_make_alarm(KINDS.RESTING, for_ms=1_200))
    assert _get_later(broadcast, 8.0) == [(0.5, 700), (1.0, 200)]


def test_it_is_repeated_for_some_seconds_and_no_longer():
    broadcast = _make(_make_alarm(KINDS.LEAVING))
    times_s = [now_s for now_s, _ in _get_later(broadcast, 10.0)]
    assert (times_s[0], times_s[-1]) == (repeats.REPEAT_INTERVAL_S, repeats.REPEAT_DURATION_S)


def test_an_alarm_that_does_not_hold_for_a_time_is_not_repeated():
    assert _get_later(_make(_make_alarm(KINDS.UNHEALTHY)), 8.0) == []


def test_a_datagram_repeats_so_many_and_the_others_follow():
    count = 3 * alarm_broadcast.MAX_REPEATS_PER_DATAGRAM
    broadcast = _make(
        *(
            _make_alarm(KINDS.LEAVING, incarnation_id=f"i-{number}", sequence=number)
            for number in range(count)
        )
    )
    for _ in range(alarm_broadcast.SEND_COUNT):
        broadcast.pop_batch(0.0)
    parts = [broadcast.pop_batch(1.0) for _ in range(3)]
    assert [len(part) for part in parts] == [alarm_broadcast.MAX_REPEATS_PER_DATAGRAM] * 3
    assert len({alarm.incarnation_id for part in parts for alarm in part}) == count


def test_what_is_due_at_once_does_not_wait_behind_what_is_due_later():
    items = repeats.Repeats()
    items.add(["later"], 0.0)
    items.add_due(["now"], 0.1)
    assert items.pop_due(9, 0.1) == ["now"]
    assert items.pop_due(9, 0.1 + repeats.REPEAT_INTERVAL_S) == ["later", "now"]


@pytest.mark.parametrize(
    ("kind", "for_ms", "carried"),
    [
        (KINDS.COLD, 1_500, [(0.0, 1_500), (1.0, 500)]),
        (KINDS.RESTING, 9_000, [(number / 1.0, 9_000 - 1_000 * number) for number in range(5)]),
        (KINDS.LEAVING, 0, [(number / 1.0, 0) for number in range(5)]),
        (KINDS.UNHEALTHY, 0, [(0.0, 0)]),
    ],
)
def test_reports_carry_an_alarm_while_it_holds_and_no_longer(kind, for_ms, carried):
    """Guards against a late report that ends or extends the cold state of an instance."""
    exchange = alarm_exchange.AlarmExchange(
        "e1", 1, upstream_registry.UpstreamRegistry(), on_alarm=None, on_terminated=None
    )
    exchange.raise_alarm("i-1", kind, 0.0, for_ms=for_ms)
    times_s = [float(number) for number in range(8)]
    repeated = [(now_s, item.for_ms) for now_s in times_s for item in exchange.get_raised(now_s)]
    assert repeated == carried


def test_an_entry_takes_a_repeated_alarm_once(caplog):
    """Guards against a log line for each repetition of an alarm.

    A repetition must not mark an instance cold again after it reported that it is not.
    """
    caplog.set_level(logging.INFO)
    fleet = load_fleet.LoadFleet(entries=6, halls=3, keepers=3, instances=2)
    fleet.run(1.0)
    name = fleet.instances[0]
    fleet.entries[0].sharing.broadcast_alarm(name, KINDS.RESTING, for_ms=3_000)
    fleet.entries[0].sharing.broadcast_alarm(fleet.instances[1], KINDS.COLD, for_ms=9_000)
    fleet.run(0.3)
    for entry in fleet.entries[1:]:
        entry.registry.get(fleet.instances[1]).record_cold(0, fleet.clock())
    fleet.run(5.0)
    now_s = fleet.clock()
    others = fleet.entries[1:]
    assert not any(entry.registry.get(fleet.instances[1]).is_cold(now_s) for entry in others)
    messages = [item.getMessage() for item in caplog.records]
    assert messages.count("upstream asked for rest") == len(others)
