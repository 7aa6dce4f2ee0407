"""A replica that is emptied goes on with its runs when their channels close; judges TWICE.

The streams that run there are to go on at another replica. The rule is broken if the replica
before still works on one of them 400 ms after it has begun to go on.
"""

import asyncio
import json
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import small_fleet  # noqa: E402

MODEL_REPLICAS = 8
STREAMS = 16
EVENTS = 236
TOKENS_PER_EVENT = 4
PROMPT_TOKENS = 3079
STEP_S = 0.03
COPY_S = 0.05
STILL_AT_WORK_S = 0.4


class Engine:
    """The model replicas: their runs, and copies of the memory of runs.

    :ivar work: for each replica and request, the time of its last event.
    :ivar resumed: time and replica at which each request went on.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._copies = set()
        self._made = {}
        self._stopped = set()
        self._copy_count = 0
        self.work = {}
        self.resumed = {}

    def get_busiest(self):
        """Return the name of the replica that has the most runs."""
        names = [name for name, _request_id in self.work]
        return max(names, key=names.count)

    async def run(self, replica, request, reader, writer):
        """Run a request, or go on with one whose memory was copied here."""
        request_id = request.headers["x-request-id"]
        first = 1
        if origin := request.headers.get("kv-from", ""):
            key = (replica.name, origin.partition("/")[2])
            if key not in self._copies:
                head = {"X-Request-Id": request_id, "X-Not-Executed": "1"}
                small_fleet.send(writer, "503 Service Unavailable", head, b"")
                return True
            self._copies.discard(key)
            first = int(request.headers.get("last-event-id", "0")) + 1
            self.resumed[request_id] = (time.monotonic(), replica.name)
            self._fleet.record.write(f"{replica.name} goes on with {request_id} at event {first}")
        head = {
            "Content-Type": "text/event-stream",
            "X-Request-Id": request_id,
            "X-Response-Signature": f"s.{request_id}",
            "Transfer-Encoding": "chunked",
        }
        lines = [f"{name}: {value}" for name, value in head.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        return await self._make_events(replica, request_id, first, writer)

    async def _make_events(self, replica, request_id, first, writer):
        key = (replica.name, request_id)
        is_open = True
        for number in range(first, EVENTS + 1):
            if key in self._stopped:
                self._fleet.record.write(f"{replica.name} stops {request_id} as it was ordered")
                return False
            self.work[key] = time.monotonic()
            self._made[key] = number
            event = b"id: %d\ndata: %s-%d\n\n" % (number, request_id.encode(), number)
            if is_open:
                try:
                    writer.write(b"%x\r\n%b\r\n" % (len(event), event))
                    await writer.drain()
                except ConnectionError:
                    # It is one of the replicas that do not drop a request when its channel closes.
                    is_open = False
                    text = f"channel of {request_id} at {replica.name} is closed, event {number}"
                    self._fleet.record.write(text)
            await asyncio.sleep(STEP_S)
        if is_open:
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        self._fleet.record.write(f"{replica.name} has ended its work on {request_id}")
        return is_open

    async def copy(self, replica, request, writer):
        """Copy the memory of a run to another replica; with ``last`` the run stops first."""
        order = json.loads(request.body)
        self._fleet.record.write(f"{replica.name} gets kv-move {order}")
        key = (replica.name, order["id"])
        if key not in self._made:
            small_fleet.send(writer, "404 Not Found", {}, b"{}")
            return True
        if order.get("last"):
            self._stopped.add(key)
        targets = self._fleet.replicas.values()
        target = next(item for item in targets if item.address == order["target_version"])
        await asyncio.sleep(COPY_S)
        self._copy_count += 1
        handle = f"h-{self._copy_count}"
        self._copies.add((target.name, handle))
        body = json.dumps({"handle": handle, "made": self._made[key]}).encode()
        small_fleet.send(writer, "200 OK", {"Content-Type": "application/json"}, body)
        return True


async def play(fleet, record, *, trouble):
    models = [(f"m-{number + 1}", "model") for number in range(MODEL_REPLICAS)]
    await fleet.start([("p-1", "plain"), *models])
    engine = Engine(fleet)
    for replica in fleet.replicas.values():
        if replica.service == "model":
            replica.handler = engine.run
            replica.copy_handler = engine.copy
    await asyncio.sleep(2.0)
    streams = [asyncio.create_task(send_stream(fleet, number)) for number in range(STREAMS)]
    await asyncio.sleep(2.5)
    if trouble:
        leaving = engine.get_busiest()
        record.say(f"the list shows {leaving} as draining, and its health path says so")
        fleet.replicas[leaving].state = "draining"
    answers = await asyncio.gather(*streams)
    whole = sum(answer.whole and answer.body.count(b"id:") == EVENTS for answer in answers)
    record.say(f"complete streams: {whole} of {len(answers)}")
    return judge(record, engine)


async def send_stream(fleet, number):
    extra = {
        "X-Model": "m",
        "X-Token-Usage": f"{PROMPT_TOKENS},{EVENTS * TOKENS_PER_EVENT}",
        "X-Prompt-Prefix": f"5c1e07a2:79,91bd3f{number:02x}:3000",
    }
    entry = f"front-{1 + number % 2}"
    await asyncio.sleep(0.1 * number)
    return await fleet.send(
        entry, "/talk/x", f"s{number}", body=b"{}", deadline_ms=39000, timeout_s=39.0, **extra
    )


def judge(record, engine):
    broken = []
    for request_id, (at_s, name) in engine.resumed.items():
        last_s = max(
            work_s
            for (worker, worked_id), work_s in engine.work.items()
            if worked_id == request_id and worker != name
        )
        record.say(
            f"{request_id} goes on at {name}; the replica before works on it until"
            f" {(last_s - at_s) * 1000:.0f} ms later"
        )
        if last_s - at_s > STILL_AT_WORK_S:
            broken.append(request_id)
    record.say(f"requests that went on elsewhere: {len(engine.resumed)}")
    record.say(f"TWICE is broken for {broken}" if broken else "TWICE holds")
    return 1 if broken else 0


def main():
    small_fleet.exit_on_sigterm()
    record = small_fleet.Record(HERE / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = small_fleet.Fleet(record)
    try:
        return asyncio.run(asyncio.wait_for(play(fleet, record, trouble=trouble), 100.0))
    except Exception as error:  # the case could not run
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    sys.exit(main())
