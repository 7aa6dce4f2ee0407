"""Pattern: an instance lifts the rate limit that it stated, or states a tiny or a huge one.

test_limited_instance.py explains the sizes and figures.
"""

import pytest

from lib import limit_fleet

SIZES = [(8, 3), (24, 3), (65, 4), (350, 15)]
DURATION_S = 8.0
RECOVERY_S = 3.0
"""Time after which an instance that lifts its limit gets its usual share again."""


@pytest.mark.parametrize(("entries", "halls"), SIZES)
def test_after_the_limit_is_lifted_no_entry_holds_anything_back(entries, halls):
    fleet = limit_fleet.LimitFleet(entries=entries, halls=halls)
    name = fleet.instances[0]
    fleet.set_limit(2.0, name)
    fleet.run_traffic(requests_per_s=max(50, entries), for_s=DURATION_S)
    fleet.set_limit(None, name)
    fleet.run(RECOVERY_S)
    assert fleet.get_entries_with_limit(name) == []


@pytest.mark.parametrize("seed", [11, 21, 48])
def test_no_entry_keeps_a_lifted_limit_because_it_lost_the_datagrams_that_said_so(seed):
    """Guards against a limit kept for minutes by an entry that sends nothing to the instance."""
    fleet = limit_fleet.LimitFleet(entries=350, halls=15, seed=seed)
    name = fleet.instances[0]
    fleet.set_limit(2.0, name)
    fleet.run_traffic(requests_per_s=350, for_s=DURATION_S)
    fleet.set_limit(None, name)
    fleet.run(RECOVERY_S)
    assert fleet.get_entries_with_limit(name) == []


@pytest.mark.parametrize("limit_per_s", [0.0, 0.01])
def test_a_limit_near_nothing_is_kept_and_its_end_is_noticed(limit_per_s):
    """Guards against an instance that is never used again, as no answer can report its recovery."""
    fleet = limit_fleet.LimitFleet(entries=24)
    name = fleet.instances[0]
    fleet.set_limit(limit_per_s, name)
    bound_s = fleet.run_traffic(requests_per_s=50, for_s=12.0)
    assert limit_fleet.get_max_in_window(fleet.upstreams[name].get_times_s(bound_s)) <= 1
    fleet.set_limit(None, name)
    fleet.run(5.0 + 1.0)
    assert fleet.get_entries_with_limit(name) == []


def test_a_limit_beyond_all_load_changes_nothing():
    fleet = limit_fleet.LimitFleet(entries=8)
    fleet.set_limit(1e9, fleet.instances[0])
    fleet.run_traffic(requests_per_s=50, for_s=DURATION_S)
    assert fleet.get_entries_with_limit(fleet.instances[0]) == []
