"""Log output as JSON lines or as plain text.

A record may have the attribute ``fields``, a mapping of names to values. Both formats write them.
"""

import datetime
import json
import logging
import os
import select
import sys
from typing import IO

from spoolhead._internal.models import settings
from spoolhead._internal.utils import clocks

MAX_LINES_PER_S = 400
"""Sustained rate of lines. Allows about ten for each of the 13 requests a second that an entry has
at the target size, with room for bursts; about 100 KB a second."""
MAX_BURST_LINES = 2_000
"""Maximum burst: the lines that an entry writes when a whole hall departs."""


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object on one line."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line."""
        line: dict[str, object] = {
            "time": _get_time(record),
            "level": record.levelname,
            "logger": record.name,
            "text": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return json.dumps(line, default=str, ensure_ascii=False)


class TextFormatter(logging.Formatter):
    """Formats a record as plain text."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the lines of a traceback."""
        fields = getattr(record, "fields", {})
        parts = [_get_time(record), record.levelname, record.name, record.getMessage()]
        parts.extend(f"{name}={format_value(value)}" for name, value in fields.items())
        line = " ".join(parts)
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return line


class BoundedHandler(logging.Handler):
    """Writes lines without ever blocking on the reader.

    Lines above the rate limit, and lines that do not fit into the pipe, are dropped and counted.
    The count is logged as soon as a line can be written again. Errors are exempt from the rate
    limit.

    :param stream: stream that the lines are written to.
    """

    def __init__(self, stream: IO[str]) -> None:
        super().__init__()
        self._descriptor = stream.fileno()
        self._poll = select.poll()
        self._poll.register(self._descriptor, select.POLLOUT)
        self._credit = float(MAX_BURST_LINES)
        self._credit_s = clocks.get_s()
        self._dropped = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record's line, or drop and count it."""
        if not self._try_acquire_credit(record):
            self._dropped += 1
            return
        if self._dropped and not self._report_dropped():
            self._dropped += 1
            return
        if not self._write(self.format(record)):
            self._dropped += 1

    def _report_dropped(self) -> bool:
        record = logging.LogRecord(__name__, logging.WARNING, "", 0, "log lines dropped", (), None)
        record.fields = {"count": self._dropped}
        if not self._write(self.format(record)):
            return False
        self._dropped = 0
        return True

    def _try_acquire_credit(self, record: logging.LogRecord) -> bool:
        now_s = clocks.get_s()
        earned = (now_s - self._credit_s) * MAX_LINES_PER_S
        self._credit = min(float(MAX_BURST_LINES), self._credit + earned)
        self._credit_s = now_s
        if self._credit < 1.0 and record.levelno < logging.ERROR:
            return False
        self._credit = max(0.0, self._credit - 1.0)
        return True

    def _write(self, line: str) -> bool:
        data = f"{line}\n".encode("utf-8", "replace")
        # A writable pipe accepts PIPE_BUF bytes without blocking.
        for start in range(0, len(data), select.PIPE_BUF):
            if not self._poll.poll(0):
                return False
            try:
                os.write(self._descriptor, data[start : start + select.PIPE_BUF])
            except OSError:
                # A log that cannot be written must not stop the service; the line is counted.
                return False
        return True


def set_up(log: settings.LogSettings) -> None:
    """Configure the root logger with the output, format and level of the settings."""
    handler = BoundedHandler(sys.stdout if log.output == "stdout" else sys.stderr)
    handler.setFormatter(JsonFormatter() if log.format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log.level)


def _get_time(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def format_value(value: object) -> str:
    """Return a field's value as the text format writes it."""
    return value if isinstance(value, str) else json.dumps(value, default=str)
