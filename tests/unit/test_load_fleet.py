"""What a whole fleet knows of its load: the real classes under loss, delay, crashes and cuts.

The load pattern: some hundred entries that receive 0.4 requests a second each, so that nearly all
load they must know was started by others. The numbers are those of a fleet of 195 entries in five
halls with 37 instances and 80 requests a second.
"""

import logging
import statistics

import pytest

from lib import load_fleet
from spoolhead._internal.gateway import load_sharing
from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import hub_choice, load_view

BYTES_PER_MS_PER_MBIT = 125
LINK_BYTES_PER_MS = 5 * BYTES_PER_MS_PER_MBIT
"""An entry's link of 5 Mbit/s."""
MAX_CONTROL_BYTES_PER_S = 19_000
MAX_AGE_P99_MS = 500
MAX_BURST_MS = 2.0
EXPIRED_S = 4.0
"""Time after which reports of a crashed process have expired and every row was sent again."""


def _make(entries=24, halls=3, keepers=3, instances=9, **changes):
    fleet = load_fleet.LoadFleet(
        entries=entries, halls=halls, keepers=keepers, instances=instances, **changes
    )
    fleet.run(2.0)
    return fleet


@pytest.mark.parametrize(
    ("entries", "halls", "keepers", "instances", "requests_per_s"),
    [(8, 3, 3, 8, 17), (77, 3, 6, 27, 90), (195, 5, 5, 37, 82)],
)
def test_what_entries_send_and_how_old_their_news_is_do_not_grow_with_the_fleet(
    entries, halls, keepers, instances, requests_per_s
):
    fleet = _make(entries, halls, keepers, instances)
    fleet.clear_traffic()
    fleet.begin_load(requests_per_s, duration_s=3.0)
    fleet.run(6.0)
    mean_bytes_s, burst_bytes = fleet.get_traffic(fleet.entry_processes, 6.0)
    assert mean_bytes_s < MAX_CONTROL_BYTES_PER_S
    assert burst_bytes / LINK_BYTES_PER_MS < MAX_BURST_MS
    ages_ms = statistics.quantiles(fleet.ages_ms, n=100)
    assert ages_ms[98] < MAX_AGE_P99_MS
    assert statistics.median(fleet.ages_ms) < 100


def test_no_hall_is_believed_silent_while_datagrams_are_lost(caplog):
    fleet = _make(entries=60, halls=5, keepers=5, loss=0.1)
    fleet.begin_load(40, duration_s=3.0)
    for _ in range(50):
        fleet.run(0.2)
        for entry in fleet.entries:
            assert not entry.sharing.get_silent_halls()
    assert "hall is silent" not in caplog.text


@pytest.mark.parametrize("loss", [0.0, 0.05])
def test_when_the_load_stands_still_every_entry_knows_all_of_it(loss):
    fleet = _make(loss=loss)
    for number, entry in enumerate(fleet.entries):
        entry.begin_request(fleet.instances[number % 9], "r", 100 + number)
    fleet.entries[0].end_request(fleet.instances[0], "r")
    fleet.run(4.0)
    assert fleet.is_consistent()


def test_a_hubs_death_loses_no_knowledge_and_its_entries_find_another():
    fleet = _make()
    for number, entry in enumerate(fleet.entries):
        entry.begin_request(fleet.instances[number % 9], "r", 100 + number)
    fleet.run(1.0)
    fleet.kill("keeper-000")
    fleet.entries[0].begin_request(fleet.instances[5], "late", 7)
    fleet.run(EXPIRED_S)
    assert fleet.is_consistent()


def test_a_hub_that_falls_silent_without_a_reset_is_left_for_another():
    """Its datagrams just stop; no connection is reset."""
    fleet = _make()
    fleet.hubs[0].is_up = False
    fleet.entries[0].begin_request(fleet.instances[5], "late", 7)
    fleet.run(EXPIRED_S)
    assert fleet.is_consistent()
    fleet.hubs[0].is_up = True
    fleet.run(hub_choice.MAX_BACKOFF_S + 3.0)
    present = {entry.sharing._hub_choice.current for entry in fleet.entries}
    assert fleet.hubs[0].address in present
    assert fleet.is_consistent()


