"""The table, changed by the operators' program: edits, conflicts, restarts, leaving upstreams."""

import json
import time

import fleet
from lib import calls, fleets


def _get_version(running, entry="entry-1"):
    return calls.send(running.addresses[entry], "GET", "/readyz").json["version"]


def _read_report(done):
    return json.loads(done.stdout)


def _wait_version(running, version, entry="entry-1"):
    fleet.wait_for(lambda: _get_version(running, entry) >= version, f"version {version}")


def test_edit_is_in_force_everywhere_and_survives_restarts(running):
    fleets.start_fleet(running, entry_changes=None)
    edited = running.run_operator("edit", "workspaces", "trial", "max_output_tokens=3", "--json")
    report = _read_report(edited)
    assert (edited.returncode, report["version"]) == (0, 2)
    assert [item["is_in_force"] for item in report["entries"]] == [True, True]
    for entry in ("entry-1", "entry-2"):
        stream = calls.ChatStream(running.addresses[entry], calls.make_chat(9))
        assert stream.read_all() == [0, 1, 2]
    port = int(running.addresses["keeper-1"].rpartition(":")[2])
    running.processes["keeper-1"].kill()
    running.start_keeper(port=port)
    shown = _read_report(running.run_operator("show", "workspaces", "trial", "--json"))
    assert shown["version"] == 2
    assert shown["table"]["workspaces"]["trial"]["max_output_tokens"] == 3
    again = running.run_operator("edit", "workspaces", "trial", "max_output_tokens=4", "--json")
    fleet.wait_for(lambda: _get_version(running) == 3, "the entry to follow the new keeper")
    assert _read_report(again)["version"] == 3


def test_bad_edit_is_refused_whole_with_every_fault(running):
    fleets.start_fleet(running, entries=("entry-1",))
    table = fleets.make_table(running, ("engine-1", "engine-2"), ("countdesk-1",))
    table["workspaces"]["trial"].update(weight="heavy", wieght=2, max_running=0)
    table["workspaces"]["other"]["models"] = ["no-such-model"]
    table["upstreams"]["engine-1"]["address"] = "engine-1:80"
    path = running.folder / "bad.json"
    path.write_text(json.dumps(table))
    done = running.run_operator("apply", str(path))
    assert done.returncode == 2
    for name in ("trial.weight", "trial.wieght", "trial.max_running", "engine-1.address"):
        assert name in done.stderr
    # The keeper itself also refuses an invalid edit that the program does not check.
    done = running.run_operator(
        "edit", "workspaces", "trial", "weight=0", 'models=["no-such"]', "priority=12", "--json"
    )
    assert done.returncode == 2
    assert {item["path"] for item in _read_report(done)["faults"]} == {
        "workspaces.trial.weight",
        "workspaces.trial.priority",
    }
    assert _get_version(running) == 1


def test_racing_operators_get_one_winner_and_a_conflict(running):
    fleets.start_fleet(running, entries=("entry-1",))
    first = running.run_operator(
        "edit", "workspaces", "trial", "weight=2.0", "--expected-version", "1", "--json"
    )
    second = running.run_operator(
        "edit", "workspaces", "trial", "weight=3.0", "--expected-version", "1", "--json"
    )
    assert (first.returncode, second.returncode) == (0, 3)
    conflict = _read_report(second)["conflicts"][0]
    assert (conflict["row"], conflict["version"]) == ("workspaces.trial", 2)
    assert conflict["value"]["weight"] == 2.0


def test_resent_edit_is_harmless_after_a_restart(running):
    fleets.start_fleet(running, entries=("entry-1",))
    command = ("edit", "workspaces", "trial", "weight=2.0", "--edit-id", "e1", "--json")
    assert _read_report(running.run_operator(*command))["version"] == 2
    running.run_operator("edit", "workspaces", "trial", "priority=7")
    port = int(running.addresses["keeper-1"].rpartition(":")[2])
    running.processes["keeper-1"].kill()
    running.start_keeper(port=port)
    again = running.run_operator(
        "edit", "services", "countdesk", "silence_ms=9000", "--edit-id", "e1"
    )
    assert again.returncode == 3
    assert "4003" in again.stderr
    shown = _read_report(running.run_operator("show", "--json"))
    assert shown["version"] == 3


def test_entry_restarts_from_its_disk_while_no_keeper_answers(running):
    changes = {"data_dir": str(running.folder / "entry-1.data")}
    fleets.start_fleet(running, entries=("entry-1",), entry_changes=changes)
    running.run_operator("edit", "workspaces", "trial", "max_output_tokens=2")
    running.processes["keeper-1"].kill()
    running.processes["entry-1"].kill()
    running.start_entry("entry-1", changes=changes)
    ready = calls.send(running.addresses["entry-1"], "GET", "/readyz")
    assert (ready.status, ready.json["version"]) == (200, 2)
    assert ready.json["keeper_connected"] is False
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(9))
    assert stream.read_all() == [0, 1]


