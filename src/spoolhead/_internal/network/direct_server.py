"""TCP server that hands bytes to the kernel at once.

The event library writes through one event a chunk, which costs several times the rest of a
relayed token. :meth:`DirectServer.send_now` tries the kernel first and leaves to the library's
write handler only what the kernel did not take. Both use the library's buffer of the socket,
so bytes keep their order.
"""

import errno
import socket
from collections.abc import Iterator

import circuits
from circuits.net import sockets

_RETRYABLE_ERRNOS = (errno.EAGAIN, errno.EWOULDBLOCK, errno.EINTR, errno.ENOBUFS)
READ_BYTES = 65_536


class DirectServer(sockets.TCPServer):
    """Listening socket and its accepted connections.

    :param bind: IP number and port to listen on.
    :param channel: channel of its ``connect``, ``read`` and ``disconnect`` events.
    :param send_buffer_bytes: bytes that the kernel may keep for one connection that does not read;
        None leaves it to the kernel, which may keep several megabytes.
    """

    socket_options = [
        (socket.SOL_SOCKET, socket.SO_REUSEADDR, 1),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    ]

    def __init__(
        self, bind: tuple[str, int], *, channel: str, send_buffer_bytes: int | None = None
    ) -> None:
        options = []
        if send_buffer_bytes is not None:
            options.append((socket.SOL_SOCKET, socket.SO_SNDBUF, send_buffer_bytes))
        super().__init__(bind, channel=channel, bufsize=READ_BYTES, socket_options=options)
        self._unsent_bytes: dict[socket.socket, int] = {}

    def send_now(self, sock: socket.socket, data: bytes) -> int:
        """Send bytes on an accepted connection.

        :param sock: the connection.
        :param data: the bytes, at least one.
        :returns: bytes now waiting for the kernel; -1 if the connection is gone.
        """
        if sock not in self._buffers and sock.fileno() < 0:
            return -1
        if not self._buffers[sock]:
            try:
                sent = sock.send(data)
            except OSError as error:
                if error.errno not in _RETRYABLE_ERRNOS:
                    self._close(sock)
                    return -1
                sent = 0
            if sent == len(data):
                return 0
            data = data[sent:]
            self._unsent_bytes[sock] = 0
            self._poller.addWriter(self, sock)
        self._buffers[sock].append(data)
        self._unsent_bytes[sock] = self._unsent_bytes.get(sock, 0) + len(data)
        return self._unsent_bytes[sock]

    def get_unsent_bytes(self, sock: socket.socket) -> int:
        """Return how many bytes wait for the kernel on a connection."""
        return self._unsent_bytes.get(sock, 0)

    def close_after_send(self, sock: socket.socket) -> None:
        """Close a connection once what waits for the kernel is sent."""
        if sock.fileno() >= 0:
            self.close(sock)

    def close_now(self, sock: socket.socket) -> None:
        """Close a connection and drop what was not sent."""
        self._close(sock)

    def stop_listening(self) -> None:
        """Take no further connections; those that are open stay."""
        if self._sock is not None:
            self._close(self._sock)

    def _accept(self) -> Iterator[object]:
        # The library accepts in a task that runs after the event, when a planned stop may have
        # closed the listener.
        if self._sock is not None:
            yield from super()._accept()

    @circuits.handler("_write", priority=1)
    def _on_write(self, sock: socket.socket) -> None:
        # An event queued before the connection was closed would make the library keep a buffer
        # for the dead socket for ever.
        if sock.fileno() >= 0:
            super()._on_write(sock)

    def _write(self, sock: socket.socket, data: bytes) -> None:
        super()._write(sock, data)
        if sock in self._buffers:
            left = sum(len(chunk) for chunk in self._buffers[sock])
            self._unsent_bytes[sock] = left

    def _close(self, sock: socket.socket) -> None:
        self._unsent_bytes.pop(sock, None)
        super()._close(sock)
