"""Pattern: requests at all entries compete for the memory of too few engines.

A quiet load of 0.8 of the room, then for six seconds a burst of 2.6 times the room, at random
entries: long runs (3,750 tokens for 7 s) and short ones (2,300 tokens for 0.7 s), engines of 26,900
tokens, one engine for every 2.3 entries. Good service: at most 5 in 100 of the room unused while
someone waits, at most 5 in 100 of an engine's memory queued there, the more urgent kind served no
less often than the other (by 5 in 100), and the other at least a quarter as often as all.
"""

import pytest

from lib import room_fleet

MAX_INVERSION = 0.05
MIN_SHARE = 0.25
MAX_CONTROL_BYTES_PER_S = 19_000


@pytest.mark.parametrize("entries", [6, 24, 67])
def test_room_is_shared_in_one_order(entries):
    fleet, began_s = room_fleet.begin_burst(entries)
    fleet.run(room_fleet.BURST_S)
    ended_s = fleet.clock()
    sent_per_s = fleet.get_traffic(fleet.entry_processes, room_fleet.BURST_S)[0]
    received_per_s = fleet.get_received_per_s(room_fleet.BURST_S)
    fleet.run(room_fleet.LONG.objective_ms / 1000 * 2)
    assert fleet.get_unused(began_s + 1.0, ended_s) < room_fleet.MAX_UNUSED
    assert fleet.get_overshoot(began_s + 1.0, ended_s) < room_fleet.MAX_OVERSHOOT
    urgent = fleet.get_served(began_s, ended_s, kind=room_fleet.LONG)
    other = fleet.get_served(began_s, ended_s, kind=room_fleet.SHORT)
    assert other <= urgent + MAX_INVERSION
    assert other >= MIN_SHARE * fleet.get_served(began_s, ended_s)
    assert sent_per_s + received_per_s < MAX_CONTROL_BYTES_PER_S


def test_a_workspace_that_sends_half_of_all_gets_no_more_than_its_share():
    """Room is scarce from the third second on; what ends after that is shared."""
    names = [f"small-{number}" for number in range(10)]
    workspaces = ["large"] * 10 + names
    fleet, began_s = room_fleet.begin_burst(24, workspaces=workspaces)
    fleet.clock.call_later(
        room_fleet.BURST_S,
        lambda: room_fleet.send_load(
            fleet, 2.4, 0.2, for_s=room_fleet.BURST_S, workspaces=workspaces
        ),
    )
    fleet.run(2 * room_fleet.BURST_S)
    ended_s = fleet.clock()
    fleet.run(room_fleet.LONG.objective_ms / 1000 * 2)
    fair = 1 / (len(names) + 1)
    assert fleet.get_started_share("large", began_s + 3.0, ended_s) <= fair + MAX_INVERSION
    served = fleet.get_served(began_s, ended_s)
    for name in names:
        assert fleet.get_served(began_s, ended_s, workspace=name) >= MIN_SHARE * served
