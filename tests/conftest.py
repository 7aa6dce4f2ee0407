import os

import hypothesis
import pytest

from lib import known_red
from spoolhead._internal.utils import clocks

hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=60,
    stateful_step_count=30,
    suppress_health_check=list(hypothesis.HealthCheck),
)
hypothesis.settings.register_profile("long", parent=hypothesis.settings.get_profile("ci"))
hypothesis.settings.register_profile(
    "long", deadline=None, max_examples=2_000, stateful_step_count=80
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

RUN_KNOWN_RED = "--run-known-red"


def pytest_addoption(parser):
    parser.addoption(RUN_KNOWN_RED, action="store_true", help="also run what KNOWN-RED.txt lists")


def pytest_terminal_summary(terminalreporter):
    verb = "run" if terminalreporter.config.getoption(RUN_KNOWN_RED) else "passed over"
    for item in known_red.read():
        terminalreporter.write_line(f"known red, {verb}: {item.line}")


def pytest_collection_modifyitems(config, items):
    if config.getoption(RUN_KNOWN_RED):
        return
    listed = {item.test for item in known_red.read()}
    deselected = [item for item in items if item.nodeid in listed]
    items[:] = [item for item in items if item.nodeid not in listed]
    config.hook.pytest_deselected(items=deselected)


@pytest.fixture
def held_clock(monkeypatch):
    """Freeze the clock, for tests that would fail if a busy machine paused them for 0.1 s."""
    now_s = clocks.get_s()
    monkeypatch.setattr(clocks, "get_s", lambda: now_s)
