"""Pattern: requests wait in every entry when one instance restarts cold.

A hall whose instances were all down recovers, and one of them is up first. Every entry sees it
empty and has requests waiting. The instance can take 25 requests a second, as the users' engines
can, and crashes well above that; the users allow half as much again and 5 more at most. Fleet
sizes: a few dozen entries, deployments in use (67, 195) and the largest planned one (350 in 15
halls).
"""

import pytest

from lib import cold_fleet, gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import upstream_gate, upstream_registry

COLD_PER_S = 25.0
ALLOWED = COLD_PER_S * 1.5 + 5
MIN_USED_FRACTION = 0.8
"""Fraction of the instance's rate that the entries together should use if all need it."""
SIZES = [(8, 3), (24, 3), (67, 3), (195, 5), (350, 15)]


@pytest.mark.parametrize(("entries", "halls"), SIZES)
def test_all_entries_together_send_no_more_than_it_bears(entries, halls):
    fleet = cold_fleet.ColdFleet(entries=entries, halls=halls, cold_per_s=COLD_PER_S)
    sent_s = fleet.simulate(seconds=3.0)
    assert cold_fleet.get_max_per_second(sent_s) <= COLD_PER_S
    assert len(sent_s) >= MIN_USED_FRACTION * COLD_PER_S * 3.0


@pytest.mark.parametrize(("entries", "halls"), SIZES)
@pytest.mark.parametrize("is_own_hall", [True, False])
def test_entries_started_behind_a_cut_do_not_break_the_bound(entries, halls, is_own_hall):
    """They consider themselves the whole fleet until the cut ends and they learn of the others."""
    lost = ["hall-0"] if is_own_hall else ["hall-1"]
    fleet = cold_fleet.ColdFleet(
        entries=entries, halls=halls, cold_per_s=COLD_PER_S, isolated_halls=lost
    )
    assert cold_fleet.get_max_per_second(fleet.simulate(seconds=3.0)) <= ALLOWED


@pytest.mark.parametrize(("entries", "halls"), SIZES)
def test_behind_a_cut_the_own_hall_still_uses_what_it_may(entries, halls):
    fleet = cold_fleet.ColdFleet(entries=entries, halls=halls, cold_per_s=COLD_PER_S)
    fleet.entries = [item for item in fleet.entries if item.process.hall == "hall-0"]
    sent_s = fleet.simulate(seconds=3.0)
    senders = min(len(fleet.entries), COLD_PER_S)
    assert len(sent_s) >= 3 * senders


def test_an_instance_that_bears_less_than_one_request_a_second_gets_that():
    fleet = cold_fleet.ColdFleet(entries=24, halls=3, cold_per_s=0.5)
    assert len(fleet.simulate(seconds=9.0)) == 5


@pytest.mark.parametrize("kind", [route_table.RequestKind.STREAM, route_table.RequestKind.ONCE])
def test_one_entry_counts_what_it_sends(kind):
    """A single entry may send 2 requests a second here: the third is refused or waits."""
    setting = gateway_setting.Setting(kind, names=("i-1",), cold_per_s=2.0, cold_ms=10_000)
    (upstream,) = setting.registry.get_all()
    assert len(setting.calls.attempts) == 1
    upstream.record_sent(upstream_registry.math.inf)
    choice = setting.exchange.choose(0)
    assert choice.upstream is None
    setting.exchange._tried_ids.clear()
    choice = setting.exchange.choose(0)
    assert choice.upstream is None
    assert choice.blocked == {upstream_gate.BlockReason.COLD: 1}
    upstream.record_cold(0, 0.0)
    assert setting.exchange.choose(0).upstream is upstream


def test_copies_that_are_on_their_way_to_a_cold_instance_count_too():
    """Otherwise all runs of leaving engines would move to the instance that has just started."""
    setting = gateway_setting.Setting(
        route_table.RequestKind.STREAM, names=("i-1",), cold_per_s=3.0, cold_ms=10_000
    )
    (upstream,) = setting.registry.get_all()
    setting.exchange._tried_ids.clear()
    assert setting.exchange.choose(0).upstream is upstream
    for name in ("x", "y"):
        upstream.in_flight[name] = upstream_registry.InFlightRequest(
            name, 9, prefill_tokens=0, is_copy=True
        )
    assert setting.exchange.choose(0).upstream is None
