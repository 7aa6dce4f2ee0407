"""Stand-in for a plain service that records every request.

The method, path, body and headers of a request are recorded before it is answered. The query may
set ``delay_ms`` before the answer, the size of the body in ``bytes``, and the ``status``.
``GET /_runs`` returns the recorded requests, ``GET /metrics`` the load.
"""

import argparse
import asyncio
import signal
import sys
import urllib.parse

from standins import http_server


class Service:
    """Records requests and answers them."""

    def __init__(self, name: str) -> None:
        self._name = name
        self._runs: list[dict] = []
        self._running = 0

    async def handle(self, request: http_server.Request, answer: http_server.Answer) -> None:
        """Answer one request."""
        if request.path == "/_runs":
            answer.send_json(200, self._runs)
        elif request.path == "/metrics":
            report = f"vllm:num_requests_running {self._running}\n".encode()
            answer.send(200, report, content_type="text/plain")
        else:
            await self._run(request, answer)

    async def _run(self, request: http_server.Request, answer: http_server.Answer) -> None:
        number = len(self._runs)
        body = request.body.decode("utf-8", "replace")
        run = {"method": request.method, "path": request.path, "query": request.query}
        self._runs.append({**run, "body": body, "headers": request.headers})
        query = dict(urllib.parse.parse_qsl(request.query))
        self._running += 1
        try:
            await asyncio.sleep(float(query.get("delay_ms", "0")) / 1000)
        finally:
            self._running -= 1
        status = int(query.get("status", "200"))
        content = {"service": self._name, "run": number, "echo": body, **run}
        if "bytes" in query:
            answer.send(status, b"x" * int(query["bytes"]), content_type="text/plain")
        else:
            answer.send_json(status, content)


async def run(options: argparse.Namespace) -> None:
    """Serve until SIGTERM."""
    service = Service(options.name)
    server = await http_server.serve(options.host, options.port, service.handle)
    print(f"ready port={server.sockets[0].getsockname()[1]}", flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="Stand-in for a plain service.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--name", default="service")
    return parser.parse_args(arguments)


if __name__ == "__main__":
    asyncio.run(run(parse_options(sys.argv[1:])))
