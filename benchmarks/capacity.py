"""Measures the slopes that docs/CAPACITY.md is worked out from.

Usage: .venv/bin/python benchmarks/capacity.py [--json]

Each slope is measured at three or more sizes with real processes, or with the sans-I/O part if a
process would only add noise.
"""

import argparse
import json
import os
import pathlib
import random
import statistics
import sys
import tempfile
import time

sys.path.insert(0, str(pathlib.Path(__file__).parents[1] / "tools"))

import entry as entry_bench
import fleet
from spoolhead._internal.entry import load_reports
from spoolhead._internal.models import load_report, rows, settings
from spoolhead._internal.network import messages, peer_call
from spoolhead._internal.policy import admission, lengths, placement, replicas
from spoolhead.coordination import versioned_table

TABLE_ROWS = (100, 1_000, 4_000, 17_000)
FOLLOWERS = (1, 4, 12)
FLEET_SIZES = (5, 107, 400, 1_600)
REPLICAS_POLLED = (2, 8, 24)
SHARING_ENTRIES = (1, 3, 6)
SHARED_REPLICAS = 24
WAITING_WORKSPACES = (10, 100, 1_000)
EDITS = 40
IDLE_S = 4.0


def _time_us(call, repeats: int) -> float:
    begun_s = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - begun_s) * 1e6 / repeats


def _make_workspace(number: int) -> dict[str, object]:
    return {"key_sha256": [f"{number:064x}"], "models": ["m"], "weight": 1.0}


def _make_rows(count: int) -> list[versioned_table.RowEdit]:
    edits = [versioned_table.RowEdit(versioned_table.RowKey("services", "m"), 0, {"kind": "model"})]
    for number in range(count):
        key = versioned_table.RowKey("workspaces", f"w{number}")
        edits.append(versioned_table.RowEdit(key, 0, _make_workspace(number)))
    return edits


class _Operator:
    """Sends edits to a keeper over one connection."""

    def __init__(self, running: fleet.Fleet) -> None:
        config = settings.OperatorSettings(
            keepers=[running.addresses["keeper-1"]], shared_key=fleet.SHARED_KEY, timeout_ms=60_000
        )
        self._call = peer_call.PeerCall(running.addresses["keeper-1"], config)

    def propose(self, edit_id: str, edits: list[versioned_table.RowEdit]) -> int:
        answer = self._call.request(
            messages.Propose(
                request=1,
                edit_id=edit_id,
                author="bench",
                time_ms=0,
                edits=[edit.pack() for edit in edits],
            ),
            messages.ProposeAnswer,
        )
        assert answer.code == 0, answer.faults[:3]
        return answer.version

    def measure_edits(self, version: int) -> list[float]:
        """Edit one row repeatedly; return the ms until each edit is in force at all entries."""
        waits = []
        for number in range(EDITS):
            key = versioned_table.RowKey("workspaces", "w0")
            value = {**_make_workspace(0), "max_waiting": number}
            begun_s = time.monotonic()
            version = self.propose(f"e{number}", [versioned_table.RowEdit(key, version, value)])
            self.wait_in_force(version)
            waits.append((time.monotonic() - begun_s) * 1000)
        return waits

    def wait_in_force(self, version: int) -> None:
        while True:
            status = self._call.request(messages.GetStatus(request=1), messages.StatusAnswer).status
            if all(item["version_in_force"] >= version for item in status["entries"]):
                return
            time.sleep(0.001)


def measure_table(folder: pathlib.Path) -> list[dict[str, float]]:
    """Measure edits of tables of several sizes: time to be in force, processor time, memory."""
    results = []
    for count in TABLE_ROWS:
        with fleet.Fleet(folder / f"rows-{count}") as running:
            running.folder.mkdir()
            running.start_keeper()
            running.start_entry("entry-1")
            operator = _Operator(running)
            operator.wait_in_force(operator.propose("fill", _make_rows(count)))
            pids = {name: running.processes[name].pid for name in ("keeper-1", "entry-1")}
            before = {name: entry_bench.get_cpu_s(pid) for name, pid in pids.items()}
            waits = operator.measure_edits(1)
            used = {name: entry_bench.get_cpu_s(pid) - before[name] for name, pid in pids.items()}
            results.append(
                {
                    "rows": count,
                    "in_force_p50_ms": statistics.median(waits),
                    "in_force_max_ms": max(waits),
                    "keeper_cpu_ms_per_edit": used["keeper-1"] * 1000 / EDITS,
                    "entry_cpu_ms_per_edit": used["entry-1"] * 1000 / EDITS,
                    "keeper_memory_mb": entry_bench.get_memory_mb(pids["keeper-1"]),
                    "entry_memory_mb": entry_bench.get_memory_mb(pids["entry-1"]),
                }
            )
    return results


def measure_followers(folder: pathlib.Path) -> list[dict[str, float]]:
    """Measure the cost of one more entry at its keeper, idle and per edit."""
    results = []
    for count in FOLLOWERS:
        with fleet.Fleet(folder / f"followers-{count}") as running:
            running.folder.mkdir()
            running.start_keeper()
            for number in range(count):
                running.start_entry(f"entry-{number}")
            operator = _Operator(running)
            operator.wait_in_force(operator.propose("fill", _make_rows(100)))
            pid = running.processes["keeper-1"].pid
            before_s = entry_bench.get_cpu_s(pid)
            time.sleep(IDLE_S)
            idle = (entry_bench.get_cpu_s(pid) - before_s) / IDLE_S
            before_s = entry_bench.get_cpu_s(pid)
            waits = operator.measure_edits(1)
            edit_ms = (entry_bench.get_cpu_s(pid) - before_s) * 1000 / EDITS
            results.append(
                {
                    "followers": count,
                    "keeper_idle_cpu_percent": idle * 100,
                    "keeper_cpu_ms_per_edit": edit_ms,
                    "in_force_p50_ms": statistics.median(waits),
                    "in_force_max_ms": max(waits),
                }
            )
    return results


