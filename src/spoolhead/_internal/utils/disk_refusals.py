"""What is written of a disk that refuses writes: a line as it begins, and one as it is over."""

import logging
import pathlib

from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

RETRY_S = 0.25
"""Pause before a refused write is tried again; a few times a second is cheap and soon."""


class DiskRefusals:
    """Refusals of writes to one file, by one thread.

    :param path: the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._began_s: float | None = None

    def record_refused(self, error: Exception) -> None:
        """Take note of a write that was refused."""
        if self._began_s is None:
            self._began_s = clocks.get_s()
            fields = {"path": str(self._path), "reason": str(error)}
            logger.error("disk refuses writes", extra={"fields": fields})

    def record_success(self) -> None:
        """Take note of a write that was taken."""
        if self._began_s is not None:
            fields = {"lost_ms": int((clocks.get_s() - self._began_s) * 1000)}
            logger.warning("disk takes writes again", extra={"fields": fields})
            self._began_s = None
