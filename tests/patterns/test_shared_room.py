"""Pattern: requests at all entries compete for the memory of too few engines.

A quiet load of 0.8 of the room, then for six seconds a burst of 2.6 times the room, at random
entries: long runs (3,750 tokens for 7 s) and short ones (2,300 tokens for 0.7 s), engines of 26,900
tokens, one engine for every 2.3 entries. Good service: at most 5 in 100 of the room unused while
someone waits, at most 5 in 100 of an engine's memory queued there, the more urgent kind served no
less often than the other (by 5 in 100), and the other at least a quarter as often as all.
"""

import pytest

from lib import room_fleet

BURST_S = 6.0
MAX_UNUSED = 0.05
MAX_OVERSHOOT = 0.05
MAX_INVERSION = 0.05
MIN_SHARE = 0.25
MAX_CONTROL_BYTES_PER_S = 19_000
RELEASE_LIMIT_S = 1.0
HEAL_S = 3.0


def _begin(entries, *, workspaces=("w",), seed=1):
    """Return a fleet at the start of its burst, and that time."""
    engines = room_fleet.get_engine_count(entries)
    fleet = room_fleet.RoomFleet(entries=entries, engines=engines, seed=seed)
    _send(fleet, 0.7, 0.1, for_s=3.0, workspaces=workspaces)
    fleet.run(3.0)
    fleet.clear_traffic()
    _send(fleet, 2.4, 0.2, for_s=BURST_S, workspaces=workspaces)
    return fleet, fleet.clock()


def _send(fleet, long_load, short_load, **options):
    for kind, load in ((room_fleet.LONG, long_load), (room_fleet.SHORT, short_load)):
        fleet.begin_traffic(kind, kind.get_rate(load * len(fleet.engines)), **options)


@pytest.mark.parametrize("entries", [6, 24, 67])
def test_room_is_shared_in_one_order(entries):
    fleet, began_s = _begin(entries)
    fleet.run(BURST_S)
    ended_s = fleet.clock()
    sent_per_s = fleet.get_traffic(fleet.entry_processes, BURST_S)[0]
    received_per_s = fleet.get_received_per_s(BURST_S)
    fleet.run(room_fleet.LONG.objective_ms / 1000 * 2)
    assert fleet.get_unused(began_s + 1.0, ended_s) < MAX_UNUSED
    assert fleet.get_overshoot(began_s + 1.0, ended_s) < MAX_OVERSHOOT
    urgent = fleet.get_served(began_s, ended_s, kind=room_fleet.LONG)
    other = fleet.get_served(began_s, ended_s, kind=room_fleet.SHORT)
    assert other <= urgent + MAX_INVERSION
    assert other >= MIN_SHARE * fleet.get_served(began_s, ended_s)
    assert sent_per_s + received_per_s < MAX_CONTROL_BYTES_PER_S


def _check_goes_on(fleet, failed_s, heal_s):
    """Check that starts go on after a failure, and that the bounds hold again after it heals."""
    fleet.run(heal_s + HEAL_S)
    healed_s = fleet.clock()
    fleet.run(3.0)
    assert fleet.get_longest_stall_s(failed_s) < RELEASE_LIMIT_S
    assert fleet.get_unused(healed_s, fleet.clock()) < MAX_UNUSED
    assert fleet.get_overshoot(healed_s, fleet.clock()) < MAX_OVERSHOOT


def _begin_long(entries=24):
    fleet, _ = _begin(entries)
    fleet.clock.call_later(BURST_S, lambda: _send(fleet, 2.4, 0.2, for_s=12.0))
    fleet.run(4.0)
    return fleet, fleet.find_head()


def test_starts_go_on_when_the_entry_at_the_head_is_killed():
    """Its rows count until its reports expire."""
    fleet, head = _begin_long()
    fleet.kill_entry(head)
    _check_goes_on(fleet, fleet.clock(), 0.0)


def test_starts_go_on_while_the_entry_at_the_head_is_frozen():
    fleet, head = _begin_long()
    fleet.freeze_entry(head, 5.0)
    _check_goes_on(fleet, fleet.clock(), 5.0)


def test_starts_go_on_while_the_hall_of_the_head_is_cut_off():
    """Each side shares the engines that it reaches."""
    fleet, head = _begin_long()
    fleet.cut_off(fleet.entries[head].process.hall, 5.0)
    _check_goes_on(fleet, fleet.clock(), 5.0)


def test_starts_go_on_when_a_hub_is_killed():
    fleet, _ = _begin_long()
    fleet.kill(fleet.hubs[0].name)
    _check_goes_on(fleet, fleet.clock(), 0.0)


def test_a_workspace_that_sends_half_of_all_gets_no_more_than_its_share():
    """Room is scarce from the third second on; what ends after that is shared."""
    names = [f"small-{number}" for number in range(10)]
    workspaces = ["large"] * 10 + names
    fleet, began_s = _begin(24, workspaces=workspaces)
    fleet.clock.call_later(
        BURST_S, lambda: _send(fleet, 2.4, 0.2, for_s=BURST_S, workspaces=workspaces)
    )
    fleet.run(2 * BURST_S)
    ended_s = fleet.clock()
    fleet.run(room_fleet.LONG.objective_ms / 1000 * 2)
    fair = 1 / (len(names) + 1)
    assert fleet.get_started_share("large", began_s + 3.0, ended_s) <= fair + MAX_INVERSION
    served = fleet.get_served(began_s, ended_s)
    for name in names:
        assert fleet.get_served(began_s, ended_s, workspace=name) >= MIN_SHARE * served