def test_entry_that_no_keeper_confirms_refuses_nothing_for_good(running):
    """Its saved table may be outdated: a key or model may have been added since."""
    changes = {"data_dir": str(running.folder / "entry-1.data")}
    fleets.start_fleet(running, entries=("entry-1",), entry_changes=changes)
    address = running.addresses["entry-1"]
    keeper_port = int(running.addresses["keeper-1"].rpartition(":")[2])
    path = "/v1/chat/completions"
    unknown_model = {**calls.make_chat(1), "model": "new"}
    assert calls.send(address, "POST", path, calls.make_chat(1), api_key="new").status == 401
    running.processes["keeper-1"].kill()
    running.processes["entry-1"].kill()
    running.start_entry("entry-1", changes=changes)
    address = running.addresses["entry-1"]
    for answer in (
        calls.send(address, "POST", path, calls.make_chat(1), api_key="new"),
        calls.send(address, "POST", path, unknown_model),
        calls.send(address, "GET", "/v1/models/new"),
    ):
        assert (answer.status, answer.error["result_code"], answer.error["ran"]) == (
            503,
            2010,
            "no",
        )
        assert float(answer.headers["Retry-After"]) > 0
    running.start_keeper(port=keeper_port)
    fleet.wait_for(
        lambda: calls.send(address, "POST", path, unknown_model).status == 404,
        "the entry to be confirmed",
    )
    assert calls.send(address, "POST", path, calls.make_chat(1), api_key="new").status == 401


def test_entry_without_a_table_is_not_ready(running):
    running.start_keeper()
    running.start_entry("entry-1")
    address = running.addresses["entry-1"]
    assert calls.send(address, "GET", "/readyz").status == 503
    answer = calls.send(address, "POST", "/v1/chat/completions", calls.make_chat(1))
    assert (answer.status, answer.error["result_code"], answer.error["ran"]) == (503, 2006, "no")


def test_entry_never_goes_back_to_an_older_table(running):
    fleets.start_fleet(running, entries=("entry-1",))
    running.run_operator("edit", "workspaces", "trial", "max_output_tokens=2")
    port = int(running.addresses["keeper-1"].rpartition(":")[2])
    running.processes["keeper-1"].kill()
    log_path = running.folder / "keeper-1.data" / "table.log"
    log_path.unlink()
    running.start_keeper(port=port)
    entry = running.processes["entry-1"]
    fleet.wait_for(lambda: entry.find_record("offered"), "the empty keeper to be refused")
    assert _get_version(running) == 2
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(9))
    assert stream.read_all() == [0, 1]


def test_many_missed_changes_arrive_after_a_pause(running):
    fleets.start_fleet(running, entries=("entry-1",))
    running.processes["entry-1"].kill()
    for number in range(12):
        running.run_operator(
            "edit", "workspaces", "trial", f"max_waiting={number}", "--wait-ms", "0"
        )
    running.start_entry("entry-1")
    _wait_version(running, 13)


def test_leaving_upstream_gets_nothing_new(running):
    fleets.start_fleet(running, engine_options=("--step-ms", "2"))
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(400))
    tokens = iter(stream)
    next(tokens)
    explained = json.loads(
        running.run_operator("explain", stream.answer.headers["x-request-id"], "--json").stdout
    )
    used = explained[0]["upstream"]
    begun_s = time.monotonic()
    edited = running.run_operator("edit", "upstreams", used, "state=leaving", "--json")
    assert _read_report(edited)["result"] == "OK"
    assert time.monotonic() - begun_s < 10
    before = calls.get_counts(running.addresses[used])["generations"]
    for number in range(12):
        entry = running.addresses[f"entry-{number % 2 + 1}"]
        assert calls.ChatStream(entry, calls.make_chat(2)).read_all() == [0, 1]
    assert calls.get_counts(running.addresses[used])["generations"] == before
    assert list(tokens) == list(range(1, 400))


def test_edit_acts_on_requests_that_wait(running):
    fleets.start_fleet(running, entries=("entry-1",), workspace={"max_running": 1})
    address = running.addresses["entry-1"]
    first = calls.ChatStream(address, calls.make_chat(2_000))
    next(iter(first))
    second = calls.connect(address)
    headers = {"Authorization": f"Bearer {calls.API_KEY}"}
    second.request("POST", "/v1/chat/completions", json.dumps(calls.make_chat(2)), headers)
    status = fleet.wait_for(
        lambda: [
            item
            for item in json.loads(running.run_operator("status", "--json").stdout)
            if item["role"] == "entry" and item["waiting"] == 1
        ],
        "the second request to wait",
    )
    assert status[0]["running"] == 1
    running.run_operator("edit", "workspaces", "trial", "max_running=2")
    assert b"[DONE]" in second.getresponse().read()
    first.close()


