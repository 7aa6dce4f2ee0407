"""A request that ends each instance which runs it, sent again and again at all entries.

Seen: eight engines ended within 15 s, and dozens of answers that ran beside were cut off. The
request came anew under other ids, at five entries of three halls. Each entry knew requests by
their ids, forgot them with their answers and told others of instances only; so each repeat was a
first attempt that all it knew allowed. What proved it: one content in all lost requests of the
series, one attempt each, and an engine that refused connections after every one.
"""

import contextlib
import http.client
import json
import threading
import time

import pytest

import fleet
from lib import calls, fleets, platform_fleet
from standins import engine, platform

CONTACT_S = 3.0
"""Time within which what ends instances is to be known at all entries."""
ENDS_TO_KNOW = 3
"""Ends that leave no doubt; where fewer came about, the last of them counts."""
RUNS_ALLOWED = 3
"""Runs later than that: a fault may hide itself from some entries, but not from all."""
PAUSE_S = 0.25
SERIES_S = 12.0
SAVED_S = 1.0
"""Time after which what is held is surely on a disk; four times the pause between writings."""


@pytest.fixture
def running(tmp_path):
    with platform_fleet.PlatformFleet(tmp_path) as made:
        made.start_serving()
        yield made


def _repeat(fleet, path, *, method="POST", for_s=SERIES_S, **headers):
    """Send the same under new ids at both entries in turn.

    :returns: the answers.
    """
    answers = []
    until_s = time.monotonic() + for_s
    for number in range(10_000):
        if time.monotonic() > until_s:
            break
        answer = fleet.ask(
            f"entry-{1 + number % 2}",
            path,
            method=method,
            body=platform.CRASH_BODY,
            X_Request_Id=f"deadly-{number}",
            **headers,
        )
        answers.append(answer)
        time.sleep(PAUSE_S)
    return answers


def _get_known_s(fleet):
    """Return the time by which all entries should know."""
    ends = [end["at_s"] for end in fleet.get_ends()]
    assert ends, "the request ended no instance, which shows nothing"
    return ends[:ENDS_TO_KNOW][-1] + CONTACT_S


def _count_late_runs(fleet):
    known_s = _get_known_s(fleet)
    runs = [run for run in fleet.get_all_runs() if run["id"].startswith("deadly")]
    return sum(run["at_s"] > known_s for run in runs)


def _stream_meanwhile(fleet, stopped, whole):
    for number in range(10_000):
        if stopped.is_set():
            return
        answer = fleet.open_stream("entry-1", f"beside-{number}", tokens=40)
        data = b""
        with contextlib.suppress(OSError, http.client.HTTPException):
            data = answer.read()
        whole.append((time.monotonic(), data == platform_fleet.make_events(40)))


def test_a_stream_that_ends_engines_is_held_at_all_entries(running):
    _repeat(running, "/talk/x", X_Model="m", X_Token_Usage="100,20")
    assert _count_late_runs(running) <= RUNS_ALLOWED


def test_a_plain_request_that_ends_instances_is_held_at_all_entries(running):
    _repeat(running, "/safe/x")
    assert _count_late_runs(running) <= RUNS_ALLOWED


def test_what_runs_beside_is_served_once_the_request_is_held(running):
    stopped = threading.Event()
    whole = []
    beside = threading.Thread(target=_stream_meanwhile, args=(running, stopped, whole))
    beside.start()
    try:
        _repeat(running, "/talk/x", X_Model="m", X_Token_Usage="100,20")
    finally:
        stopped.set()
        beside.join()
    known_s = _get_known_s(running)
    later = [is_whole for ended_s, is_whole in whole if ended_s > known_s]
    assert later
    assert all(later)


def test_it_is_still_held_after_all_processes_were_killed(running):
    """Entries have no disk: the keepers tell them what they knew."""
    _repeat(running, "/safe/x", for_s=4.0)
    ends = len(running.get_ends())
    assert ends
    names = [*running.entry_hosts, *running.keeper_hosts]
    for name in names:
        running.kill(name)
    for name in running.keeper_hosts:
        running.start_keeper(name)
    for name in running.entry_hosts:
        running.start_entry(name)
    running.wait_until_ready(*running.entry_hosts)
    answers = _repeat(running, "/safe/x", for_s=3.0)
    assert {answer.status for answer in answers} == {503}
    assert len(running.get_ends()) == ends


def _ask_as_it_starts(fleet, entry, answers):
    """Send the request as soon as an entry takes connections."""

    def _is_answered():
        answer = fleet.ask(entry, "/safe/x", body=platform.CRASH_BODY, X_Request_Id="deadly-early")
        if answer.status:
            answers.append(answer)
        return bool(answers)

    platform_fleet.wait_for(_is_answered, f"{entry} does not answer")


def test_entries_that_start_hold_it_before_they_serve(running):
    """Seen: an entry had a confirmed table 0.3 s before its hub told it what is held.

    Another entry had just started at that hub, which told all it knew at most each half second,
    to all entries together. The first request was run and ended an instance once more.
    """
    _repeat(running, "/safe/x", for_s=3.0)
    ends = len(running.get_ends())
    assert ends
    for name in running.entry_hosts:
        running.kill(name)
    answers = {name: [] for name in running.entry_hosts}
    threads = []
    for name in running.entry_hosts:
        running.start_entry(name)
        asked = threading.Thread(target=_ask_as_it_starts, args=(running, name, answers[name]))
        asked.start()
        threads.append(asked)
    for asked in threads:
        asked.join()
    assert {answer.status for given in answers.values() for answer in given} == {503}
    assert len(running.get_ends()) == ends


