"""An instance in need states how many requests a second it accepts from all entries together."""

import time

import pytest

from lib import limit_fleet, platform_fleet, senders

ENTRIES = 4
CONTACT_S = 3.0
"""Time from which the limit binds."""
WINDOW_S = 4.0
LIMIT_PER_S = 2.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that may arrive in any such window."""
USED_PART = 0.8
"""Part of the limit that is to be used where more is wanted."""
MANY = 6
"""Callers at each entry by which far more is wanted than both instances accept."""


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path, entries=ENTRIES) as made:
        made.start_serving()
        yield made


def test_all_entries_together_keep_the_limit_that_an_instance_states(running):
    """Guards against entries that pass over a stated limit and go on choosing by load."""
    running.set("p-1", limit=str(LIMIT_PER_S))
    began_s = time.monotonic()
    answers = senders.send_from_all(running, CONTACT_S + 2 * WINDOW_S)
    bound = [time_s for time_s in running.get_arrivals("p-1") if time_s >= began_s + CONTACT_S]
    assert limit_fleet.get_max_in_window(bound, WINDOW_S) <= ALLOWED
    assert len(bound) >= USED_PART * LIMIT_PER_S * 2 * WINDOW_S
    assert {answer.status for _, answer in answers} == {200}


def test_where_all_instances_state_one_the_rest_is_rejected_at_once(running):
    """Guards against callers that wait, or fall on instances in need, where none has room."""
    running.set("p-1", limit=str(LIMIT_PER_S))
    running.set("p-2", limit=str(LIMIT_PER_S))
    began_s = time.monotonic()
    answers = senders.send_from_all(running, CONTACT_S + 2 * WINDOW_S, callers_each=MANY)
    for name in ("p-1", "p-2"):
        bound = [time_s for time_s in running.get_arrivals(name) if time_s >= began_s + CONTACT_S]
        assert limit_fleet.get_max_in_window(bound, WINDOW_S) <= ALLOWED
        assert len(bound) >= USED_PART * LIMIT_PER_S * 2 * WINDOW_S
    assert {answer.status for _, answer in answers} == {200, 503}
    refused = [answer for _, answer in answers if answer.status == 503]
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


def test_an_instance_that_lifts_its_limit_gets_its_share_again(running):
    """Guards against a limit that outlasts the instance's own word."""
    running.set("p-1", limit=str(LIMIT_PER_S))
    senders.send_from_all(running, CONTACT_S)
    running.set("p-1", limit="")
    senders.send_from_all(running, CONTACT_S)
    began_s = time.monotonic()
    senders.send_from_all(running, CONTACT_S)
    shares = [
        sum(time_s >= began_s for time_s in running.get_arrivals(name)) for name in ("p-1", "p-2")
    ]
    assert min(shares) > 0.25 * sum(shares)
