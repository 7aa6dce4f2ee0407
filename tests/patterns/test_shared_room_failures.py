"""Pattern: the burst of test_shared_room.py, while a process fails or a hall is cut off.

Starts go on within a second, and three seconds after the failure has healed the bounds on unused
room and overshoot hold again.
"""

from lib import room_fleet

RELEASE_LIMIT_S = 1.0
HEAL_S = 3.0


def _check_goes_on(fleet, failed_s, heal_s):
    """Check that starts go on after a failure, and that the bounds hold again after it heals."""
    fleet.run(heal_s + HEAL_S)
    healed_s = fleet.clock()
    fleet.run(3.0)
    assert fleet.get_longest_stall_s(failed_s) < RELEASE_LIMIT_S
    assert fleet.get_unused(healed_s, fleet.clock()) < room_fleet.MAX_UNUSED
    assert fleet.get_overshoot(healed_s, fleet.clock()) < room_fleet.MAX_OVERSHOOT


def _begin_long(entries=24):
    fleet, _ = room_fleet.begin_burst(entries)
    fleet.clock.call_later(
        room_fleet.BURST_S, lambda: room_fleet.send_load(fleet, 2.4, 0.2, for_s=12.0)
    )
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
