"""The settings name another address of the platform's list; the system goes on with the former."""

import asyncio
import itertools
import pathlib
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))
import world  # noqa: E402

DRAIN_TIMEOUT_S = 3.0
MARGIN_S = 2.0
"""Added to the bound in favour of the system: reading the settings and the list."""
SEND_S = 14.0


async def answer(replica, request, reader, writer):
    await world.read_body(request, reader)
    replica.record(f"{replica.name} runs {request.id}")
    replica.arrivals.append((time.monotonic(), request.id))
    await asyncio.sleep(0.02)
    writer.write(world.make_answer(request))


async def main(record, trouble):
    fleet = world.Fleet(record, bounds={"drain_timeout_ms": 3000})
    try:
        for name in ("i-a1", "i-a2", "i-a3"):
            replica = await fleet.add_replica(name, "app", answer)
            replica.arrivals = []
        await fleet.start_serving()
        leaving = fleet.replicas[0]
        if trouble:
            # The list moves. The former server shows what it last showed, then it ends.
            frozen = fleet.describe_replicas()
            fleet.list_server.close()
            host, port = fleet.list_address.rsplit(":", 1)
            former, _ = await fleet.start_list_at(host, int(port), lambda: frozen)
            _server, fleet.list_address = await fleet.start_list(6)
            for name in (*fleet.keepers, *fleet.entries):
                fleet.write_settings(name)
            record(f"settings of all processes name the list at {fleet.list_address}")
            # Three of five get the signal; the file of the others changes without one.
            for name in ("core-1", "core-2", "front-1"):
                fleet.signal(name, signal.SIGHUP)
            await asyncio.sleep(3.0)
            former.close()
            record("the former address of the list is closed")
        leaving.state = "draining"
        shown_s = time.monotonic()
        record(f"the list shows {leaving.name} as draining")
        sent = answered = 0
        numbers = itertools.count()
        while time.monotonic() - shown_s < SEND_S:
            for entry in fleet.entries:
                number = next(numbers)
                result = await fleet.send(entry, f"r{number}", deadline_ms=3000)
                sent += 1
                answered += result.status == 200
                record(f"r{number} at {entry}: {result.status} {result.problem}")
            await asyncio.sleep(0.1)
        late = [
            round(at_s - shown_s, 2)
            for at_s, _ in leaving.arrivals
            if at_s > shown_s + DRAIN_TIMEOUT_S + MARGIN_S
        ]
        record(f"sent {sent}, answered {answered}")
        record(f"requests at {leaving.name} later than {DRAIN_TIMEOUT_S + MARGIN_S} s: {late}")
        if answered < sent // 2:
            raise world.CannotRun("hardly any request was served")
        if late:
            return (
                f"DRAIN: {len(late)} requests reached {leaving.name} more than "
                f"{DRAIN_TIMEOUT_S + MARGIN_S} s after the list showed it as draining"
            )
        return ""
    finally:
        fleet.stop()


world.run_case(FOLDER, main)
