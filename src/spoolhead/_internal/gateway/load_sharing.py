"""What the entries tell each other of the work that they hold at the instances.

Each sends its whole share whenever it changes and now and then besides, so a lost datagram is
made good by the next one. A share that is not heard again expires.
"""

import logging
import socket
import time

import msgpack

from spoolhead._internal.models import settings
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import upstream_book

logger = logging.getLogger(__name__)

COALESCE_S = 0.01
"""Changes within this time go out together; a fraction of a prompt's reading time."""
REPEAT_S = 1.0
"""Time after which an unchanged share is sent again."""
EXPIRY_S = 3.0
"""Age at which a share no longer counts: three repetitions lost in a row."""
MAX_DATAGRAM_BYTES = 60_000

_NUMBERS = 3


class _Share:
    """What another entry holds.

    :ivar works: for each instance its id, tokens, requests and tokens still to be read.
    """

    __slots__ = ("heard_s", "sequence", "works")

    def __init__(self, sequence: int, works: list[list[object]], heard_s: float) -> None:
        self.sequence = sequence
        self.works = works
        self.heard_s = heard_s


class LoadSharing:
    """Sends this entry's share and gathers the others'.

    :param loop: root of the program.
    :param config: the entry's settings.
    :param book: the instances.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.GatewaySettings,
        book: upstream_book.UpstreamBook,
    ) -> None:
        self._timers = loop.scheduler
        self._name = config.name
        self._own = f"{config.host}:{config.peer_port}"
        self._book = book
        self._peers: list[tuple[str, int]] = []
        self._shares: dict[str, _Share] = {}
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
        data = msgpack.packb([self._name, self._sequence, works])
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
            name, sequence, works = msgpack.unpackb(data)
            for _, *numbers in works:
                if len(numbers) != _NUMBERS or not all(isinstance(n, int) for n in numbers):
                    raise ValueError("a share with odd numbers")
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            logger.warning("datagram that is no share: %s", error)
            return
        known = self._shares.get(name)
        if known is None or sequence > known.sequence:
            self._shares[name] = _Share(sequence, works, time.monotonic())

    def _forget_old(self) -> None:
        oldest_s = time.monotonic() - EXPIRY_S
        for name, share in list(self._shares.items()):
            if share.heard_s < oldest_s:
                del self._shares[name]
