"""Keepers and entries with the settings of the platform: tables, requests, moves, stops, losses."""

import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import pytest

from lib import log_page, platform_fleet


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path) as made:
        made.start_serving()
        # Two keepers are enough to start serving; a test may use the third one at once.
        for keeper in made.keeper_hosts:
            platform_fleet.wait_for(
                lambda keeper=keeper: made.read_version(keeper) == 3,
                f"{keeper} does not have the table",
            )
        yield made


def test_requests_are_served_and_refused_by_the_table(running):
    served = running.send("entry-1", "/once/x", X_Request_Id="a1")
    assert (served.status, served.body) == (200, b"hello")
    (run,) = running.get_runs("a1")
    assert run["headers"]["x-tenant"] == "w1"
    assert "authorization" not in run["headers"]
    assert run["headers"]["host"] == "a.example"
    assert running.send("entry-1", "/once/x", key="unknown").status == 401
    assert running.send("entry-2", "/nowhere/x").status == 404


def test_an_accepted_table_is_in_force_everywhere_within_seconds(running):
    table = platform_fleet.make_table(9)
    added = {**table["routes"][0], "name": "new", "path_prefix": "/new/"}
    table["routes"].append(added)
    running.put_until_accepted("keeper-2", table)
    until_s = time.monotonic() + 2.0
    for entry in ("entry-1", "entry-2"):
        while running.send(entry, "/new/x", X_Request_Id="n").status != 200:
            assert time.monotonic() < until_s
            time.sleep(0.02)
    assert running.put("keeper-3", platform_fleet.make_table(5)).status == 200
    assert running.read_version("keeper-1") == 9
    assert running.send("entry-1", "/new/x", X_Request_Id="n").status == 200


def test_invalid_tables_are_refused_whole(running):
    twice = platform_fleet.make_table(20)
    twice["routes"].append(twice["routes"][0])
    assert running.put("keeper-1", twice).status == 400
    assert running.put("keeper-2", b'{"version": 21, "rou').status == 400
    assert running.read_version("keeper-3") == 3


def test_a_table_outlives_a_killed_and_a_wiped_keeper(running):
    running.kill("keeper-1")
    running.put_until_accepted("keeper-2", platform_fleet.make_table(12))
    running.wipe("keeper-1")
    running.start_keeper("keeper-1")
    platform_fleet.wait_for(
        lambda: running.read_version("keeper-1") == 12, "the wiped keeper did not catch up"
    )
    # Until the others list it as a member, the loss of one more keeper leaves no majority.
    for keeper in ("keeper-2", "keeper-3"):
        platform_fleet.wait_for(
            lambda keeper=keeper: running.lists_as_rejoined(keeper, "keeper-1"),
            f"{keeper} does not list the wiped keeper",
        )
    running.kill("keeper-3")
    running.put_until_accepted("keeper-1", platform_fleet.make_table(13))
    assert running.read_version("keeper-2") == 13


def test_a_keeper_without_a_majority_is_not_sure(running):
    running.kill("keeper-1")
    running.kill("keeper-2")
    assert running.read("keeper-3").status == 503
    assert running.put("keeper-3", platform_fleet.make_table(14)).status == 503
    assert running.send("entry-1", "/once/x", X_Request_Id="b").status == 200


def test_everything_killed_comes_back_with_the_table(running):
    running.put_until_accepted("keeper-1", platform_fleet.make_table(15))
    for name in (*running.keeper_hosts, *running.entry_hosts):
        running.kill(name)
    for name in running.keeper_hosts:
        running.start_keeper(name)
    for name in running.entry_hosts:
        running.start_entry(name)
    running.wait_until_ready("entry-1", "entry-2")
    assert running.read_confirmed_version("keeper-2") == 15


def test_a_stream_survives_the_departure_of_its_instance(running):
    stream = running.open_stream("entry-1", "s1", 150)
    received = stream.read(200)
    (first,) = running.get_runs("s1")
    running.set_instance(first["instance"], state="draining")
    time.sleep(0.8)
    running.set_instance(first["instance"], dead=True)
    received += stream.read()
    assert received == platform_fleet.make_events(150)
    runs = running.get_runs("s1")
    assert len(runs) == 2
    assert "kv-from" in runs[1]["headers"]


def test_a_leaving_instance_gets_no_new_work(running):
    running.set_instance("p-1", state="draining")
    time.sleep(1.5)
    for number in range(12):
        entry = f"entry-{1 + number % 2}"
        assert running.send(entry, "/once/x", X_Request_Id=f"l{number}").status == 200
        assert [run["instance"] for run in running.get_runs(f"l{number}")] == ["p-2"]


def test_callers_that_leave_at_once_are_no_exception(running):
    request = b"POST /safe/x HTTP/1.1\r\nHost: a.example\r\nX-Request-Id: g\r\nContent-Length: 0"
    for _ in range(30):
        with socket.create_connection((running.entry_hosts["entry-1"], running.port)) as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            sock.sendall(request + b"\r\n\r\n")
    assert running.send("entry-1", "/safe/x", X_Request_Id="after").status == 200
    assert [line["text"] for line in running.read_log("entry-1") if "trace" in line] == []


def test_a_reload_ends_nothing(running):
    stream = running.open_stream("entry-1", "h1", 60)
    for name in (*running.keeper_hosts, *running.entry_hosts):
        running.signal(name, signal.SIGHUP)
    assert stream.read() == platform_fleet.make_events(60)
    assert all(process.poll() is None for process in running.processes.values())
    texts = [line["text"] for line in running.read_log("entry-1")]
    assert "settings read again" in texts


