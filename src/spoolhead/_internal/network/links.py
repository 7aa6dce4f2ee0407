"""Outgoing TCP connections that share one component.

The event library's client needs a component for each connection and polls while connecting. Each
registration of a component makes the library collect all handlers again, at a cost that grows with
the number of connections. Here all connections share one component and one channel, and the poller
reports when a connection is established.
"""

import collections
import errno
import logging
import os
import socket
from typing import Protocol

import circuits

from spoolhead._internal.network import loop as loops
from spoolhead._internal.network import scheduler
from spoolhead._internal.utils import endpoints

logger = logging.getLogger(__name__)

READ_BYTES = 65_536
CLOSED_CLEANLY = "closed by the other side"
"""Reason passed to :meth:`LinkListener.on_lost` after an orderly close, as opposed to a reset."""
CONNECT_TIMEOUT = "connecting took too long"
REFUSED = os.strerror(errno.ECONNREFUSED)
"""Reason passed to :meth:`LinkListener.on_lost` if the machine is up and no process listens at the
port."""
_RETRYABLE_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)


class LinkListener(Protocol):
    """Callbacks of the component that uses a link."""

    def on_connected(self) -> None:
        """Called when the connection is established."""

    def on_data(self, data: bytes) -> None:
        """Called with received bytes."""

    def on_lost(self, reason: str) -> None:
        """Called when the connection has ended or could not be made; the last call."""


class Link:
    """An outgoing connection.

    :ivar address: ``IP:PORT`` of the other side.
    :ivar connect_timer: ends the attempt to connect after its timeout.
    :ivar is_connected: the connection was established.
    :ivar is_closed: the connection has ended.
    :ivar is_paused: received bytes, and so the end of the connection, are not read.
    :ivar sent_bytes: bytes that were written to the socket.
    :ivar send_error: error of a failed write; empty without one.
    :ivar sock: its socket.
    :ivar listener: receives the callbacks; may be replaced on an idle link.
    """

    __slots__ = (
        "_owner",
        "_unsent",
        "address",
        "connect_timer",
        "is_closed",
        "is_connected",
        "is_paused",
        "send_error",
        "sent_bytes",
        "sock",
        "listener",
    )

    def __init__(
        self, owner: "Links", sock: socket.socket, address: str, listener: LinkListener
    ) -> None:
        self._owner = owner
        self._unsent: collections.deque[bytes | bytearray | memoryview] = collections.deque()
        self.sock = sock
        self.address = address
        self.listener = listener
        self.connect_timer: scheduler.Timer | None = None
        self.is_connected = False
        self.is_closed = False
        self.is_paused = False
        self.sent_bytes = 0
        self.send_error = ""

    def send(self, data: bytes | bytearray) -> None:
        """Send bytes; bytes that cannot be written immediately are buffered.

        :param data: the bytes; ignored on a closed link.
        """
        if self.is_closed:
            return
        self._unsent.append(data)
        if self.is_connected and len(self._unsent) == 1:
            self.flush()

    def close(self) -> None:
        """Close the connection without calling the listener."""
        self._owner.drop(self)

    def pause_reading(self) -> None:
        """Leave received bytes in the kernel's buffer, which then fills up."""
        if self.is_connected and not self.is_closed:
            self._owner.set_reading(self, False)

    def resume_reading(self) -> None:
        """Read a paused connection again."""
        if self.is_connected and not self.is_closed:
            self._owner.set_reading(self, True)

    def clear_unsent(self) -> None:
        """Discard the buffered bytes of a closed connection."""
        self._unsent.clear()

    def flush(self) -> bool:
        """Write buffered bytes to the socket.

        :returns: whether the buffer is empty.
        """
        while self._unsent:
            data = self._unsent[0]
            try:
                sent = self.sock.send(data)
            except OSError as error:
                if error.errno in _RETRYABLE_ERRNOS:
                    break
                self.send_error = os.strerror(error.errno or 0)
                self._owner.abort_later(self, self.send_error)
                return False
            self.sent_bytes += sent
            if sent < len(data):
                # A view: each partial write would otherwise copy the rest.
                self._unsent[0] = memoryview(data)[sent:]
                break
            self._unsent.popleft()
        self._owner.set_write_interest(self, bool(self._unsent))
        return not self._unsent


