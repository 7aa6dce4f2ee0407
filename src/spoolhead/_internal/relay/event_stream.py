"""Server-sent events cut out of a stream of bytes, as they stand.

Events keep their bytes, so that what a caller gets is what the engine wrote. Only line ends
are made alike. The format is that of the HTML standard, section "Server-sent events".
"""

MAX_EVENT_BYTES = 1_048_576

_ID = b"id:"
_DATA = b"data:"
_DONE = b"[DONE]"


class EventTooLargeError(Exception):
    """Raised when an event grows beyond :data:`MAX_EVENT_BYTES` without an end."""


class Event:
    """One event.

    :ivar raw: its bytes without the blank line that ends it.
    :ivar event_id: value of its ``id`` field, or None.
    :ivar data: value of its first ``data`` field; empty for an event without one.
    """

    __slots__ = ("data", "event_id", "raw")

    def __init__(self, raw: bytes, event_id: bytes | None, data: bytes) -> None:
        self.raw = raw
        self.event_id = event_id
        self.data = data

    @property
    def is_done_marker(self) -> bool:
        """Whether it is the mark that an answer is complete."""
        return self.data == _DONE


class EventSplitter:
    """Cuts a stream into events."""

    def __init__(self) -> None:
        self._buffer = b""

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that they complete.

        :raises EventTooLargeError: if an event has no end within bounds.
        """
        data = self._buffer + data
        if b"\r" in data:
            data = self._unify_line_ends(data)
        parts = data.split(b"\n\n")
        self._buffer = parts.pop()
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLargeError(f"an event has over {MAX_EVENT_BYTES} bytes")
        return [parse_event(part) for part in parts if part]

    def _unify_line_ends(self, data: bytes) -> bytes:
        # A carriage return that ends the bytes may be half of a line end, so it waits for more.
        held = b"\r" if data.endswith(b"\r") else b""
        data = data.removesuffix(b"\r").replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        return data + held


def parse_event(raw: bytes) -> Event:
    """Read the fields of one event.

    :param raw: its bytes, lines ended by ``\\n``, without the blank line.
    """
    event_id = None
    data = None
    for line in raw.split(b"\n"):
        if line.startswith(_ID):
            event_id = line[len(_ID) :].strip()
        elif data is None and line.startswith(_DATA):
            data = line[len(_DATA) :].strip()
    return Event(raw, event_id, data or b"")
