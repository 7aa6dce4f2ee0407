"""Takes over changed settings, on a signal and without one."""

import logging
import os
from collections.abc import Callable
from typing import Generic, TypeVar

from spoolhead._internal import exceptions
from spoolhead._internal.network import loop as loops

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
"""Pause between looks at the file; a change of the keepers is due within seconds."""

_SettingsT = TypeVar("_SettingsT")


class SettingsWatch(Generic[_SettingsT]):
    """Watches one settings file.

    :param loop: root of the program.
    :param path: the file.
    :param read: reads it; raises :class:`exceptions.SettingsError` for one that is no good.
    :param take: gets the changed settings.
    """

    def __init__(
        self,
        loop: loops.Loop,
        path: str,
        read: Callable[[str], _SettingsT],
        take: Callable[[_SettingsT], None],
    ) -> None:
        self._path = path
        self._read = read
        self._take = take
        self._file_state = self._read_file_state()
        loop.on_reload = self.reload
        loop.scheduler.call_every(CHECK_INTERVAL_S, self._check)

    def reload(self) -> None:
        """Read the file; settings that are no good change nothing."""
        self._file_state = self._read_file_state()
        try:
            config = self._read(self._path)
        except exceptions.SettingsError as error:
            logger.error("settings not taken over: %s", error)
            return
        logger.info("settings read again", extra={"fields": {"path": self._path}})
        self._take(config)

    def _check(self) -> None:
        if self._read_file_state() != self._file_state:
            self.reload()

    def _read_file_state(self) -> tuple[int, int, int]:
        try:
            found = os.stat(self._path)
        except OSError as error:
            logger.debug("settings file: %s", error)
            return (0, 0, 0)
        return (found.st_mtime_ns, found.st_size, found.st_ino)