class Engines(threading.Thread):
    """Starts engines again that have ended, and counts how often."""

    def __init__(self, fleet_, names):
        super().__init__(daemon=True)
        self._fleet = fleet_
        self._ports = {name: fleet_.addresses[name].rpartition(":")[2] for name in names}
        self.ends = 0
        self.is_told_to_stop = threading.Event()

    def run(self):
        while not self.is_told_to_stop.wait(0.05):
            for name, port in self._ports.items():
                code = self._fleet.processes[name].exit_code
                if code is not None:
                    self.ends += code == engine.CRASH_EXIT_CODE
                    self.is_told_to_stop.wait(0.5)
                    self._fleet.start_engine(name, "--model", calls.MODEL, "--port", port)


@pytest.fixture
def own(tmp_path):
    """A fleet of the product's own interface whose engines are started again."""
    names = ("engine-1", "engine-2", "engine-3")
    with fleet.Fleet(tmp_path) as made:
        fleets.start_fleet(made, engines=names, services=())
        engines = Engines(made, names)
        engines.start()
        yield made, engines
        engines.is_told_to_stop.set()
        engines.join()


def _make_deadly_chat():
    chat = calls.make_chat(5, stream=False)
    chat["messages"][0]["content"] += " [crash]"
    return chat


def _send_chat(made, entry, chat):
    return calls.send(made.addresses[entry], "POST", "/v1/chat/completions", chat)


def _is_ready(made, entry):
    return calls.send(made.addresses[entry], "GET", "/readyz").status == 200


def test_an_entry_that_serves_by_its_saved_table_holds_it_without_a_keeper(own):
    """Seen: what is held was known from keepers only, and its table from its own disk too."""
    made, engines = own
    changes = {"data_dir": str(made.folder / "entry-3.data")}
    made.start_entry("entry-3", changes=changes)
    fleet.wait_for(lambda: _is_ready(made, "entry-3"), "the entry to have a table")
    for number in range(6):
        _send_chat(made, f"entry-{1 + number % 3}", _make_deadly_chat())
        time.sleep(PAUSE_S)
    fleet.wait_for(
        lambda: _send_chat(made, "entry-3", _make_deadly_chat()).error["result_code"] == 2011,
        "entry-3 to hold it",
    )
    time.sleep(SAVED_S)
    ends = engines.ends
    made.processes["keeper-1"].kill()
    made.processes["entry-3"].kill()
    made.start_entry("entry-3", changes=changes)
    assert _is_ready(made, "entry-3")
    answer = _send_chat(made, "entry-3", _make_deadly_chat())
    assert answer.error["result_code"] == 2011
    assert engines.ends == ends


def _find_held(made):
    done = made.run_operator("held", "--json")
    return [item for item in json.loads(done.stdout) if item["held"]]


def test_the_own_interface_holds_it_too_and_operators_let_it_go(own):
    made, engines = own
    codes = []
    for number in range(12):
        answer = _send_chat(made, f"entry-{1 + number % 2}", _make_deadly_chat())
        codes.append(answer.error["result_code"])
        time.sleep(PAUSE_S)
    assert engines.ends <= ENDS_TO_KNOW
    assert codes[-1] == codes[-2] == 2011
    assert answer.headers["Retry-After"] is None
    assert _send_chat(made, "entry-1", calls.make_chat(3, stream=False)).status == 200
    (item,) = _find_held(made)
    # An entry that has just started is told by the keeper.
    made.processes["entry-2"].kill()
    made.start_entry("entry-2")
    fleet.wait_for(lambda: _is_ready(made, "entry-2"), "the entry to have a table")
    assert _send_chat(made, "entry-2", _make_deadly_chat()).error["result_code"] == 2011
    before = engines.ends
    assert made.run_operator("held", "--release", item["content"]).returncode == 0
    fleet.wait_for(lambda: not _find_held(made), "the order to be carried out")
    assert _send_chat(made, "entry-1", _make_deadly_chat()).error["result_code"] != 2011
    assert engines.ends + 1 > before
    assert made.run_operator("held", "--hold", item["content"]).returncode == 0
    answer = _send_chat(made, "entry-1", _make_deadly_chat())
    assert answer.error["result_code"] == 2011
    # What an operator has held outlasts every process.
    for name in ("entry-1", "entry-2", "keeper-1"):
        made.processes[name].kill()
    made.start_keeper("keeper-1", port=int(made.addresses["keeper-1"].rpartition(":")[2]))
    for name in ("entry-1", "entry-2"):
        made.start_entry(name)
        fleet.wait_for(lambda name=name: _is_ready(made, name), "the entry to have a table")
    (again,) = _find_held(made)
    assert (again["content"], again["by_hand"]) == (item["content"], True)
    answer = _send_chat(made, "entry-2", _make_deadly_chat())
    assert answer.error["result_code"] == 2011
