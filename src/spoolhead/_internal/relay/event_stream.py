"""Splits a byte stream into server-sent events.

The bytes of an event are kept, so that callers receive what the engine wrote; only line endings
are normalized to ``\\n``. The format is defined in the HTML standard, section "Server-sent events".
"""

import re

MAX_EVENT_BYTES = 1_048_576

_LINE_END = rb"(?:\r\n|\n|\r(?!\n))"
_EVENT_END = re.compile(_LINE_END + _LINE_END)
_COMMENT = b":"
_ID = b"id:"
_DATA = b"data:"
_DONE = b"[DONE]"


class EventTooLargeError(Exception):
    """Raised when an incomplete event exceeds :data:`MAX_EVENT_BYTES`."""


class Event:
    """One server-sent event.

    :ivar raw: bytes of the event without the terminating blank line.
    :ivar event_id: value of the ``id`` field, or None.
    :ivar data: value of the first ``data`` field; empty without one.
    """

    __slots__ = ("data", "event_id", "raw")

    def __init__(self, raw: bytes, event_id: bytes | None, data: bytes) -> None:
        self.raw = raw
        self.event_id = event_id
        self.data = data

    @property
    def is_done_marker(self) -> bool:
        """Whether the event marks the end of an answer."""
        return self.data == _DONE


class EventSplitter:
    """Splits a stream into events and buffers the last, incomplete one."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes to the stream and return the events that they complete.

        :raises EventTooLargeError: if the incomplete event exceeds the size limit.
        """
        data = self._buffer + data
        if b"\r" in data:
            data = self._normalize_line_endings(data)
        parts = data.split(b"\n\n")
        self._buffer = parts.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event has over {MAX_EVENT_BYTES} bytes")
        return [parse_event(part) for part in parts if part]

    def _normalize_line_endings(self, data: bytes) -> bytes:
        # A trailing carriage return may be half of a CRLF, so it is kept until more bytes arrive.
        trailing = b"\r" if data.endswith(b"\r") else b""
        data = data.removesuffix(b"\r").replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return data + trailing


def find_event_end(data: bytes) -> int:
    """Return the offset behind the blank line that ends the first event; -1 without one.

    A carriage return at the end of the data counts as a line end. If a line feed follows it, that
    line feed is left as a blank line before the next event.
    """
    if b"\r" not in data:
        # Much faster than the expression for large events.
        end = data.find(b"\n\n")
        return end + 2 if end >= 0 else -1
    match = _EVENT_END.search(data)
    return match.end() if match is not None else -1


def has_field(data: bytes) -> bool:
    """Return whether bytes contain a line, or a part of one, other than comments."""
    return any(line and not line.startswith(_COMMENT) for line in data.splitlines())


def parse_event(raw: bytes) -> Event:
    """Parse one event.

    :param raw: bytes of the event with lines separated by ``\\n``, without the blank line.
    """
    event_id = None
    data = None
    for line in raw.split(b"\n"):
        if line.startswith(_ID):
            event_id = line[len(_ID) :].strip()
        elif data is None and line.startswith(_DATA):
            data = line[len(_DATA) :].strip()
    return Event(raw, event_id, data or b"")
