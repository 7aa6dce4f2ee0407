"""Log output: one JSON object a line, or a line for people.

A record may carry ``fields``, a mapping of typed values; both formats print them.
"""

import datetime
import json
import logging
import sys

from spoolhead._internal.models import settings


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
        parts.extend(f"{name}={_get_text(value)}" for name, value in fields.items())
        line = " ".join(parts)
        if record.exc_info:
            line = f"{line}\n{self.formatException(record.exc_info)}"
        return line


def set_up(log: settings.LogSettings) -> None:
    """Send all log records where and in the format that the settings name."""
    handler = logging.StreamHandler(sys.stdout if log.output == "stdout" else sys.stderr)
    handler.setFormatter(JsonFormatter() if log.format == "json" else TextFormatter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(log.level)


def _get_time(record: logging.LogRecord) -> str:
    moment = datetime.datetime.fromtimestamp(record.created, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")


def _get_text(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value, default=str)
