"""What the entries tell each other of the work that they hold at the instances.

Each sends its whole share whenever it changes and now and then besides, so a lost datagram is
made good by the next one. A share that is not heard again expires.
"""

import logging
import socket
import time
from collections.abc import Callable

import msgpack

from spoolhead._internal.models import settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import upstream_book, watch_duty

logger = logging.getLogger(__name__)

COALESCE_S = 0.01
"""Changes within this time go out together; a fraction of a prompt's reading time."""
REPEAT_S = 1.0
"""Time after which an unchanged share is sent again."""
EXPIRY_S = 3.0
"""Age at which a share no longer counts: three repetitions lost in a row."""
SILENT_HALL_S = 1.6
"""Silence of all entries of a hall after which it counts as cut off: a repetition was lost."""
MAX_DATAGRAM_BYTES = 60_000

_NUMBERS = 3


class _Share:
    """What another entry holds.

    :ivar hall: hall of that entry.
    :ivar works: for each instance its id, tokens, requests and tokens still to be read.
    """

    __slots__ = ("hall", "heard_s", "sequence", "works")

    def __init__(self, hall: str, sequence: int, works: list[list[object]], heard_s: float) -> None:
        self.hall = hall
        self.sequence = sequence
        self.works = works
        self.heard_s = heard_s


class LoadSharing:
    """Sends this entry's share and gathers the others'.

    :param loop: root of the program.
    :param config: the entry's settings.
    :param book: the instances.
    :param on_alarm: called with an instance that another entry found bad.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.GatewaySettings,
        book: upstream_book.UpstreamBook,
        on_alarm: Callable[[upstream_book.Upstream], None],
    ) -> None:
        self._timers = loop.scheduler
        self._on_alarm = on_alarm
        self._alarms: list[str] = []
        self._name = config.name
        self._hall = config.hall
        self._own = f"{config.host}:{config.peer_port}"
        self._book = book
        self._peers: list[tuple[str, int]] = []
        self._shares: dict[str, _Share] = {}
        self._halls_heard_s: dict[str, float] = {}
        # A restarted entry must not begin below the numbers of its former self.
        self._sequence = int(time.time() * 1000)
        self._is_due = False
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind((config.host, config.peer_port))
        loop.poller.add_direct_reader(loop, self._sock, self._on_readable)
        self._timers.call_every(REPEAT_S, self._repeat)

    def set_peers(self, addresses: list[str]) -> None:
        """Take over the addresses of the other entries."""
        self._peers = []
        for address in addresses:
            host, _, port = address.rpartition(":")
            if address != self._own and port.isdigit():
                self._peers.append((host, int(port)))

    def get_watchers(self) -> list[watch_duty.Watcher]:
        """Return the entries that are alive, this one among them."""
        self._forget_old()
        watchers = [watch_duty.Watcher(name=self._name, hall=self._hall)]
        for name, share in self._shares.items():
            if name != self._name:
                watchers.append(watch_duty.Watcher(name=name, hall=share.hall))
        return watchers

    def get_silent_halls(self) -> frozenset[str]:
        """Return the halls that were heard from and are silent, as behind a cut."""
        oldest_s = time.monotonic() - SILENT_HALL_S
        return frozenset(
            hall for hall, heard_s in self._halls_heard_s.items() if heard_s < oldest_s
        )

    def tell_alarm(self, instance_id: str) -> None:
        """Tell the other entries at once of an instance that was found bad."""
        self._alarms = [instance_id]
        self._send()
        self._alarms = []

    def note_change(self) -> None:
        """Send this entry's share soon."""
        if not self._is_due:
            self._is_due = True
            self._timers.call_later(COALESCE_S, self._send)

    def refresh(self) -> None:
        """Work out again what the others hold, after the list of instances has changed."""
        self._forget_old()
        for upstream in self._book.get_all():
            upstream.others_tokens = 0
            upstream.others_count = 0
            upstream.others_reading = 0
        for share in self._shares.values():
            for instance_id, tokens, count, reading in share.works:
                upstream = self._book.get(instance_id)
                if upstream is not None:
                    upstream.others_tokens += tokens
                    upstream.others_count += count
                    upstream.others_reading += reading

    def _send(self) -> None:
        self._is_due = False
        self._sequence += 1
        works = [
            [
                upstream.instance.instance_id,
                sum(work.tokens for work in upstream.works.values()),
                len(upstream.works),
                sum(work.reading_tokens for work in upstream.works.values()),
            ]
            for upstream in self._book.get_all()
            if upstream.works
        ]
        data = msgpack.packb([self._name, self._hall, self._sequence, works, self._alarms])
        for peer in self._peers:
            try:
                self._sock.sendto(data, peer)
            except OSError as error:
                logger.debug("share not sent to %s: %s", peer, error)

    def _repeat(self) -> None:
        self.refresh()
        self.note_change()

    def _on_readable(self, sock: socket.socket) -> None:
        while True:
            try:
                data = sock.recv(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                break
            self._take(data)
        self.refresh()

    def _take(self, data: bytes) -> None:
        try:
            name, hall, sequence, works, alarms = msgpack.unpackb(data)
            for _, *numbers in works:
                if len(numbers) != _NUMBERS or not all(isinstance(n, int) for n in numbers):
                    raise ValueError("a share with odd numbers")
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            logger.warning("datagram that is no share: %s", error)
            return
        self._halls_heard_s[hall] = time.monotonic()
        known = self._shares.get(name)
        if known is None or sequence > known.sequence:
            self._shares[name] = _Share(hall, sequence, works, time.monotonic())
        for instance_id in alarms:
            self._take_alarm(name, instance_id)

    def _take_alarm(self, name: str, instance_id: str) -> None:
        upstream = self._book.get(instance_id)
        if upstream is None or upstream.is_leaving:
            return
        if upstream.raise_alarm(time.monotonic()):
            fields = {"upstream": instance_id, "told_by": name}
            logger.info("upstream is said not to be well", extra={"fields": fields})
            self._on_alarm(upstream)

    def _forget_old(self) -> None:
        oldest_s = time.monotonic() - EXPIRY_S
        for name, share in list(self._shares.items()):
            if share.heard_s < oldest_s:
                del self._shares[name]
