"""A client for benchmarks: streams over raw asyncio connections, with the time of each token."""

import asyncio
import contextlib
import json
import time
from collections.abc import Sequence


class Request:
    """A streamed request.

    :ivar address: ``IP:PORT`` of the server.
    :ivar api_key: API key; empty for none.
    :ivar body: JSON body.
    """

    __slots__ = ("address", "api_key", "body")

    def __init__(self, address: str, body: dict, api_key: str = "") -> None:
        self.address = address
        self.body = body
        self.api_key = api_key


class Outcome:
    """The outcome of a request.

    :ivar status: HTTP status; 0 if the connection failed.
    :ivar begun_s: monotonic time at which it was sent.
    :ivar arrivals_s: monotonic time at which each token arrived.
    :ivar is_done: whether the answer was complete.
    :ivar error_code: numeric result code of an error; 0 for none.
    :ivar ended_s: monotonic time at which it ended.
    """

    __slots__ = ("arrivals_s", "begun_s", "ended_s", "error_code", "is_done", "status")

    def __init__(self) -> None:
        self.status = 0
        self.begun_s = time.monotonic()
        self.ended_s = self.begun_s
        self.arrivals_s: list[float] = []
        self.is_done = False
        self.error_code = 0

    @property
    def first_token_ms(self) -> float:
        """Time to the first token, in ms."""
        return (self.arrivals_s[0] - self.begun_s) * 1000

    @property
    def gaps_ms(self) -> list[float]:
        """Times between tokens, in ms."""
        pairs = zip(self.arrivals_s, self.arrivals_s[1:], strict=False)
        return [(late - early) * 1000 for early, late in pairs]


async def stream(request: Request) -> Outcome:
    """Send one streamed request and read its answer to the end."""
    outcome = Outcome()
    host, _, port = request.address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return outcome
    body = json.dumps(request.body).encode()
    head = f"POST /v1/chat/completions HTTP/1.1\r\nHost: {request.address}\r\n"
    if request.api_key:
        head += f"Authorization: Bearer {request.api_key}\r\n"
    head += f"Connection: close\r\nContent-Length: {len(body)}\r\n\r\n"
    writer.write(head.encode() + body)
    with contextlib.suppress(OSError, asyncio.IncompleteReadError, ValueError):
        await _read(reader, outcome)
    outcome.ended_s = time.monotonic()
    writer.close()
    return outcome


async def _read(reader: asyncio.StreamReader, outcome: Outcome) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    outcome.status = int(head.split()[1])
    rest = b""
    while not outcome.is_done and (data := await reader.read(65_536)):
        now_s = time.monotonic()
        data = rest + data
        rest = data[data.rfind(b"\n") + 1 :]
        # The fake engine and the entry both send one data line per token.
        count = data.count(b'"content":')
        outcome.arrivals_s.extend([now_s] * count)
        outcome.is_done = b"[DONE]" in data
        if b'"result_code":' in data:
            digits = data.split(b'"result_code":', 1)[1].split(b",")[0]
            outcome.error_code = int(digits)


async def stream_all(requests: Sequence[Request], spread_s: float = 0.0) -> list[Outcome]:
    """Send requests at once, or distributed evenly over ``spread_s``."""

    async def _stream_later(request: Request, delay_s: float) -> Outcome:
        await asyncio.sleep(delay_s)
        return await stream(request)

    step_s = spread_s / max(1, len(requests))
    return await asyncio.gather(
        *(_stream_later(request, number * step_s) for number, request in enumerate(requests))
    )
