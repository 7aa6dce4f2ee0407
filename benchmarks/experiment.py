"""The policy against the naive one on seeded traces, through real processes.

Usage: .venv/bin/python benchmarks/experiment.py [--fleet cork] [--seeds 8] [--load 1.0]
       [--against naive] [--duration-s 12] [--json FILE]

For each seed both policy sets serve the same trace in turn, each with new processes: 5 model
engines in 3 halls, 3 entries and a keeper. One engine is killed at 60% of the trace. The output
has medians over the seeds, and the ratio real / other with its minimum and maximum.
"""

import argparse
import asyncio
import contextlib
import json
import pathlib
import statistics
import sys
import tempfile
import time
import urllib.request

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tools"))

import fleet
import load_client
import traces

BENCHMARKS = pathlib.Path(__file__).parent
MODEL = "spoolhead-birds"
HALLS = ("hall-a", "hall-b", "hall-c")
ENTRIES = ("entry-1", "entry-2", "entry-3")
KILLED_ENGINE = "engine-5"
KILL_FRACTION = 0.6
DRAIN_S = 45.0
STALL_MS = 500.0
GOODPUT_FRACTION = 0.8
CHUNK = "curlew on the mud "


def get_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"sph-key-of-{workspace}"


def make_table(running: fleet.Fleet, engines: list[str]) -> dict:
    """Return the table of the experiment."""
    workspaces = {
        name: {
            "key_sha256": [fleet.view.get_key_digest(get_key(name))],
            "models": [MODEL],
            "max_running": 400,
            "max_waiting": 2_000,
            "deadline_ms": 60_000,
        }
        for name in traces.WORKSPACES
    }
    upstreams = {
        name: {
            "address": running.addresses[name],
            "hall": HALLS[number % len(HALLS)],
            "service": MODEL,
        }
        for number, name in enumerate(engines)
    }
    return {
        "workspaces": workspaces,
        "services": {MODEL: {"kind": "model"}},
        "upstreams": upstreams,
    }


def start(running: fleet.Fleet, policies: str, seed: int) -> list[str]:
    """Start the fleet with a policy set; return the names of the engines."""
    engines = [f"engine-{number + 1}" for number in range(traces.ENGINES)]
    for number, name in enumerate(engines):
        running.start_engine(
            name,
            *("--model", MODEL, "--kv-tokens", str(traces.KV_TOKENS), "--max-batch", "128"),
            *("--step-ms", str(traces.STEP_MS), "--sequence-us", str(traces.SEQUENCE_US)),
            *("--prefill-us", "40", "--report-lag-ms", "300", "--seed", str(seed * 10 + number)),
        )
    running.start_keeper()
    launcher = [sys.executable, str(BENCHMARKS / "policy_entry.py"), policies]
    for number, name in enumerate(ENTRIES):
        running.start_entry(name, hall=HALLS[number], launcher=launcher)
    running.apply_table(make_table(running, engines))
    return engines


