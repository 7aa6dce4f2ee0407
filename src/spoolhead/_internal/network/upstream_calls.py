"""HTTP client for upstreams, with a pool of idle connections.

The HTTP library's client returns only complete answers, one at a time, so answers are parsed here
with httptools. A connection is reused only after an answer that ended exactly where its framing
says. Otherwise it is closed, so that late bytes of one answer cannot be read as the next answer.
"""

import collections
from collections.abc import Sequence
from typing import Protocol

import httptools

from spoolhead._internal.models import settings
from spoolhead._internal.network import end_probes, links
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import (
    answer_end,
    answer_progress,
    answer_status,
    end_confirmation,
)
from spoolhead._internal.utils import clocks

Headers = Sequence[tuple[str, str]]
Body = Sequence[bytes | bytearray]
"""Parts of a body."""

MAX_JOINED_BYTES = 65_536
"""Size of a body up to which it is sent together with the head; joining copies it."""
SMALL_BODY_BYTES = 65_536
"""Maximum size of the body of an answer that is neither passed on nor large by its nature."""
_CONTINUE = 100


class CallListener(Protocol):
    """Callbacks of the component that makes a call.

    They are never called before :meth:`UpstreamCalls.open` returns.
    """

    def on_answer_head(self, status: int, headers: Headers) -> None:
        """Called with the head of the answer; names of headers are in lower case."""

    def on_answer_body(self, data: bytes) -> None:
        """Called with each part of the body."""

    def on_answer_end(self) -> None:
        """Called when the answer is complete; the last call."""

    def on_call_lost(self, reason: str) -> None:
        """Called when the call ended before its answer was complete; the last call."""


class CallObserver(Protocol):
    """Is notified of the outcome of calls on new connections, whoever made them."""

    def record_answered(self, address: str, opened_s: float) -> None:
        """Called with the address of a final answer's head and when its call was made."""

    def record_unanswered(self, address: str) -> None:
        """Called when a new connection could not be made or ended without such a head."""


class DiscardedAnswer:
    """User of a call that ignores the answer."""

    def on_answer_head(self, status: int, headers: Headers) -> None:
        """Ignore the head."""

    def on_answer_body(self, data: bytes) -> None:
        """Ignore a part of the body."""

    def on_answer_end(self) -> None:
        """Ignore the end."""

    def on_call_lost(self, reason: str) -> None:
        """Ignore the loss."""


def make_request(method: str, target: str, host: str, headers: Headers, body: bytes) -> bytes:
    """Return an encoded request with a small body, which is copied.

    :param target: path and query.
    :param host: value of the Host header.
    :param headers: headers other than Host, Content-Length and Connection.
    """
    return make_head(method, target, host, headers, body_bytes=len(body)) + body


def make_head(method: str, target: str, host: str, headers: Headers, *, body_bytes: int) -> bytes:
    """Return the encoded head of a request; see :func:`make_request`."""
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body_bytes or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"content-length: {body_bytes}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


