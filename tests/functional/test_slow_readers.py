"""Callers that read nothing, at an entry process with a memory limit.

The aim: 300 of them at an entry of 128 MB; the process stays below, other callers' streams have no
pause over 180 ms, no instance is kept from sending, and each dropped caller is logged.
"""

import pathlib
import socket
import threading
import time

import pytest

from lib import platform_fleet

MEMORY_MB = 128
MAX_PAUSE_S = 0.18
CALLERS = 300
EVENTS = 48
EVENT_BYTES = 12_000
STEP_MS = 100
SLOW_READ_BYTES = 2_000
SLOW_READ_INTERVAL_S = 0.05
GOOD_CALLERS = 4
GOOD_EVENTS = 250
"""Their streams last longer than those of the callers that read nothing."""
PLAIN_CALLERS = 14
PLAIN_BYTES = 8_000_000


@pytest.fixture(scope="module")
def running(tmp_path_factory):
    folder = tmp_path_factory.mktemp("fleet")
    limits = {"memory_mb": MEMORY_MB}
    with platform_fleet.PlatformFleet(folder, entries=1, limits=limits) as made:
        made.start(step_ms=20)
        table = platform_fleet.make_table(3)
        engine = {"slots": 400, "kv_capacity": 400_000, "moves": True, "backups": True, "stride": 1}
        table["services"][1] |= {"engine": engine, "max_connections": 1_000}
        made.put_until_accepted("keeper-1", table)
        made.wait_until_ready("entry-1")
        yield made


@pytest.fixture
def stalled():
    """Sockets of callers that read nothing."""
    made = []
    yield made
    for sock in made:
        sock.close()


def open_stalled(fleet, path, headers):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.connect((fleet.entry_hosts["entry-1"], fleet.port))
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    sock.sendall(
        f"POST {path} HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n"
        f"Authorization: Bearer {platform_fleet.API_KEY}\r\n{''.join(lines)}\r\n{{}}".encode()
    )
    return sock


def get_waits_s(*processes):
    """Return for how long each process has waited for a processor."""
    paths = [pathlib.Path(f"/proc/{process}/schedstat") for process in processes]
    return [int(path.read_text().split()[1]) / 1e9 for path in paths]


class GoodCaller(threading.Thread):
    """Reads a stream and measures the longest pause between its lines.

    Time for which a busy machine keeps a process from running is not part of a pause.
    """

    def __init__(self, fleet, number):
        super().__init__()
        self.answer = fleet.open_stream("entry-1", f"good-{number}", GOOD_EVENTS)
        self.longest_pause_s = 0.0
        self.data = b""
        pids = [fleet.processes[name].pid for name in ("entry-1", "platform")]
        self.processes = [*pids, "thread-self"]
        self.start()

    def run(self):
        last_s, last_waits_s = time.monotonic(), get_waits_s(*self.processes)
        while line := self.answer.readline():
            now_s, waits_s = time.monotonic(), get_waits_s(*self.processes)
            waited_s = max(now - last for now, last in zip(waits_s, last_waits_s, strict=True))
            self.longest_pause_s = max(self.longest_pause_s, now_s - last_s - waited_s)
            last_s, last_waits_s = now_s, waits_s
            self.data += line


def check_good(callers):
    for caller in callers:
        caller.join()
        assert caller.data == platform_fleet.make_events(GOOD_EVENTS)
    assert max(caller.longest_pause_s for caller in callers) <= MAX_PAUSE_S


def get_peak_memory_mb(fleet):
    status = pathlib.Path(f"/proc/{fleet.processes['entry-1'].pid}/status").read_text()
    (line,) = [line for line in status.splitlines() if line.startswith("VmHWM:")]
    return int(line.split()[1]) * 1024 / 1_000_000


def get_dropped(fleet, prefix):
    """Return the ids of dropped requests, after checking the lines about each."""
    drops, failed = [], set()
    for line in fleet.read_log("entry-1"):
        if line["text"] == "caller dropped" and line["request"].startswith(prefix):
            assert line["unread_bytes"] > 0
            assert line["total_bytes"] > line["budget_bytes"]
            drops.append(line)
        elif line["text"] == "failed":
            assert line["code"] == 3010
            failed.add(line["request"])
    assert {line["request"] for line in drops if line["is_running"]} == {
        request for request in failed if request.startswith(prefix)
    }
    return [line["request"] for line in drops]


def test_callers_that_read_no_stream_leave_the_entry_within_its_memory(running, stalled):
    """Guards against a bound on each caller alone, which 300 of them exceed together."""
    good = [GoodCaller(running, number) for number in range(GOOD_CALLERS)]
    for request_id in ["slow", *(f"stalled-{number}" for number in range(CALLERS))]:
        headers = {"X-Request-Id": request_id, "X-Model": "m"}
        headers |= {"X-Token-Usage": f"1,{EVENTS}", "X-Step-Ms": STEP_MS}
        headers["X-Added-Bytes"] = EVENT_BYTES
        stalled.append(open_stalled(running, "/talk/x", headers))
    while any(caller.is_alive() for caller in good):
        stalled[0].recv(SLOW_READ_BYTES)
        time.sleep(SLOW_READ_INTERVAL_S)
    check_good(good)
    assert get_peak_memory_mb(running) < MEMORY_MB
    dropped = get_dropped(running, "stalled-")
    assert 0 < len(set(dropped)) == len(dropped) < CALLERS
    assert get_dropped(running, "slow") == []
    assert "attempt failed" not in {line["text"] for line in running.read_log("entry-1")}


def test_callers_that_read_no_plain_answer_leave_the_entry_within_its_memory(running, stalled):
    """Guards against a bound on streams alone: a plain answer stays buffered after it has ended."""
    good = [GoodCaller(running, number) for number in range(GOOD_CALLERS)]
    for number in range(PLAIN_CALLERS):
        headers = {"X-Request-Id": f"plain-{number}", "X-Added-Bytes": PLAIN_BYTES}
        stalled.append(open_stalled(running, "/once/x", headers))
        platform_fleet.wait_for(
            lambda number=number: running.get_runs(f"plain-{number}"), "the request did not run"
        )
    check_good(good)
    assert get_peak_memory_mb(running) < MEMORY_MB
    assert len(get_dropped(running, "plain-")) >= PLAIN_CALLERS / 2
