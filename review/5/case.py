"""The ids of a stream's events rise by more than one."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import world  # noqa: E402

EVENTS = 12
CLIENTS = 12
ALLOWED = 3
"""LOST: broken if it happens more than three times."""


def make_engine(id_step):
    async def _answer(replica, request, reader, writer):
        await world.read_body(request, reader)
        if not request.path.startswith("/talk/"):
            writer.write(world.make_answer(request))
            return
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            + f"X-Request-Id: {request.id}\r\nX-Response-Signature: 3e1b.07.5a2\r\n".encode()
            + b"Transfer-Encoding: chunked\r\n\r\n"
        )
        for number in range(1, EVENTS + 1):
            event = b"id: %d\ndata: piece %d\n\n" % (number * id_step, number)
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        replica.record(f"{replica.name} has sent {EVENTS} events of {request.id} to the end")

    return _answer


async def converse(fleet, entry, number, record):
    """Send a plain request and then a streamed one on one kept channel."""
    host, port = fleet.entry_address(entry).rsplit(":", 1)
    reader, writer = await asyncio.open_connection(host, int(port))
    fields = f"Host: {world.HOST}\r\nAuthorization: Bearer {world.KEY}\r\n"
    first, second = world.Answer(), world.Answer()
    try:
        async with asyncio.timeout(15):
            writer.write(
                f"GET /safe/x HTTP/1.1\r\n{fields}X-Request-Id: p{number}\r\n"
                "X-Request-Deadline: 3000\r\n\r\n".encode()
            )
            await world.read_answer(reader, first)
            writer.write(
                f"POST /talk/x HTTP/1.1\r\n{fields}X-Request-Id: s{number}\r\n"
                "X-Request-Deadline: 39000\r\nX-Model: m\r\nX-Token-Usage: 100,48\r\n"
                "X-Prompt-Prefix: 5c1e07a2:80,91bd3f06:20\r\nContent-Length: 2\r\n\r\n{}".encode()
            )
            await world.read_answer(reader, second)
    except (OSError, EOFError, ValueError, TimeoutError) as error:
        second.problem = type(error).__name__
    pieces = second.body.count(b"data: piece ")
    record(f"s{number} at {entry}: plain {first.status}, stream {second.status}, "
           f"{pieces} of {EVENTS} pieces, complete: {second.is_complete} {second.problem}")
    writer.close()
    if first.status != 200:
        raise world.CannotRun("a plain request was not served")
    return second.is_complete and second.status == 200 and pieces == EVENTS


async def main(record, trouble):
    # An event holds four tokens; the ids are the tokens made so far.
    answer = make_engine(4 if trouble else 1)
    fleet = world.Fleet(record)
    try:
        for name in ("i-a1", "i-a2"):
            await fleet.add_replica(name, "app", answer)
        for name in ("i-m1", "i-m2"):
            await fleet.add_replica(name, "model", answer)
        await fleet.start_serving()
        entries = list(fleet.entries)
        results = []
        for number in range(CLIENTS):
            results.append(await converse(fleet, entries[number % 2], number, record))
        lost = results.count(False)
        record(f"{lost} of {CLIENTS} streams were cut by the entry; no replica broke one off")
        if lost > ALLOWED:
            return f"LOST: {lost} of {CLIENTS} streams of sound replicas were closed by the entry"
        return ""
    finally:
        fleet.stop()


world.run_case(FOLDER, main)