class Links(circuits.BaseComponent):
    """All outgoing connections of a program.

    :param loop: event loop of the program.
    :param channel: channel of the poller's events for the connections.
    """

    def __init__(self, loop: loops.Loop, *, channel: str) -> None:
        super().__init__(channel=channel)
        self._poller = loop.poller
        self._scheduler = loop.scheduler
        self._links: dict[socket.socket, Link] = {}
        self._writing: set[socket.socket] = set()

    def open(self, address: str, listener: LinkListener, *, connect_ms: int) -> Link:
        """Start connecting.

        :param address: ``IP:PORT`` to connect to.
        :param listener: receives the callbacks; never called before this method returns.
        :param connect_ms: timeout for connecting.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        link = Link(self, sock, address, listener)
        self._links[sock] = link
        result = sock.connect_ex(endpoints.split(address))
        if result not in (0, errno.EINPROGRESS):
            self.abort_later(link, os.strerror(result))
            return link
        link.connect_timer = self._scheduler.call_later(
            connect_ms / 1000, lambda: self.abort(link, CONNECT_TIMEOUT)
        )
        self.set_write_interest(link, True)
        return link

    def has_established(self, address: str) -> bool:
        """Return whether a connection to an address is established, as far as is known."""
        return any(
            link.address == address and link.is_connected and not link.is_paused
            for link in self._links.values()
        )

    def abort(self, link: Link, reason: str) -> None:
        """Close a link and call its listener's ``on_lost`` with the reason."""
        if link.is_closed:
            return
        self.drop(link)
        # The kernel reports an error once; after a failed write, a reset reads as an orderly end.
        link.listener.on_lost(link.send_error or reason)

    def abort_later(self, link: Link, reason: str) -> None:
        """Abort a link in the next loop iteration: its user must not be called while it sends."""
        self._scheduler.call_later(0, lambda: self.abort(link, reason))

    def drop(self, link: Link) -> None:
        """Close a link without calling its listener."""
        if link.is_closed:
            return
        link.is_closed = True
        link.clear_unsent()
        if link.connect_timer is not None:
            link.connect_timer.cancel()
        self._links.pop(link.sock, None)
        self._writing.discard(link.sock)
        self._poller.discard(link.sock)
        link.sock.close()

    def set_reading(self, link: Link, enabled: bool) -> None:
        """Set whether the socket of a link is read."""
        link.is_paused = not enabled
        self._poller.removeReader(link.sock)
        if enabled:
            self._poller.add_direct_reader(self, link.sock, self._on_read)

    def set_write_interest(self, link: Link, wanted: bool) -> None:
        """Set whether the poller reports when the socket of a link is writable."""
        if wanted and link.sock not in self._writing:
            self._writing.add(link.sock)
            self._poller.addWriter(self, link.sock)
        elif not wanted and link.sock in self._writing:
            self._writing.discard(link.sock)
            self._poller.removeWriter(link.sock)

    @circuits.handler("_read")
    def _on_read(self, sock: socket.socket) -> None:
        link = self._links.get(sock)
        if link is None:
            return
        try:
            data = sock.recv(READ_BYTES)
        except OSError as error:
            if error.errno not in _RETRYABLE_ERRNOS:
                self.abort(link, os.strerror(error.errno or 0))
            return
        if data:
            link.listener.on_data(data)
        else:
            self.abort(link, CLOSED_CLEANLY)

    @circuits.handler("_write")
    def _on_write(self, sock: socket.socket) -> None:
        link = self._links.get(sock)
        if link is None:
            return
        if not link.is_connected:
            self._finish_connecting(link)
        else:
            link.flush()

    @circuits.handler("_disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        link = self._links.get(sock)
        if link is None:
            return
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        self.abort(link, os.strerror(error_number) if error_number else CLOSED_CLEANLY)

    def _finish_connecting(self, link: Link) -> None:
        error_number = link.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error_number:
            self.abort(link, os.strerror(error_number))
            return
        link.is_connected = True
        if link.connect_timer is not None:
            link.connect_timer.cancel()
        self._poller.add_direct_reader(self, link.sock, self._on_read)
        link.listener.on_connected()
        if not link.is_closed:
            link.flush()
