"""HTTP requests to upstreams over connections that are kept and used again.

The HTTP library's client gives an answer only once it is whole, and one at a time, so answers
are parsed here by httptools. A connection is used again only after an answer that ended
exactly where its framing said; anything else closes it, so that no late byte of one answer can
be taken for another.
"""

import collections
from collections.abc import Sequence
from typing import Protocol

import httptools

from spoolhead._internal.models import settings
from spoolhead._internal.network import links
from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import clocks

Headers = Sequence[tuple[str, str]]

_NO_CONTENT = 204
_NOT_MODIFIED = 304
_MIN_FINAL_STATUS = 200


class CallUser(Protocol):
    """What the owner of a call is told; never from within :meth:`UpstreamCalls.open`."""

    def on_answer_head(self, status: int, headers: Headers) -> None:
        """The head of the answer is here; names are in lower case."""

    def on_answer_body(self, data: bytes) -> None:
        """A part of the body is here."""

    def on_answer_end(self) -> None:
        """The answer is whole; nothing follows."""

    def on_call_lost(self, reason: str) -> None:
        """The call ended before its answer was whole; nothing follows."""


class DiscardedAnswer:
    """Owner of a call whose answer nobody waits for."""

    def on_answer_head(self, status: int, headers: Headers) -> None:
        """Pass over the head."""

    def on_answer_body(self, data: bytes) -> None:
        """Pass over a part of the body."""

    def on_answer_end(self) -> None:
        """Pass over the end."""

    def on_call_lost(self, reason: str) -> None:
        """Pass over the loss."""


def make_request(method: str, target: str, host: str, headers: Headers, body: bytes) -> bytes:
    """Return the bytes of a request.

    :param target: path and query.
    :param host: value of the Host header.
    :param headers: headers besides Host, length and connection.
    """
    lines = [f"{method} {target} HTTP/1.1", f"host: {host}"]
    lines.extend(f"{name}: {value}" for name, value in headers)
    if body or method not in ("GET", "HEAD", "DELETE", "OPTIONS"):
        lines.append(f"content-length: {len(body)}")
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n" + body


