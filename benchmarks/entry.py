"""Bench of one entry: processor time a token and a request, added latency, memory.

Usage: .venv/bin/python benchmarks/entry.py [--rounds N] [--json]

Each round runs the same load directly against the fake engine and then through the entry, so that
the machine's speed cancels out. Every result is a median over the rounds.
"""

import argparse
import asyncio
import json
import os
import pathlib
import statistics
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tools"))

import fleet
import load_client

MODEL = "spoolhead-birds"
API_KEY = "sph-key-of-the-bench"
STREAMS = 50
STEP_MS = 50
TOKENS = 100
IDLE_STREAMS = 1_000
RAMP_S = 5.0
REQUESTS = 300
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def get_cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def get_memory_mb(pid: int) -> float:
    """Return a process's resident memory in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1024
    raise AssertionError("no VmRSS")


def get_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))]


def make_body(length: int) -> dict:
    """Return the body of a request whose answer has a given number of tokens."""
    messages = [{"role": "user", "content": f"which bird? [len={length}]"}]
    return {"model": MODEL, "stream": True, "messages": messages}


def run_streams(address: str, api_key: str) -> list[load_client.Outcome]:
    """Run the streams of one round: 1,000 tokens per second, one token per read."""
    requests = [load_client.Request(address, make_body(TOKENS), api_key) for _ in range(STREAMS)]
    outcomes = asyncio.run(load_client.stream_all(requests, STEP_MS / 1000))
    assert all(outcome.is_done and len(outcome.arrivals_s) == TOKENS for outcome in outcomes)
    return outcomes


def measure_streams(running: fleet.Fleet, rounds: int) -> dict[str, float]:
    """Measure processor time per token and the added latency."""
    pid = running.processes["entry-1"].pid
    metrics: dict[str, list[float]] = {}

    def _record(name: str, value: float) -> None:
        metrics.setdefault(name, []).append(value)

    for _ in range(rounds):
        direct = run_streams(running.addresses["engine-1"], "")
        before_s = get_cpu_s(pid)
        through = run_streams(running.addresses["entry-1"], API_KEY)
        _record("cpu_us_per_token", (get_cpu_s(pid) - before_s) * 1e6 / (STREAMS * TOKENS))
        for name, quantile in (("p50", 0.5), ("p99", 0.99)):
            gaps = [
                get_quantile([gap for item in outcomes for gap in item.gaps_ms], quantile)
                for outcomes in (direct, through)
            ]
            firsts = [
                get_quantile([item.first_token_ms for item in outcomes], quantile)
                for outcomes in (direct, through)
            ]
            _record(f"between_tokens_{name}_ms_direct", gaps[0])
            _record(f"between_tokens_{name}_ms_added", gaps[1] - gaps[0])
            _record(f"first_token_{name}_ms_direct", firsts[0])
            _record(f"first_token_{name}_ms_added", firsts[1] - firsts[0])
    return {name: statistics.median(values) for name, values in metrics.items()}


def measure_requests(running: fleet.Fleet) -> dict[str, float]:
    """Measure processor time per request, with answers of a single token."""
    pid = running.processes["entry-1"].pid
    address = running.addresses["entry-1"]
    requests = [load_client.Request(address, make_body(1), API_KEY) for _ in range(REQUESTS)]
    before_s = get_cpu_s(pid)
    outcomes = asyncio.run(load_client.stream_all(requests, REQUESTS * 0.01))
    assert all(outcome.is_done for outcome in outcomes)
    return {"cpu_us_per_request": (get_cpu_s(pid) - before_s) * 1e6 / REQUESTS}


def measure_memory(running: fleet.Fleet) -> dict[str, float]:
    """Measure memory with many streams that have started and are paused."""
    pid = running.processes["entry-1"].pid
    idle_mb = get_memory_mb(pid)

    async def _hold() -> float:
        address = running.addresses["entry-1"]
        requests = [
            load_client.Request(address, make_body(100_000), API_KEY) for _ in range(IDLE_STREAMS)
        ]
        tasks = []
        for request in requests:
            tasks.append(asyncio.create_task(load_client.stream(request)))
            await asyncio.sleep(RAMP_S / IDLE_STREAMS)
        await asyncio.to_thread(
            fleet.wait_for, lambda: get_running(running) == IDLE_STREAMS, "all streams to run"
        )
        running.processes["engine-1"].send_signal(fleet.signal.SIGSTOP)
        await asyncio.sleep(0.5)
        held_mb = get_memory_mb(pid)
        running.processes["engine-1"].send_signal(fleet.signal.SIGCONT)
        for task in tasks:
            task.cancel()
        return held_mb

    return {"memory_mb_idle": idle_mb, "memory_mb_1000_streams": asyncio.run(_hold())}


def get_running(running: fleet.Fleet) -> int:
    """Return the number of running requests at the entry."""
    done = running.run_operator("status", "--json")
    return next(item["running"] for item in json.loads(done.stdout) if item["role"] == "entry")


def main() -> None:
    """Run the benchmark and print its results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with (
        tempfile.TemporaryDirectory(prefix="spoolhead-") as folder,
        fleet.Fleet(pathlib.Path(folder)) as running,
    ):
        engine_options = ("--step-ms", str(STEP_MS), "--sequence-us", "0", "--prefill-us", "0")
        sizes = ("--kv-tokens", "1000000000", "--max-batch", "4096")
        running.start_engine("engine-1", "--model", MODEL, *engine_options, *sizes)
        running.start_keeper()
        running.start_entry("entry-1")
        workspace = {
            "max_running": 4_000,
            "max_waiting": 4_000,
            "max_output_tokens": 200_000,
            "deadline_ms": 600_000,
        }
        table = fleet.make_table(
            running.addresses, api_key=API_KEY, engines=["engine-1"], workspace=workspace
        )
        table["services"][MODEL]["max_running_per_upstream"] = 4_000
        running.apply_table(table)
        metrics = measure_streams(running, options.rounds)
        metrics.update(measure_requests(running))
        metrics.update(measure_memory(running))
    if options.json:
        print(json.dumps(metrics))
        return
    for name, value in metrics.items():
        print(f"{name:36} {value:10.2f}")


if __name__ == "__main__":
    main()