def _measure_idle(folder: pathlib.Path, *, replicas_count: int, entries: int) -> float:
    """Return the mean processor time of idle entries, in percent of a core."""
    with fleet.Fleet(pathlib.Path(tempfile.mkdtemp(dir=folder))) as running:
        engines = [f"engine-{number}" for number in range(replicas_count)]
        for name in engines:
            running.start_engine(name, "--model", "m")
        running.start_keeper()
        names = [f"entry-{number}" for number in range(entries)]
        for name in names:
            running.start_entry(name)
        running.apply_table(
            fleet.make_table(running.addresses, api_key="bench", model="m", engines=engines)
        )
        time.sleep(IDLE_S)
        pids = [running.processes[name].pid for name in names]
        before_s = sum(entry_bench.get_cpu_s(pid) for pid in pids)
        time.sleep(2 * IDLE_S)
        used_s = sum(entry_bench.get_cpu_s(pid) for pid in pids) - before_s
    return used_s / (2 * IDLE_S) * 100 / entries


def measure_polling(folder: pathlib.Path) -> list[dict[str, float]]:
    """Measure the cost of one more upstream at an entry that reads its load report 4 times/s."""
    results = []
    for count in REPLICAS_POLLED:
        percent = _measure_idle(folder, replicas_count=count, entries=1)
        results.append({"replicas": count, "entry_idle_cpu_percent": percent})
    return results


def measure_sharing(folder: pathlib.Path) -> list[dict[str, float]]:
    """Measure idle entries of a hall that share the reading of load reports."""
    results = []
    for entries in SHARING_ENTRIES:
        percent = _measure_idle(folder, replicas_count=SHARED_REPLICAS, entries=entries)
        item = {"entries": entries, "replicas": SHARED_REPLICAS}
        results.append({**item, "entry_idle_cpu_percent": percent})
    return results


def _make_pool(count: int) -> placement.Pool:
    pool = placement.Pool()
    for number in range(count):
        # A hall has 107 replicas; smaller fleets are in one hall.
        row = rows.UpstreamRow(address="1.2.3.4:5", hall=f"h{number // 107}", service="m")
        replica = replicas.Replica(f"r{number}", row, 0.0, is_new=False)
        replica.handle_report(
            load_report.LoadReport(
                running=20,
                waiting=0,
                kv_used_tokens=random.Random(number).randrange(50_000),
                kv_capacity_tokens=100_000,
                preemptions=0,
                received_s=0.0,
            )
        )
        pool.put(replica)
    return pool


def measure_decisions() -> list[dict[str, float]]:
    """Measure the processor time of a placement, by number of replicas."""
    service = rows.ServiceRow(kind=rows.ServiceKind.MODEL)
    demand = placement.Demand(workspace="w", service="m", prompt_tokens=200, limit_tokens=4_000)
    results = []
    for count in FLEET_SIZES:
        chooser = placement.Placement("h0", lengths.LengthModel(), random.Random(1))
        pool = _make_pool(count)
        decide_us = _time_us(lambda c=chooser, p=pool: c.choose(demand, service, p, 0.1), 2_000)
        results.append({"replicas": count, "decision_us": decide_us})
    return results


def measure_queue() -> list[dict[str, float]]:
    """Measure the processor time of finding the next request, by number of workspaces."""
    results = []
    for count in WAITING_WORKSPACES:
        table_rows = {f"w{n}": rows.WorkspaceRow(key_sha256=[]) for n in range(count)}
        queue = admission.Admission(table_rows)
        for number, name in enumerate(table_rows):
            waiting = admission.WaitingRequest(
                request_id=str(number),
                workspace=name,
                service="m",
                arrived_s=0.0,
                deadline_s=1e9,
                owner=None,
            )
            queue.offer(waiting, 0.0)
        next_us = _time_us(lambda q=queue: next(iter(q.iterate("m", 1.0))), 200)
        results.append({"waiting_workspaces": count, "next_us": next_us})
    return results


def measure_report_parsing() -> dict[str, float]:
    """Measure the processor time of parsing one load report, and its size."""
    text = "\n".join(
        [
            "vllm:num_requests_running 20",
            "vllm:num_requests_waiting 0",
            "vllm:kv_cache_usage_perc 0.5",
            "vllm:num_preemptions_total 3",
            'vllm:cache_config_info{block_size="16",num_gpu_blocks="1024"} 1',
            "",
        ]
    )
    parse_us = _time_us(lambda: load_reports.parse_report(text, 0.0), 500)
    return {"parse_us": parse_us, "bytes": len(text)}


def main() -> None:
    """Run all measurements and print the results."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(prefix="spoolhead-") as folder:
        path = pathlib.Path(folder)
        metrics = {
            "cores": os.cpu_count(),
            "table": measure_table(path),
            "followers": measure_followers(path),
            "polling": measure_polling(path),
            "sharing": measure_sharing(path),
            "decisions": measure_decisions(),
            "queue": measure_queue(),
            "report": measure_report_parsing(),
        }
    if options.json:
        print(json.dumps(metrics, indent=2))
        return
    for name, value in metrics.items():
        for item in value if isinstance(value, list) else [value]:
            print(f"{name:10} {item}")


if __name__ == "__main__":
    main()
