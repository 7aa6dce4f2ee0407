"""Settings that change while a program runs."""

import pytest

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, fault
from spoolhead._internal.utils import settings_watch


class _Loop:
    def __init__(self):
        self.on_reload = None
        self.scheduler = self
        self.looks = []

    def call_every(self, interval_s, call):
        self.looks.append(call)


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
    loop, taken = _Loop(), []
    settings_watch.SettingsWatch(loop, str(path), _read, taken.append)
    return path, loop, taken


def test_a_signal_reads_the_file_again(watched):
    _, loop, taken = watched
    loop.on_reload()
    assert taken == ["one"]


def test_a_file_that_changes_without_a_signal_is_noticed_once(watched):
    path, loop, taken = watched
    path.write_text("another")
    loop.looks[0]()
    loop.looks[0]()
    assert taken == ["another"]


def test_settings_that_are_no_good_change_nothing(watched):
    path, loop, taken = watched
    path.write_text("bad")
    loop.looks[0]()
    loop.on_reload()
    assert taken == []
