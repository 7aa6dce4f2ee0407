"""A keeper's disk: synced records are read back, unsynced ones do not prevent a start."""

import errno
import os
import threading

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from spoolhead._internal import exceptions
from spoolhead._internal.quorum import storage
from spoolhead._internal.utils import disk_refusals
from spoolhead.coordination import changelog, replicated_log

RECORDS = [
    replicated_log.Vote(3, "a#first"),
    replicated_log.Appended(1, 3, 1, b"one"),
    replicated_log.Appended(2, 3, 1, b"two"),
]


class _SyncWaiter:
    def __init__(self):
        self.number = 0
        self._condition = threading.Condition()

    def __call__(self, number):
        with self._condition:
            self.number = number
            self._condition.notify_all()

    def wait_for(self, number):
        with self._condition:
            assert self._condition.wait_for(lambda: self.number >= number, timeout=10)


def test_what_was_synced_is_read_back(tmp_path):
    synced = _SyncWaiter()
    disk = storage.Storage(tmp_path, "a#first", RECORDS[:1], synced)
    disk.write(RECORDS[1:])
    synced.wait_for(2)
    saved = storage.read(tmp_path)
    assert saved.member_id == "a#first"
    assert saved.records == RECORDS


def test_a_folder_of_the_released_version_is_read(tmp_path):
    """Snapshots and members of changes were written without the former members."""
    members = ["a#1", "b#1", "c#1"]
    records = [
        ["identity", "a#1"],
        ["vote", 4, ""],
        ["snapshot", 7, 3, members, 3, b"state"],
        ["entry", 8, 4, 2, msgpack.packb([["a#1", "b#1"], 3])],
    ]
    data = b"".join(changelog.make_record(msgpack.packb(record)) for record in records)
    (tmp_path / storage.FILE_NAME).write_bytes(data)
    saved = storage.read(tmp_path)
    log = replicated_log.ReplicatedLog(replicated_log.Snapshot(0, 0, [], 0, b""))
    for record in saved.records:
        log.restore(record)
    assert saved.member_id == "a#1"
    assert (log.snapshot.members, log.snapshot.former, log.snapshot.state) == (
        members,
        [],
        b"state",
    )
    assert (log.membership.members, log.membership.is_joint) == (("a#1", "b#1"), False)


def test_an_empty_folder_has_no_memory(tmp_path):
    saved = storage.read(tmp_path / "new")
    assert (saved.member_id, saved.records) == ("", [])


def test_the_file_is_written_anew_and_stands_for_all_before(tmp_path):
    synced = _SyncWaiter()
    disk = storage.Storage(tmp_path, "a#first", RECORDS, synced)
    disk.rewrite(RECORDS[:1])
    disk.write(RECORDS[2:])
    synced.wait_for(1)
    assert storage.read(tmp_path).records[0] == RECORDS[0]


def test_a_full_disk_is_tried_until_it_takes_the_write(tmp_path, monkeypatch):
    synced = _SyncWaiter()
    disk = storage.Storage(tmp_path, "a#first", [], synced)
    refusals = [1, 1]
    write = os.pwrite

    def _refuse(descriptor, data, offset):
        if refusals:
            refusals.pop()
            write(descriptor, data[:5], offset)
            raise OSError(errno.ENOSPC, "no space left on device")
        return write(descriptor, data, offset)

    monkeypatch.setattr(os, "pwrite", _refuse)
    disk.write(RECORDS)
    synced.wait_for(3)
    assert storage.read(tmp_path).records == RECORDS


@hypothesis.given(strategies.data())
def test_records_behind_the_last_sync_may_be_torn_each_by_itself(tmp_path_factory, data):
    """A torn record ends the reading even if valid ones follow; the synced part is kept."""
    folder = tmp_path_factory.mktemp("disk")
    synced = b"".join(storage._pack(record) for record in RECORDS)
    unsynced = [storage._pack(replicated_log.Appended(i, 3, 1, b"late" * 9)) for i in (3, 4, 5)]
    rest = b""
    for record in unsynced:
        outcome = data.draw(strategies.sampled_from(["present", "absent", "torn"]))
        if outcome == "torn":
            record = record[: len(record) // 2] + b"\0" * (len(record) - len(record) // 2)
        elif outcome == "absent":
            record = b"\0" * len(record)
        rest += record
    (folder / storage.FILE_NAME).write_bytes(synced + rest)
    assert storage.read(folder).records[:3] == RECORDS


def test_reading_a_log_takes_time_in_line_with_its_size():
    """Counts copied bytes instead of seconds: each record is read once."""
    payload = b"x" * 1_000

    class _Counting(bytes):
        copied = 0

        def __getitem__(self, key):
            part = bytes.__getitem__(self, key)
            if isinstance(key, slice):
                _Counting.copied += len(part)
            return part

    log = _Counting(changelog.make_record(payload) * 300)
    assert len(changelog.scan(log).payloads) == 300
    assert _Counting.copied <= 2 * len(log)


def test_a_start_waits_for_a_disk_that_is_full_for_a_while(tmp_path, monkeypatch):
    """A keeper that exits instead stays down until somebody starts it again."""
    storage.Storage(tmp_path, "a#first", RECORDS, _SyncWaiter())
    replace_file = storage.files.replace_file
    refusals = [None, None]

    def _replace(path, data):
        if refusals:
            refusals.pop()
            raise exceptions.DiskError(f"{path}: no space")
        replace_file(path, data)

    monkeypatch.setattr(storage.files, "replace_file", _replace)
    monkeypatch.setattr(disk_refusals, "RETRY_S", 0.01)
    storage.Storage(tmp_path, "a#first", RECORDS, _SyncWaiter())
    assert storage.read(tmp_path).records == RECORDS


def test_a_start_on_a_disk_that_stays_full_ends(tmp_path, monkeypatch):
    def _replace(path, data):
        raise exceptions.DiskError(f"{path}: no space")

    monkeypatch.setattr(storage.files, "replace_file", _replace)
    monkeypatch.setattr(storage, "START_TIMEOUT_S", 0.05)
    monkeypatch.setattr(disk_refusals, "RETRY_S", 0.01)
    with pytest.raises(exceptions.DiskError):
        storage.Storage(tmp_path, "a#first", RECORDS, _SyncWaiter())
