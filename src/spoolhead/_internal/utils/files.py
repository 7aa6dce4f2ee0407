"""Crash-safe file operations: syncing folders, replacing files atomically, locking folders."""

import contextlib
import fcntl
import os
import pathlib

from spoolhead._internal import exceptions


def sync_folder(path: pathlib.Path) -> None:
    """Sync a folder, so that new and renamed entries in it survive a crash.

    :raises exceptions.DiskError: if the operating system reports an error.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
    except OSError as error:
        raise exceptions.DiskError(f"{path}: {error.strerror}") from error


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace a file's content atomically: after a crash it has the old or the new content.

    :raises exceptions.DiskError: if the operating system reports an error; the old content then
        stays.
    """
    temporary = path.with_name(path.name + ".new")
    try:
        with temporary.open("wb") as stream:
            stream.write(data)
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(temporary, path)
    except OSError as error:
        with contextlib.suppress(OSError):
            temporary.unlink(missing_ok=True)
        raise exceptions.DiskError(f"{path}: {error.strerror}") from error
    sync_folder(path.parent)


class FolderLock:
    """Exclusive lock on a data folder, held until the process ends.

    :raises exceptions.DiskError: if another process holds it, or the folder cannot be created.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._stream = (folder / "lock").open("w")
            fcntl.flock(self._stream, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise exceptions.DiskError(f"{folder}: another process uses it") from error
        except OSError as error:
            raise exceptions.DiskError(f"{folder}: {error.strerror}") from error