def test_history_tells_who_changed_what(running):
    fleets.start_fleet(running, entries=("entry-1",))
    running.run_operator("edit", "workspaces", "trial", "weight=2.0", "--author", "night duty")
    running.run_operator("edit", "workspaces", "other", "--remove", "--author", "day duty")
    history = _read_report(running.run_operator("history", "--json"))
    assert [item["version"] for item in history] == [3, 2, 1]
    assert [item["author"] for item in history[:2]] == ["day duty", "night duty"]
    assert history[0]["rows"] == [{"row": "workspaces.other", "value": None}]
    gone = calls.send(running.addresses["entry-1"], "GET", "/v1/models", api_key=calls.OTHER_KEY)
    assert gone.error["result_code"] == 1102


def test_diff_shows_what_apply_would_do(running):
    fleets.start_fleet(running, entries=("entry-1",))
    table = fleets.make_table(running, ("engine-1", "engine-2"), ("countdesk-1",))
    path = running.folder / "next.json"
    path.write_text("// the same table\n" + json.dumps(table))
    assert running.run_operator("diff", str(path)).returncode == 0
    table["workspaces"]["trial"]["weight"] = 4.0
    del table["workspaces"]["other"]
    path.write_text(json.dumps(table))
    done = running.run_operator("diff", str(path))
    assert done.returncode == 7
    assert "changed workspaces.trial" in done.stdout
    assert "removed workspaces.other" in done.stdout
    assert _get_version(running) == 1


def test_operator_without_the_shared_key_is_refused(running):
    fleets.start_fleet(running, entries=("entry-1",))
    path = running.write_operator_settings()
    config = {**json.loads(path.read_text()), "shared_key": "not-the-right-shared-key"}
    wrong = running.folder / "wrong.json"
    wrong.write_text(json.dumps(config))
    done = running.run_operator("show", "--settings", str(wrong))
    assert done.returncode == 4
    assert "6004" in done.stderr


def test_full_disk_is_an_error_and_no_acceptance(running):
    """A limit on the size of files simulates a full disk."""
    fleets.start_fleet(running, entries=("entry-1",))
    keeper = running.processes["keeper-1"]
    size = (running.folder / "keeper-1.data" / "table.log").stat().st_size
    fleet.limit_file_size(keeper.pid, size + 10)
    done = running.run_operator("edit", "workspaces", "trial", "weight=2.0", "--json")
    assert done.returncode == 1
    assert _read_report(done)["result_code"] == 6002
    shown = _read_report(running.run_operator("show", "--json"))
    assert shown["version"] == 1
    fleet.limit_file_size(keeper.pid, None)
    done = running.run_operator("edit", "workspaces", "trial", "weight=3.0", "--json")
    assert (done.returncode, _read_report(done)["version"]) == (0, 2)
    port = int(running.addresses["keeper-1"].rpartition(":")[2])
    keeper.kill()
    running.start_keeper(port=port)
    shown = _read_report(running.run_operator("show", "workspaces", "trial", "--json"))
    assert shown["table"]["workspaces"]["trial"]["weight"] == 3.0


def test_an_evacuated_hall_gets_nothing_new_and_a_table_file_does_not_take_that_back(running):
    fleets.start_fleet(running)
    stream = calls.ChatStream(running.addresses["entry-1"], calls.make_chat(60))
    table = fleets.make_table(running, ("engine-1", "engine-2"), ("countdesk-1",))
    (hall,) = {row["hall"] for row in table["upstreams"].values()}
    for _ in range(2):
        done = running.run_operator("evacuate", hall, "--json")
        assert done.returncode == 0
        assert all(item["is_in_force"] for item in _read_report(done)["entries"])
    path = running.folder / "again.json"
    path.write_text(json.dumps(table))
    assert running.run_operator("apply", str(path)).returncode == 0
    for entry in ("entry-1", "entry-2"):
        answer = calls.send(
            running.addresses[entry], "POST", "/v1/chat/completions", calls.make_chat(1)
        )
        assert (answer.status, answer.error["ran"]) == (503, "no")
    states = running.run_operator("status").stdout
    assert "evacuated" in states
    assert stream.read_all() == list(range(60)), "the stream that ran there was not completed"
    assert running.run_operator("evacuate", hall, "--withdraw").returncode == 0
    stream = calls.ChatStream(running.addresses["entry-2"], calls.make_chat(3))
    assert stream.read_all() == [0, 1, 2]
