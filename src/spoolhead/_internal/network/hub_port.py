"""The datagrams of a hub: what it takes, when it tells what to whom.

What is told is worked out in :mod:`spoolhead._internal.policy.load_hub`.
"""

import logging
import time
from collections.abc import Callable, Iterable

from spoolhead._internal.models import shared_load
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import load_hub

logger = logging.getLogger(__name__)

Address = tuple[str, int]
Clock = Callable[[], float]

FIRST_S = 0.004
"""Pause before a change is told after a quiet time, so that what changes with it goes along: the
report of a request that moves names two instances."""
PART_S = 0.025
"""Least time between two parts: with it, what is told is some 40 ms old at the far end, about the
time in which 195 entries begin one generation. Half as much doubles what entries receive."""
IDLE_S = 0.1
"""Time after which something is said though nothing has changed, so that a lost hub is noticed."""


class HubPort:
    """Runs a hub.

    :param timers: calls back.
    :param hub: what the hub knows.
    :param send: sends a datagram.
    :param get_hubs: returns where other hubs may be, besides those that were heard.
    :param bytes_per_s: what the hub may send, as far as that delays what it tells.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        hub: load_hub.LoadHub,
        *,
        send: Callable[[bytes, Address], None],
        get_hubs: Callable[[], Iterable[Address]],
        bytes_per_s: int,
        clock: Clock = time.monotonic,
    ) -> None:
        self._timers = timers
        self._hub = hub
        self._send = send
        self._get_hubs = get_hubs
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._timer: scheduler.Timer | None = None
        self._due_s = 0.0
        self._earliest_s = 0.0
        self._totals_s = 0.0
        self._updates_s = 0.0

    def take(self, message: shared_load.Report | shared_load.Totals, sender: Address) -> None:
        """Take a datagram of an entry or of another hub."""
        now_s = self._clock()
        if isinstance(message, shared_load.Totals):
            self._hub.take_totals(message, sender, now_s)
        elif self._hub.take_report(message, sender, now_s):
            fields = {"entry": message.sender, "hall": message.hall}
            logger.info("entry reports its load here", extra={"fields": fields})
            encoded = shared_load.encode_update(self._hub.make_whole_update(now_s))
            self._send(shared_load.address_update(encoded, message.sequence), sender)
        if not self._hub.is_idle:
            has_news = self._hub.has_totals_to_tell or self._hub.has_updates_to_tell
            self._wake(now_s, FIRST_S if has_news else IDLE_S)

    def _wake(self, now_s: float, delay_s: float) -> None:
        due_s = max(now_s + delay_s, self._earliest_s)
        if self._timer is not None:
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = self._timers.call_later(due_s - now_s, self._tell)

    def _tell(self) -> None:
        self._timer = None
        now_s = self._clock()
        self._hub.forget_silent(now_s)
        if self._hub.is_idle:
            return
        sent_bytes = self._tell_hubs(now_s) + self._tell_reporters(now_s)
        self._earliest_s = now_s + max(PART_S, sent_bytes / self._bytes_per_s)
        self._wake(now_s, 0.0 if self._hub.has_updates_to_tell else IDLE_S)

    def _tell_hubs(self, now_s: float) -> int:
        if not self._hub.has_totals_to_tell and not _is_due(self._totals_s, now_s):
            return 0
        self._totals_s = now_s
        data = shared_load.encode_totals(self._hub.make_totals(now_s))
        addresses = {*self._get_hubs(), *self._hub.get_hub_addresses()}
        for address in addresses:
            self._send(data, address)
        return len(data) * len(addresses)

    def _tell_reporters(self, now_s: float) -> int:
        if not self._hub.has_updates_to_tell and not _is_due(self._updates_s, now_s):
            return 0
        self._updates_s = now_s
        encoded = shared_load.encode_update(self._hub.make_update(now_s))
        sent_bytes = 0
        for reporter in self._hub.reporters:
            data = shared_load.address_update(encoded, reporter.counted)
            self._send(data, reporter.address)
            sent_bytes += len(data)
        return sent_bytes


def _is_due(told_s: float, now_s: float) -> bool:
    return now_s - told_s >= IDLE_S - FIRST_S
