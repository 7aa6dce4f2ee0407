"""Logs when a disk begins to refuse writes and when it accepts them again."""

import logging
import pathlib

from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)

RETRY_S = 0.25
"""Interval between retries of a refused write: a few cheap retries a second."""


class DiskRefusals:
    """Tracks whether writes to one file are refused. Not thread-safe.

    :param path: the file.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._refused_since_s: float | None = None

    def record_refused(self, error: Exception) -> None:
        """Record a refused write; the first of a series is logged."""
        if self._refused_since_s is None:
            self._refused_since_s = clocks.get_s()
            fields = {"path": str(self._path), "reason": str(error)}
            logger.error("disk refuses writes", extra={"fields": fields})

    def record_success(self) -> None:
        """Record a successful write; the first after refused writes is logged."""
        if self._refused_since_s is not None:
            fields = {"lost_ms": int((clocks.get_s() - self._refused_since_s) * 1000)}
            logger.warning("disk takes writes again", extra={"fields": fields})
            self._refused_since_s = None
