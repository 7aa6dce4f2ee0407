"""Saves a process's content records on its disk.

Few entries have a disk, so without this file all records would be lost if the entries and the
keepers lost power together, and the requests on record would crash instances again. One keeper with
an intact disk is enough, since processes exchange their records. A separate thread writes the file,
so that a slow disk delays nothing else.
"""

import logging
import pathlib
import threading
import time
from collections.abc import Callable

import msgpack

from spoolhead._internal import exceptions
from spoolhead._internal.models import content_record
from spoolhead._internal.network import scheduler
from spoolhead._internal.policy import content_registry
from spoolhead._internal.utils import clocks, disk_refusals, files
from spoolhead.coordination import changelog

logger = logging.getLogger(__name__)

FILE_NAME = "contents"
FORMAT_VERSION = 1
"""Version of the file format. A file of another version is ignored: until its contents are held
again, that costs two crashed instances, but violates no guarantee."""
MIN_SAVE_INTERVAL_S = 0.25
"""Minimum interval between two writes. The maximum of a thousand records takes some 60 KB, so
frequent changes cost the disk 240 KB/s at most; records lost with the power are no older than this
interval."""


def encode(items: list[content_record.AgedRecord], wall_s: float) -> bytes:
    """Return the bytes of the file.

    :param wall_s: the time of day, in seconds.
    """
    payload = msgpack.packb([FORMAT_VERSION, int(wall_s * 1000), content_record.pack(items)])
    return changelog.make_record(payload)


def decode(data: bytes, wall_s: float) -> list[content_record.AgedRecord]:
    """Decode the bytes of the file.

    Ages include the time since the file was written, by the time of day, the only clock that
    survives a restart.

    :param wall_s: the time of day, in seconds.
    :raises ValueError: if the data is not valid.
    :raises TypeError: if the data is not valid.
    """
    payloads = changelog.scan(data).payloads
    if not payloads:
        raise ValueError("no complete record")
    version, wall_ms, values = msgpack.unpackb(payloads[0])
    if version != FORMAT_VERSION:
        raise ValueError(f"unknown format version {version!r}")
    since_ms = max(0, int(wall_s * 1000) - wall_ms)
    items = content_record.unpack(values)
    return [content_record.AgedRecord(item.record, item.age_ms + since_ms) for item in items]


class SavedContents:
    """Loads a registry from the disk and saves its changes.

    :param folder: the process's data folder.
    :param registry: the records.
    :param timers: schedules callbacks.
    :param clock: monotonic time in seconds, as used by the registry.
    :param wall_clock: the time of day in seconds.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        registry: content_registry.ContentRegistry,
        timers: scheduler.Scheduler,
        *,
        clock: clocks.Clock = clocks.get_s,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        self._path = folder / FILE_NAME
        self._registry = registry
        self._timers = timers
        self._clock = clock
        self._wall_clock = wall_clock
        self._refusals = disk_refusals.DiskRefusals(self._path)
        self._load()
        self._digest = registry.digest
        self._earliest_save_s = clock()
        self._timer: scheduler.Timer | None = None
        self._condition = threading.Condition()
        self._unwritten_data: bytes | None = None
        self._is_synced = True
        threading.Thread(target=self._write_changes, name="saved-contents", daemon=True).start()

    def schedule_save(self) -> None:
        """Schedule a write of the records if they have changed."""
        if self._registry.digest == self._digest or self._timer is not None:
            return
        delay_s = self._earliest_save_s - self._clock()
        if delay_s > 0:
            self._timer = self._timers.call_later(delay_s, self._save)
        else:
            self._save()

    @property
    def is_synced(self) -> bool:
        """Whether all recorded changes are on the disk."""
        with self._condition:
            return self._timer is None and self._is_synced

    def wait_until_synced(self, timeout_s: float) -> bool:
        """Wait until all changes are on the disk; return False on a timeout."""
        if self._timer is not None:
            self._save()
        with self._condition:
            return self._condition.wait_for(lambda: self._is_synced, timeout_s)

    def _save(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now_s = self._clock()
        self._earliest_save_s = now_s + MIN_SAVE_INTERVAL_S
        self._digest = self._registry.digest
        items = self._registry.get_all_aged(self._registry.get_ids(), now_s)
        data = encode(items, self._wall_clock())
        with self._condition:
            self._unwritten_data = data
            self._is_synced = False
            self._condition.notify_all()

    def _load(self) -> None:
        if not self._path.exists():
            return
        fields: dict[str, object] = {"path": str(self._path)}
        try:
            items = decode(self._path.read_bytes(), self._wall_clock())
        except (OSError, TypeError, ValueError) as error:
            fields["reason"] = str(error)
            logger.warning("cannot read saved contents", extra={"fields": fields})
            return
        fields["contents"] = len(self._registry.merge(items, self._clock()))
        logger.info("loaded saved contents", extra={"fields": fields})

    def _write_changes(self) -> None:
        while True:
            with self._condition:
                self._condition.wait_for(lambda: self._unwritten_data is not None)
                data, self._unwritten_data = self._unwritten_data, None
            assert data is not None
            is_written = self._write(data)
            with self._condition:
                if not is_written and self._unwritten_data is None:
                    self._unwritten_data = data
                self._is_synced = self._unwritten_data is None
                self._condition.notify_all()
            if not is_written:
                time.sleep(disk_refusals.RETRY_S)

    def _write(self, data: bytes) -> bool:
        """Write the file; return False if the disk refuses it."""
        try:
            files.replace_file(self._path, data)
        except exceptions.DiskError as error:
            self._refusals.record_refused(error)
            return False
        self._refusals.record_success()
        return True
