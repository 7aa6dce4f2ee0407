"""Files that survive a crash: appended with sync, or replaced whole."""

import contextlib
import fcntl
import os
import pathlib

from spoolhead._internal import exceptions


def sync_folder(path: pathlib.Path) -> None:
    """Make the folder's entries durable.

    :raises exceptions.DiskError: if the system refuses.
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
    """Replace a file's content; after a crash either the old or the new one is there.

    :raises exceptions.DiskError: if the system refuses; the old content then stays.
    """
    draft = path.with_name(path.name + ".new")
    try:
        with draft.open("wb") as stream:
            stream.write(data)
            stream.flush()
            os.fsync(stream.fileno())
        os.replace(draft, path)
    except OSError as error:
        with contextlib.suppress(OSError):
            draft.unlink(missing_ok=True)
        raise exceptions.DiskError(f"{path}: {error.strerror}") from error
    sync_folder(path.parent)


class FolderLock:
    """Keeps a second process out of a data folder while this one lives."""

    def __init__(self, folder: pathlib.Path) -> None:
        try:
            folder.mkdir(parents=True, exist_ok=True)
            self._stream = (folder / "lock").open("w")
            fcntl.flock(self._stream, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError as error:
            raise exceptions.DiskError(f"{folder}: another process uses it") from error
        except OSError as error:
            raise exceptions.DiskError(f"{folder}: {error.strerror}") from error
