"""Guards against entries that serve by the outdated table of a keeper that has just started.

The failure: an entry refused a route that the table had contained for ten seconds. A caller got 404
from it 9.8 s after a keeper had acknowledged the table with its route. All processes had restarted
right after the acknowledgement, two keepers without their disks.

The cause: a starting keeper takes the snapshot at the head of its file as the committed table. The
snapshot of a keeper that had rejoined was minutes old; the restarted entries applied it and were
ready a second later. While no keeper led, they received nothing newer. This lasted for seconds, or
forever if a keeper was missing from the group unnoticed
(``test_a_newcomer_that_knows_only_followers_becomes_a_member``) and two more lost their disks.

Two runs confirmed it: one in which all 76 entries applied a table 38 s old when they started, and
one with fewer instances in which no keeper led any more.
"""

import signal
import threading
import time

import pytest

from lib import platform_fleet

OLD_VERSION, NEW_VERSION = 3, 9
STARTUP_DELAY_S = 1.0
"""Time for which a keeper is stopped right after it was started."""
STARTING_S = 3.0
"""Time before the second keeper starts; a hall counts as cut off after four seconds."""
ALONE_S = 4.0
"""Time for which the keeper with the old snapshot is alone: several times the one second after
which an entry that reaches few keepers serves by the table that it has."""


@pytest.fixture
def fleet(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path) as made:
        made.start(entries=("entry-1",))
        made.put_until_accepted("keeper-1", platform_fleet.make_table(OLD_VERSION))
        made.wait_until_ready("entry-1")
        yield made


def _make_new_table():
    table = platform_fleet.make_table(NEW_VERSION)
    table["routes"].append({**table["routes"][0], "name": "new", "path_prefix": "/new/"})
    return table


def _make_table_without_key():
    return platform_fleet.make_table(
        NEW_VERSION, tenants=[{"name": "w1", "api_keys": ["another-key"], "priority": 1}]
    )


def _rejoin(fleet, keeper):
    """Wipe and restart a keeper, so that its file begins with a snapshot of the current table."""
    others = [name for name in fleet.keeper_hosts if name != keeper]
    fleet.kill(keeper)
    fleet.wipe(keeper)
    fleet.start_keeper(keeper)
    for other in others:
        platform_fleet.wait_for(
            lambda other=other: fleet.lists_as_rejoined(other, keeper),
            f"{other} does not list the wiped keeper",
        )
    platform_fleet.wait_for(
        lambda: fleet.read_version(keeper) == OLD_VERSION, "the wiped keeper did not catch up"
    )


def _send_until(fleet, seconds, seen, status):
    """Send requests for a time, or until one gets a status; append all statuses to ``seen``."""
    until_s = time.monotonic() + seconds
    while time.monotonic() < until_s:
        seen.append(fleet.send("entry-1", "/new/x", X_Request_Id=f"n{len(seen)}").status)
        if seen[-1] == status:
            return
        time.sleep(0.05)


def test_a_route_is_not_refused_by_the_table_that_a_keeper_starts_with(fleet):
    _rejoin(fleet, "keeper-1")
    fleet.put_until_accepted("keeper-2", _make_new_table())
    seen = []
    _send_until(fleet, platform_fleet.TIMEOUT_S, seen, 200)
    assert seen[-1] == 200
    for name in ("entry-1", *fleet.keeper_hosts):
        fleet.kill(name)
    fleet.start_keeper("keeper-1")
    fleet.start_entry("entry-1")
    seen = []
    _send_until(fleet, ALONE_S, seen, 200)
    fleet.start_keeper("keeper-2")
    _send_until(fleet, platform_fleet.TIMEOUT_S, seen, 200)
    assert 404 not in seen
    assert seen[-1] == 200


def test_a_key_taken_away_is_not_served_by_the_table_that_a_keeper_starts_with(fleet):
    """An outdated table may also allow a key that was removed since."""
    _rejoin(fleet, "keeper-1")
    fleet.put_until_accepted("keeper-2", _make_table_without_key())
    platform_fleet.wait_for(
        lambda: fleet.send("entry-1", "/safe/x").status == 401, "the key is still in force"
    )
    for name in ("entry-1", *fleet.keeper_hosts):
        fleet.kill(name)
    fleet.start_keeper("keeper-1")
    fleet.start_entry("entry-1")
    seen = []
    until_s = time.monotonic() + STARTING_S
    while time.monotonic() < until_s:
        seen.append(fleet.send("entry-1", "/safe/x", X_Request_Id="s").status)
        time.sleep(0.05)
    fleet.start_keeper("keeper-2")
    platform_fleet.wait_for(
        lambda: seen.append(fleet.send("entry-1", "/safe/x").status) or seen[-1] == 401,
        "the entry does not have the newest table",
    )
    assert 200 not in seen


def test_where_few_keepers_can_be_reached_known_routes_are_served_and_nothing_is_refused_for_good(
    fleet,
):
    """A hall that is cut off serves by the table of its keeper, even if it is outdated."""
    _rejoin(fleet, "keeper-1")
    fleet.put_until_accepted("keeper-2", _make_new_table())
    for name in ("entry-1", *fleet.keeper_hosts):
        fleet.kill(name)
    fleet.start_keeper("keeper-1")
    fleet.start_entry("entry-1")
    fleet.wait_until_ready("entry-1")
    refused = fleet.send("entry-1", "/new/x", X_Request_Id="n")
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) > 0
    assert fleet.send("entry-1", "/safe/x", key="unknown").status == 503
    fleet.start_keeper("keeper-2")
    platform_fleet.wait_for(
        lambda: fleet.send("entry-1", "/nowhere/x").status == 404,
        "the table of the entry is not confirmed",
    )
    assert fleet.send("entry-1", "/new/x", X_Request_Id="m").status == 200


def test_a_wiped_keeper_joins_while_another_one_still_starts(tmp_path):
    """Two keepers are enough to accept a table, so the third may not have logged its members."""
    with platform_fleet.PlatformFleet(tmp_path) as fleet:
        fleet.start(entries=("entry-1",), keepers=("keeper-1", "keeper-3"))
        fleet.put_until_accepted("keeper-1", platform_fleet.make_table(OLD_VERSION))
        fleet.wait_until_ready("entry-1")
        fleet.start_keeper("keeper-2", is_first_start=True)
        fleet.signal("keeper-2", signal.SIGSTOP)
        late = threading.Timer(STARTUP_DELAY_S, fleet.signal, ("keeper-2", signal.SIGCONT))
        late.start()
        try:
            _rejoin(fleet, "keeper-1")
        finally:
            late.join()
        fleet.put_until_accepted("keeper-2", platform_fleet.make_table(NEW_VERSION))
        platform_fleet.wait_for(
            lambda: fleet.read_version("keeper-1") == NEW_VERSION,
            "the wiped keeper did not catch up",
        )
