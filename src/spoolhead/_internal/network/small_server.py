"""Minimal HTTP server for health probes and metrics, on a separate port."""

import socket
from collections.abc import Callable
from http import HTTPStatus

import circuits

from spoolhead._internal.models import settings
from spoolhead._internal.network import direct_server, request_reader


class SmallAnswer:
    """A complete HTTP answer.

    :ivar status: HTTP status.
    :ivar content_type: Content-Type of the body; empty for none.
    :ivar body: the body.
    """

    __slots__ = ("body", "content_type", "status")

    def __init__(self, status: HTTPStatus, body: bytes = b"", content_type: str = "") -> None:
        self.status = status
        self.body = body
        self.content_type = content_type

    def pack(self) -> bytes:
        """Return the answer as sent."""
        lines = [f"HTTP/1.1 {int(self.status)} {self.status.phrase}"]
        if self.content_type:
            lines.append(f"Content-Type: {self.content_type}")
        lines += [f"Content-Length: {len(self.body)}", "", ""]
        return "\r\n".join(lines).encode() + self.body


class SmallServer(circuits.BaseComponent):
    """HTTP server on one port.

    :param bind: IP address and port to listen on.
    :param channel: channel of its events, unique in the program.
    :param limits: bounds on requests; connections of requests that exceed them are closed.
    :param answer: returns the answer to a request.
    """

    def __init__(
        self,
        bind: tuple[str, int],
        *,
        channel: str,
        limits: settings.CallerLimits,
        answer: Callable[[request_reader.WireRequest], SmallAnswer],
    ) -> None:
        super().__init__(channel=channel)
        self._limits = limits
        self._make_answer = answer
        self._readers: dict[socket.socket, request_reader.RequestReader] = {}
        self._server = direct_server.DirectServer(bind, channel=channel).register(self)

    @circuits.handler("connect")
    def _on_connect(self, sock: socket.socket, *_address: object) -> None:
        self._readers[sock] = request_reader.RequestReader(self._limits)

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        self._readers.pop(sock, None)

    @circuits.handler("read")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        reader = self._readers.get(sock)
        if reader is None:
            return
        result = reader.feed(data)
        if result.is_error():
            self._server.close_now(sock)
            return
        for request in result.ok:
            self._server.send_now(sock, self._make_answer(request).pack())
            if not request.keep_alive:
                self._server.close_after_send(sock)
