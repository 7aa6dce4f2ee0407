"""Overlapping faults of one run of the fault soak."""

import subprocess
import sys
import threading
import types

import pytest

from lib import platform_fleet
from soak import faults, plan, records, run

TIMEOUT_S = 5.0


class SlowFleet:
    """A fleet with one process whose log takes long to read, as on an overloaded machine."""

    def __init__(self):
        self.processes = {"entry-1": object()}
        self.read_started = threading.Event()
        self.read_may_finish = threading.Event()
        self.actions = []

    def get_process_names(self):
        return ["entry-1"]

    def has_started(self, name):
        del name
        self.read_started.set()
        return self.read_may_finish.wait(TIMEOUT_S)

    def signal(self, name, number):
        del number
        assert self.processes[name]
        self.actions.append("signal")

    def wait_for_exit(self, name):
        self.processes.pop(name)
        return 0

    def kill(self, name):
        self.processes.pop(name)
        self.actions.append("kill")

    def restart(self, name):
        self.processes[name] = object()
        self.actions.append("start")


def test_a_kill_that_meets_a_process_that_is_being_stopped_is_left_out():
    fleet = SlowFleet()
    observed = records.Records()
    injector = faults.FaultInjector(fleet, observed)
    steps = [
        plan.Step(at_s=0.0, kind="stop", target="entry-1", for_s=0.0),
        plan.Step(at_s=0.01, kind="kill", target="entry-1", for_s=0.2),
    ]
    player = threading.Thread(target=injector.play, args=(steps,))
    player.start()
    assert fleet.read_started.wait(TIMEOUT_S)
    threading.Timer(0.1, fleet.read_may_finish.set).start()
    player.join(TIMEOUT_S)
    assert observed.problems == []
    assert fleet.actions == ["signal", "start"]


class EndingFleet:
    """A fleet with one process that another fault ends during a pause or a full disk."""

    def __init__(self):
        command = [sys.executable, "-c", "import time; time.sleep(60)"]
        self.processes = {"keeper-2": subprocess.Popen(command)}

    def get_process_names(self):
        return ["keeper-2"]

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def end(self):
        process = self.processes.pop("keeper-2")
        process.kill()
        process.wait()


@pytest.mark.parametrize("kind", ["pause", "full_disk"])
def test_a_process_that_ended_meanwhile_has_nothing_to_be_undone(kind):
    """Guards against a soak that reports its own delay on a busy machine as a violation."""
    fleet = EndingFleet()
    observed = records.Records()
    step = plan.Step(at_s=0.0, kind=kind, target="keeper-2", for_s=0.5)
    player = threading.Thread(target=faults.FaultInjector(fleet, observed).play, args=([step],))
    player.start()
    threading.Timer(0.2, fleet.end).start()
    player.join(TIMEOUT_S)
    assert observed.problems == []


def test_a_process_that_exited_by_itself_before_a_kill_is_recorded(tmp_path):
    fleet = run.SoakFleet(tmp_path)
    fleet.processes["entry-1"] = subprocess.Popen([sys.executable, "-c", ""])
    fleet.processes["entry-1"].wait(TIMEOUT_S)
    fleet.kill("entry-1")
    assert fleet.get_exited() == ["entry-1"]


class RecoveredFleet:
    """A fleet that is ready again, with a given answer to each generation."""

    def __init__(self, status, body):
        self._answer = types.SimpleNamespace(status=status, body=body)

    def wait_until_ready(self, *_entries):
        pass

    def send(self, _entry, _path, **_headers):
        return self._answer

    def read_version(self, _keeper):
        return faults.FIRST_VERSION


@pytest.mark.parametrize(
    ("status", "body", "problems"),
    [
        (200, platform_fleet.make_events(5), []),
        (200, platform_fleet.make_events(4), ["not recovered: entry-1 serves no generation"]),
        (503, b"", ["not recovered: entry-1 serves no generation"]),
    ],
)
def test_an_entry_that_serves_no_generations_after_the_faults_is_found(
    monkeypatch, status, body, problems
):
    monkeypatch.setattr(platform_fleet, "TIMEOUT_S", 0.1)
    observed = records.Records()
    fleet = RecoveredFleet(status, body)
    run._check_recovery(fleet, observed, faults.FaultInjector(fleet, observed))
    assert observed.problems == problems


def test_an_order_that_no_keeper_takes_is_reported_with_each_answer(monkeypatch):
    monkeypatch.setattr(platform_fleet, "TIMEOUT_S", 0.2)
    answer = types.SimpleNamespace(status=503)
    fleet = types.SimpleNamespace(put=lambda keeper, document: answer)
    observed = records.Records()
    injector = faults.FaultInjector(fleet, observed)
    injector._put("keeper-2", 7)
    (problem,) = observed.problems
    assert problem.startswith("no keeper acknowledged version 7: 0.0 s keeper-2 503 after 0.0 s; ")


def test_logs_and_the_text_of_a_wait_that_ran_out_are_kept(tmp_path, monkeypatch):
    def _fail(seed, folder, observed):
        (folder / "keeper-1.log").write_text('{"text": "process stood still"}\n')
        raise AssertionError("entry-1 is not ready")

    monkeypatch.setattr(run, "_run_plan", _fail)
    monkeypatch.setattr(run.tempfile, "mkdtemp", lambda prefix: str(tmp_path / prefix))
    (tmp_path / "run").mkdir()
    violations, _ = run.run_seed(7, tmp_path / "run")
    assert violations[0] == "a wait ran out: entry-1 is not ready"
    assert "stalls {'keeper-1': 1}" in violations[1]
    kept = tmp_path / "soak-7-"
    assert (kept / "keeper-1.log").exists()
    assert "entry-1 is not ready" in (kept / "violations.txt").read_text()
