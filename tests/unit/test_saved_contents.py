"""Content records on a keeper's disk: they survive any stop and never prevent a start."""

import threading

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from lib import content_fleet, simulated_clock
from spoolhead._internal import exceptions
from spoolhead._internal.contents import saved_contents
from spoolhead._internal.models import content_record
from spoolhead._internal.policy import content_registry, quarantine
from spoolhead._internal.utils import files
from spoolhead.coordination import changelog

DEADLY = content_fleet.make_id("deadly")
WAIT_S = 5.0


class Process:
    """One run of a keeper on a folder that persists."""

    def __init__(self, folder, *, wall_s=1_000.0, now_s=50.0):
        self.clock = simulated_clock.Clock()
        self.clock.now_s = now_s
        self.wall_s = wall_s
        self.registry = content_registry.ContentRegistry()
        self.saved = saved_contents.SavedContents(
            folder, self.registry, self.clock, clock=self.clock, wall_clock=lambda: self.wall_s
        )

    def hold(self, *, at_s):
        record = content_record.ContentRecord(content_id=DEADLY, ends=(1, 2), waves=2)
        self.registry.set(record, at_s)
        self.save()

    def save(self):
        self.saved.schedule_save()
        assert self.saved.wait_until_synced(WAIT_S)


def test_what_was_known_is_known_after_a_start(tmp_path):
    Process(tmp_path).hold(at_s=45.0)
    again = Process(tmp_path)
    assert quarantine.is_held(again.registry.get(DEADLY))


def test_the_time_in_between_counts_by_the_time_of_day(tmp_path):
    Process(tmp_path, wall_s=1_000.0).hold(at_s=45.0)
    again = Process(tmp_path, wall_s=1_030.0, now_s=3.0)
    assert again.registry.get_changed_s(DEADLY) == pytest.approx(3.0 - 5.0 - 30.0, abs=0.01)


def test_a_time_of_day_that_went_back_makes_nothing_younger_than_it_was(tmp_path):
    Process(tmp_path, wall_s=1_000.0).hold(at_s=45.0)
    again = Process(tmp_path, wall_s=400.0, now_s=3.0)
    assert again.registry.get_changed_s(DEADLY) == pytest.approx(3.0 - 5.0, abs=0.01)


def test_what_was_let_go_is_not_known_after_a_start(tmp_path):
    process = Process(tmp_path)
    process.hold(at_s=45.0)
    process.registry.set(content_record.begin_epoch(DEADLY, process.registry.get(DEADLY)), 50.0)
    process.save()
    record = Process(tmp_path).registry.get(DEADLY)
    assert record is None or not record.is_suspect


def test_nothing_is_written_while_nothing_changes(tmp_path):
    process = Process(tmp_path)
    process.hold(at_s=45.0)
    path = tmp_path / saved_contents.FILE_NAME
    before = path.stat().st_mtime_ns
    process.save()
    assert path.stat().st_mtime_ns == before


@hypothesis.given(data=strategies.binary(max_size=200), cut=strategies.integers(0, 200))
@hypothesis.settings(suppress_health_check=[hypothesis.HealthCheck.function_scoped_fixture])
def test_a_file_that_cannot_be_read_keeps_no_keeper_from_starting(tmp_path, data, cut):
    process = Process(tmp_path)
    process.hold(at_s=45.0)
    path = tmp_path / saved_contents.FILE_NAME
    whole = path.read_bytes()
    path.write_bytes(whole[: min(cut, len(whole) - 1)] + data)
    again = Process(tmp_path)
    again.hold(at_s=45.0)
    assert quarantine.is_held(Process(tmp_path).registry.get(DEADLY))


def test_a_disk_that_refuses_delays_nobody_and_is_tried_again(tmp_path, monkeypatch):
    refused = threading.Event()
    real = files.replace_file

    def _refuse(path, data):
        if not refused.is_set():
            refused.set()
            raise exceptions.DiskError("no space left on device")
        real(path, data)

    process = Process(tmp_path)
    monkeypatch.setattr(files, "replace_file", _refuse)
    process.hold(at_s=45.0)
    assert refused.is_set()
    assert quarantine.is_held(Process(tmp_path).registry.get(DEADLY))


def test_an_older_form_of_the_file_is_left_unread(tmp_path):
    process = Process(tmp_path)
    process.hold(at_s=45.0)
    path = tmp_path / saved_contents.FILE_NAME
    path.write_bytes(changelog.make_record(msgpack.packb([0, 0, []])))
    assert not len(Process(tmp_path).registry)


def test_a_flood_is_written_at_most_four_times_a_second(tmp_path, monkeypatch):
    real, made, writes = saved_contents.encode, [], []

    def _encode(items, wall_s):
        made.append(real(items, wall_s))
        return made[-1]

    monkeypatch.setattr(saved_contents, "encode", _encode)
    monkeypatch.setattr(files, "replace_file", lambda path, data: writes.append(data))
    process = Process(tmp_path)
    for number in range(200):
        record = content_record.ContentRecord(content_id=b"%016d" % number, ends=(1,), waves=1)
        process.registry.set(record, process.clock.now_s)
        process.saved.schedule_save()
        process.clock.run(0.01)
    assert process.saved.wait_until_synced(WAIT_S)
    assert len(made) <= 2.0 / saved_contents.MIN_SAVE_INTERVAL_S + 2
    assert writes[-1] == made[-1]
    assert len(saved_contents.decode(writes[-1], process.wall_s)) == 200
