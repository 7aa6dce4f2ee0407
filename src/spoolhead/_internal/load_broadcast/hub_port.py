"""Sends and receives the datagrams of a hub.

Their content is computed in :mod:`spoolhead._internal.policy.load_hub`.
"""

import logging
from collections.abc import Callable, Iterable

from spoolhead._internal.models import shared_load
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import load_hub
from spoolhead._internal.utils import clocks, endpoints

logger = logging.getLogger(__name__)

COALESCE_DELAY_S = 0.002
"""Delay before a change is sent after a quiet time, so that concurrent changes are sent
together."""
MIN_SEND_INTERVAL_S = 0.02
"""Minimum interval between two datagrams, so that a receiver handles fifty a second at most: each
costs an entry 15 us and a turn of its event loop. A change after a quiet time is not delayed by
it."""
MAX_RECEIVER_BYTES_PER_S = 10_000
"""Maximum rate for one receiver: half of the control traffic that a process may send. Small
datagrams, as in small fleets, are then sent every 20 ms, datagrams of 300 bytes every 30 ms."""
HEADER_BYTES = 28
"""Size of the IP and UDP headers of a datagram."""
MAX_COUNTED_BYTES = 9
"""Maximum encoded size of an update's field ``counted``, the sequence number of the receiver's own
report that the update includes."""
HEARTBEAT_INTERVAL_S = 0.1
"""Interval after which a datagram is sent although nothing has changed, so that receivers detect a
lost hub."""


class _SendSizes:
    """Sizes of a datagram sent to several receivers.

    :ivar datagram_bytes: its size with headers.
    :ivar total_bytes: the bytes sent to all receivers.
    """

    __slots__ = ("total_bytes", "datagram_bytes")

    def __init__(self, datagram_bytes: int, receivers: int) -> None:
        self.datagram_bytes = datagram_bytes
        self.total_bytes = datagram_bytes * receivers


class HubPort:
    """Runs a hub.

    :param timers: schedules callbacks.
    :param hub: state of the hub.
    :param send: sends a datagram.
    :param get_hubs: returns addresses of possible hubs, in addition to hubs that sent totals.
    :param bytes_per_s: maximum send rate of the hub; datagrams are delayed to keep it.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        timers: scheduler.Scheduler,
        hub: load_hub.LoadHub,
        *,
        send: Callable[[bytes, endpoints.Endpoint], None],
        get_hubs: Callable[[], Iterable[endpoints.Endpoint]],
        bytes_per_s: int,
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._timers = timers
        self._hub = hub
        self._send = send
        self._get_hubs = get_hubs
        self._bytes_per_s = bytes_per_s
        self._clock = clock
        self._timer: scheduler.Timer | None = None
        self._due_s = 0.0
        self._earliest_send_s = 0.0
        self._totals_sent_s = 0.0
        self._updates_sent_s = 0.0

    def handle_datagram(
        self, message: shared_load.Report | shared_load.Totals, sender: endpoints.Endpoint
    ) -> None:
        """Handle a datagram of an entry or of another hub."""
        now_s = self._clock()
        if self._hub.is_idle:
            self._hub.discard_pending(now_s)
        if isinstance(message, shared_load.Totals):
            self._hub.handle_totals(message, sender, now_s)
        else:
            self._handle_report(message, sender, now_s)
        if self._hub.is_idle:
            return
        if self._hub.has_urgent_updates:
            self._send_pending()
            return
        has_new = self._hub.has_unsent_totals or self._hub.has_unsent_updates
        self._schedule(now_s, COALESCE_DELAY_S if has_new else HEARTBEAT_INTERVAL_S)

    def _handle_report(
        self, report: shared_load.Report, sender: endpoints.Endpoint, now_s: float
    ) -> None:
        if self._hub.handle_report(report, sender, now_s):
            fields = {"entry": report.sender, "hall": report.hall}
            logger.info("entry reports its load to this hub", extra={"fields": fields})
        update = self._hub.make_due_snapshot(report.sender, now_s)
        if update is not None:
            encoded = shared_load.encode_update(update)
            self._send(shared_load.complete_update(encoded, update.counted), sender)

    def _schedule(self, now_s: float, delay_s: float) -> None:
        due_s = max(now_s + delay_s, self._earliest_send_s)
        if self._timer is not None:
            if self._due_s <= due_s:
                return
            self._timer.cancel()
        self._due_s = due_s
        self._timer = self._timers.call_later(due_s - now_s, self._send_pending)

    def _send_pending(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now_s = self._clock()
        self._hub.expire_silent(now_s)
        if self._hub.is_idle:
            return
        totals = self._send_totals(now_s)
        updates = self._send_updates(now_s)
        sent_bytes = totals.total_bytes + updates.total_bytes
        datagram_bytes = max(totals.datagram_bytes, updates.datagram_bytes)
        interval_s = max(
            MIN_SEND_INTERVAL_S,
            datagram_bytes / MAX_RECEIVER_BYTES_PER_S,
            sent_bytes / self._bytes_per_s,
        )
        self._earliest_send_s = now_s + interval_s
        self._schedule(now_s, 0.0 if self._hub.has_unsent_updates else HEARTBEAT_INTERVAL_S)

    def _send_totals(self, now_s: float) -> _SendSizes:
        if not self._hub.has_unsent_totals and not _is_due(self._totals_sent_s, now_s):
            return _SendSizes(0, 0)
        self._totals_sent_s = now_s
        data = shared_load.encode_totals(self._hub.make_totals(now_s))
        addresses = dict.fromkeys((*self._get_hubs(), *self._hub.get_hub_addresses()))
        for address in addresses:
            self._send(data, address)
        return _SendSizes(len(data) + HEADER_BYTES, len(addresses))

    def _send_updates(self, now_s: float) -> _SendSizes:
        if not self._hub.has_unsent_updates and not _is_due(self._updates_sent_s, now_s):
            return _SendSizes(0, 0)
        self._updates_sent_s = now_s
        encoded = shared_load.encode_update(self._hub.make_update(now_s))
        reporters = list(self._hub.reporters)
        for reporter in reporters:
            data = shared_load.complete_update(encoded, reporter.counted)
            self._send(data, reporter.address)
        return _SendSizes(len(encoded) + MAX_COUNTED_BYTES + HEADER_BYTES, len(reporters))


def _is_due(sent_s: float, now_s: float) -> bool:
    return now_s - sent_s >= HEARTBEAT_INTERVAL_S - COALESCE_DELAY_S
