"""Demonstration run by ``tools/try-it``: a small fleet, one chat answer, one plain call."""

import argparse
import http.client
import json
import pathlib
import secrets
import signal
import sys
import tempfile
import threading

import fleet

MODEL = "spoolhead-birds"
ENGINES = ("engine-1", "engine-2")
ENTRIES = ("entry-1", "entry-2")
SERVICE = "countdesk"


def start(running: fleet.Fleet, api_key: str) -> None:
    """Start all processes and apply the table."""
    for name in ENGINES:
        running.start_engine(name, "--model", MODEL)
    running.start_service("countdesk-1")
    running.start_keeper()
    for name in ENTRIES:
        running.start_entry(name)
    table = fleet.make_table(
        running.addresses,
        api_key=api_key,
        model=MODEL,
        engines=ENGINES,
        services={SERVICE: ["countdesk-1"]},
    )
    running.apply_table(table)


def stream_chat(address: str, api_key: str) -> None:
    """Stream one chat answer and print its tokens as they arrive."""
    connection = http.client.HTTPConnection(address, timeout=30)
    body = {
        "model": MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": "A small brown bird by the estuary? [len=24]"}],
    }
    headers = {"Authorization": f"Bearer {api_key}", "Content-Type": "application/json"}
    connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
    answer = connection.getresponse()
    print(f"chat through {address}: status {answer.status}, tokens:")
    for line in answer:
        text = line.decode().strip()
        if not text.startswith("data: ") or text == "data: [DONE]":
            continue
        for choice in json.loads(text.removeprefix("data: "))["choices"]:
            print(choice["delta"].get("content", ""), end="", flush=True)
    print()
    connection.close()


def call_service(address: str, api_key: str) -> None:
    """Make one plain call that must not be repeated."""
    connection = http.client.HTTPConnection(address, timeout=30)
    headers = {
        "Authorization": f"Bearer {api_key}",
        "Content-Type": "application/json",
        "Idempotency-Key": secrets.token_hex(8),
    }
    body = json.dumps({"species": "curlew", "count": 3})
    connection.request("POST", f"/{SERVICE}/tallies", body, headers)
    answer = connection.getresponse()
    print(f"tally through {address}: status {answer.status}, {answer.read().decode()}")
    connection.close()


def print_decisions(running: fleet.Fleet) -> None:
    """Print the decisions that the entries have logged."""
    print("decisions:")
    for name in ENTRIES:
        for record in running.processes[name].get_records():
            if record["logger"] == "spoolhead.decisions":
                print(f"  {name}: {json.dumps(record)}")


def stay(running: fleet.Fleet, api_key: str) -> None:
    """Print the ready line and serve until SIGTERM."""
    stop = threading.Event()
    signal.signal(signal.SIGTERM, lambda *_: stop.set())
    signal.signal(signal.SIGINT, lambda *_: stop.set())
    running.write_operator_settings()
    entries = [running.addresses[name] for name in ENTRIES]
    print(
        f"ready base_url=http://{entries[0]}/v1 api_key={api_key} model={MODEL} "
        f"entries={','.join(entries)} settings={running.folder}",
        flush=True,
    )
    stop.wait()


def main() -> int:
    """Run the demonstration and return the exit code."""
    parser = argparse.ArgumentParser(prog="try-it", description="Try spoolhead on this machine.")
    parser.add_argument("--stay", action="store_true", help="serve until SIGTERM")
    options = parser.parse_args()
    api_key = "sph-" + secrets.token_urlsafe(24)
    with tempfile.TemporaryDirectory(prefix="spoolhead-") as folder:
        running = fleet.Fleet(pathlib.Path(folder))
        try:
            with running:
                start(running, api_key)
                if options.stay:
                    stay(running, api_key)
                else:
                    stream_chat(running.addresses[ENTRIES[0]], api_key)
                    call_service(running.addresses[ENTRIES[1]], api_key)
                    print_decisions(running)
        except fleet.FleetError as error:
            print(error, file=sys.stderr)
            return 1
        ends = {name: process.exit_code for name, process in running.processes.items()}
    failed = {name: code for name, code in ends.items() if code}
    if failed:
        print(f"ended badly: {failed}", file=sys.stderr)
        return 1
    if not options.stay:
        print(f"all {len(ends)} processes stopped with exit code 0")
    return 0


if __name__ == "__main__":
    sys.exit(main())