def test_a_planned_stop_cuts_nothing(running):
    answers = []

    def _send():
        answers.append(running.send("entry-1", "/once/x", X_Request_Id="t", X_Delay_Ms="600"))

    sending = threading.Thread(target=_send)
    stream = running.open_stream("entry-1", "t1", 150)
    sending.start()
    time.sleep(0.2)
    running.signal("entry-1", signal.SIGTERM)
    time.sleep(0.3)
    assert not running.is_ready("entry-1")
    assert running.send("entry-1", "/once/y", X_Request_Id="late").status == 200
    sending.join()
    assert answers[0].status == 200
    assert stream.read() == platform_fleet.make_events(150)
    assert running.wait_for_exit("entry-1") == 0


def test_each_decision_on_a_request_is_logged_with_its_id(running):
    running.send("entry-2", "/once/x", X_Request_Id="logged")

    def _read():
        return [line for line in running.read_log("entry-2") if line.get("request") == "logged"]

    # The last line is logged after the answer was sent.
    platform_fleet.wait_for(lambda: len(_read()) >= 2, "no second line")
    lines = _read()
    assert [line["text"] for line in lines] == ["attempt", "answered"]
    assert lines[0]["candidates"]
    assert lines[0]["table_version"] == 3


def test_the_figures_of_both_programs_are_served(running):
    for host in (running.keeper_hosts["keeper-2"], running.entry_hosts["entry-1"]):

        def _has_version(host=host):
            answer = platform_fleet.send(f"{host}:9464", "GET", "/metrics")
            return b"spoolhead_table_version 3.0" in answer.body

        # The keeper that accepted the table may be ahead of this one.
        platform_fleet.wait_for(_has_version, f"{host} does not show the version")


@pytest.mark.parametrize("program", ["entry", "keeper"])
def test_a_reload_while_a_program_starts_does_not_end_it(program):
    """The signal arrives after the interpreter has started and before the program's code runs."""
    code = (
        "import os, signal, spoolhead.platform\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        f"import spoolhead.platform.{program}\n"
        "print('alive')"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
    assert done.stdout == "alive\n"


def test_each_line_of_both_programs_is_on_the_page_with_its_fields(running):
    stream = running.open_stream("entry-1", "p1", 120)
    stream.read(200)
    (run,) = running.get_runs("p1")
    running.set_instance(run["instance"], state="draining")
    running.send("entry-1", "/nowhere/x", X_Request_Id="p2")
    running.put("keeper-1", b"{")
    running.read("keeper-2")
    stream.read()
    running.kill("keeper-3")
    running.signal("entry-2", signal.SIGTERM)
    running.wait_for_exit("entry-2")
    known = log_page.read()
    seen = set()
    for name in (*running.keeper_hosts, *running.entry_hosts):
        for line in running.read_log(name):
            fields = log_page.find(known, line["text"])
            assert fields is not None, line
            assert set(line) - log_page.COMMON_FIELDS <= fields, line
            seen.add(line["text"])
    assert {"attempt", "answered", "refused", "run goes on elsewhere", "entry ends"} <= seen
    assert {"leader changed", "table committed", "table refused", "table read"} <= seen


def _send_evacuation_order(running, keeper, method, hall="hall-a"):
    host = f"{running.keeper_hosts[keeper]}:{running.port}"
    return platform_fleet.send(host, method, f"/spoolhead/evacuations/{hall}").status


def test_an_evacuated_hall_gets_nothing_until_it_is_taken_back(running):
    """Each keeper in turn accepts the order, whether it leads or not; in force within 1 s."""
    for keeper in running.keeper_hosts:
        began_s = time.monotonic()
        assert _send_evacuation_order(running, keeper, "POST") == 200
        assert time.monotonic() - began_s < 1.0
        platform_fleet.wait_for(
            lambda: running.send("entry-1", "/once/x", X_Request_Id="e").status == 503,
            "the order is not in force",
        )
        until_s = time.monotonic() + 1.0
        while running.send("entry-2", "/once/x", X_Request_Id="e2").status != 503:
            assert time.monotonic() < until_s
        runs = len(running.get_runs("e3"))
        assert running.send("entry-2", "/once/x", X_Request_Id="e3").status == 503
        assert len(running.get_runs("e3")) == runs
        assert _send_evacuation_order(running, keeper, "DELETE") == 200
        platform_fleet.wait_for(
            lambda: running.send("entry-2", "/once/x", X_Request_Id="e4").status == 200,
            "the withdrawal is not in force",
        )


def test_an_evacuation_outlives_all_processes_and_a_lost_disk(running):
    assert _send_evacuation_order(running, "keeper-2", "POST") == 200
    for name in (*running.keeper_hosts, *running.entry_hosts):
        running.kill(name)
    running.wipe("keeper-2")
    for name in running.keeper_hosts:
        running.start_keeper(name)
    for name in running.entry_hosts:
        running.start_entry(name)
    for entry in running.entry_hosts:
        platform_fleet.wait_for(lambda entry=entry: running.is_ready(entry), f"{entry} not ready")
        assert running.send(entry, "/once/x", X_Request_Id="v").status == 503
    assert running.get_runs("v") == []


def test_a_keeper_without_a_majority_acknowledges_no_order_on_a_hall(running):
    running.kill("keeper-1")
    running.kill("keeper-2")
    assert _send_evacuation_order(running, "keeper-3", "POST") == 503
    assert running.send("entry-1", "/once/x", X_Request_Id="n").status == 200
