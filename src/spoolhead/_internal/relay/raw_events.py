"""Splits a byte stream into server-sent events whose bytes are left unchanged."""

from spoolhead._internal.relay import event_stream

_ID = b"id:"
_DATA = b"data:"
_END_MARKER = b"[DONE]"


class RawEvent:
    """One server-sent event.

    :ivar data: bytes of the event, including the terminating blank line.
    :ivar event_id: value of the ``id`` field; empty without one.
    """

    __slots__ = ("data", "event_id")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.event_id = _find_id(data)

    @property
    def is_end_marker(self) -> bool:
        """Whether the event marks the end of the stream."""
        lines = self.data.splitlines()
        values = [line[len(_DATA) :].strip() for line in lines if line.startswith(_DATA)]
        return values == [_END_MARKER]


class RawEventSplitter:
    """Splits a stream into events.

    :ivar remainder: bytes after the last complete event.
    """

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> list[RawEvent]:
        """Add bytes to the stream and return the events that they complete."""
        self.remainder += data
        events: list[RawEvent] = []
        while True:
            end = event_stream.find_event_end(self.remainder)
            if end < 0:
                return events
            events.append(RawEvent(self.remainder[:end]))
            self.remainder = self.remainder[end:]

    @property
    def is_too_large(self) -> bool:
        """Whether the incomplete event exceeds :data:`event_stream.MAX_EVENT_BYTES`."""
        return len(self.remainder) > event_stream.MAX_EVENT_BYTES


def _find_id(data: bytes) -> str:
    for line in data.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""
