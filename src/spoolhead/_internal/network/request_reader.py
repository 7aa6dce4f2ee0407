"""Strict HTTP request parser with bounds on the size of requests. Performs no I/O.

The HTTP library's own parser is too lenient: it accepts conflicting lengths and heads of any size,
loses pipelined requests, and turns escapes in header values into line ends. So bytes from callers
are parsed here first, and only complete and checked requests are passed on.
"""

import enum
from collections.abc import Sequence

import expression
import httptools

from spoolhead._internal.models import codes, fault, settings
from spoolhead._internal.policy import body_budget

Headers = Sequence[tuple[str, str]]

MAX_RAW_BODY_RATIO = 4
"""Maximum ratio of the bytes received for a body, with chunk framing and trailers, to the maximum
size of the body."""

READ_SLACK_BYTES = 65_536
"""Allowance for bytes of the head or of the next request that one read may return together with
the body."""


class Phase(enum.Enum):
    """Part of a request that a connection is waiting for."""

    IDLE = "idle"
    HEAD = "head"
    BODY = "body"


class WireRequest:
    """A request; its body grows until it is complete.

    :ivar method: HTTP method.
    :ivar target: path and query as sent.
    :ivar http_version: ``1.0`` or ``1.1``.
    :ivar headers: names in lower case and values, in order.
    :ivar body: the body, without chunk framing.
    :ivar body_lease: the room for the body in the process's budget; None without one.
    :ivar keep_alive: the connection may be used for another request.
    """

    __slots__ = (
        "body",
        "body_lease",
        "headers",
        "http_version",
        "keep_alive",
        "method",
        "target",
    )

    def __init__(self) -> None:
        self.method = ""
        self.target = ""
        self.http_version = "1.1"
        self.headers: list[tuple[str, str]] = []
        self.body: bytes | bytearray = b""
        self.body_lease: body_budget.Lease | None = None
        self.keep_alive = True

    def get_header(self, name: str) -> str | None:
        """Return the first value of a header; None if it is missing.

        :param name: name of the header in lower case.
        """
        return next((value for key, value in self.headers if key == name), None)

    def release_body(self, budget: body_budget.BodyBudget, now_s: float) -> None:
        """Discard the body, which is needed no more, and return its room to the budget."""
        self.body = b""
        lease, self.body_lease = self.body_lease, None
        if lease is not None:
            budget.release(lease, now_s)


class _ReaderError(Exception):
    """Raised in a parser callback to stop the parser; holds the fault."""

    def __init__(self, code: codes.ResultCode, text: str) -> None:
        super().__init__(text)
        self.fault = fault.Fault(code, text)


