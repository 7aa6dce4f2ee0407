"""Receives requests that other entries forward, on the TCP side of the peer port.

Each connection carries one request. The body is requested by ``100 Continue``, so a sender that
gets no reply knows that this process cannot have run the request.
"""

import dataclasses
import logging
import socket
from collections.abc import Callable
from http import HTTPStatus

import circuits

from spoolhead._internal.models import codes, settings
from spoolhead._internal.network import (
    body_admission,
    caller_front,
    direct_server,
    forward_messages,
    request_reader,
    scheduler,
    upstream_calls,
)
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import body_budget

logger = logging.getLogger(__name__)

MAX_CONNECTIONS = 256
"""Maximum number of forwarded requests at a time; connections beyond it are closed unread."""
REQUEST_TIMEOUT_S = 2.0
"""Time within which a connection must deliver its request."""
MIN_HEAD_BYTES = 4_096
"""Minimum of the limit on the head of a forwarded request, which the entries write themselves."""
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"
_CHANNEL = "forwards"


class ForwardedCaller:
    """A forwarded request, and the means to send its answer to the entry that forwarded it.

    The interface is that of :class:`~spoolhead._internal.network.caller_front.Caller`.
    """

    __slots__ = (
        "_bodies",
        "_result",
        "_server",
        "_sock",
        "is_disconnected",
        "is_finished",
        "is_started",
        "on_disconnect",
        "on_drop",
        "remote",
        "request",
        "request_id",
    )

    def __init__(
        self,
        server: direct_server.DirectServer,
        sock: socket.socket,
        remote: str,
        request: request_reader.WireRequest,
        bodies: body_admission.BodyAdmission,
    ) -> None:
        self._server = server
        self._sock = sock
        self._bodies = bodies
        self._result = ""
        self.remote = remote
        self.request = request
        self.request_id = ""
        self.on_drop: Callable[[str], None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.is_disconnected = False
        self.is_started = False
        self.is_finished = False

    def record_result(self, code: codes.ResultCode, ran: codes.Ran) -> None:
        """Record that the next answer is this entry's own, to be stated in its head."""
        self._result = forward_messages.format_result(code, ran)

    def send_answer(self, status: int, headers: upstream_calls.Headers, body: bytes) -> None:
        """Send a complete answer; ignored if the sender is gone or has its answer."""
        if self.is_disconnected or self.is_finished:
            return
        data = body if self.request.method != "HEAD" else b""
        length = [("Content-Length", str(len(body)))]
        if status in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
            length = []
        self.is_started = True
        self._server.send_now(self._sock, self._make_head(status, [*headers, *length]) + data)
        self._finish()

    def start_stream(
        self, status: int, headers: upstream_calls.Headers, first: bytes = b""
    ) -> None:
        """Send the head of an answer of unknown length, and its first bytes."""
        if self.is_disconnected or self.is_finished:
            return
        self.is_started = True
        head = self._make_head(status, [*headers, ("Transfer-Encoding", "chunked")])
        self._server.send_now(self._sock, head + _encode_chunk(first))

    def send_body_part(self, data: bytes) -> int:
        """Send a part of the body after :meth:`start_stream`.

        :returns: unsent bytes in this process's buffer; -1 if the sender is gone.
        """
        if self.is_disconnected or self.is_finished:
            return -1
        return self._server.send_now(self._sock, _encode_chunk(data)) if data else 0

    def end_stream(self) -> None:
        """Mark the body after :meth:`start_stream` as complete."""
        if self.is_disconnected or self.is_finished:
            return
        self._server.send_now(self._sock, _LAST_CHUNK)
        self._finish()

    def abort(self) -> None:
        """Close the connection, so that the sender sees an incomplete answer."""
        self.is_finished = True
        self._bodies.release(self.request)
        self._server.close_now(self._sock)

    def _make_head(self, status: int, headers: upstream_calls.Headers) -> bytes:
        lines = [f"HTTP/1.1 {status} {_get_phrase(status)}"]
        # An upstream's answer must not pass for one of this entry.
        lines += [
            f"{name}: {value}"
            for name, value in headers
            if name.lower() != forward_messages.RESULT_HEADER
        ]
        if self._result:
            lines.append(f"{forward_messages.RESULT_HEADER}: {self._result}")
        lines.append("Connection: close")
        return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"

    def _finish(self) -> None:
        self.is_finished = True
        self._bodies.release(self.request)
        self._server.close_after_send(self._sock)


AnyCaller = caller_front.Caller | ForwardedCaller
"""A caller, or another entry that forwards a caller's request."""


class _Connection:
    """A connection from another entry.

    :ivar timer: closes it unless its request arrives in time.
    :ivar caller: its request; None until it has arrived.
    """

    __slots__ = ("caller", "reader", "remote", "timer")

    def __init__(
        self, remote: str, reader: request_reader.RequestReader, timer: scheduler.Timer
    ) -> None:
        self.remote = remote
        self.reader = reader
        self.timer = timer
        self.caller: ForwardedCaller | None = None


class ForwardServer(circuits.BaseComponent):
    """Listens for other entries and passes their requests to this one.

    :param loop: event loop of the program.
    :param config: settings of the entry.
    :param on_request: called with each request whose proof is valid.
    :param bodies: admits the bodies of requests; None for no bound.
    """

    channel = _CHANNEL

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.GatewaySettings,
        *,
        on_request: Callable[[ForwardedCaller, forward_messages.ForwardedRequest], None],
        bodies: body_admission.BodyAdmission | None = None,
    ) -> None:
        super().__init__()
        self._timers = loop.scheduler
        self._shared_key = config.shared_key
        self._limits = config.callers
        self._handle_request = on_request
        if bodies is None:
            bodies = body_admission.BodyAdmission(body_budget.BodyBudget(0), lambda _wire: None)
        self._bodies = bodies
        self._connections: dict[socket.socket, _Connection] = {}
        self._server = direct_server.DirectServer(
            (config.host, config.peer_port), channel=_CHANNEL
        ).register(self)

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def set_limits(self, limits: settings.CallerLimits) -> None:
        """Set the limits on requests of new connections: those on callers' own requests."""
        self._limits = limits

    @circuits.handler("connect")
    def _on_connect(self, sock: socket.socket, remote: str, _port: int) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            logger.warning("connection from %s closed: too many forwarded requests", remote)
            self._server.close_now(sock)
            return
        timer = self._timers.call_later(REQUEST_TIMEOUT_S, lambda: self._server.close_now(sock))
        reader = request_reader.RequestReader(_widen(self._limits))
        self._connections[sock] = _Connection(remote, reader, timer)

    @circuits.handler("disconnect")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        connection.timer.cancel()
        for wire in connection.reader.unserved_requests:
            self._bodies.release(wire)
        caller = connection.caller
        if caller is None:
            return
        caller.is_disconnected = True
        if caller.on_disconnect is not None and not caller.is_finished:
            caller.on_disconnect()
        self._bodies.release(caller.request)

    @circuits.handler("read")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None or connection.caller is not None:
            return
        result = connection.reader.feed(data)
        if result.is_error():
            logger.warning("forwarded request from %s ignored: %s", connection.remote, result.error)
            self._server.close_now(sock)
        elif result.ok:
            self._receive(sock, connection, result.ok[0])
        elif connection.reader.incomplete_request is not None:
            self._admit_body(sock, connection, connection.reader.incomplete_request)

    def _admit_body(
        self, sock: socket.socket, connection: _Connection, wire: request_reader.WireRequest
    ) -> None:
        """Request the body, or close the connection, so that the sender asks another entry."""
        state = self._bodies.admit(wire, connection.reader.max_body_bytes, lambda: None)
        if state is not body_budget.State.GRANTED:
            logger.info("no memory for a forwarded request from %s", connection.remote)
            self._bodies.release(wire)
            self._server.close_now(sock)
        elif connection.reader.wants_continue:
            connection.reader.wants_continue = False
            self._server.send_now(sock, _CONTINUE)

    def _receive(
        self, sock: socket.socket, connection: _Connection, wire: request_reader.WireRequest
    ) -> None:
        proof = wire.get_header(forward_messages.PROOF_HEADER) or ""
        try:
            if not forward_messages.is_signed(self._shared_key, wire.body, proof):
                raise ValueError("its proof is not valid")
            forwarded = forward_messages.decode(wire.body)
        except ValueError as error:
            logger.warning("forwarded request from %s ignored: %s", connection.remote, error)
            self._bodies.release(wire)
            self._server.close_now(sock)
            return
        connection.timer.cancel()
        # The decoded request takes over the room of the encoded one.
        wire.body = b""
        forwarded.request.body_lease, wire.body_lease = wire.body_lease, None
        connection.caller = ForwardedCaller(
            self._server, sock, connection.remote, forwarded.request, self._bodies
        )
        self._handle_request(connection.caller, forwarded)


def _widen(limits: settings.CallerLimits) -> settings.CallerLimits:
    """Return limits under which any request within the given ones can be received encoded."""
    return dataclasses.replace(
        limits,
        head_bytes=max(limits.head_bytes, MIN_HEAD_BYTES),
        body_bytes=limits.body_bytes + 2 * max(limits.head_bytes, MIN_HEAD_BYTES),
    )


def _get_phrase(status: int) -> str:
    try:
        return HTTPStatus(status).phrase
    except ValueError:
        return ""


def _encode_chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""
