"""Callers that keep connections open and ask until they are told to stop."""

import http.client
import random
import threading
import time

from lib import platform_fleet
from soak import plan, records

CALLERS = 4
ANSWER_S = 9.0
"""Longest wait for a part of an answer: longer than any route's limit."""
STREAM_EVENTS = (5, 20, 120)
PAUSE_S = 0.02


class Caller(threading.Thread):
    """One caller.

    :param seen: takes what it saw.
    :param get_version: returns the newest acknowledged table version.
    """

    def __init__(self, number, fleet, seen, get_version):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._seen = seen
        self._get_version = get_version
        self._rng = random.Random(number)
        self._prefix = f"c{number}"
        self._count = 0
        self._connections = {}
        self.is_told_to_stop = threading.Event()

    def run(self):
        while not self.is_told_to_stop.is_set():
            entry = self._rng.choice(plan.ENTRIES)
            kind = self._rng.choice(("once", "safe", "talk", "version"))
            self._ask(entry, kind)
            self.is_told_to_stop.wait(PAUSE_S)

    def _ask(self, entry, kind):
        self._count += 1
        request_id = f"{self._prefix}-{self._count}"
        asked = records.SentRequest(
            request_id=request_id, kind=kind, entry=entry, sent_s=time.monotonic()
        )
        if kind == "version":
            asked.version = self._get_version()
        try:
            self._exchange(asked)
        except (OSError, http.client.HTTPException):
            self._drop(entry)
        asked.ended_s = time.monotonic()
        self._seen.asked.append(asked)

    def _exchange(self, asked):
        connection = self._connections.get(asked.entry)
        if connection is None:
            connection = self._connections[asked.entry] = self._fleet.connect(asked.entry, ANSWER_S)
        path = f"/v{asked.version}/" if asked.kind == "version" else f"/{asked.kind}/"
        headers = {
            "Host": "a.example",
            "Authorization": f"Bearer {platform_fleet.API_KEY}",
            "X-Request-Id": asked.request_id,
            "X-Request-Deadline": "8000",
        }
        body = asked.request_id.encode()
        if asked.kind == "talk":
            asked.events = self._rng.choice(STREAM_EVENTS)
            headers |= {"X-Model": "m", "X-Token-Usage": f"100,{asked.events}"}
        connection.request("POST", f"{path}x", body, headers)
        answer = connection.getresponse()
        asked.status = answer.status
        while part := answer.read1(4_096):
            asked.body += part
        asked.is_whole = True
        answer.close()
        if answer.will_close:
            self._drop(asked.entry)

    def _drop(self, entry):
        connection = self._connections.pop(entry, None)
        if connection is not None:
            connection.close()
