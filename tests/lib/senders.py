"""Callers that send plain requests to the entries of a fleet."""

import threading
import time

PAUSE_S = 0.05
"""Pause of each caller between two requests."""


class Caller(threading.Thread):
    """Sends plain requests to one entry, one after another.

    :ivar answers: pairs of the time of receipt and the answer.
    """

    def __init__(self, fleet, entry, number):
        super().__init__()
        self._fleet = fleet
        self._entry = entry
        self._number = number
        self.answers = []
        self.stop_requested = threading.Event()

    def run(self):
        for number in range(100_000):
            if self.stop_requested.is_set():
                return
            request_id = f"{self._entry}-{self._number}-{number}"
            answer = self._fleet.send(self._entry, "/once/x", X_Request_Id=request_id)
            self.answers.append((time.monotonic(), answer))
            time.sleep(PAUSE_S)


def send_from_all(fleet, for_s, *, callers_per_entry=1):
    """Send requests to all entries for a time.

    :returns: pairs of the time of receipt and the answer.
    """
    callers = [
        Caller(fleet, entry, number)
        for entry in fleet.entry_hosts
        for number in range(callers_per_entry)
    ]
    for caller in callers:
        caller.start()
    time.sleep(for_s)
    for caller in callers:
        caller.stop_requested.set()
    for caller in callers:
        caller.join()
    return [item for caller in callers for item in caller.answers]
