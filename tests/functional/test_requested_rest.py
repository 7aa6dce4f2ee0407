"""Instances that ask an entry for rest, or say that they leave, in their answers."""

import itertools
import time

import pytest

from lib import platform_fleet, senders
from spoolhead._internal.policy import requested_rest

ENTRIES = 3
REST_S = 2.0
DRAIN_S = 1.0


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path, entries=ENTRIES) as made:
        made.start_serving()
        yield made


def get_arrivals(fleet, instance):
    """Return the times of the requests that reached an instance, by entry."""
    return {
        entry: fleet.get_arrivals(instance, id_prefix=f"{entry}-") for entry in fleet.entry_hosts
    }


def count_in_rest(times_s):
    """Return the number of requests of an entry that reached an instance in a rest.

    The instance asks for rest in each answer. The entry's only caller waits for the answer before
    it sends the next request, so no request is in flight when the rest begins.

    :param times_s: when the requests reached the instance, in order.
    """
    return sum(later_s - time_s < REST_S for time_s, later_s in itertools.pairwise(times_s))


def test_an_instance_gets_no_requests_in_the_rest_that_it_asked_for(running):
    """Guards against choosing a resting instance because it seems idle while it rejects all."""
    running.set_instance("p-1", rest=str(REST_S))
    answers = senders.send_from_all(running, 4 * REST_S)
    arrivals = get_arrivals(running, "p-1")
    assert [count_in_rest(times_s) for times_s in arrivals.values()] == [0] * ENTRIES
    # An entry may send nothing only while enough others report that they were asked for rest.
    assert sum(bool(times_s) for times_s in arrivals.values()) >= requested_rest.MIN_REPORTERS
    refused = [answer for _, answer in answers if answer.status != 200]
    # Each entry learns of a rest by one refused request, and only one instance rests.
    assert len(refused) <= ENTRIES * (4 + 1)


def test_where_all_instances_rest_requests_are_refused_with_when_to_come_back(running):
    """Guards against a fallback that sends requests to instances that asked for rest."""
    running.set_instance("p-1", rest=str(REST_S))
    running.set_instance("p-2", rest=str(REST_S))
    answers = senders.send_from_all(running, 4 * REST_S)
    for name in ("p-1", "p-2"):
        arrivals = get_arrivals(running, name)
        # Reports of others do not block an instance while no other one accepts requests.
        assert all(arrivals.values())
        assert [count_in_rest(times_s) for times_s in arrivals.values()] == [0] * ENTRIES
    assert {answer.status for _, answer in answers} == {503}
    assert all(float(answer.headers["Retry-After"]) > 0 for _, answer in answers)


def test_after_its_rest_an_instance_gets_requests_again(running):
    running.set_instance("p-1", rest="0.5")
    senders.send_from_all(running, 2.0)
    running.set_instance("p-1", rest="")
    senders.send_from_all(running, 2.0)
    began_s = time.monotonic()
    answers = senders.send_from_all(running, 3.0)
    arrived = sum(time_s >= began_s for time_s in running.get_arrivals("p-1"))
    assert arrived >= 0.25 * len(answers)


def test_an_instance_that_says_that_it_leaves_gets_nothing_new(running):
    """Guards against an entry that waits for the instance list, which may be late or unreadable."""
    running.set_instance("p-1", leaving=True)
    began_s = time.monotonic()
    answers = senders.send_from_all(running, 3.0)
    late = [time_s for time_s in running.get_arrivals("p-1") if time_s > began_s + DRAIN_S]
    assert late == []
    assert {answer.status for _, answer in answers} == {200}


def test_an_entry_that_starts_later_sends_nothing_to_one_that_leaves(running):
    """Guards against an announcement that only the entries running at the time learn of."""
    running.set_instance("p-1", leaving=True)
    senders.send_from_all(running, DRAIN_S)
    running.kill("entry-1")
    running.start_entry("entry-1")
    began_s = time.monotonic()
    running.wait_until_ready("entry-1")
    senders.send_from_all(running, 1.0)
    assert [time_s for time_s in running.get_arrivals("p-1") if time_s > began_s] == []
