"""HTTP server for callers: accepts connections, checks requests and sends answers.

Bytes from callers are parsed by :mod:`~spoolhead._internal.network.request_reader`. For each
complete request, one at a time per connection, the HTTP library is given a fixed request head, so
its parser never sees bytes from callers. The library then fires a ``request`` event with a
response object. Answers are written directly to the socket.
"""

import collections
import contextlib
import dataclasses
import logging
import socket
from collections.abc import Callable, Sequence
from http import HTTPStatus

import circuits
from circuits.net import events as net_events
from circuits.web import http, wrappers

from spoolhead._internal.models import codes, fault, route_table, settings
from spoolhead._internal.network import body_admission, direct_server, request_reader
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import body_budget, unread_budget
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

Headers = Sequence[tuple[str, str]]

DEADLINE_CHECK_INTERVAL_S = 0.25
LINGER_TIMEOUT_S = 1.0
MAX_LINGER_BYTES = 2_097_152
"""Limits on time and bytes for reading from a caller after its request was refused. Both leave
ample room for the bytes that were in flight when the refusal was sent."""
RECEIVE_BUFFER_BYTES = 65_536
"""Socket receive buffer; the kernel doubles it. It is what a connection holds that is not read."""
SEND_BUFFER_BYTES = 131_072
"""Socket send buffer: bytes that the kernel buffers for a caller that does not read. Only bytes
beyond it are buffered, and counted, in this process."""

MAX_JOINED_BYTES = 65_536
"""Size of a body up to which it is sent together with the head; joining copies it."""
RESET_TIMEOUT_S = 1.0
"""Time within which a caller must have received what was sent before its connection is reset."""
RESET_CHECK_INTERVAL_S = 0.02
READ_CHECK_INTERVAL_S = 0.1
"""Interval between checks of the kernel's send buffers of callers with unread bytes."""

_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
_LIBRARY_REQUEST = b"POST / HTTP/1.1\r\nHost: spoolhead\r\nContent-Length: 0\r\n\r\n"
_LAST_CHUNK = b"0\r\n\r\n"


