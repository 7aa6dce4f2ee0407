"""Answers the balancer's readiness probe on a port of its own."""

import socket
from collections.abc import Callable

import circuits

from spoolhead._internal.models import settings
from spoolhead._internal.network import direct_server, request_reader

_READY = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
_NOT_READY = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"


class ReadyServer(circuits.BaseComponent):
    """Listens for probes.

    :param config: the entry's settings.
    :param is_ready: tells whether callers may be sent here.
    """

    channel = "ready"

    def __init__(self, config: settings.GatewaySettings, is_ready: Callable[[], bool]) -> None:
        super().__init__()
        self._limits = config.callers
        self._is_ready = is_ready
        self._readers: dict[socket.socket, request_reader.RequestReader] = {}
        self._server = direct_server.DirectServer(
            (config.ready_host, config.ready_port), channel=self.channel
        ).register(self)

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
            self._server.send_now(sock, _READY if self._is_ready() else _NOT_READY)
            if not request.keep_alive:
                self._server.close_after_send(sock)
