"""Reloads a settings file on SIGHUP and when it changes."""

import logging
import os
from collections.abc import Callable
from typing import Generic, TypeVar

from spoolhead._internal import exceptions
from spoolhead._internal.network import loop as loops

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
"""Interval between checks of the file; a change of the keepers must take effect within seconds."""

_SettingsT = TypeVar("_SettingsT")


class SettingsWatch(Generic[_SettingsT]):
    """Watches a settings file.

    :param loop: event loop of the program.
    :param path: path of the file.
    :param read: reads the file; raises :class:`exceptions.SettingsError` if it is not valid.
    :param on_change: called with the new settings.
    """

    def __init__(
        self,
        loop: loops.Loop,
        path: str,
        read: Callable[[str], _SettingsT],
        on_change: Callable[[_SettingsT], None],
    ) -> None:
        self._path = path
        self._read = read
        self._on_change = on_change
        self._file_state = self._read_file_state()
        loop.on_reload = self.reload
        loop.scheduler.call_every(CHECK_INTERVAL_S, self._check)

    def reload(self) -> None:
        """Read the file again; settings that are not valid are logged and ignored."""
        self._file_state = self._read_file_state()
        try:
            config = self._read(self._path)
        except exceptions.SettingsError as error:
            logger.error("settings not taken over: %s", error)
            return
        logger.info("settings read again", extra={"fields": {"path": self._path}})
        self._on_change(config)

    def _check(self) -> None:
        if self._read_file_state() != self._file_state:
            self.reload()

    def _read_file_state(self) -> tuple[int, int, int]:
        try:
            status = os.stat(self._path)
        except OSError as error:
            logger.debug("settings file cannot be read: %s", error)
            return (0, 0, 0)
        return (status.st_mtime_ns, status.st_size, status.st_ino)
