"""Callers that send requests over persistent connections until they are stopped."""

import http.client
import random
import threading
import time

from lib import platform_fleet
from soak import plan, records

CALLER_COUNT = 4
ANSWER_TIMEOUT_S = 9.0
"""Socket timeout while an answer is read; longer than the timeout of any route."""
STREAM_EVENTS = (5, 20, 120)
"""Lengths of streams, in events."""
PAUSE_S = 0.02
"""Pause of a caller between two requests."""


class Caller(threading.Thread):
    """Sends random requests to random entries, one at a time.

    :param number: seed of its random generator, and part of its request ids.
    :param fleet: fleet that it sends to.
    :param observed: records to which it adds its requests.
    :param get_version: returns the newest acknowledged table version.
    """

    def __init__(self, number, fleet, observed, get_version):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._observed = observed
        self._get_version = get_version
        self._rng = random.Random(number)
        self._prefix = f"c{number}"
        self._count = 0
        self._connections = {}
        self.stop_requested = threading.Event()

    def run(self):
        while not self.stop_requested.is_set():
            entry = self._rng.choice(plan.ENTRIES)
            kind = self._rng.choice(("once", "safe", "talk", "version"))
            self._send_request(entry, kind)
            self.stop_requested.wait(PAUSE_S)

    def _send_request(self, entry, kind):
        self._count += 1
        request_id = f"{self._prefix}-{self._count}"
        request = records.CallerRequest(
            request_id=request_id, kind=kind, entry=entry, sent_s=time.monotonic()
        )
        if kind == "version":
            request.version = self._get_version()
        try:
            self._send_and_read(request)
        except (OSError, http.client.HTTPException):
            self._close_connection(entry)
        request.ended_s = time.monotonic()
        self._observed.requests.append(request)

    def _send_and_read(self, request):
        connection = self._connections.get(request.entry)
        if connection is None:
            connection = self._connections[request.entry] = self._fleet.connect(
                request.entry, ANSWER_TIMEOUT_S
            )
        path = f"/v{request.version}/" if request.kind == "version" else f"/{request.kind}/"
        headers = {
            "Host": "a.example",
            "Authorization": f"Bearer {platform_fleet.API_KEY}",
            "X-Request-Id": request.request_id,
            "X-Request-Deadline": "8000",
        }
        body = request.request_id.encode()
        if request.kind == "talk":
            request.events = self._rng.choice(STREAM_EVENTS)
            headers |= {"X-Model": "m", "X-Token-Usage": f"100,{request.events}"}
        connection.request("POST", f"{path}x", body, headers)
        answer = connection.getresponse()
        request.status = answer.status
        while part := answer.read1(4_096):
            request.body += part
        request.is_whole = True
        answer.close()
        if answer.will_close:
            self._close_connection(request.entry)

    def _close_connection(self, entry):
        connection = self._connections.pop(entry, None)
        if connection is not None:
            connection.close()
