"""TCP server that writes to sockets immediately.

The event library fires an event for each written chunk, which costs several times the rest of
relaying a token. :meth:`DirectServer.send_now` writes to the socket first and leaves only the rest
to the library's write handler. Both use the library's buffer of the socket, so bytes stay in order.
"""

import contextlib
import errno
import fcntl
import socket
import struct
import termios
from collections.abc import Iterator

import circuits
from circuits.net import sockets

from spoolhead._internal.policy import unread_budget
from spoolhead._internal.utils import clocks

_RETRYABLE_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)
_NO_BYTES = struct.pack("i", 0)
_CLOSE_IN_ORDER = struct.pack("ii", 0, 0)
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
READ_BYTES = 65_536
PIECE_BYTES = 16_384
"""Size of the pieces in which unsent bytes are buffered."""


class DirectServer(sockets.TCPServer):
    """A listening socket and its accepted connections.

    :param bind: IP address and port to listen on.
    :param channel: channel of its ``connect``, ``read`` and ``disconnect`` events.
    :param send_buffer_bytes: size of the kernel's send buffer of a connection; None for the
        kernel's default, which may buffer several megabytes for a peer that does not read.
    :param receive_buffer_bytes: size of the kernel's receive buffer; None for its default, which
        may grow to several megabytes on a connection that is not read for a while.
    :param unread: records the unsent bytes of each connection.
    """

    socket_options = [
        (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    ]

    def __init__(
        self,
        bind: tuple[str, int],
        *,
        channel: str,
        send_buffer_bytes: int | None = None,
        receive_buffer_bytes: int | None = None,
        unread: unread_budget.UnreadBudget | None = None,
    ) -> None:
        options = []
        if send_buffer_bytes is not None:
            options.append((socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes))
        if receive_buffer_bytes is not None:
            options.append((socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes))
        super().__init__(bind, channel=channel, bufsize=READ_BYTES, socket_options=options)
        self._unread = unread if unread is not None else unread_budget.UnreadBudget(0)
        self._paused: set[socket.socket] = set()
        self._resetting: set[socket.socket] = set()
        self._ends_when_sent: set[socket.socket] = set()

    def pause_reading(self, sock: socket.socket) -> None:
        """Leave the bytes that a peer sends in the kernel's buffer, which then fills up."""
        if sock not in self._paused and sock.fileno() >= 0:
            self._paused.add(sock)
            self._poller.removeReader(sock)

    def resume_reading(self, sock: socket.socket) -> None:
        """Read a paused connection again."""
        if sock in self._paused:
            self._paused.remove(sock)
            self._poller.addReader(self, sock)

    def send_now(self, sock: socket.socket, data: bytes) -> int:
        """Send bytes on an accepted connection.

        :param sock: socket of the connection.
        :param data: the bytes, at least one.
        :returns: unsent bytes in this process's buffer; -1 if the connection is closed.
        """
        if sock not in self._buffers and sock.fileno() < 0:
            return -1
        sent = 0
        if not self._buffers[sock]:
            try:
                sent = sock.send(data)
            except OSError as error:
                if error.errno not in _RETRYABLE_ERRNOS:
                    self._close(sock)
                    return -1
            if sent == len(data):
                return 0
            self._poller.addWriter(self, sock)
        self._buffer(sock, data, sent)
        return self._unread.add(sock, len(data) - sent, clocks.get_s())

    def get_unsent_bytes(self, sock: socket.socket) -> int:
        """Return the number of unsent bytes in the buffer of a connection."""
        return self._unread.get_unread_bytes(sock)

    def close_after_send(self, sock: socket.socket) -> None:
        """Close a connection after its buffer has been sent."""
        if sock.fileno() >= 0:
            self.close(sock)

    def close_now(self, sock: socket.socket) -> None:
        """Close a connection and discard its buffer."""
        self._close(sock)

    def reset(self, sock: socket.socket) -> None:
        """Reset a connection, so that its peer cannot take its end for that of the answer.

        Bytes that the peer has not acknowledged are discarded.
        """
        self.require_reset(sock)
        self._ends_when_sent.discard(sock)
        self._close(sock)

    def require_reset(self, sock: socket.socket) -> None:
        """Reset a connection whenever it is closed, also by the end of this process."""
        if sock.fileno() < 0:
            return
        self._resetting.add(sock)
        _set_linger(sock, _RESET_ON_CLOSE)

    def end_when_sent(self, sock: socket.socket) -> None:
        """Let a connection end in order after all, once its buffer has been sent."""
        if self._buffers.get(sock):
            self._ends_when_sent.add(sock)
        else:
            self._resetting.discard(sock)
            _set_linger(sock, _CLOSE_IN_ORDER)

    def count_unacknowledged_bytes(self, sock: socket.socket) -> int:
        """Return the number of bytes in the kernel's send buffer of a connection."""
        (kernel_bytes,) = struct.unpack("i", fcntl.ioctl(sock, termios.TIOCOUTQ, _NO_BYTES))
        return kernel_bytes

    def stop_listening(self) -> None:
        """Close the listening socket; open connections stay."""
        if self._sock is not None:
            self._close(self._sock)

    def _buffer(self, sock: socket.socket, data: bytes, sent: int) -> None:
        """Buffer the bytes from an offset on, in equal pieces, which reuse the memory of others."""
        chunks = self._buffers[sock]
        start = sent
        if chunks and len(chunks[-1]) < PIECE_BYTES:
            start += PIECE_BYTES - len(chunks[-1])
            chunks[-1] += data[sent:start]
        starts = range(start, len(data), PIECE_BYTES)
        chunks.extend(data[begin : begin + PIECE_BYTES] for begin in starts)

    def _accept(self) -> Iterator[object]:
        # The library accepts in a task that runs after the event. By then, a planned stop may have
        # closed the listening socket.
        if self._sock is not None:
            yield from super()._accept()

    @circuits.handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        # For an event that was queued before the connection was closed, the library would create
        # a buffer that is never removed.
        if sock.fileno() >= 0:
            super()._on_write(sock)
        # It also creates one if the connection is closed because of an error.
        if sock.fileno() < 0:
            self._buffers.pop(sock, None)

    def _write(self, sock: socket.socket, data: bytes) -> None:
        chunks = self._buffers[sock]
        count = len(chunks)
        super()._write(sock, data)
        # Of a chunk that is sent in part, the library puts the rest back.
        rest_bytes = len(chunks[0]) if len(chunks) > count else 0
        if rest_bytes < len(data):
            self._unread.record_read(sock, len(data) - rest_bytes, clocks.get_s())

    def _close(self, sock: socket.socket) -> None:
        self._unread.remove(sock)
        self._paused.discard(sock)
        if sock in self._closeq:
            self._closeq.remove(sock)
        if sock in self._resetting:
            self._reset_unless_sent(sock)
        super()._close(sock)

    def _reset_unless_sent(self, sock: socket.socket) -> None:
        """Reset a connection that is being closed, unless it may end in order by now."""
        self._resetting.remove(sock)
        may_end = sock in self._ends_when_sent and not self._buffers.get(sock)
        self._ends_when_sent.discard(sock)
        if may_end:
            _set_linger(sock, _CLOSE_IN_ORDER)
            return
        # The library shuts a socket down before it closes it, which would end the stream in order.
        self._poller.discard(sock)
        with contextlib.suppress(OSError):
            sock.close()


def _set_linger(sock: socket.socket, option: bytes) -> None:
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
