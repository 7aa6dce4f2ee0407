"""The programs as operators use them: settings, logs, metrics, damaged data, the trial."""

import json
import pathlib
import signal
import socket
import subprocess
import sys

import fleet
from lib import calls, fleets
from spoolhead.coordination import changelog

TOOLS = pathlib.Path(fleet.__file__).parent
TRIAL_PROGRAM_COUNT = 6
"""Programs that the trial starts in sequence: two engines, a service, a keeper, two entries."""


def _run_daemon(module, *arguments):
    command = [sys.executable, "-m", f"spoolhead._internal.cli.{module}", *arguments]
    return subprocess.run(command, capture_output=True, text=True, timeout=30, check=False)


def test_bad_settings_are_told_whole_and_exit_with_2(tmp_path):
    path = tmp_path / "entry.json"
    path.write_text('{"name": "e", "hall": 3, "portt": 1, /* c */ "keepers": ["x"]}')
    done = _run_daemon("entry", "--settings", str(path))
    assert done.returncode == 2
    for place in ("hall", "portt", "keepers.0", "shared_key"):
        assert f"  {place}: " in done.stderr
    assert "Traceback" not in done.stderr


def test_check_takes_the_examples():
    examples = pathlib.Path(__file__).parents[2] / "docs" / "examples"
    for module in ("entry", "keeper"):
        done = _run_daemon(module, "--settings", str(examples / f"{module}.json"), "--check")
        assert (done.returncode, done.stderr) == (0, "")


def test_damaged_log_stops_the_keeper(running):
    fleets.start_fleet(running, engines=("engine-1",), entries=("entry-1",))
    running.run_operator("edit", "workspaces", "trial", "weight=2.0")
    running.processes["keeper-1"].kill()
    path = running.folder / "keeper-1.data" / "table.log"
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(data)
    done = _run_daemon("keeper", "--settings", str(running.folder / "keeper-1.json"))
    assert done.returncode == 1
    assert "[6001]" in done.stderr
    assert path.read_bytes() == bytes(data)


def test_torn_last_write_is_cut_off(running):
    fleets.start_fleet(running, engines=("engine-1",), entries=("entry-1",))
    port = int(running.addresses["keeper-1"].rpartition(":")[2])
    running.processes["keeper-1"].kill()
    path = running.folder / "keeper-1.data" / "table.log"
    data = path.read_bytes()
    path.write_bytes(data + changelog.make_record(b"x" * 100)[:50])
    running.start_keeper(port=port)
    assert json.loads(running.run_operator("show", "--json").stdout)["version"] == 1
    assert path.read_bytes() == data


def test_second_keeper_on_the_same_folder_is_refused(running):
    running.start_keeper()
    done = _run_daemon("keeper", "--settings", str(running.folder / "keeper-1.json"))
    assert done.returncode == 1
    assert "another process uses it" in done.stderr


def test_metrics_reach_statsd(running):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        sock.bind((fleet.HOST, 0))
        sock.settimeout(20)
        statsd = {"host": fleet.HOST, "port": sock.getsockname()[1], "interval_ms": 100}
        fleets.start_fleet(
            running,
            engines=("engine-1",),
            entries=("entry-1",),
            entry_changes={"statsd": statsd},
        )
        calls.ChatStream(running.addresses["entry-1"], calls.make_chat(30)).read_all()
        wanted = {
            "stall_ms.p99",
            "first_token_ms.p50",
            "between_tokens_ms.p95",
            "queue_wait_ms.count",
            "decisions.0",
            "tokens",
            "table_version",
        }
        while wanted:
            for line in sock.recv(65_536).decode().splitlines():
                wanted.discard(line.partition(":")[0].removeprefix("spoolhead."))


def test_text_log_is_for_people(running):
    changes = {"log": {"format": "text", "level": "INFO"}}
    running.start_keeper()
    path = running.folder / "entry.json"
    config = {
        "name": "entry-1",
        "hall": "hall-a",
        "host": fleet.HOST,
        "port": 0,
        "control_host": fleet.HOST,
        "control_port": 0,
        "keepers": [running.addresses["keeper-1"]],
        "shared_key": fleet.SHARED_KEY,
        **changes,
    }
    path.write_text(json.dumps(config))
    command = [sys.executable, "-m", "spoolhead._internal.cli.entry", "--settings", str(path)]
    process = fleet.Process("entry-1", command, running.folder)
    running.processes["entry-1"] = process
    fleet.wait_for(
        lambda: " entry entry-1 serves callers=127.0.0.1:" in process.get_output(), "the log line"
    )


def test_explain_tells_why_a_request_was_decided(shared):
    stream = calls.ChatStream(shared.addresses["entry-2"], calls.make_chat(2))
    stream.read_all()
    request_id = stream.answer.headers["x-request-id"]
    done = shared.run_operator("explain", request_id)
    assert done.returncode == 0
    assert "chosen" in done.stdout
    assert "workspace trial, service spoolhead-birds" in done.stdout
    refused = calls.send(shared.addresses["entry-1"], "GET", "/nothing")
    done = shared.run_operator("explain", refused.headers["x-request-id"], "--json")
    assert json.loads(done.stdout)[0]["result_code"] == 1202
    assert shared.run_operator("explain", "no-such-request").returncode == 5


def test_trial_stays_and_stops(tmp_path):
    with (tmp_path / "out").open("w") as stream:
        process = subprocess.Popen(
            [sys.executable, str(TOOLS / "try_it.py"), "--stay"], stdout=stream, stderr=stream
        )
    try:
        line = fleet.wait_for(
            lambda: [
                line
                for line in (tmp_path / "out").read_text().splitlines()
                if line.startswith("ready ")
            ],
            "the ready line",
            TRIAL_PROGRAM_COUNT * fleet.START_TIMEOUT_S,
        )[0]
        fields = dict(item.split("=", 1) for item in line.split()[1:])
        address = fields["entries"].split(",")[1]
        body = {**calls.make_chat(3), "model": fields["model"]}
        stream = calls.ChatStream(address, body, api_key=fields["api_key"])
        assert stream.read_all() == [0, 1, 2]
        assert (pathlib.Path(fields["settings"]) / "operator.json").exists()
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(30) == 0
