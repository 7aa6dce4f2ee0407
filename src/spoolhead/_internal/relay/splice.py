"""One stream of events for a caller, out of one run that may change instances on the way.

Only whole events pass. Their ids must rise; an event that the caller already has, because a
run went on a little before it, is left out.
"""

from spoolhead._internal.relay import raw_events


class SpliceResult:
    """What a part of the stream comes to.

    :ivar data: bytes for the caller.
    :ivar events: events in them.
    :ivar problem: why the stream cannot go on; empty where it can.
    """

    __slots__ = ("data", "events", "problem")

    def __init__(self) -> None:
        self.data = b""
        self.events = 0
        self.problem = ""


class EventSplicer:
    """Order of one caller's events.

    :ivar last_event_id: id of the last event passed on; empty before the first.
    :ivar events: events passed on.
    """

    __slots__ = ("_last_number", "_splitter", "events", "last_event_id")

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.events = 0
        self._last_number = int(last_event_id) if last_event_id.isdigit() else -1
        self._splitter = raw_events.RawEventSplitter()

    def begin_connection(self) -> None:
        """Take note that bytes of another connection follow; half an event is dropped."""
        self._splitter = raw_events.RawEventSplitter()

    def feed(self, data: bytes) -> SpliceResult:
        """Take bytes of the present connection."""
        result = SpliceResult()
        chosen: list[bytes] = []
        for event in self._splitter.feed(data):
            if not event.event_id.isdigit():
                chosen.append(event.data)
                continue
            number = int(event.event_id)
            if number <= self._last_number:
                continue
            if self.events and number != self._last_number + 1:
                result.problem = f"event {number} follows event {self._last_number}"
                break
            self._last_number = number
            self.last_event_id = event.event_id
            self.events += 1
            result.events += 1
            chosen.append(event.data)
        if self._splitter.is_too_large:
            result.problem = "an event has no end"
        result.data = b"".join(chosen)
        return result

    def finish(self) -> bytes:
        """Return the bytes behind the last event of an answer that is whole."""
        rest, self._splitter.rest = self._splitter.rest, b""
        return rest
