"""A changed settings file is applied while a program runs."""

import pytest

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, fault
from spoolhead._internal.utils import settings_watch


class _Loop:
    def __init__(self):
        self.on_reload = None
        self.scheduler = self
        self.checks = []

    def call_every(self, interval_s, call):
        self.checks.append(call)


def _read(path):
    with open(path, encoding="utf-8") as stream:
        text = stream.read()
    if text == "bad":
        raise exceptions.SettingsError(path, [fault.Fault(codes.ResultCode.WRONG_FIELD, "bad")])
    return text


@pytest.fixture
def watched(tmp_path):
    path = tmp_path / "settings"
    path.write_text("one")
    loop, applied = _Loop(), []
    settings_watch.SettingsWatch(loop, str(path), _read, applied.append)
    return path, loop, applied


def test_a_signal_reads_the_file_again(watched):
    _, loop, applied = watched
    loop.on_reload()
    assert applied == ["one"]


def test_a_file_that_changes_without_a_signal_is_noticed_once(watched):
    path, loop, applied = watched
    path.write_text("another")
    loop.checks[0]()
    loop.checks[0]()
    assert applied == ["another"]


def test_settings_that_are_no_good_change_nothing(watched):
    path, loop, applied = watched
    path.write_text("bad")
    loop.checks[0]()
    loop.on_reload()
    assert applied == []
