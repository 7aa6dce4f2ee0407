"""What the soak does to processes: faults of one run that overlap."""

import subprocess
import sys
import threading

import pytest

from soak import faults, plan, records

WAIT_S = 5.0


class SlowFleet:
    """A process whose log takes long to read, as when the machine stands still."""

    def __init__(self):
        self.processes = {"entry-1": object()}
        self.is_read = threading.Event()
        self.may_go_on = threading.Event()
        self.done = []

    def get_names(self):
        return ["entry-1"]

    def has_begun(self, name):
        del name
        self.is_read.set()
        return self.may_go_on.wait(WAIT_S)

    def signal(self, name, number):
        del number
        assert self.processes[name]
        self.done.append("signal")

    def wait_for_end(self, name):
        self.processes.pop(name)
        return 0

    def kill(self, name):
        self.processes.pop(name)
        self.done.append("kill")

    def start_again(self, name):
        self.processes[name] = object()
        self.done.append("start")


def test_a_kill_that_meets_a_process_that_is_being_stopped_is_left_out():
    fleet = SlowFleet()
    seen = records.Records()
    doing = faults.Faults(fleet, seen)
    steps = [
        plan.Step(at_s=0.0, kind="stop", target="entry-1", for_s=0.0),
        plan.Step(at_s=0.01, kind="kill", target="entry-1", for_s=0.2),
    ]
    playing = threading.Thread(target=doing.play, args=(steps,))
    playing.start()
    assert fleet.is_read.wait(WAIT_S)
    threading.Timer(0.1, fleet.may_go_on.set).start()
    playing.join(WAIT_S)
    assert seen.problems == []
    assert fleet.done == ["signal", "start"]


class EndingFleet:
    """A process that another fault has ended by the time a pause or a full disk is over."""

    def __init__(self):
        command = [sys.executable, "-c", "import time; time.sleep(60)"]
        self.processes = {"keeper-2": subprocess.Popen(command)}

    def get_names(self):
        return ["keeper-2"]

    def signal(self, name, number):
        self.processes[name].send_signal(number)

    def end(self):
        process = self.processes.pop("keeper-2")
        process.kill()
        process.wait()


@pytest.mark.parametrize("kind", ["pause", "full_disk"])
def test_a_process_that_ended_meanwhile_has_nothing_to_be_undone(kind):
    """Guards against a soak that takes its own delay on a busy machine for a broken promise."""
    fleet = EndingFleet()
    seen = records.Records()
    step = plan.Step(at_s=0.0, kind=kind, target="keeper-2", for_s=0.5)
    playing = threading.Thread(target=faults.Faults(fleet, seen).play, args=([step],))
    playing.start()
    threading.Timer(0.2, fleet.end).start()
    playing.join(WAIT_S)
    assert seen.problems == []