def test_two_hubs_that_die_together_leave_their_entries_with_the_third():
    fleet = _make()
    fleet.kill("keeper-000", "keeper-001")
    fleet.entries[0].begin_request(fleet.instances[5], "late", 7)
    fleet.run(EXPIRED_S)
    assert fleet.is_consistent()


def test_without_any_keeper_the_first_entries_are_hubs_and_no_hall_is_silent():
    fleet = _make()
    fleet.kill("keeper-000", "keeper-001", "keeper-002")
    fleet.entries[0].begin_request(fleet.instances[5], "late", 7)
    for _ in range(40):
        fleet.run(0.2)
        assert not any(entry.sharing.is_isolated() for entry in fleet.entries)
    assert fleet.is_consistent()
    assert not any(entry.sharing.get_silent_halls() for entry in fleet.entries)


def test_a_dead_entrys_load_is_forgotten():
    fleet = _make()
    fleet.entries[0].begin_request(fleet.instances[5], "r", 700)
    fleet.run(1.0)
    assert fleet.entries[7].registry.get(fleet.instances[5]).other_load.tokens == 700
    fleet.kill("entry-000")
    fleet.run(EXPIRED_S)
    assert fleet.is_consistent()


def test_entries_that_join_during_the_day_are_counted():
    fleet = _make()
    joining = fleet._add("entry", 24)
    entry = load_fleet.Entry(fleet, joining, fleet.known, fleet.listed)
    fleet.entries.append(entry)
    entry.begin_request(fleet.instances[2], "r", 50)
    fleet.run(1.5)
    assert fleet.is_consistent()


def test_a_cut_hall_is_noticed_from_both_sides_and_its_return_too():
    fleet = _make()
    fleet.net.cut_off_halls.add("hall-2")
    fleet.run(1.2)
    for entry in fleet.entries:
        inside = entry.process.hall == "hall-2"
        assert entry.sharing.get_silent_halls() == ({"hall-0", "hall-1"} if inside else {"hall-2"})
        assert entry.sharing.is_isolated() == inside
    fleet.net.cut_off_halls.clear()
    fleet.run(1.0)
    assert not any(entry.sharing.get_silent_halls() for entry in fleet.entries)


def test_entries_of_a_cut_hall_without_a_keeper_still_know_each_other():
    fleet = _make(entries=20, halls=4, keepers=3)
    fleet.net.cut_off_halls.add("hall-3")
    inside = [entry for entry in fleet.entries if entry.process.hall == "hall-3"]
    inside[0].begin_request(fleet.instances[0], "r", 90)
    fleet.run(6.0)
    assert {entry.registry.get(fleet.instances[0]).other_load.tokens for entry in inside[1:]} == {
        90
    }
    assert all(entry.sharing.is_isolated() for entry in inside)


def test_a_cut_between_keepers_alone_makes_no_hall_silent():
    fleet = _make()
    fleet.net.cut_keepers.update(["keeper-000", "keeper-001", "keeper-002"])
    fleet.run(3.0)
    assert not any(entry.sharing.get_silent_halls() for entry in fleet.entries)


@pytest.mark.parametrize("loss", [0.0, 0.1])
def test_an_alarm_reaches_all_entries_soon_and_once(loss):
    fleet = _make(loss=loss)
    fleet.entries[0].sharing.broadcast_alarm("i-00000003", shared_load.AlarmKind.UNHEALTHY)
    fleet.run(0.3)
    notified = [entry for entry in fleet.entries[1:] if entry.alarms == ["i-00000003"]]
    assert len(notified) >= len(fleet.entries) - 2
    fleet.run(1.0)
    assert all(len(entry.alarms) <= 1 for entry in fleet.entries)


