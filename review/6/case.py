"""Case: a run goes on at another replica while the one that leaves still works on it."""

import pathlib
import signal
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib-2"))

import deployment as d  # noqa: E402

STREAMS = 10
PROMPT_TOKENS = 3000
EVENTS = 59
STEP_MS = 180
COPY_MS = 335
"""3,060 tokens of 18,432 bytes over 2,700 Mbit/s, twice as long between zones."""
SERVES_FOR_S = 3.1
"""From the moment when the list shows that it drains: drain_timeout_ms and a little longer."""
SILENT_MS = 1500
"""A sound replica may fall silent for a second or so."""
SHORT_INTERVAL_S = 0.1
STILL_WORKS_S = 0.4


class Engine(d.ReplicaProcess):
    """A model replica whose runs can be moved."""

    program = "engine.py"


def run_case(record, has_trouble):
    """Drain the replica with all streams; see where they are worked on, and until when."""
    options = ["--copy-ms", COPY_MS, "--stall-ms", SILENT_MS, "--step-ms", STEP_MS]
    options = [str(option) for option in options]
    with d.Deployment() as deployment:
        old = Engine(deployment, "m0", "model", "hall-a", *options)
        app = d.ReplicaProcess(deployment, "a0", "app", "hall-a")
        deployment.start([old, app], d.make_table(3))
        clients = open_streams(deployment)
        d.deployment_wait(
            lambda: all(client.answer.body.count(b"\n\n") >= 2 for client in clients.values()),
            "not all streams began",
        )
        record.write(f"{STREAMS} streams of {EVENTS} pieces run at m0")
        stopped = threading.Event()
        threading.Thread(target=send_short, args=(deployment, stopped), daemon=True).start()
        new = Engine(deployment, "m1", "model", "hall-b", *options)
        deployment.replicas[new.name] = new
        new.start()
        new.listed[-1][1] = 0.0
        time.sleep(1.5)
        if has_trouble:
            old.state = "draining"
            record.write("the list shows m0 as draining; m1 is there for its runs")
            time.sleep(SERVES_FOR_S)
            old.process.send_signal(signal.SIGUSR1)
            record.write("m0 takes no new channels any more and works on at the open ones")
        time.sleep(3.0)
        stopped.set()
        for client in clients.values():
            client.answer.done.wait(40)
        time.sleep(1.0)
        return judge(record, clients, old, new)


def open_streams(deployment):
    """Open the streams, at both entries in turn."""
    clients = {}
    for i in range(STREAMS):
        address = (deployment.hosts[f"entry-{1 + i % 2}"], deployment.port)
        headers = make_headers(f"stream-{i}", PROMPT_TOKENS, EVENTS)
        clients[f"stream-{i}"] = d.Client(address, "POST", f"/talk/{i}", headers, b"{}")
    return clients


def make_headers(request_id, prompt_tokens, events):
    """Return the headers of a stream."""
    return d.make_headers(
        request_id,
        X_Model="m",
        X_Token_Usage=f"{prompt_tokens},{events * 4}",
        X_Prompt_Prefix=f"{sum(request_id.encode()) + 4096:x}:{prompt_tokens}",
    )


def send_short(deployment, stopped):
    """Send short streams: repeats of a service are allowed as a share of its requests."""
    number = 0
    while not stopped.wait(SHORT_INTERVAL_S):
        number += 1
        address = (deployment.hosts[f"entry-{1 + number % 2}"], deployment.port)
        d.Client(address, "POST", "/talk/s", make_headers(f"short-{number}", 40, 2), b"{}")


def judge(record, clients, old, new):
    """Return whether a run was worked on at m0 over 400 ms after it went on at m1."""
    runs_before, runs_after = old.read_runs(), new.read_runs()
    start_s = min(item["at"] for item in runs_before)
    two_count = 0
    for request_id, client in clients.items():
        went_on = [x["at"] for x in runs_after if (x["id"], x["event"]) == (request_id, "goes on")]
        made = [x["at"] for x in runs_before if (x["id"], x["event"]) == (request_id, "sent")]
        pieces = client.answer.body.count(b"\n\n")
        text = f"{request_id}: the client got {pieces} pieces; m0 made {len(made)} of them"
        if went_on:
            text += f", the last at {made[-1] - start_s:.2f} s; went on at m1"
            text += f" at {went_on[0] - start_s:.2f} s"
        is_at_two = bool(went_on) and made[-1] > went_on[0] + STILL_WORKS_S
        two_count += is_at_two
        record.write(text + (": AT TWO REPLICAS" if is_at_two else ""))
    record.write(f"{two_count} runs were worked on at two replicas for over {STILL_WORKS_S} s")
    return two_count > 0


if __name__ == "__main__":
    d.main(run_case)
