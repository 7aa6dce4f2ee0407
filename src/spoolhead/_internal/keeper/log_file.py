"""The keeper's log file; a record is acknowledged only after it is synced."""

import logging
import os
import pathlib

from spoolhead._internal import exceptions
from spoolhead._internal.utils import files
from spoolhead.coordination import changelog

logger = logging.getLogger(__name__)

FILE_NAME = "table.log"


class LogFile:
    """An append-only file of records.

    :param folder: the keeper's data folder.
    :raises exceptions.DiskError: if the file cannot be opened.
    :raises exceptions.LogDamagedError: if the file is damaged.
    :ivar payloads: payloads found when the file was opened; the owner may clear the list.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self._path = folder / FILE_NAME
        self._failed = False
        try:
            self._descriptor = os.open(self._path, os.O_RDWR | os.O_CREAT, 0o600)
            data = self._path.read_bytes()
        except OSError as error:
            raise exceptions.DiskError(f"{self._path}: {error.strerror}") from error
        scan_result = changelog.scan(data)
        if scan_result.damage is not None:
            raise exceptions.LogDamagedError(
                str(self._path), scan_result.good_bytes, scan_result.damage
            )
        self.payloads = scan_result.payloads
        self._length = scan_result.good_bytes
        if scan_result.torn:
            cut_bytes = len(data) - scan_result.good_bytes
            logger.warning("%s: truncated %d bytes of a torn last write", self._path, cut_bytes)
        self._truncate()
        files.sync_folder(folder)

    def append(self, payload: bytes) -> None:
        """Append one record and sync it.

        :raises exceptions.DiskError: if the record is not durable. The log is then unchanged, or
            refuses all further records until the process restarts.
        """
        if self._failed:
            raise exceptions.DiskError(f"{self._path}: an earlier write failed")
        record = changelog.make_record(payload)
        try:
            self._write(record)
        except OSError as error:
            self._discard_partial_write()
            raise exceptions.DiskError(f"{self._path}: {error.strerror}") from error
        try:
            os.fsync(self._descriptor)
        except OSError as error:
            # After a failed sync the kernel may discard the dirty pages and report success for the
            # next sync. The content of the file is therefore unknown until it is read again.
            self._failed = True
            raise exceptions.DiskError(f"{self._path}: {error.strerror}") from error
        self._length += len(record)

    def _write(self, record: bytes) -> None:
        written = 0
        while written < len(record):
            written += os.pwrite(self._descriptor, record[written:], self._length + written)

    def _discard_partial_write(self) -> None:
        try:
            self._truncate()
        except exceptions.DiskError:
            self._failed = True

    def _truncate(self) -> None:
        try:
            os.ftruncate(self._descriptor, self._length)
            os.fsync(self._descriptor)
        except OSError as error:
            raise exceptions.DiskError(f"{self._path}: {error.strerror}") from error
