"""Many users send large requests at once; judges LOST and the memory of the entries.

The stand-in platform does what DEPLOY.md says of memory: it kills a process that goes over
``memory_mb``, and starts it again after a short delay.
"""

import asyncio
import os
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "lib"))

import small_fleet  # noqa: E402

MEMORY_MB = 150
BYTES_PER_MB = 1 << 20
BODY_BYTES = 4_000_000
"""Below ``max_body_bytes``, which is 4,194,304."""
USERS = 44
"""26 clients of a zone, times 1.7."""
REQUESTS_PER_USER = 3
"""132 requests begin within 4.7 s: 28 a second, and 17 a second of a zone times 1.7 are 29."""
BURST_S = 1.5
"""Time within which the users come."""
USER_BYTES_PER_S = 2_700_000
"""Pace of each user of the burst. Together they stay below the 1,000 Mbit/s of an entry."""
STREAMS = 12
"""Streams of other users, which run when the burst begins."""
STREAM_EVENTS = 236
STREAM_TOKENS = 4 * STREAM_EVENTS
PROMPT_TOKENS = 3079
PAUSE_S = 1.0
"""Pause of a user whose request was not answered."""
LINK_BYTES_PER_S = 100_000_000
"""Pace of a user who is alone, below the same bound."""
DEADLINE_MS = 6_000
MOST_LOST = 3
RESTART_DELAY_S = 0.5
WATCH_INTERVAL_S = 0.005


def read_anonymous_mb(pid):
    """Return the anonymous resident memory of a process, without mapped files."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) * 1024 / BYTES_PER_MB
    return 0.0


class Machines:
    """Enforces the memory limit of the entries."""

    def __init__(self, fleet):
        self._fleet = fleet
        self.peak_mb = dict.fromkeys(fleet.entries, 0.0)
        self.kills = []
        self._restarts = []

    async def watch(self):
        while True:
            for name in self._fleet.entries:
                self._check(name)
            await asyncio.sleep(WATCH_INTERVAL_S)

    def _check(self, name):
        process = self._fleet.processes.get(name)
        if process is None or process.poll() is not None:
            return
        used_mb = read_anonymous_mb(process.pid)
        self.peak_mb[name] = max(self.peak_mb[name], used_mb)
        if used_mb > MEMORY_MB:
            self._fleet.record.say(f"{name} uses {used_mb:.0f} MB, over {MEMORY_MB} MB")
            self._fleet.kill(name)
            self.kills.append(name)
            self._restarts.append(asyncio.create_task(self._restart(name)))

    async def _restart(self, name):
        await asyncio.sleep(RESTART_DELAY_S)
        self._fleet.start_entry(name)


async def use(fleet, number, delay_s, bytes_per_s):
    """Send the requests of one user on a kept channel."""
    await asyncio.sleep(delay_s)
    channel = small_fleet.Channel(fleet, f"front-{1 + number % 2}")
    body = b"x" * BODY_BYTES
    results = []
    for turn in range(REQUESTS_PER_USER):
        request_id = f"u{number:02}-{turn}"
        answer = await channel.send("POST", "/once/x", request_id, body, deadline_ms=DEADLINE_MS, bytes_per_s=bytes_per_s)
        results.append((request_id, answer))
        if not answer.status:
            await asyncio.sleep(PAUSE_S)
    channel.close()
    return results


async def stream(fleet, number):
    """Send the request of a user who reads a stream."""
    request_id = f"s{number:02}"
    channel = small_fleet.Channel(fleet, f"front-{1 + number % 2}")
    extra = {
        "X-Model": "m",
        "X-Token-Usage": f"{PROMPT_TOKENS},{STREAM_TOKENS}",
        "X-Prompt-Prefix": f"5c1e07a2:79,91bd3f{number:02x}:3000",
    }
    answer = await channel.send("POST", "/talk/x", request_id, b"{}", deadline_ms=39_000, **extra)
    channel.close()
    return [(request_id, answer)]


async def play(fleet, record, *, trouble):
    plain = [(f"p-{number}", "plain") for number in (1, 2, 3)]
    await fleet.start([*plain, ("m-1", "model"), ("m-2", "model")])
    machines = Machines(fleet)
    watch = asyncio.create_task(machines.watch())
    await asyncio.sleep(2.0)
    streams = [asyncio.create_task(stream(fleet, number)) for number in range(STREAMS)]
    await asyncio.sleep(1.0)
    results = []
    if trouble:
        record.say(f"{USERS} users come within {BURST_S} s")
        delays_s = [BURST_S * i / USERS for i in range(USERS)]
        users = [use(fleet, i, s, USER_BYTES_PER_S) for i, s in enumerate(delays_s)]
        for part in await asyncio.gather(*users):
            results.extend(part)
    else:
        record.say(f"{USERS} users come one after the other")
        for number in range(USERS):
            results.extend(await use(fleet, number, 0.0, LINK_BYTES_PER_S))
    for part in await asyncio.gather(*streams):
        results.extend(part)
    await asyncio.sleep(1.0)
    watch.cancel()
    return judge(fleet, record, machines, results)


def judge(fleet, record, machines, results):
    """Count the requests that a replica ran and whose channel ended without an answer."""
    passed_on = {request_id for _at_s, _name, request_id in fleet.runs}
    lost = [
        request_id
        for request_id, answer in results
        if request_id in passed_on and not answer.whole and answer.text != "timeout"
    ]
    answered = sum(answer.whole and answer.status == 200 for _id, answer in results)
    record.say(f"answered with 200: {answered} of {len(results)}")
    record.say(f"killed for memory: {machines.kills}")
    peaks = {name: round(peak) for name, peak in machines.peak_mb.items()}
    record.say(f"peak of anonymous memory: {peaks} MB, allowed {MEMORY_MB}")
    record.say(f"passed on to a sound replica, then closed without an answer: {len(lost)} {lost}")
    is_broken = len(lost) > MOST_LOST
    record.say("LOST is broken" if is_broken else "LOST holds")
    return 1 if is_broken else 0


def main():
    small_fleet.exit_on_sigterm()
    record = small_fleet.Record(HERE / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    fleet = small_fleet.Fleet(record, limits={"memory_mb": MEMORY_MB})
    try:
        return asyncio.run(asyncio.wait_for(play(fleet, record, trouble=trouble), 100.0))
    except Exception as error:  # the case could not run
        record.say(f"could not run: {error!r}")
        return 2
    finally:
        fleet.close()


if __name__ == "__main__":
    start_s = time.monotonic()
    status = main()
    print(f"took {time.monotonic() - start_s:.1f} s, exit {status}")
    sys.exit(status)
