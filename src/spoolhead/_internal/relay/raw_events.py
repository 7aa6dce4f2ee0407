"""Server-sent events kept to the byte, for answers that pass through unchanged."""

MAX_EVENT_BYTES = 1_048_576

_ENDS = (b"\n\n", b"\r\n\r\n")
_ID = b"id:"


class RawEvent:
    """One event.

    :ivar data: its bytes with the blank line that ends it.
    :ivar event_id: value of its ``id`` field; empty for none.
    """

    __slots__ = ("data", "event_id")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.event_id = _find_id(data)


class RawEventSplitter:
    """Cuts a stream into events.

    :ivar rest: bytes behind the last whole event.
    """

    def __init__(self) -> None:
        self.rest = b""

    def feed(self, data: bytes) -> list[RawEvent]:
        """Take bytes and return the events that they complete."""
        self.rest += data
        events: list[RawEvent] = []
        while True:
            end = _find_end(self.rest)
            if end < 0:
                return events
            events.append(RawEvent(self.rest[:end]))
            self.rest = self.rest[end:]

    @property
    def is_too_large(self) -> bool:
        """Whether an event has grown beyond bounds without an end."""
        return len(self.rest) > MAX_EVENT_BYTES


def _find_end(data: bytes) -> int:
    found = [data.find(end) + len(end) for end in _ENDS if end in data]
    return min(found) if found else -1


def _find_id(data: bytes) -> str:
    for line in data.splitlines():
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""
