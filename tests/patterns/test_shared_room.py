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