class Caller:
    """A request from a caller, and the means to send its answer.

    :ivar request: the request.
    :ivar request_id: id of the request for the log; empty until it is known.
    :ivar remote: IP address of the caller.
    :ivar on_drop: called with the reason if the caller is dropped before the answer is complete,
        because it leaves too many bytes unread.
    :ivar on_disconnect: called once if the connection ends before the answer is complete.
    :ivar is_disconnected: the connection has ended.
    :ivar is_started: the head of the answer has been sent.
    :ivar is_finished: the answer is complete or was aborted.
    :ivar ends_with_connection: the end of the connection is that of the answer.
    """

    __slots__ = (
        "_connection",
        "_front",
        "_response",
        "ends_with_connection",
        "is_finished",
        "is_disconnected",
        "is_started",
        "on_disconnect",
        "on_drop",
        "remote",
        "request",
        "request_id",
    )

    def __init__(
        self,
        front: "CallerFront",
        connection: "_Connection",
        request: request_reader.WireRequest,
        response: wrappers.Response,
    ) -> None:
        self._front = front
        self._connection = connection
        self._response = response
        self.ends_with_connection = False
        self.request = request
        self.request_id = ""
        self.remote = connection.remote
        self.on_drop: Callable[[str], None] | None = None
        self.on_disconnect: Callable[[], None] | None = None
        self.is_disconnected = False
        self.is_started = False
        self.is_finished = False

    def record_result(self, code: codes.ResultCode, ran: codes.Ran) -> None:
        """Do nothing: callers see the result in the answer itself."""

    def send_answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer; ignored if the caller is gone or has its answer.

        :param status: HTTP status.
        :param headers: headers other than Content-Length and Connection.
        :param body: the body; omitted in the answer to a HEAD request.
        """
        if self.is_disconnected or self.is_finished:
            return
        head = self._make_head(status, headers)
        if status not in (HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED):
            head["Content-Length"] = str(len(body))
        data = body if self.request.method != "HEAD" else b""
        self.is_started = True
        head_bytes = self._get_head_bytes()
        parts = (head_bytes, data) if len(data) > MAX_JOINED_BYTES else (head_bytes + data,)
        for part in parts:
            self._front.send(self._connection, part)
        self._finish()

    def start_stream(self, status: int, headers: Headers, first: bytes = b"") -> None:
        """Send the head of an answer of unknown length.

        The body is chunked for HTTP/1.1; for HTTP/1.0 it ends with the connection.

        :param first: first bytes of the body, sent together with the head.
        """
        if self.is_disconnected or self.is_finished:
            return
        head = self._make_head(status, headers)
        if self.request.http_version == "1.1":
            head["Transfer-Encoding"] = "chunked"
            self._response.chunked = True
        else:
            self._response.close = True
            head["Connection"] = "close"
            self.ends_with_connection = True
            self._front.require_reset(self._connection)
        self.is_started = True
        self._front.send(self._connection, self._get_head_bytes() + self._encode_chunk(first))

    def send_body_part(self, data: bytes) -> int:
        """Send a part of the body after :meth:`start_stream`.

        :returns: unsent bytes in this process's buffer; -1 if the caller is gone.
        """
        if self.is_disconnected or self.is_finished:
            return -1
        return self._front.send(self._connection, self._encode_chunk(data))

    def end_stream(self) -> None:
        """Mark the body after :meth:`start_stream` as complete."""
        if self.is_disconnected or self.is_finished:
            return
        if self._response.chunked:
            self._front.send(self._connection, _LAST_CHUNK)
        if self.ends_with_connection:
            self._front.end_when_sent(self._connection)
        self._finish()

    def abort(self) -> None:
        """End the connection, so that the caller sees an incomplete answer."""
        self.is_finished = True
        self._front.release_body(self.request)
        if self.ends_with_connection:
            self._front.reset_after_send(self._connection)
        else:
            self._front.close(self._connection)

    def _encode_chunk(self, data: bytes) -> bytes:
        if not data or not self._response.chunked:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def _make_head(self, status: int, headers: Headers) -> dict[str, str]:
        response = self._response
        response.status = status
        response.headers.pop("X-Powered-By", None)
        for name, value in headers:
            response.headers[name] = value
        if self._front.is_closing_after_answers or not self._connection.may_keep_alive(
            self.request
        ):
            response.close = True
            response.headers["Connection"] = "close"
        elif self.request.http_version == "1.0":
            response.headers["Connection"] = "keep-alive"
        return response.headers

    def _get_head_bytes(self) -> bytes:
        response = self._response
        # The library's own code would add a Content-Length of 0 to a chunked answer.
        return bytes(response) + bytes(response.headers)

    def _finish(self) -> None:
        self.is_finished = True
        self._front.release_body(self.request)
        self._response.done = True
        self._front.finish(self._connection, close=self._response.close)


class _Connection:
    """A connection from a caller.

    :ivar waiting: complete requests that are not being served yet.
    :ivar waiting_bytes: size of their bodies.
    :ivar current: request that is being served.
    :ivar last_request_id: id of the request that was answered last.
    :ivar phase: part of a request to which the deadline applies.
    :ivar deadline_s: monotonic time by which the awaited bytes must arrive; None while a request
        is being served.
    :ivar is_closing: no further requests are served.
    :ivar is_resetting: it is reset once the caller has what was sent.
    :ivar must_linger: the last request was refused, so incoming bytes are read and discarded
        before the socket is closed.
    :ivar lingered_bytes: bytes that were read and discarded.
    :ivar max_linger_bytes: maximum of these.
    :ivar linger_until_s: monotonic time until which they are read; None for no such rest of a body.
    """

    __slots__ = (
        "current",
        "deadline_s",
        "is_closing",
        "is_resetting",
        "last_request_id",
        "linger_until_s",
        "lingered_bytes",
        "max_linger_bytes",
        "must_linger",
        "phase",
        "reader",
        "remote",
        "sock",
        "waiting",
        "waiting_bytes",
    )

    def __init__(self, sock: socket.socket, remote: str, limits: settings.CallerLimits) -> None:
        self.sock = sock
        self.remote = remote
        self.reader = request_reader.RequestReader(limits)
        self.waiting: collections.deque[request_reader.WireRequest] = collections.deque()
        self.waiting_bytes = 0
        self.current: Caller | None = None
        self.last_request_id = ""
        self.phase = request_reader.Phase.IDLE
        self.deadline_s: float | None = None
        self.is_closing = False
        self.is_resetting = False
        self.must_linger = False
        self.lingered_bytes = 0
        self.max_linger_bytes = MAX_LINGER_BYTES
        self.linger_until_s: float | None = None

    def get_received(self) -> list[tuple[request_reader.WireRequest, int]]:
        """Return the requests that are not served yet and the sizes of their bodies.

        The last of them may be incomplete.
        """
        received = [(wire, len(wire.body)) for wire in self.waiting]
        incomplete = self.reader.incomplete_request
        if incomplete is not None:
            received.append((incomplete, self.reader.max_body_bytes))
        return received

    def may_keep_alive(self, request: request_reader.WireRequest) -> bool:
        return request.keep_alive and not self.is_closing


class CallerFront(circuits.BaseComponent):
    """Listens for callers and passes their requests to the entry.

    :param loop: event loop of the program.
    :param config: settings of the entry.
    :param on_request: called with each request.
    :param on_bad_request: called with a request that cannot be served and the reason.
    :param unread: budget of the unread bytes of all callers; None for no bound.
    :param on_drop: called with the id of a dropped caller's request, the grounds, and whether the
        request was still being served.
    :param bodies: admits the bodies of requests; None for no bound.
    """

    channel = "web"

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.EntrySettings,
        *,
        on_request: Callable[[Caller], None],
        on_bad_request: Callable[[Caller, fault.Fault], None],
        unread: unread_budget.UnreadBudget | None = None,
        on_drop: Callable[[str, unread_budget.Drop, bool], None] | None = None,
        bodies: body_admission.BodyAdmission | None = None,
    ) -> None:
        super().__init__()
        self._timers = loop.scheduler
        self._limits = config.callers
        self._configured_limits = config.callers
        self._handle_request = on_request
        self._on_bad_request = on_bad_request
        self._unread = unread if unread is not None else unread_budget.UnreadBudget(0)
        self._on_drop = on_drop
        if bodies is None:
            bodies = body_admission.BodyAdmission(body_budget.BodyBudget(0), lambda _wire: None)
        self._bodies = bodies
        self._connections: dict[socket.socket, _Connection] = {}
        self._is_closing_after_answers = False
        self._server = direct_server.DirectServer(
            (config.host, config.port),
            channel="callers",
            send_buffer_bytes=SEND_BUFFER_BYTES,
            receive_buffer_bytes=RECEIVE_BUFFER_BYTES,
            unread=self._unread,
        ).register(self)
        self._library = http.HTTP(self, channel=self.channel).register(self)
        loop.scheduler.call_every(DEADLINE_CHECK_INTERVAL_S, self._close_expired)
        if self._unread.budget_bytes:
            loop.scheduler.call_every(READ_CHECK_INTERVAL_S, self._check_reads)

    secure = False
    display_banner = False

    @property
    def host(self) -> str:
        """IP address that it listens on."""
        return self._server.host

    @property
    def port(self) -> int:
        """Port that it listens on."""
        return self._server.port

    @property
    def address(self) -> str:
        """``IP:PORT`` that it listens on."""
        return f"{self._server.host}:{self._server.port}"

    @property
    def limits(self) -> settings.CallerLimits:
        """Limits on requests."""
        return self._limits

    @property
    def is_closing_after_answers(self) -> bool:
        """Whether each connection is closed after its next answer."""
        return self._is_closing_after_answers

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    def set_bounds(self, bounds: route_table.CallerBounds) -> None:
        """Apply the limits of the route table to all requests that begin from now on.

        :param bounds: a bound of 0 stands for the one in the settings.
        """
        limits = self._configured_limits
        self._limits = dataclasses.replace(
            limits,
            head_bytes=bounds.head_bytes or limits.head_bytes,
            body_bytes=bounds.body_bytes or limits.body_bytes,
            head_ms=bounds.head_ms or limits.head_ms,
            idle_ms=bounds.idle_ms or limits.idle_ms,
        )
        for connection in self._connections.values():
            connection.reader.set_limits(self._limits)

    def close_after_answers(self, enabled: bool = True) -> None:
        """Close each connection after its next answer; new connections are still accepted.

        :param enabled: False to keep connections open again.
        """
        self._is_closing_after_answers = enabled

    def close_when_idle(self) -> None:
        """Stop listening, and close each open connection after its current requests."""
        self._server.stop_listening()
        for connection in list(self._connections.values()):
            connection.is_closing = True
            if connection.is_resetting:
                continue
            if connection.current is None and not connection.waiting:
                self._server.close_after_send(connection.sock)

    def send(self, connection: _Connection, data: bytes) -> int:
        """Send bytes to a caller.

        :returns: unsent bytes in this process's buffer; -1 if the caller is gone.
        """
        unsent = self._server.send_now(connection.sock, data)
        if self._unread.is_exceeded:
            self._drop_slowest()
            is_dropped = connection.sock.fileno() < 0
            return -1 if is_dropped else self._unread.get_unread_bytes(connection.sock)
        return unsent

    def close(self, connection: _Connection) -> None:
        """Close a connection immediately."""
        self._server.close_now(connection.sock)

    def release_body(self, wire: request_reader.WireRequest) -> None:
        """Discard the body of a request that was answered."""
        self._bodies.release(wire)

    def require_reset(self, connection: _Connection) -> None:
        """Let the caller see a reset however its connection ends."""
        self._server.require_reset(connection.sock)

    def end_when_sent(self, connection: _Connection) -> None:
        """Let the connection end in order after all, once all that was sent has left."""
        self._server.end_when_sent(connection.sock)

    def reset_after_send(self, connection: _Connection) -> None:
        """Reset a connection once the caller has what was sent, or after a timeout."""
        connection.is_closing = True
        connection.is_resetting = True
        connection.current = None
        self._discard_received(connection)
        self._reset_when_sent(connection, clocks.get_s() + RESET_TIMEOUT_S)

    def _reset_when_sent(self, connection: _Connection, until_s: float) -> None:
        sock = connection.sock
        if sock.fileno() < 0:
            return
        unsent = self._server.get_unsent_bytes(sock) or (
            self._server.count_unacknowledged_bytes(sock)
        )
        if not unsent or clocks.get_s() >= until_s:
            self._server.reset(sock)
            return
        self._timers.call_later(
            RESET_CHECK_INTERVAL_S, lambda: self._reset_when_sent(connection, until_s)
        )

    def finish(self, connection: _Connection, *, close: bool) -> None:
        """Finish the current request of a connection and begin the next one.

        :param close: close the connection instead.
        """
        if connection.current is not None:
            connection.last_request_id = connection.current.request_id
        connection.current = None
        self._library._clients.pop(connection.sock, None)
        if close or connection.is_closing and not connection.waiting:
            connection.is_closing = True
            self._close_or_linger(connection)
            return
        self._set_deadline(connection, restart=True)
        self._serve_next(connection)

    def _drop_slowest(self) -> None:
        """Drop callers until the unread bytes are within the budget."""
        for drop in self._unread.pop_drops(clocks.get_s()):
            connection = self._connections.get(drop.key)
            if connection is not None:
                self._drop(connection, drop)

    def _drop(self, connection: _Connection, drop: unread_budget.Drop) -> None:
        caller = connection.current
        request_id = caller.request_id if caller is not None else connection.last_request_id
        if self._on_drop is not None:
            self._on_drop(request_id, drop, caller is not None)
        # Closed first, so that a refusal is not buffered, which might exceed the budget again.
        if caller is not None and caller.ends_with_connection:
            self._server.reset(connection.sock)
        else:
            self._server.close_now(connection.sock)
        if caller is not None and caller.on_drop is not None:
            caller.on_drop(f"the caller left {drop.unread_bytes} bytes unread")

    def _check_reads(self) -> None:
        """Check which callers with unread bytes read, by the kernel's send buffers."""
        now_s = clocks.get_s()
        for sock in self._unread:
            kernel_bytes = self._server.count_unacknowledged_bytes(sock)
            self._unread.record_kernel_bytes(sock, kernel_bytes, now_s)

    def _close_or_linger(self, connection: _Connection) -> None:
        # Closing a socket with unread bytes resets the connection, and the caller may lose the
        # refusal that was just sent. So the bytes of a refused caller are read for a while.
        if not connection.must_linger or self._server.get_unsent_bytes(connection.sock):
            self._server.close_after_send(connection.sock)
            return
        connection.deadline_s = clocks.get_s() + LINGER_TIMEOUT_S
        with contextlib.suppress(OSError):
            connection.sock.shutdown(socket.SHUT_WR)

    @circuits.handler("connect", channel="callers")
    def _on_connect(self, sock: socket.socket, remote: str, _port: int) -> None:
        if len(self._connections) >= self._limits.connections:
            logger.warning("connection from %s closed: too many connections", remote)
            self._server.close_now(sock)
            return
        connection = _Connection(sock, remote, self._limits)
        self._connections[sock] = connection
        self._set_deadline(connection, restart=True)

    @circuits.handler("disconnect", channel="callers")
    def _on_disconnect(self, sock: socket.socket) -> None:
        connection = self._connections.pop(sock, None)
        self._library._clients.pop(sock, None)
        self._library._buffers.pop(sock, None)
        if connection is None:
            return
        self._discard_received(connection)
        if connection.current is None:
            return
        caller, connection.current = connection.current, None
        caller.is_disconnected = True
        if caller.on_disconnect is not None and not caller.is_finished:
            caller.on_disconnect()
        self.release_body(caller.request)

    @circuits.handler("read", channel="callers")
    def _on_read(self, sock: socket.socket, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None:
            return
        if connection.is_closing:
            connection.lingered_bytes += len(data)
            if connection.lingered_bytes > connection.max_linger_bytes:
                self._server.close_now(sock)
            elif connection.linger_until_s is not None and connection.must_linger:
                # The caller reads the refusal only after it has sent its whole body.
                linger_s = clocks.get_s() + LINGER_TIMEOUT_S
                connection.deadline_s = min(linger_s, connection.linger_until_s)
            return
        result = connection.reader.feed(data)
        if result.is_error():
            self._refuse_request(connection, result.error)
            return
        for request in result.ok:
            connection.waiting.append(request)
            connection.waiting_bytes += len(request.body)
        if self._is_over_pipeline_limit(connection):
            text = "too many requests sent ahead"
            item = fault.Fault(codes.ResultCode.TOO_MANY_PIPELINED, text)
            self._refuse_request(connection, item)
            return
        if self._admit_bodies(connection):
            self._proceed(connection, has_completed=bool(result.ok))

    def _admit_bodies(self, connection: _Connection) -> bool:
        """Request room for the received bodies; return False if the connection is refused."""
        for wire, size_bytes in connection.get_received():
            if not size_bytes:
                continue
            state = self._bodies.admit(
                wire, size_bytes, lambda wire=wire: self._on_body_decided(connection, wire)
            )
            if state is body_budget.State.REJECTED:
                self._reject_body(connection, wire)
                return False
        return True

    def _on_body_decided(self, connection: _Connection, wire: request_reader.WireRequest) -> None:
        lease = wire.body_lease
        if lease is None:
            return
        if lease.state is body_budget.State.REJECTED:
            self._reject_body(connection, wire)
        else:
            self._proceed(connection, has_completed=True)

    def _proceed(self, connection: _Connection, *, has_completed: bool) -> None:
        """Read on unless a body waits for room, and serve the next request."""
        sock = connection.sock
        if any(body_admission.is_waiting(wire) for wire, _ in connection.get_received()):
            self._server.pause_reading(sock)
        else:
            self._server.resume_reading(sock)
            if connection.reader.wants_continue and connection.current is None:
                connection.reader.wants_continue = False
                self._server.send_now(sock, _CONTINUE)
        self._set_deadline(connection, restart=has_completed)
        self._serve_next(connection)

    def _reject_body(self, connection: _Connection, wire: request_reader.WireRequest) -> None:
        # The rest of the body is read and discarded, or the caller might not see the answer.
        connection.max_linger_bytes += self._limits.body_bytes
        connection.linger_until_s = clocks.get_s() + self._limits.body_ms / 1000
        text = "there is no memory for the body of the request at present"
        self._refuse_request(connection, fault.Fault(codes.ResultCode.ENTRY_FULL, text), wire)

    def _discard_received(self, connection: _Connection) -> None:
        """Discard the requests that are not being served, and return the room of their bodies."""
        for wire in (*connection.waiting, *connection.reader.unserved_requests):
            self._bodies.release(wire)
        connection.waiting.clear()
        connection.waiting_bytes = 0
        connection.reader = request_reader.RequestReader(self._limits)

    @circuits.handler("read", priority=1.0)
    def _on_library_read(self, event: circuits.Event, sock: socket.socket, _data: bytes) -> None:
        # The caller may have disconnected since the event was fired. The library would then raise
        # an exception when it gets the socket's peer. The disconnect event handles this case.
        try:
            sock.getpeername()
        except OSError:
            event.stop()

    @circuits.handler("request")
    def _on_request(self, request: wrappers.Request, response: wrappers.Response) -> bool:
        connection = self._connections.get(request.sock)
        if connection is None or not connection.waiting or connection.current is not None:
            return True
        wire = connection.waiting.popleft()
        connection.waiting_bytes -= len(wire.body)
        caller = self._make_caller(connection, wire, response)
        self._handle_request(caller)
        return True

    @circuits.handler("write")
    def _on_library_write(self, sock: socket.socket, data: bytes) -> None:
        self._server.send_now(sock, data)

    @circuits.handler("close")
    def _on_library_close(self, sock: socket.socket) -> None:
        self._server.close_after_send(sock)

    def _serve_next(self, connection: _Connection) -> None:
        if connection.current is None and connection.waiting:
            if body_admission.is_waiting(connection.waiting[0]):
                return
            connection.deadline_s = None
            self.fire(net_events.read(connection.sock, _LIBRARY_REQUEST), self.channel)

    def _make_caller(
        self,
        connection: _Connection,
        wire: request_reader.WireRequest,
        response: wrappers.Response,
    ) -> Caller:
        response.protocol = f"HTTP/{wire.http_version}"
        caller = Caller(self, connection, wire, response)
        connection.current = caller
        connection.deadline_s = None
        return caller

    def _refuse_request(
        self,
        connection: _Connection,
        item: fault.Fault,
        refused: request_reader.WireRequest | None = None,
    ) -> None:
        # An earlier request may still be running. Its answer is more important than the refusal
        # of the bytes after it, so the connection is closed after that answer instead.
        connection.is_closing = True
        self._discard_received(connection)
        self._server.resume_reading(connection.sock)
        logger.info("request from %s refused: %s", connection.remote, item)
        if connection.current is not None:
            return
        wire = refused if refused is not None else request_reader.WireRequest()
        wire.keep_alive = False
        response = wrappers.Response(wrappers.Request(None, server=self))
        connection.must_linger = True
        self._on_bad_request(self._make_caller(connection, wire, response), item)

    def _is_over_pipeline_limit(self, connection: _Connection) -> bool:
        return (
            len(connection.waiting) > self._limits.pipelined
            or connection.waiting_bytes > self._limits.pipelined * self._limits.body_bytes
        )

    def _set_deadline(self, connection: _Connection, *, restart: bool) -> None:
        incomplete = connection.reader.incomplete_request
        is_paused = incomplete is not None and body_admission.is_waiting(incomplete)
        if connection.current is not None or is_paused:
            connection.deadline_s = None
            return
        phase = connection.reader.phase
        if phase is connection.phase and connection.deadline_s is not None and not restart:
            return
        connection.phase = phase
        connection.deadline_s = clocks.get_s() + _get_timeout_ms(self._limits, phase) / 1000

    def _close_expired(self) -> None:
        self._bodies.check_waiting()
        now_s = clocks.get_s()
        for connection in list(self._connections.values()):
            if not connection.is_closing and self._bodies.is_too_slow(connection.reader):
                text = "the body of the request arrived too slowly while others waited for memory"
                item = fault.Fault(codes.ResultCode.REQUEST_TOO_SLOW, text)
                self._refuse_request(connection, item, connection.reader.incomplete_request)
                continue
            if connection.deadline_s is None or now_s < connection.deadline_s:
                continue
            connection.deadline_s = None
            if connection.phase is request_reader.Phase.IDLE or connection.is_closing:
                self._server.close_now(connection.sock)
                continue
            text = f"the {connection.phase.value} of the request took too long"
            self._refuse_request(connection, fault.Fault(codes.ResultCode.REQUEST_TOO_SLOW, text))


def _get_timeout_ms(limits: settings.CallerLimits, phase: request_reader.Phase) -> int:
    match phase:
        case request_reader.Phase.IDLE:
            return limits.idle_ms
        case request_reader.Phase.HEAD:
            return limits.head_ms
        case request_reader.Phase.BODY:
            return limits.body_ms
