"""Log output: one JSON object a line, or a line for people.

A record may carry ``fields``, a mapping of typed values; both formats print them.
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
"""Lines a second in the long run: some ten for each of the 13 requests a second that an entry
has at the target size, and room for a burst; about 100 KB a second."""
MAX_BURST_LINES = 2_000
"""Lines that may come at once: what a whole hall's departure makes an entry say."""


class JsonFormatter(logging.Formatter):
    """Formats a record as one JSON object."""

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
    """Formats a record for people."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, or several where there is a traceback."""
        fields = getattr(record, "fields", {})
        parts = [_get_time(record), record.levelname, record.name, record.getMessage()]
        parts.extend(f"{name}={get_text(value)}" for name, value in fields.items())
        line = " ".join(parts)
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return line


class BoundedHandler(logging.Handler):
    """Writes lines without ever waiting for whoever reads them.

    Lines beyond a rate, and lines that the reader's pipe has no room for, are dropped and
    counted; the count is told in a line of its own as soon as there is room.

    :param stream: where the lines go.
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
        """Write a record's line, or count it as dropped."""
        if not self._try_acquire_credit(record):
            self._dropped += 1
            return
        if self._dropped and not self._report_dropped():
            self._dropped += 1
            return
        if not self._write(self.format(record)):
            self._dropped += 1

    def _report_dropped(self) -> bool:
        note = logging.LogRecord(__name__, logging.WARNING, "", 0, "log lines dropped", (), None)
        note.fields = {"count": self._dropped}
        if not self._write(self.format(note)):
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
        # A pipe that is writable takes this much without waiting.
        for start in range(0, len(data), select.PIPE_BUF):
            if not self._poll.poll(0):
                return False
            try:
                os.write(self._descriptor, data[start : start + select.PIPE_BUF])
            except OSError:
                # A log that cannot be written must not stop the service; the loss is counted.
                return False
        return True


def set_up(log: settings.LogSettings) -> None:
    """Send all log records where and in the format that the settings name."""
    handler = BoundedHandler(sys.stdout if log.output == "stdout" else sys.stderr)
    handler.setFormatter(JsonFormatter() if log.format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log.level)


def _get_time(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def get_text(value: object) -> str:
    """Return a field's value as it stands in a line for people."""
    return value if isinstance(value, str) else json.dumps(value, default=str)