def test_an_entry_that_lost_the_datagrams_of_an_alarm_hears_it_all_the_same():
    """Guards against new requests at a leaving instance, from an entry that lost the alarm."""
    fleet = _make(entries=48)
    name = fleet.instances[0]
    fleet.entries[0].sharing.broadcast_alarm(name, shared_load.AlarmKind.LEAVING)
    fleet.net.loss = 0.5
    fleet.run(1.0)
    fleet.net.loss = 0.01
    fleet.run(2.0)
    others = fleet.entries[1:]
    assert [entry for entry in others if not entry.registry.get(name).has_announced_leaving] == []


def test_an_alarm_is_not_lost_with_the_first_reports_that_carry_it():
    """Guards against new requests at an instance that announced its leaving to a single entry."""
    fleet = _make()
    leaving, resting = fleet.instances[:2]
    fleet.net.loss = 1.0
    fleet.entries[0].sharing.broadcast_alarm(leaving, shared_load.AlarmKind.LEAVING)
    for entry in fleet.entries[:2]:
        entry.sharing.broadcast_alarm(resting, shared_load.AlarmKind.RESTING, for_ms=3_000)
    fleet.run(0.7)
    fleet.net.loss = 0.01
    fleet.run(2.0)
    others = fleet.entries[2:]
    assert [
        entry for entry in others if not entry.registry.get(leaving).has_announced_leaving
    ] == []
    now_s = fleet.clock()
    assert all(entry.registry.get(resting).rest.has_reports(now_s) for entry in others)
    fleet.run(0.4)
    now_s = fleet.clock()
    assert not any(entry.registry.get(resting).rest.has_reports(now_s) for entry in others)


def test_few_entries_show_themselves_to_all_hubs():
    fleet = _make(entries=120)
    fleet.clear_traffic()
    fleet.run(2.0)
    counts = [
        sum(address == fleet.hubs[1].address for address in fleet.get_receivers(entry))
        for entry in fleet.entries
        if entry.process.hall == "hall-0"
    ]
    assert sum(count > 0 for count in counts) == load_sharing.BEACON_ENTRIES


def test_ages_stand_still_while_no_hub_is_heard():
    """Without updates an entry cannot distinguish a cut from a crashed hub."""
    fleet = _make()
    for hub in fleet.hubs:
        hub.is_up = False
    fleet.run(load_view.HALL_SILENCE_S + 0.1)
    assert not any(entry.sharing.get_silent_halls() for entry in fleet.entries)


def test_a_lost_request_is_told_but_not_for_each_one():
    fleet = _make()
    fleet.clear_traffic()
    for _ in range(5):
        fleet.entries[0].sharing.broadcast_failure("i-00000003")
    assert len(fleet.get_receivers(fleet.entries[0])) == 1


def test_an_instance_that_two_entries_lost_requests_at_rests_everywhere():
    fleet = _make(loss=0.0)
    far = fleet.entries[7].registry.get("i-00000003")
    fleet.entries[0].sharing.broadcast_failure("i-00000003")
    fleet.run(0.2)
    assert far.is_usable(fleet.clock.now_s)
    fleet.entries[1].sharing.broadcast_failure("i-00000003")
    fleet.run(0.2)
    assert not far.is_usable(fleet.clock.now_s)


def test_a_hall_that_falls_silent_is_written_once_by_each_entry_and_so_is_its_return(caplog):
    caplog.set_level(logging.INFO, logger=load_sharing.__name__)
    fleet = _make()
    caplog.clear()
    fleet.net.cut_off_halls.add("hall-2")
    fleet.run(2.5)
    fleet.net.cut_off_halls.clear()
    fleet.run(1.0)
    texts = [record.message for record in caplog.records if "hall" in record.message]
    outside = sum(entry.process.hall != "hall-2" for entry in fleet.entries)
    inside = len(fleet.entries) - outside
    assert texts.count("hall is silent") == texts.count("hall is heard again")
    assert texts.count("hall is silent") == outside + 2 * inside
    silent = next(record for record in caplog.records if record.message == "hall is silent")
    assert silent.fields["age_ms"] >= load_view.HALL_SILENCE_S * 1000
