"""A UDP socket on the event loop."""

import logging
import socket
from collections.abc import Callable

from spoolhead._internal.models import shared_load
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import endpoints

logger = logging.getLogger(__name__)


class LoadSocket:
    """Sends and receives the datagrams that report load.

    :param loop: event loop of the program.
    :param address: where to listen.
    :param handle: called with each decoded datagram and its sender.
    """

    def __init__(
        self,
        loop: loops.Loop,
        address: endpoints.Endpoint,
        handle: Callable[[shared_load.Message, endpoints.Endpoint], None],
    ) -> None:
        self._handle = handle
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.setblocking(False)
        self._sock.bind(address)
        loop.poller.add_direct_reader(loop, self._sock, self._on_readable)

    def send(self, data: bytes, address: endpoints.Endpoint) -> None:
        """Send a datagram; a failure is only logged, since later datagrams make up for it."""
        try:
            self._sock.sendto(data, address)
        except OSError as error:
            logger.debug("cannot send datagram to %s: %s", address, error)

    def _on_readable(self, sock: socket.socket) -> None:
        while True:
            try:
                data, sender = sock.recvfrom(shared_load.MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            try:
                message = shared_load.decode(data)
            except ValueError as error:
                logger.warning("ignored a malformed load datagram: %s", error)
                continue
            self._handle(message, sender)