class UpstreamCall:
    """One request to an upstream and its answer; the parser's callbacks are its methods.

    :ivar address: ``IP:PORT`` of the upstream.
    :ivar is_over: the answer ended, the call was lost, or it was cancelled.
    :ivar has_head: the head of the answer has come.
    """

    def __init__(
        self,
        owner: "UpstreamCalls",
        address: str,
        request: bytes,
        user: CallUser,
        *,
        is_head: bool,
        is_fresh: bool,
    ) -> None:
        self._owner = owner
        self._request = request
        self._user = user
        self._is_head_method = is_head
        self._is_fresh = is_fresh
        self._parser = httptools.HttpResponseParser(self)
        self._headers: list[tuple[str, str]] = []
        self._link: links.Link | None = None
        self._sent_bytes_before = 0
        self._ends_with_connection = False
        self._is_informational = False
        self._is_complete = False
        self._must_close_link = False
        self._may_reuse_link = False
        self.address = address
        self.is_over = False
        self.has_head = False

    @property
    def may_have_arrived(self) -> bool:
        """Whether the kernel took any byte of the request.

        Until then the upstream provably cannot have acted on it.
        """
        return self._link is not None and self._link.sent_bytes > self._sent_bytes_before

    @property
    def is_reused(self) -> bool:
        """Whether it was sent on a connection that had carried another call.

        The other side may have dropped such a connection unseen, so its loss says nothing of it.
        """
        return self._sent_bytes_before > 0

    @property
    def is_answer_complete(self) -> bool:
        """Whether the answer ended where its framing said, and not with the connection."""
        return self._is_complete

    def begin(self, link: links.Link) -> None:
        """Send the request on a link that is connected or connecting."""
        self._link = link
        self._sent_bytes_before = link.sent_bytes
        link.user = self
        link.send(self._request)

    def cancel(self) -> None:
        """Close the connection; the user is told nothing more."""
        self.is_over = True
        if self._link is not None:
            self._link.close()

    def on_connected(self) -> None:
        """Do nothing: the link sends what waits by itself."""

    def on_data(self, data: bytes) -> None:
        """Parse bytes of the answer."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._lose(f"not a valid answer: {error}")
            return
        except httptools.HttpParserUpgrade:
            self._lose("an upgrade that was not asked for")
            return
        if self._is_complete and not self.is_over:
            self._finish()

    def on_lost(self, reason: str) -> None:
        """Handle the end of the connection."""
        if self.is_over:
            return
        self.is_over = True
        if self._ends_with_connection and reason == links.CLOSED_CLEANLY:
            self._user.on_answer_end()
        else:
            self._user.on_call_lost(reason)

    def on_message_begin(self) -> None:
        """Note bytes after the answer; called by the parser."""
        if self._is_complete:
            self._must_close_link = True
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a header; called by the parser, after the body for trailers too."""
        if not self.has_head:
            self._headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Pass on the head; called by the parser."""
        status = self._parser.get_status_code()
        self._is_informational = status < _MIN_FINAL_STATUS
        if self._is_informational or self.is_over or self._is_complete:
            return
        self.has_head = True
        names = {name for name, _ in self._headers}
        has_length = "content-length" in names or "transfer-encoding" in names
        has_body = not self._is_head_method and status not in (_NO_CONTENT, _NOT_MODIFIED)
        self._ends_with_connection = has_body and not has_length
        self._user.on_answer_head(status, self._headers)
        if self._is_head_method:
            self._must_close_link = True
            self._is_complete = True

    def on_body(self, data: bytes) -> None:
        """Pass on a part of the body; called by the parser."""
        if not self.is_over and not self._is_complete:
            self._user.on_answer_body(data)

    def on_message_complete(self) -> None:
        """Note the end of the answer; called by the parser."""
        if not self._is_informational:
            self._is_complete = True
            # The parser knows the framing only until it leaves this callback.
            self._may_reuse_link = self._parser.should_keep_alive() and not self._is_fresh

    def _finish(self) -> None:
        self.is_over = True
        link = self._link
        if link is not None and self._may_reuse_link and not self._must_close_link:
            self._owner.release_link(link)
        elif link is not None:
            link.close()
        self._user.on_answer_end()

    def _lose(self, reason: str) -> None:
        if self._link is not None:
            self._link.close()
        if not self.is_over:
            self.is_over = True
            self._user.on_call_lost(reason)


class _IdleUser:
    """Owner of a link that carries no call: whatever happens on it ends it."""

    def __init__(self, link: links.Link) -> None:
        self._link = link

    def on_connected(self) -> None:
        """Cannot happen: only connected links become idle."""

    def on_data(self, data: bytes) -> None:
        """Close the link: nobody asked for these bytes."""
        self._link.close()

    def on_lost(self, reason: str) -> None:
        """Do nothing; :meth:`UpstreamCalls.open` passes over closed links."""


class _IdleLink:
    __slots__ = ("link", "since_s")

    def __init__(self, link: links.Link, since_s: float) -> None:
        self.link = link
        self.since_s = since_s


class _BackgroundCall:
    __slots__ = ("call", "since_s")

    def __init__(self, call: UpstreamCall, since_s: float) -> None:
        self.call = call
        self.since_s = since_s


class UpstreamCalls:
    """Makes requests to upstreams.

    :param loop: root of the program.
    :param outgoing: the program's outgoing connections.
    :param config: bounds on connections and times.
    """

    def __init__(
        self, loop: loops.Loop, outgoing: links.Links, config: settings.UpstreamSettings
    ) -> None:
        self._outgoing = outgoing
        self._config = config
        self._idle: dict[str, collections.deque[_IdleLink]] = {}
        self._background: collections.deque[_BackgroundCall] = collections.deque()
        loop.scheduler.call_every(config.idle_ms / 1000, self._close_idle)

    def open(
        self,
        address: str,
        request: bytes,
        user: CallUser,
        *,
        fresh: bool = False,
        is_head: bool = False,
    ) -> UpstreamCall:
        """Begin a request.

        :param address: ``IP:PORT`` of the upstream.
        :param request: the request's bytes.
        :param user: is told of the answer.
        :param fresh: use a new connection, and close it afterwards. A kept one may just have been
            closed by the upstream, and then nobody can tell whether the request was taken; and
            what nobody uses again would only take the place of others' connections there.
        :param is_head: the method is HEAD, whose answer has no body whatever its length says.
        """
        call = UpstreamCall(self, address, request, user, is_head=is_head, is_fresh=fresh)
        link = None if fresh else self._pop_idle(address)
        if link is None:
            link = self._outgoing.open(address, call, connect_ms=self._config.connect_ms)
        call.begin(link)
        return call

    def release_link(self, link: links.Link) -> None:
        """Keep a link whose answer ended cleanly."""
        idle = self._idle.setdefault(link.address, collections.deque())
        if len(idle) >= self._config.idle_connections:
            link.close()
            return
        link.user = _IdleUser(link)
        idle.append(_IdleLink(link, clocks.get_s()))

    def finish_in_background(self, call: UpstreamCall) -> None:
        """Let a call end whose answer is no longer needed, so that its link may be kept.

        One that does not end within the time that idle connections are kept is cancelled.
        """
        if not call.is_over:
            self._background.append(_BackgroundCall(call, clocks.get_s()))

    def forget(self, address: str) -> None:
        """Close the idle connections to an upstream that is no longer used."""
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
        while self._background and (
            self._background[0].call.is_over or self._background[0].since_s < oldest_s
        ):
            ending = self._background.popleft()
            if not ending.call.is_over:
                ending.call.cancel()
        for address, idle in list(self._idle.items()):
            while idle and idle[0].since_s < oldest_s:
                idle.popleft().link.close()
            if not idle:
                del self._idle[address]
