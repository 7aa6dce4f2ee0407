"""Fault-injecting TCP proxy: delays, stalls, cuts and truncates connections.

It is controlled by lines of JSON on its control port. Each line sets the faults for one direction
(``up`` towards the target, ``down`` from it) of current and future connections::

    {"direction": "down", "delay_ms": 50, "stall": false, "drop_after_bytes": null}

``{"cut": true}`` resets all connections at once, ``{"refuse": true}`` closes new ones, and
``{"listen": false}`` lets the kernel refuse them; open ones go on in both cases. The answer
to each line is a line with the number of bytes forwarded so far in each direction.
"""

import argparse
import asyncio
import contextlib
import json
import signal
import socket
import struct
import sys

CHUNK_BYTES = 65_536
STALL_POLL_INTERVAL_S = 0.01


class Faults:
    """Faults and byte count of one direction."""

    def __init__(self) -> None:
        self.delay_ms = 0.0
        self.stall = False
        self.drop_after_bytes: int | None = None
        self.forwarded_bytes = 0


class Proxy:
    """Forwards connections to one target."""

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._faults = {"up": Faults(), "down": Faults()}
        self._is_refusing = False
        self._server: asyncio.Server | None = None
        self._unused_socket: socket.socket | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def listen(self, sock: socket.socket) -> None:
        """Accept connections on a bound socket."""
        self._server = await asyncio.start_server(self.forward, sock=sock)

    async def _set_listening(self, is_listening: bool) -> None:
        if is_listening and self._unused_socket is not None:
            sock, self._unused_socket = self._unused_socket, None
            await self.listen(sock)
        elif not is_listening and self._server is not None:
            address = self._server.sockets[0].getsockname()
            self._server.close()
            self._server = None
            # A bound socket that does not listen refuses connections and reserves the port.
            self._unused_socket = bind_socket(*address)

    async def forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Forward one connection until either side closes it."""
        if self._is_refusing:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(self._host, self._port)
        except OSError:
            writer.transport.abort()
            return
        both = {writer, far_writer}
        self._writers |= both
        tasks = [
            asyncio.create_task(self._pump(reader, far_writer, self._faults["up"])),
            asyncio.create_task(self._pump(far_reader, writer, self._faults["down"])),
        ]
        _, pending = await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        for task in pending:
            task.cancel()
        self._writers -= both
        for item in both:
            with contextlib.suppress(OSError):
                item.close()

    async def control(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Handle orders from the control port, one a line."""
        while line := await reader.readline():
            order = json.loads(line)
            self._apply_order(order)
            if "listen" in order:
                await self._set_listening(order["listen"])
            forwarded = {name: faults.forwarded_bytes for name, faults in self._faults.items()}
            writer.write(json.dumps(forwarded).encode() + b"\n")
            await writer.drain()
        writer.close()

    def _apply_order(self, order: dict) -> None:
        if "refuse" in order:
            self._is_refusing = order["refuse"]
        if order.get("cut"):
            for writer in self._writers:
                _reset(writer)
        if "direction" not in order:
            return
        faults = self._faults[order["direction"]]
        faults.delay_ms = order.get("delay_ms", 0.0)
        faults.stall = order.get("stall", False)
        faults.drop_after_bytes = order.get("drop_after_bytes")
        faults.forwarded_bytes = 0

    async def _pump(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, faults: Faults
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                await asyncio.sleep(faults.delay_ms / 1000)
                while faults.stall:
                    await asyncio.sleep(STALL_POLL_INTERVAL_S)
                if faults.drop_after_bytes is not None:
                    left = max(0, faults.drop_after_bytes - faults.forwarded_bytes)
                    data = data[:left]
                faults.forwarded_bytes += len(data)
                writer.write(data)
                await writer.drain()
                if faults.forwarded_bytes == faults.drop_after_bytes:
                    # The limit applies to one connection; later connections are forwarded.
                    faults.drop_after_bytes = None
                    return


def _reset(writer: asyncio.StreamWriter) -> None:
    sock = writer.get_extra_info("socket")
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


def bind_socket(host: str, port: int) -> socket.socket:
    """Return a socket bound to an address, even if connections of a previous one are open."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    return sock


async def run(options: argparse.Namespace) -> None:
    """Forward connections until SIGTERM."""
    proxy = Proxy(options.target)
    sock = bind_socket(options.host, options.port)
    port = sock.getsockname()[1]
    await proxy.listen(sock)
    control = await asyncio.start_server(proxy.control, options.host, 0)
    print(f"ready port={port} control={control.sockets[0].getsockname()[1]}", flush=True)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    await stop.wait()


def parse_options(arguments: list[str]) -> argparse.Namespace:
    """Parse the command line."""
    parser = argparse.ArgumentParser(description="A TCP proxy that makes a bad network.")
    parser.add_argument("--host", default="127.0.0.1")
    parser.add_argument("--port", type=int, default=0)
    parser.add_argument("--target", required=True)
    return parser.parse_args(arguments)


if __name__ == "__main__":
    asyncio.run(run(parse_options(sys.argv[1:])))
