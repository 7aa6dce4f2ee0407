"""Stores a keeper's copy of the replicated log on disk.

Records are appended to one file in batches. A separate thread syncs each batch, so a slow disk
delays only the operations that depend on the records. After a power failure, each record after the
last sync may be present, missing or torn, independently of the others. None of these records was
acknowledged, so reading stops at the first invalid record.
"""

import collections
import logging
import os
import pathlib
import threading
import time
from collections.abc import Callable, Sequence

import msgpack

from spoolhead._internal import exceptions
from spoolhead._internal.utils import clocks, disk_refusals, files
from spoolhead.coordination import changelog, replicated_log

logger = logging.getLogger(__name__)

FILE_NAME = "agreement.log"
REWRITE_THRESHOLD_BYTES = 8 * 1024 * 1024
"""File size from which the file is rewritten: a sixteenth of a disk of 128 MB, and about eighty of
the largest tables seen (100 KiB)."""
START_TIMEOUT_S = 5.0
"""Time for which a start retries on a disk that refuses writes before the process exits: several
times as long as a disk was seen to stay full. Nothing may be acknowledged before the member id is
on disk."""

_IDENTITY = "identity"
_TAGS: dict[type, str] = {
    replicated_log.Vote: "vote",
    replicated_log.Appended: "entry",
    replicated_log.Snapshot: "snapshot",
}
_CLASSES = {tag: cls for cls, tag in _TAGS.items()}


class Saved:
    """Content of the disk at the start.

    :ivar member_id: id under which the records were written; empty for an empty disk.
    :ivar records: the records, in order.
    """

    __slots__ = ("member_id", "records")

    def __init__(self) -> None:
        self.member_id = ""
        self.records: list[replicated_log.Record] = []


def read(folder: pathlib.Path) -> Saved:
    """Read the log in a keeper's data folder.

    :raises exceptions.DiskError: if it cannot be read.
    """
    saved = Saved()
    path = folder / FILE_NAME
    try:
        data = path.read_bytes() if path.exists() else b""
    except OSError as error:
        raise exceptions.DiskError(f"{path}: {error.strerror}") from error
    scan_result = changelog.scan(data)
    if scan_result.good_bytes < len(data):
        cut_bytes = len(data) - scan_result.good_bytes
        fields = {"path": str(path), "bytes": cut_bytes, "reason": scan_result.damage or "torn"}
        logger.warning("unsynced end of the log ignored", extra={"fields": fields})
    for payload in scan_result.payloads:
        tag, *values = msgpack.unpackb(payload)
        if tag == _IDENTITY:
            saved.member_id = values[0]
        else:
            saved.records.append(_CLASSES[tag](*values))
    return saved


def _pack(record: replicated_log.Record) -> bytes:
    values = [getattr(record, name) for name in record.__slots__]
    return changelog.make_record(msgpack.packb([_TAGS[type(record)], *values]))


class Storage:
    """Writes records in a separate thread and reports up to which number they are synced.

    :param folder: the keeper's data folder.
    :param member_id: id under which the records are written.
    :param records: initial records of the file; they are synced when the constructor returns.
    :param on_synced: called from the writer thread with the number up to which records are synced.
    :raises exceptions.DiskError: if the file cannot be created.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        member_id: str,
        records: Sequence[replicated_log.Record],
        on_synced: Callable[[int], None],
    ) -> None:
        self._path = folder / FILE_NAME
        self._refusals = disk_refusals.DiskRefusals(self._path)
        self._identity = changelog.make_record(msgpack.packb([_IDENTITY, member_id]))
        self._on_synced = on_synced
        self._condition = threading.Condition()
        self._pending: collections.deque[bytes] = collections.deque()
        self._rewrite: bytes | None = None
        self._queued = 0
        self._descriptor = -1
        self._length = 0
        try:
            folder.mkdir(parents=True, exist_ok=True)
        except OSError as error:
            raise exceptions.DiskError(f"{folder}: {error.strerror}") from error
        self._create_file(self._encode_file(records))
        self._thread = threading.Thread(target=self._run_writer, name="storage", daemon=True)
        self._thread.start()

    @property
    def needs_rewrite(self) -> bool:
        """Whether the file has grown large enough to be rewritten."""
        return self._length > REWRITE_THRESHOLD_BYTES and self._rewrite is None

    def write(self, records: Sequence[replicated_log.Record]) -> None:
        """Queue records; they are numbered consecutively from 1."""
        data = b"".join(_pack(record) for record in records)
        with self._condition:
            self._pending.append(data)
            self._queued += len(records)
            self._condition.notify()

    def rewrite(self, records: Sequence[replicated_log.Record]) -> None:
        """Replace the file by records that are equivalent to all records queued before."""
        with self._condition:
            self._rewrite = self._encode_file(records)
            self._pending.clear()
            self._condition.notify()

    def _create_file(self, data: bytes) -> None:
        """Write the initial file, to which later records are appended.

        :raises exceptions.DiskError: if the disk refuses the write for longer than START_TIMEOUT_S.
        """
        start_s = clocks.get_s()
        while True:
            try:
                self._replace(data)
                return
            except exceptions.DiskError as error:
                if clocks.get_s() - start_s > START_TIMEOUT_S:
                    raise
                fields = {"path": str(self._path), "reason": str(error)}
                logger.error("disk refuses writes", extra={"fields": fields})
                time.sleep(disk_refusals.RETRY_S)

    def _encode_file(self, records: Sequence[replicated_log.Record]) -> bytes:
        return self._identity + b"".join(_pack(record) for record in records)

    def _run_writer(self) -> None:
        while True:
            with self._condition:
                while not self._pending and self._rewrite is None:
                    self._condition.wait()
                number = self._queued
                rewrite, data = self._rewrite, b"".join(self._pending)
                self._pending.clear()
            self._write_with_retries(rewrite, data)
            self._on_synced(number)

    def _write_with_retries(self, rewrite: bytes | None, data: bytes) -> None:
        """Write and sync data, retrying until the disk accepts it."""
        while True:
            try:
                if rewrite is not None:
                    self._replace(rewrite)
                    self._rewrite = rewrite = None
                if data:
                    self._append(data)
                break
            except (OSError, exceptions.DiskError) as error:
                self._refusals.record_refused(error)
                time.sleep(disk_refusals.RETRY_S)
        self._refusals.record_success()

    def _append(self, data: bytes) -> None:
        written = 0
        while written < len(data):
            written += os.pwrite(self._descriptor, data[written:], self._length + written)
        os.fdatasync(self._descriptor)
        self._length += len(data)

    def _replace(self, data: bytes) -> None:
        files.replace_file(self._path, data)
        descriptor = os.open(self._path, os.O_RDWR)
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._descriptor = descriptor
        self._length = len(data)