class UpstreamCall:
    """A request to an upstream and its answer. Its methods are the callbacks of the parser.

    :ivar address: ``IP:PORT`` of the upstream.
    :ivar opened_s: monotonic time at which the call was made.
    :ivar is_over: the answer is complete, or the call was lost or cancelled.
    :ivar has_head: the head of the answer was received.
    :ivar framing: framing of the answer; None before its head was received.
    :ivar ending: how the answer ended; None before its end.
    """

    def __init__(
        self,
        owner: "UpstreamCalls",
        address: str,
        request: bytes,
        listener: CallListener,
        *,
        is_head: bool,
        is_fresh: bool,
        body: Body,
        withholds_body: bool,
        max_body_bytes: int | None,
    ) -> None:
        self._owner = owner
        self._request = request
        self._body = body
        self._withholds_body = withholds_body
        # Without the withheld body the upstream cannot run the request.
        self._incomplete_bytes = len(request) if withholds_body else 0
        self._listener = listener
        self._is_head_method = is_head
        self._is_fresh = is_fresh
        self._parser = httptools.HttpResponseParser(self)
        self._progress = answer_progress.AnswerProgress(max_body_bytes)
        self._headers: list[tuple[str, str]] = []
        self._link: links.Link | None = None
        self._sent_bytes_before = 0
        self._status_kind = answer_status.StatusKind.FINAL
        self._problem = ""
        self._is_complete = False
        self._must_close_link = False
        self._may_reuse_link = False
        self.address = address
        self.opened_s = clocks.get_s()
        self.is_over = False
        self.has_head = False
        self.framing: answer_end.Framing | None = None
        self.ending: answer_end.Ending | None = None

    @property
    def may_have_arrived(self) -> bool:
        """Whether any byte of the request, or of its withheld body, was written to the socket.

        If not, the upstream cannot have run it.
        """
        if self._link is None:
            return False
        return self._link.sent_bytes > self._sent_bytes_before + self._incomplete_bytes

    @property
    def is_reused(self) -> bool:
        """Whether the request was sent on a connection that an earlier call had used.

        The upstream may have closed such a connection unnoticed, so its loss does not show that
        the upstream is unhealthy.
        """
        return self._sent_bytes_before > 0

    def decide_outcome(self, content: answer_end.Content) -> answer_end.Outcome:
        """Return whether the answer, which has ended, is complete.

        :param content: what its body shows of its end.
        """
        assert self.framing is not None and self.ending is not None
        return answer_end.decide(self.framing, self.ending, content)

    def begin(self, link: links.Link) -> None:
        """Send the request on a link that is connected or connecting."""
        self._link = link
        self._sent_bytes_before = link.sent_bytes
        link.listener = self
        request, self._request = self._request, b""
        if self._withholds_body:
            link.send(request)
            return
        body, self._body = self._body, ()
        if sum(len(part) for part in body) <= MAX_JOINED_BYTES:
            link.send(b"".join((request, *body)))
            return
        link.send(request)
        for part in body:
            link.send(part)

    def cancel(self) -> None:
        """Close the connection without further calls of the listener."""
        self.is_over = True
        self._body = ()
        if self._link is not None:
            self._link.close()

    def pause_reading(self) -> None:
        """Leave the rest of the answer in the kernel's buffers for now."""
        if self._link is not None:
            self._link.pause_reading()

    def resume_reading(self) -> None:
        """Read the answer further."""
        if self._link is not None:
            self._link.resume_reading()

    def on_connected(self) -> None:
        """Do nothing: the link sends its buffer by itself."""

    def on_data(self, data: bytes) -> None:
        """Parse bytes of the answer."""
        self._progress.record_read(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            # The parser stops at an upgrade, which no request asks for.
            if self._is_complete:
                # These bytes follow the answer and belong to no request.
                self._must_close_link = True
            else:
                self._problem = self._problem or f"not a valid answer: {error}"
        if self._problem:
            self._abort(self._problem)
        elif self.framing is answer_end.Framing.INVALID:
            self._abort("the transfer coding was not requested")
        elif self._is_complete and not self.is_over:
            self._finish()
        elif problem := self._progress.find_problem():
            self._abort(problem)

    def on_lost(self, reason: str) -> None:
        """Handle the end of the connection."""
        if self.is_over:
            return
        self.is_over = True
        self._body = ()
        if not self.has_head:
            self._owner.record_unanswered(self)
        is_closed = reason == links.CLOSED_CLEANLY
        self.ending = answer_end.Ending.CLOSED if is_closed else answer_end.Ending.BROKEN
        if is_closed and self.framing is answer_end.Framing.CONNECTION:
            self._listener.on_answer_end()
        else:
            self._listener.on_call_lost(reason)

    def on_message_begin(self) -> None:
        """Detect bytes after the end of the answer; called by the parser."""
        if self._is_complete:
            self._must_close_link = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser. Trailers after the body are ignored."""
        if not self.has_head:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass on the head; called by the parser."""
        if self.is_over or self._is_complete or self._problem:
            return
        status = self._parser.get_status_code()
        self._status_kind = answer_status.classify(status)
        match self._status_kind:
            case answer_status.StatusKind.FINAL:
                self._pass_on_head(status)
            case answer_status.StatusKind.INTERIM:
                if status == _CONTINUE:
                    self._send_withheld()
            case answer_status.StatusKind.INVALID:
                self._problem = f"not a valid answer: status {status:03d}"

    def _pass_on_head(self, status: int) -> None:
        self.has_head = True
        self._progress.record_head()
        self._owner.record_answered(self)
        self.framing = answer_end.get_framing(
            status, self._headers, has_no_body=self._is_head_method
        )
        self._listener.on_answer_head(status, self._headers)
        if self._is_head_method:
            self._must_close_link = True
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body; called by the parser."""
        self._progress.record_body(len(data))
        if self.has_head and not self.is_over and not self._is_complete:
            self._listener.on_answer_body(data)

    def on_message_complete(self) -> None:
        """Record the end of the answer; called by the parser."""
        if self._status_kind is answer_status.StatusKind.FINAL:
            self._is_complete = True
            # The parser discards the framing after this callback.
            self._may_reuse_link = self._parser.should_keep_alive() and not self._is_fresh

    def _send_withheld(self) -> None:
        withheld, self._body = self._body, ()
        if self._link is not None:
            for part in withheld:
                self._link.send(part)

    def _finish(self) -> None:
        self.is_over = True
        link = self._link
        if link is not None and self._may_reuse_link and not self._must_close_link:
            self._owner.release_link(link)
        elif link is not None:
            link.close()
        self.ending = answer_end.Ending.FRAMED
        self._listener.on_answer_end()

    def _abort(self, reason: str) -> None:
        if self._link is not None:
            self._link.close()
        if not self.is_over:
            self.is_over = True
            self.ending = answer_end.Ending.BROKEN
            self._listener.on_call_lost(reason)


class _IdleListener:
    """Listener of a link in the pool; closes it when data arrives."""

    def __init__(self, link: links.Link) -> None:
        self._link = link

    def on_connected(self) -> None:
        """Never called: only connected links become idle."""

    def on_data(self, data: bytes) -> None:
        """Close the link: these bytes belong to no request."""
        self._link.close()

    def on_lost(self, reason: str) -> None:
        """Do nothing; :meth:`UpstreamCalls.open` skips closed links."""


class _IdleLink:
    """A link in the pool and the time at which it became idle."""

    __slots__ = ("link", "since_s")

    def __init__(self, link: links.Link, since_s: float) -> None:
        self.link = link
        self.since_s = since_s


class _BackgroundCall:
    """A call that finishes in the background, and the time at which that began."""

    __slots__ = ("call", "since_s")

    def __init__(self, call: UpstreamCall, since_s: float) -> None:
        self.call = call
        self.since_s = since_s


class UpstreamCalls:
    """Makes requests to upstreams.

    :param loop: event loop of the program.
    :param outgoing: outgoing connections of the program.
    :param config: limits on connections, and timeouts.
    :ivar observer: is notified of the outcome of calls on new connections; None for nothing.
    """

    def __init__(
        self, loop: loops.Loop, outgoing: links.Links, config: settings.UpstreamSettings
    ) -> None:
        self.observer: CallObserver | None = None
        self._outgoing = outgoing
        self._config = config
        self._idle: dict[str, collections.deque[_IdleLink]] = {}
        self._end_probes = end_probes.EndProbes(loop.scheduler, outgoing)
        self._background_calls: collections.deque[_BackgroundCall] = collections.deque()
        loop.scheduler.call_every(config.idle_ms / 1000, self._close_idle)

    def open(
        self,
        address: str,
        request: bytes,
        listener: CallListener,
        *,
        fresh: bool = False,
        is_head: bool = False,
        body: Body = (),
        withholds_body: bool = False,
        max_body_bytes: int | None = SMALL_BODY_BYTES,
    ) -> UpstreamCall:
        """Start a request.

        :param address: ``IP:PORT`` of the upstream.
        :param request: the encoded request, or its head.
        :param listener: receives the callbacks.
        :param fresh: use a new connection, and close it afterwards. The upstream may just have
            closed an idle connection, and then it is unknown whether the request was accepted.
            The new connection is not kept: unused, it would count against the connections that
            the upstream accepts from all entries.
        :param is_head: the method is HEAD, whose answer has no body regardless of its length.
        :param body: parts of the body, which are sent without being copied.
        :param withholds_body: send the body once the upstream has answered ``100 Continue``.
        :param max_body_bytes: maximum size of the answer's body; None if the listener bounds it.
        """
        call = UpstreamCall(
            self,
            address,
            request,
            listener,
            is_head=is_head,
            is_fresh=fresh,
            body=body,
            withholds_body=withholds_body,
            max_body_bytes=max_body_bytes,
        )
        link = None if fresh else self._pop_idle(address)
        if link is None:
            link = self._outgoing.open(address, call, connect_ms=self._config.connect_ms)
        call.begin(link)
        return call

    def record_answered(self, call: UpstreamCall) -> None:
        """Notify the observer that the head of an answer was received."""
        if self.observer is not None and not call.is_reused:
            self.observer.record_answered(call.address, call.opened_s)

    def record_unanswered(self, call: UpstreamCall) -> None:
        """Notify the observer that a connection ended without the head of an answer."""
        if self.observer is not None and not call.is_reused:
            self.observer.record_unanswered(call.address)

    def confirm_end(self, address: str, on_evidence: end_confirmation.OnEvidence) -> None:
        """Check whether an upstream crashed as it ended a connection.

        :param address: ``IP:PORT`` of the upstream.
        :param on_evidence: called once, later, with the evidence.
        """
        self._end_probes.confirm(address, on_evidence)

    def has_open_connection(self, address: str) -> bool:
        """Return whether a connection to an upstream is established, idle ones included."""
        return self._outgoing.has_established(address)

    def record_alive(self, call: UpstreamCall) -> None:
        """Record that the upstream itself, and not another process at its address, answered."""
        self._end_probes.record_alive(call.address, call.opened_s)

    def release_link(self, link: links.Link) -> None:
        """Return a link to the pool after a complete answer; closed if the pool is full."""
        idle = self._idle.setdefault(link.address, collections.deque())
        if len(idle) >= self._config.idle_connections:
            link.close()
            return
        link.listener = _IdleListener(link)
        idle.append(_IdleLink(link, clocks.get_s()))

    def finish_in_background(self, call: UpstreamCall) -> None:
        """Let a call whose answer is no longer needed finish, so that its link can be reused.

        A call that takes longer than the idle timeout of connections is cancelled.
        """
        if not call.is_over:
            self._background_calls.append(_BackgroundCall(call, clocks.get_s()))

    def close_idle_to(self, address: str) -> None:
        """Close the idle connections to an upstream that is no longer in use."""
        for item in self._idle.pop(address, ()):
            item.link.close()

    def _pop_idle(self, address: str) -> links.Link | None:
        idle = self._idle.get(address)
        while idle:
            item = idle.pop()
            if not item.link.is_closed:
                return item.link
        return None

    def _close_idle(self) -> None:
        oldest_s = clocks.get_s() - self._config.idle_ms / 1000
        while self._background_calls and (
            self._background_calls[0].call.is_over or self._background_calls[0].since_s < oldest_s
        ):
            item = self._background_calls.popleft()
            if not item.call.is_over:
                item.call.cancel()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].since_s < oldest_s:
                idle.popleft().link.close()
            if not idle:
                del self._idle[address]
