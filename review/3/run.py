"""An entry of another writer stands alone on the last page of the list; judges DRAIN.

A replica is then emptied (planned work, with and without the disturbance). Requests that reach it
later than ``drain_timeout_ms`` after the list shows it as draining break the rule. At last it ends.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import small_fleet  # noqa: E402

PLAIN_REPLICAS = 8
MODEL_REPLICAS = 42
"""Together the replicas fill one page of 50 entries."""
DRAIN_TIMEOUT_S = 3.0
REQUEST_INTERVAL_S = 0.0125
WORK_S = 0.4
"""Time that a request works, below the longest of the sheet (0.45 s)."""
SERVED_S = 6.0
"""Time for which the replica goes on serving once it is listed as draining."""
FOREIGN_ENTRY = {"id": "x-1", "service": "plain", "address": 17, "zone": "hall-a", "state": "paused"}
"""Written by another writer: an address of another type and an unknown state."""


async def send_requests(fleet, stop):
    tasks = []
    while not stop.is_set():
        number = len(tasks)
        entry = f"front-{1 + number % 2}"
        request = fleet.send(entry, "/once/x", f"r{number}", timeout_s=6.0)
        tasks.append(asyncio.create_task(request))
        await asyncio.sleep(REQUEST_INTERVAL_S)
    return await asyncio.gather(*tasks)


async def play(fleet, record, *, trouble):
    plain = [(f"p-{number + 1}", "plain") for number in range(PLAIN_REPLICAS)]
    models = [(f"m-{number + 1}", "model") for number in range(MODEL_REPLICAS)]
    await fleet.start([*plain, *models])
    for replica in fleet.replicas.values():
        replica.work_s = WORK_S
    await asyncio.sleep(2.0)
    stop = asyncio.Event()
    traffic = asyncio.create_task(send_requests(fleet, stop))
    await asyncio.sleep(1.0)
    if trouble:
        record.say(f"the list gets an entry of another writer: {FOREIGN_ENTRY}")
        fleet.foreign_entries.append(FOREIGN_ENTRY)
    await asyncio.sleep(2.0)
    record.say("the list shows p-1 as draining")
    fleet.replicas["p-1"].state = "draining"
    drained_s = time.monotonic()
    await asyncio.sleep(SERVED_S)
    record.say("p-1 ends, and leaves the list")
    fleet.replicas["p-1"].end()
    await asyncio.sleep(1.0)
    stop.set()
    answers = await traffic
    served = sum(answer.status == 200 for answer in answers)
    record.say(f"answered with 200: {served} of {len(answers)}")
    failed = sum(answer.status == 502 for answer in answers)
    record.say(f"lost at the end of p-1, answered with 502: {failed}")
    return judge(record, fleet, drained_s)


def judge(record, fleet, drained_s):
    delays_s = [at_s - drained_s for at_s, name, _id in fleet.runs if name == "p-1"]
    before = sum(delay_s <= 0 for delay_s in delays_s)
    late = [delay_s for delay_s in delays_s if delay_s > DRAIN_TIMEOUT_S]
    record.say(f"runs at p-1: {before} before it drained, {len(delays_s) - before} after")
    record.say(f"runs at p-1 later than {DRAIN_TIMEOUT_S} s after the list showed it: {len(late)}")
    if late:
        record.say(f"the last of them {max(late):.1f} s after")
    record.say("DRAIN is broken" if late else "DRAIN holds")
    return 1 if late else 0


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
