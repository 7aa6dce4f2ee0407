"""An instance in need states how many requests a second it accepts from all entries together."""

import threading
import time

import pytest

from lib import platform_fleet

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
PAUSE_S = 0.05
"""Pause of each caller between two requests."""


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path, entries=ENTRIES) as made:
        made.start_serving()
        yield made


def get_most(times_s, window_s):
    """Return the most events that any window of a length has."""
    most = first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] >= window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


class Caller(threading.Thread):
    """Sends plain requests to one entry, one after the other."""

    def __init__(self, fleet, entry, number):
        super().__init__()
        self._fleet = fleet
        self._entry = entry
        self._number = number
        self.answers = []
        self.is_told_to_stop = threading.Event()

    def run(self):
        for number in range(100_000):
            if self.is_told_to_stop.is_set():
                return
            request_id = f"{self._entry}-{self._number}-{number}"
            answer = self._fleet.ask(self._entry, "/once/x", X_Request_Id=request_id)
            self.answers.append((time.monotonic(), answer))
            time.sleep(PAUSE_S)


def send_from_all(fleet, for_s, *, callers_each=1):
    """Have callers at all entries send for a time; returns their answers."""
    callers = [
        Caller(fleet, entry, number)
        for entry in fleet.entry_hosts
        for number in range(callers_each)
    ]
    for caller in callers:
        caller.start()
    time.sleep(for_s)
    for caller in callers:
        caller.is_told_to_stop.set()
    for caller in callers:
        caller.join()
    return [item for caller in callers for item in caller.answers]


def test_all_entries_together_keep_the_limit_that_an_instance_states(running):
    """Guards against entries that pass over a stated limit and go on choosing by load."""
    running.set("p-1", limit=str(LIMIT_PER_S))
    began_s = time.monotonic()
    answers = send_from_all(running, CONTACT_S + 2 * WINDOW_S)
    bound = [time_s for time_s in running.get_arrivals("p-1") if time_s >= began_s + CONTACT_S]
    assert get_most(bound, WINDOW_S) <= ALLOWED
    assert len(bound) >= USED_PART * LIMIT_PER_S * 2 * WINDOW_S
    assert {answer.status for _, answer in answers} == {200}


def test_where_all_instances_state_one_the_rest_is_rejected_at_once(running):
    """Guards against callers that wait, or fall on instances in need, where none has room."""
    running.set("p-1", limit=str(LIMIT_PER_S))
    running.set("p-2", limit=str(LIMIT_PER_S))
    began_s = time.monotonic()
    answers = send_from_all(running, CONTACT_S + 2 * WINDOW_S, callers_each=MANY)
    for name in ("p-1", "p-2"):
        bound = [time_s for time_s in running.get_arrivals(name) if time_s >= began_s + CONTACT_S]
        assert get_most(bound, WINDOW_S) <= ALLOWED
        assert len(bound) >= USED_PART * LIMIT_PER_S * 2 * WINDOW_S
    assert {answer.status for _, answer in answers} == {200, 503}
    refused = [answer for _, answer in answers if answer.status == 503]
    assert all(float(answer.headers["Retry-After"]) > 0 for answer in refused)


def test_an_instance_that_lifts_its_limit_gets_its_share_again(running):
    """Guards against a limit that outlasts the instance's own word."""
    running.set("p-1", limit=str(LIMIT_PER_S))
    send_from_all(running, CONTACT_S)
    running.set("p-1", limit="")
    send_from_all(running, CONTACT_S)
    began_s = time.monotonic()
    send_from_all(running, CONTACT_S)
    shares = [
        sum(time_s >= began_s for time_s in running.get_arrivals(name)) for name in ("p-1", "p-2")
    ]
    assert min(shares) > 0.25 * sum(shares)
