"""An instance asks an entry for rest, or says that it leaves, in its answers."""

import time

import pytest

from lib import platform_fleet, senders

ENTRIES = 3
REST_S = 2.0
ON_THE_WAY_S = 0.5
"""Time after the word for requests that are on their way already."""
ALLOWED = 2
"""Requests of one entry that may reach an instance in the rest that it asked it for."""
DRAIN_S = 1.0


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path, entries=ENTRIES) as made:
        made.start_serving()
        yield made


def get_most_in_a_rest(fleet, instance, entry):
    """Return the most requests of an entry that reached an instance in a rest it had asked for."""
    times_s = fleet.get_arrivals(instance, id_prefix=f"{entry}-")
    return max(
        sum(told_s + ON_THE_WAY_S < time_s <= told_s + REST_S for time_s in times_s)
        for told_s in times_s
    )


def test_an_instance_gets_no_requests_in_the_rest_that_it_asked_for(running):
    """Guards against an instance that looks empty since it turns everything away."""
    running.set("p-1", rest=str(REST_S))
    answers = senders.send_from_all(running, 4 * REST_S)
    for entry in running.entry_hosts:
        assert get_most_in_a_rest(running, "p-1", entry) <= ALLOWED
    refused = [answer for _, answer in answers if answer.status != 200]
    # Each entry finds out by one request a rest, which may go to one instance only.
    assert len(refused) <= ENTRIES * (4 + 1)


def test_where_all_instances_rest_requests_are_refused_with_when_to_come_back(running):
    """Guards against a last resort that overrides the instances' own word."""
    running.set("p-1", rest=str(REST_S))
    running.set("p-2", rest=str(REST_S))
    answers = senders.send_from_all(running, 4 * REST_S)
    for name in ("p-1", "p-2"):
        for entry in running.entry_hosts:
            assert get_most_in_a_rest(running, name, entry) <= ALLOWED
    assert {answer.status for _, answer in answers} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for _, answer in answers)


def test_after_its_rest_an_instance_gets_requests_again(running):
    running.set("p-1", rest="0.5")
    senders.send_from_all(running, 2.0)
    running.set("p-1", rest="")
    senders.send_from_all(running, 2.0)
    began_s = time.monotonic()
    answers = senders.send_from_all(running, 3.0)
    arrived = sum(time_s >= began_s for time_s in running.get_arrivals("p-1"))
    assert arrived >= 0.25 * len(answers)


def test_an_instance_that_says_that_it_leaves_gets_nothing_new(running):
    """Guards against an entry that waits for the list, which may be late or unreadable."""
    running.set("p-1", leaving=True)
    began_s = time.monotonic()
    answers = senders.send_from_all(running, 3.0)
    late = [time_s for time_s in running.get_arrivals("p-1") if time_s > began_s + DRAIN_S]
    assert late == []
    assert {answer.status for _, answer in answers} == {200}


def test_an_entry_that_starts_later_sends_nothing_to_one_that_leaves(running):
    """Guards against a word that reaches only the entries that run when it is said."""
    running.set("p-1", leaving=True)
    senders.send_from_all(running, DRAIN_S)
    running.kill("entry-1")
    running.start_entry("entry-1")
    began_s = time.monotonic()
    running.wait_until_ready("entry-1")
    senders.send_from_all(running, 1.0)
    assert [time_s for time_s in running.get_arrivals("p-1") if time_s > began_s] == []
