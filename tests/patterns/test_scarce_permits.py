"""Pattern: all instances of a service state a rate limit, and the load is far higher.

Three instances state 2 requests a second each, for a load of 100 and more; test_limited_instance.py
explains the figures. Urgent requests come first, no workspace and no hall takes all permits, and
the permit traffic stays small beside other control traffic.
"""

import pytest

from lib import limit_fleet

SIZES = [(8, 3), (24, 3), (65, 4), (350, 15)]
MAX_BYTES_PER_S = 1_000
"""Maximum traffic of an entry for one limited instance, in addition to its other control
traffic."""


def _count(fleet, bound_s, *, workspace=None, hall=None, rank=None):
    return sum(
        at_s >= bound_s
        and workspace in (None, request.request_priority.workspace)
        and hall in (None, fleet.entries[request.number].process.hall)
        and rank in (None, request.request_priority.rank)
        for request, at_s in fleet.served
    )


def test_a_busy_workspace_does_not_take_all_of_a_trickle():
    """Guards against permits that all go to the workspace with the most requests."""
    fleet = limit_fleet.LimitFleet(entries=24)
    fleet.set_limit(2.0)
    fleet.begin_traffic(5, workspace="small")
    bound_s = fleet.run_traffic(requests_per_s=100, for_s=20.0)
    assert _count(fleet, bound_s, workspace="small") >= 0.25 * _count(fleet, bound_s)


def test_a_busy_hall_does_not_take_all_of_a_trickle():
    fleet = limit_fleet.LimitFleet(entries=24)
    fleet.set_limit(2.0)
    hall = fleet.halls[1]
    numbers = [i for i, entry in enumerate(fleet.entries) if entry.process.hall == hall]
    others = [i for i in range(24) if i not in numbers]
    fleet.begin_traffic(5, entries=numbers)
    fleet.begin_traffic(100, entries=others)
    fleet.run(limit_fleet.CONTACT_S)
    bound_s = fleet.clock()
    fleet.run(20.0)
    assert _count(fleet, bound_s, hall=hall) >= 0.15 * _count(fleet, bound_s)


def test_urgent_requests_are_served_before_others():
    """Permits wait at most half of the time between two tokens, which may all come at once."""
    fleet = limit_fleet.LimitFleet(entries=24)
    fleet.set_limit(2.0)
    fleet.begin_traffic(3, rank=0)
    fleet.begin_traffic(100, rank=5)
    fleet.run(limit_fleet.CONTACT_S)
    bound_s = fleet.clock()
    fleet.run(20.0)
    urgent = [
        item for item, at_s in fleet.served if item.request_priority.rank == 0 and at_s >= bound_s
    ]
    refused = [
        item
        for item, at_s, _ in fleet.refused
        if item.request_priority.rank == 0 and at_s >= bound_s
    ]
    assert len(urgent) >= 0.5 * (len(urgent) + len(refused))


@pytest.mark.parametrize(("entries", "halls"), SIZES)
def test_permits_cost_an_entry_little(entries, halls):
    """Compares the traffic with and without limits; includes the granter of three instances."""
    means = []
    for limit_per_s in (None, 2.0):
        fleet = limit_fleet.LimitFleet(entries=entries, halls=halls)
        fleet.set_limit(limit_per_s)
        fleet.begin_traffic(max(50, entries))
        fleet.run(2.0)
        fleet.clear_traffic()
        fleet.run(4.0)
        means.append(fleet.get_traffic(fleet.entry_processes, 4.0)[0])
    assert means[1] - means[0] <= MAX_BYTES_PER_S * 3