class RequestReader:
    """Incremental parser for the requests of one connection.

    :param limits: bounds on the head, the body and pipelining.
    :ivar phase: part of a request that is expected next.
    :ivar wants_continue: the caller waits for ``100 Continue`` before it sends the body; reset by
        the owner of the reader.
    """

    def __init__(self, limits: settings.CallerLimits) -> None:
        self._limits = limits
        self._next_limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._request = WireRequest()
        self._max_body_bytes = 0
        self._has_length = False
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._body_bytes = 0
        self._raw_body_bytes = 0
        self._idle_body_bytes = 0
        self._complete_requests: list[WireRequest] = []
        self.phase = Phase.IDLE
        self.wants_continue = False

    def set_limits(self, limits: settings.CallerLimits) -> None:
        """Set the limits for requests that begin from now on."""
        self._next_limits = limits

    @property
    def incomplete_request(self) -> WireRequest | None:
        """The request whose body is being received; None without one."""
        return self._request if self.phase is Phase.BODY else None

    @property
    def unserved_requests(self) -> list[WireRequest]:
        """The requests that :meth:`feed` has not returned; the last one may be incomplete."""
        incomplete = self.incomplete_request
        return [*self._complete_requests, *([incomplete] if incomplete is not None else [])]

    @property
    def max_body_bytes(self) -> int:
        """Maximum size of the body that is being received, as far as it is known by now.

        A body without a stated length counts as small until it is not.
        """
        if self._has_length or self._body_bytes > body_budget.SMALL_BYTES:
            return self._max_body_bytes
        return min(self._max_body_bytes, body_budget.SMALL_BYTES)

    @property
    def body_bytes(self) -> int:
        """Bytes received of that body."""
        return self._body_bytes

    def feed(self, data: bytes) -> expression.Result[list[WireRequest], fault.Fault]:
        """Parse received bytes.

        :param data: bytes in the order of arrival.
        :returns: the requests that they complete, or a fault after which the connection must be
            closed.
        """
        try:
            began_in_body = self.phase is Phase.BODY
            body_bytes_before = self._body_bytes
            self._parser.feed_data(data)
            if self.phase is Phase.BODY:
                has_progress = not began_in_body or self._body_bytes > body_bytes_before
                self._count_raw_body(len(data), has_progress=has_progress)
            elif not began_in_body and not self._complete_requests:
                self._count_unfinished_head(len(data))
        except httptools.HttpParserUpgrade:
            return self._fail(codes.ResultCode.MALFORMED_REQUEST, "upgrades are not served")
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, _ReaderError):
                return expression.Error(error.__context__.fault)
            raise
        except _ReaderError as error:
            return expression.Error(error.fault)
        except httptools.HttpParserError as error:
            return self._fail(_get_code(str(error)), str(error))
        complete, self._complete_requests = self._complete_requests, []
        return expression.Ok(complete)

    def on_message_begin(self) -> None:
        """Start a new request; called by the parser."""
        self._limits = self._next_limits
        self._request = WireRequest()
        self._head_bytes = 0
        self._raw_head_bytes = 0
        self._body_bytes = 0
        self._raw_body_bytes = 0
        self._idle_body_bytes = 0
        self.phase = Phase.HEAD

    def on_url(self, url: bytes) -> None:
        """Add a part of the target; called by the parser."""
        self._add_head_bytes(len(url))
        self._request.target += url.decode("latin-1")

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; called by the parser. Trailers after the body are ignored."""
        if self.phase is not Phase.HEAD:
            return
        self._add_head_bytes(len(name) + len(value) + 4)
        self._request.headers.append((name.decode("latin-1").lower(), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Check the head; called by the parser."""
        request = self._request
        request.method = self._parser.get_method().decode("latin-1")
        request.http_version = self._parser.get_http_version()
        request.keep_alive = self._parser.should_keep_alive()
        if request.http_version not in ("1.0", "1.1"):
            raise _ReaderError(codes.ResultCode.MALFORMED_REQUEST, "not HTTP/1.0 or HTTP/1.1")
        hosts = sum(1 for name, _ in request.headers if name == "host")
        if hosts > 1 or (hosts == 0 and request.http_version == "1.1"):
            raise _ReaderError(codes.ResultCode.MALFORMED_REQUEST, "not exactly one Host header")
        length = request.get_header("content-length")
        if length is not None and int(length) > self._limits.body_bytes:
            self._refuse_body()
        self._has_length = length is not None
        self._max_body_bytes = self._limits.body_bytes if length is None else int(length)
        self.wants_continue = request.get_header("expect") == "100-continue"
        self.phase = Phase.BODY

    def on_body(self, data: bytes) -> None:
        """Add a part of the body; called by the parser."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._refuse_body()
        self._add_body(data)

    def on_message_complete(self) -> None:
        """Finish a request; called by the parser."""
        self._complete_requests.append(self._request)
        self.phase = Phase.IDLE
        self.wants_continue = False
        if len(self._complete_requests) > self._limits.pipelined:
            raise _ReaderError(codes.ResultCode.TOO_MANY_PIPELINED, "too many requests sent ahead")

    def _add_body(self, data: bytes) -> None:
        # The request holds the body, so that it is freed with its lease. The reader and its parser
        # refer to each other: what they hold stays until the next full garbage collection.
        request = self._request
        if not request.body:
            request.body = data
            return
        if not isinstance(request.body, bytearray):
            # Grows in place. Parts that are joined at the end would hold the body twice.
            request.body = bytearray(request.body)
        request.body += data

    def _count_unfinished_head(self, fed_bytes: int) -> None:
        # The parser buffers an incomplete header, so a header without an end would grow there
        # unnoticed. Therefore bytes passed to the parser are counted as well as parsed ones.
        self._raw_head_bytes += fed_bytes
        if self._raw_head_bytes > self._limits.head_bytes:
            self._refuse_head()

    def _count_raw_body(self, fed_bytes: int, *, has_progress: bool) -> None:
        # Chunk framing and trailers are not part of the body, but cost as much to receive, and the
        # parser buffers a trailer until its end.
        self._raw_body_bytes += fed_bytes
        self._idle_body_bytes = 0 if has_progress else self._idle_body_bytes + fed_bytes
        if self._idle_body_bytes > self._limits.head_bytes:
            self._refuse_body()
        if self._raw_body_bytes > MAX_RAW_BODY_RATIO * self._limits.body_bytes + READ_SLACK_BYTES:
            self._refuse_body()

    def _add_head_bytes(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._limits.head_bytes:
            self._refuse_head()

    def _refuse_head(self) -> None:
        text = f"request line and headers exceed {self._limits.head_bytes} bytes"
        raise _ReaderError(codes.ResultCode.HEAD_TOO_LARGE, text)

    def _refuse_body(self) -> None:
        text = f"the body exceeds {self._limits.body_bytes} bytes"
        raise _ReaderError(codes.ResultCode.BODY_TOO_LARGE, text)

    @staticmethod
    def _fail(
        code: codes.ResultCode, text: str
    ) -> expression.Result[list[WireRequest], fault.Fault]:
        return expression.Error(fault.Fault(code, text))


def _get_code(text: str) -> codes.ResultCode:
    if "Content-Length" in text or "Transfer-Encoding" in text:
        return codes.ResultCode.CONFLICTING_LENGTHS
    return codes.ResultCode.MALFORMED_REQUEST
