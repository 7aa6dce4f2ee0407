"""Minimal HTTP/1.1 server for the stand-ins."""

import asyncio
import json
import socket
import struct
from collections.abc import Awaitable, Callable

READ_LIMIT_BYTES = 16 * 1024 * 1024
BACKLOG = 4_096


_CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
_FILLER = b"x" * 65_536
ENDLESS = {
    "value": (b"HTTP/1.1 200 OK\r\nX-Value: ", _FILLER),
    "lines": (b"HTTP/1.1 200 OK\r\n", (b"X-Line: " + _FILLER[:1_000] + b"\r\n") * 64),
    "reason": (b"HTTP/1.1 200 ", _FILLER),
    "interim": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2_000),
    "extension": (_CHUNKED + b"5;", _FILLER),
    "trailer": (_CHUNKED + b"1\r\nx\r\n0\r\nX-Trailer: ", _FILLER),
    "body": (b"HTTP/1.1 200 OK\r\n\r\n", _FILLER),
    "foreign": (b"\x16\x03\x01", _FILLER),
}
"""Beginning and repeated part of bytes that are no answer and never end, by kind."""


class Request:
    """A request; names of headers are in lower case."""

    __slots__ = ("body", "headers", "method", "path", "query")

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.path, _, self.query = target.partition("?")
        self.headers = headers
        self.body = body


class Answer:
    """Writes the answer to one request.

    :ivar version: version of HTTP that its head states.
    :ivar ends_with_connection: the body has neither a length nor chunks; the connection is closed
        after it.
    """

    def __init__(self, writer: asyncio.StreamWriter) -> None:
        self._writer = writer
        self.version = "1.1"
        self.ends_with_connection = False

    def send(
        self,
        status: int | str,
        body: bytes,
        *,
        content_type: str,
        headers: dict[str, str] | None = None,
        excess: bytes = b"",
    ) -> None:
        """Send a complete answer.

        :param status: the status; a text is written as it is.
        :param excess: bytes to send behind the answer, with its last ones.
        """
        lines = [f"HTTP/{self.version} {status} X", f"Content-Type: {content_type}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if not self.ends_with_connection:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body + excess)

    def send_json(self, status: int, value: object) -> None:
        """Send a complete answer with a JSON body."""
        self.send(status, json.dumps(value).encode(), content_type="application/json")

    def start_events(self, headers: dict[str, str] | None = None) -> None:
        """Start an answer that is a stream of events."""
        lines = [f"HTTP/{self.version} 200 OK", "Content-Type: text/event-stream"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if not self.ends_with_connection:
            lines.append("Transfer-Encoding: chunked")
        self._writer.write("\r\n".join([*lines, "", ""]).encode())

    async def send_events(self, data: bytes) -> None:
        """Send events, or a part of one, of a started stream."""
        is_chunked = not self.ends_with_connection
        self._writer.write(b"%x\r\n%b\r\n" % (len(data), data) if is_chunked else data)
        await self._writer.drain()

    @property
    def is_closed(self) -> bool:
        """Whether the connection has ended."""
        return self._writer.is_closing()

    def end_events(self) -> None:
        """End a started stream."""
        if not self.ends_with_connection:
            self._writer.write(b"0\r\n\r\n")

    def send_half(self, body: bytes, *, headers: dict[str, str]) -> None:
        """Send the head of a complete answer and the first half of its body."""
        lines = [
            f"HTTP/{self.version} 200 X",
            *(f"{name}: {value}" for name, value in headers.items()),
        ]
        if not self.ends_with_connection:
            lines.append(f"Content-Length: {len(body)}")
        self._writer.write("\r\n".join([*lines, "", ""]).encode() + body[: len(body) // 2])

    async def send_endless(self, kind: str) -> None:
        """Send bytes that are no answer for as long as the other side reads them.

        :param kind: a key of :data:`ENDLESS`.
        """
        start, repeated = ENDLESS[kind]
        self._writer.write(start)
        while True:
            self._writer.write(repeated)
            await self._writer.drain()
            # Other connections are served although this one never blocks.
            await asyncio.sleep(0)

    def reset(self) -> None:
        """Reset the connection."""
        sock = self._writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        self._writer.transport.abort()


Handler = Callable[[Request, Answer], Awaitable[None]]


async def _read_request(reader: asyncio.StreamReader) -> Request | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


class _Reader(asyncio.StreamReader):
    """Stream reader that detects the end of the connection without being read."""

    def __init__(self, limit: int) -> None:
        super().__init__(limit)
        self.gone = asyncio.Event()

    def feed_eof(self) -> None:
        super().feed_eof()
        self.gone.set()

    def set_exception(self, exc: BaseException) -> None:
        super().set_exception(exc)
        self.gone.set()


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Listen at an address; the requests of a connection are served one after another."""
    return await asyncio.get_running_loop().create_server(
        _make_protocol_factory(handler, set()), host, port, backlog=BACKLOG
    )


async def serve_at(
    sock: socket.socket, handler: Handler, connections: set[asyncio.StreamWriter]
) -> asyncio.Server:
    """Listen on a bound socket.

    :param connections: holds the established connections.
    """
    return await asyncio.get_running_loop().create_server(
        _make_protocol_factory(handler, connections), sock=sock, backlog=BACKLOG
    )


def _make_protocol_factory(
    handler: Handler, connections: set[asyncio.StreamWriter]
) -> Callable[[], asyncio.StreamReaderProtocol]:

    async def _serve_connection(reader: _Reader, writer: asyncio.StreamWriter) -> None:
        connections.add(writer)
        try:
            while (request := await _read_request(reader)) is not None:
                answer = Answer(writer)
                await _serve_until_gone(handler(request, answer), reader)
                await writer.drain()
                if answer.ends_with_connection:
                    break
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            connections.discard(writer)
            writer.close()

    def _make_protocol() -> asyncio.StreamReaderProtocol:
        return asyncio.StreamReaderProtocol(_Reader(READ_LIMIT_BYTES), _serve_connection)

    return _make_protocol


async def _serve_until_gone(serving: Awaitable[None], reader: _Reader) -> None:
    task = asyncio.ensure_future(serving)
    gone = asyncio.ensure_future(reader.gone.wait())
    await asyncio.wait([task, gone], return_when=asyncio.FIRST_COMPLETED)
    gone.cancel()
    if not task.done():
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        raise ConnectionResetError
    task.result()