def make_request(item: traces.Item, number: int, address: str) -> load_client.Request:
    """Return the request for an item of a trace."""
    size = item.prompt_tokens * 4
    text = (f"{number} " + CHUNK * (size // len(CHUNK) + 1))[:size]
    messages = [{"role": "user", "content": f"{text} [len={item.length}]"}]
    body = {"model": MODEL, "stream": True, "messages": messages}
    return load_client.Request(address, body, get_key(item.workspace))


def get_counts(address: str) -> dict:
    """Return the counters of an engine."""
    with urllib.request.urlopen(f"http://{address}/counts", timeout=10) as answer:
        return json.loads(answer.read())


async def replay(
    running: fleet.Fleet, trace: list[traces.Item], duration_s: float
) -> tuple[list[load_client.Outcome], int]:
    """Replay a trace; return the outcomes and the killed engine's preemptions."""
    preemptions = [0]

    async def _kill_engine() -> None:
        await asyncio.sleep(KILL_FRACTION * duration_s)
        counts = await asyncio.to_thread(get_counts, running.addresses[KILLED_ENGINE])
        preemptions[0] = counts["preemptions"]
        running.processes[KILLED_ENGINE].kill()

    async def _send(item: traces.Item, number: int) -> load_client.Outcome:
        await asyncio.sleep(item.at_s)
        address = running.addresses[ENTRIES[number % len(ENTRIES)]]
        request = make_request(item, number, address)
        outcome = load_client.Outcome()
        with contextlib.suppress(asyncio.TimeoutError):
            outcome = await asyncio.wait_for(load_client.stream(request), DRAIN_S + 30)
        return outcome

    killing = asyncio.create_task(_kill_engine())
    sent = [_send(item, number) for number, item in enumerate(trace)]
    outcomes = await asyncio.gather(*sent)
    await killing
    return outcomes, preemptions[0]


def get_quantile(values: list[float], quantile: float) -> float:
    """Return a quantile; 0 for no values."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(quantile * len(ordered)))] if ordered else 0.0


def get_fairness(trace: list[traces.Item], outcomes: list[load_client.Outcome]) -> float:
    """Return Jain's fairness index over the fraction of demand served per workspace."""
    got: dict[str, float] = dict.fromkeys(traces.WORKSPACES, 0.0)
    requested: dict[str, float] = dict.fromkeys(traces.WORKSPACES, 0.0)
    for item, outcome in zip(trace, outcomes, strict=True):
        requested[item.workspace] += item.length
        got[item.workspace] += item.length if outcome.is_done else 0
    fractions = [got[name] / requested[name] for name in traces.WORKSPACES if requested[name]]
    return sum(fractions) ** 2 / (
        len(fractions) * sum(fraction * fraction for fraction in fractions)
    )


def get_goodput(trace: list[traces.Item], outcomes: list[load_client.Outcome]) -> float:
    """Return tokens of complete answers per second, until 80% of all requested tokens arrived.

    Later answers are ignored: one long answer that starts late would extend the measured time.
    """
    begin_s = min(outcome.begun_s for outcome in outcomes)
    wanted = GOODPUT_FRACTION * sum(item.length for item in trace)
    ends = sorted(
        (outcome.ended_s - begin_s, item.length)
        for item, outcome in zip(trace, outcomes, strict=True)
        if outcome.is_done
    )
    tokens = 0
    for ended_s, length in ends:
        tokens += length
        if tokens >= wanted:
            return tokens / ended_s
    return tokens / ends[-1][0] if ends else 0.0


def get_results(
    trace: list[traces.Item],
    outcomes: list[load_client.Outcome],
    preemptions: int,
    duration_s: float,
) -> dict[str, float]:
    """Return the results of a run."""
    gaps = [gap for outcome in outcomes for gap in outcome.gaps_ms]
    begun = [outcome for outcome in outcomes if outcome.arrivals_s]
    firsts = [outcome.first_token_ms for outcome in begun]
    done = [item for item, outcome in zip(trace, outcomes, strict=True) if outcome.is_done]

    def _get_small_wait(first: float, last: float) -> float:
        waits = [
            outcome.first_token_ms
            for item, outcome in zip(trace, outcomes, strict=True)
            if item.workspace != traces.LARGE_WORKSPACE
            and first * duration_s <= item.at_s < last * duration_s
            and outcome.arrivals_s
        ]
        return get_quantile(waits, 0.5)

    return {
        "requests": len(trace),
        "done": len(done),
        "refused": sum(1 for outcome in outcomes if outcome.status in (429, 503)),
        "cut": sum(1 for o in outcomes if not o.is_done and o.status not in (429, 503)),
        "stall_s": sum(max(0.0, gap - STALL_MS) for gap in gaps) / 1000,
        "between_p50_ms": get_quantile(gaps, 0.5),
        "between_p95_ms": get_quantile(gaps, 0.95),
        "between_p99_ms": get_quantile(gaps, 0.99),
        "first_p50_ms": get_quantile(firsts, 0.5),
        "first_p95_ms": get_quantile(firsts, 0.95),
        "preemptions": preemptions,
        "goodput_tokens_s": get_goodput(trace, outcomes),
        "fairness": get_fairness(trace, outcomes),
        "small_wait_quiet_ms": _get_small_wait(0.1, traces.SURGE_FROM),
        "small_wait_surge_ms": _get_small_wait(traces.SURGE_FROM, traces.SURGE_TO),
    }


def run_once(policies: str, options: argparse.Namespace, seed: int) -> dict[str, float]:
    """Serve one trace with one policy set."""
    trace = traces.make_trace(
        options.fleet, seed=seed, load=options.load, duration_s=options.duration_s
    )
    with (
        tempfile.TemporaryDirectory(prefix="spoolhead-") as folder,
        fleet.Fleet(pathlib.Path(folder)) as running,
    ):
        engines = start(running, policies, seed)
        outcomes, preemptions = asyncio.run(replay(running, trace, options.duration_s))
        for name in engines:
            if name != KILLED_ENGINE:
                preemptions += get_counts(running.addresses[name])["preemptions"]
        if options.keep is not None:
            pathlib.Path(options.keep).mkdir(exist_ok=True)
            for log_path in running.folder.glob("entry-*.log"):
                target = pathlib.Path(options.keep) / f"{policies}-{seed}-{log_path.name}"
                target.write_bytes(log_path.read_bytes())
    return get_results(trace, outcomes, preemptions, options.duration_s)


def print_results(results: dict[str, list[dict[str, float]]], other: str) -> None:
    """Print medians, and the distribution of ratios per seed."""
    print(f"{'figure':22} {'real':>10} {other:>16} {'ratio':>8} {'least':>8} {'greatest':>8}")
    for name in results["real"][0]:
        real = [metrics[name] for metrics in results["real"]]
        against = [metrics[name] for metrics in results[other]]
        ratios = [a / b for a, b in zip(real, against, strict=True) if b]
        cells = [f"{statistics.median(real):10.2f}", f"{statistics.median(against):16.2f}"]
        if ratios:
            spread = (statistics.median(ratios), min(ratios), max(ratios))
            cells += [f"{value:8.2f}" for value in spread]
        print(f"{name:22}", *cells)


def main() -> None:
    """Run the experiment and print its results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--fleet", choices=sorted(traces.KINDS), default="cork")
    parser.add_argument("--seeds", type=int, default=8)
    parser.add_argument("--load", type=float, default=1.0)
    parser.add_argument("--against", default="naive")
    parser.add_argument("--duration-s", type=float, default=12.0)
    parser.add_argument("--json", help="file for the figures of every run")
    parser.add_argument("--keep", help="folder for the entries' logs")
    options = parser.parse_args()
    results: dict[str, list[dict[str, float]]] = {"real": [], options.against: []}
    begun_s = time.monotonic()
    for seed in range(options.seeds):
        order = ["real", options.against] if seed % 2 else [options.against, "real"]
        for policies in order:
            results[policies].append(run_once(policies, options, seed))
    took_s = time.monotonic() - begun_s
    print(f"{options.fleet}, load {options.load}, {options.seeds} seeds, {took_s:.0f} s")
    print_results(results, options.against)
    if options.json:
        pathlib.Path(options.json).write_text(json.dumps(results, indent=2))


if __name__ == "__main__":
    main()
