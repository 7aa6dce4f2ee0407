"""Instances that state how many requests per second they accept from all entries together."""

import time

import pytest

from lib import limit_fleet, platform_fleet, senders

ENTRIES = 4
LIMIT_EFFECTIVE_S = 3.0
"""Time after which a stated limit must be in effect."""
WINDOW_S = 4.0
"""Length of the window in which requests are counted."""
LIMIT_PER_S = 2.0
MAX_REQUESTS_PER_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5
"""Requests that may arrive in any window."""
MIN_USED_FRACTION = 0.8
"""Fraction of the limit that must be used while callers send more."""
CALLERS_PER_ENTRY = 6
"""Callers at each entry; together they send far more than both instances accept."""


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path, entries=ENTRIES) as made:
        made.start_serving()
        yield made


def test_all_entries_together_keep_the_limit_that_an_instance_states(running):
    """Guards against entries that ignore a stated limit and choose by load only."""
    running.set_instance("p-1", limit=str(LIMIT_PER_S))
    began_s = time.monotonic()
    answers = senders.send_from_all(running, LIMIT_EFFECTIVE_S + 2 * WINDOW_S)
    bound = [
        time_s for time_s in running.get_arrivals("p-1") if time_s >= began_s + LIMIT_EFFECTIVE_S
    ]
    assert limit_fleet.get_max_in_window(bound, WINDOW_S) <= MAX_REQUESTS_PER_WINDOW
    assert len(bound) >= MIN_USED_FRACTION * LIMIT_PER_S * 2 * WINDOW_S
    assert {answer.status for _, answer in answers} == {200}


def test_where_all_instances_state_one_the_rest_is_rejected_at_once(running):
    """Guards against requests that wait or exceed the limits when all instances are limited."""
    running.set_instance("p-1", limit=str(LIMIT_PER_S))
    running.set_instance("p-2", limit=str(LIMIT_PER_S))
    began_s = time.monotonic()
    answers = senders.send_from_all(
        running, LIMIT_EFFECTIVE_S + 2 * WINDOW_S, callers_per_entry=CALLERS_PER_ENTRY
    )
    for name in ("p-1", "p-2"):
        bound = [
            time_s for time_s in running.get_arrivals(name) if time_s >= began_s + LIMIT_EFFECTIVE_S
        ]
        assert limit_fleet.get_max_in_window(bound, WINDOW_S) <= MAX_REQUESTS_PER_WINDOW
        assert len(bound) >= MIN_USED_FRACTION * LIMIT_PER_S * 2 * WINDOW_S
    assert {answer.status for _, answer in answers} == {200, 503}
    refused = [answer for _, answer in answers if answer.status == 503]
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


def test_an_instance_that_lifts_its_limit_gets_its_share_again(running):
    """Guards against a limit that stays in effect after the instance withdrew it."""
    running.set_instance("p-1", limit=str(LIMIT_PER_S))
    senders.send_from_all(running, LIMIT_EFFECTIVE_S)
    running.set_instance("p-1", limit="")
    senders.send_from_all(running, LIMIT_EFFECTIVE_S)
    began_s = time.monotonic()
    senders.send_from_all(running, LIMIT_EFFECTIVE_S)
    shares = [
        sum(time_s >= began_s for time_s in running.get_arrivals(name)) for name in ("p-1", "p-2")
    ]
    assert min(shares) > 0.25 * sum(shares)
