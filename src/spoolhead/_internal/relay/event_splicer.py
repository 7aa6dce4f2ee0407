"""Joins the event streams of a migrated run into one stream for the caller.

Only complete events are forwarded. Their ids must be consecutive; events that the caller already
has, because the run resumed a little earlier, are omitted.
"""

from spoolhead._internal.policy import answer_end
from spoolhead._internal.relay import event_stream, raw_events


class SpliceResult:
    """The result of processing a part of the stream.

    :ivar data: bytes for the caller.
    :ivar events: number of numbered events in them.
    :ivar problem: why the stream cannot continue; empty if it can.
    """

    __slots__ = ("data", "events", "problem")

    def __init__(self) -> None:
        self.data = b""
        self.events = 0
        self.problem = ""


class EventSplicer:
    """Joins the connections of one run into one stream of events.

    :param last_event_id: id of the last event that the caller has already received, if any.
    :ivar last_event_id: id of the last forwarded event; empty before the first.
    :ivar events: number of forwarded events.
    """

    __slots__ = ("_last_event", "_last_number", "_splitter", "events", "last_event_id")

    def __init__(self, last_event_id: str = "") -> None:
        self.last_event_id = last_event_id
        self.events = 0
        self._last_number = int(last_event_id) if last_event_id.isdigit() else -1
        self._splitter = raw_events.RawEventSplitter()
        self._last_event: raw_events.RawEvent | None = None

    @property
    def content(self) -> answer_end.Content:
        """What the stream shows of its end."""
        if event_stream.has_field(self._splitter.remainder):
            return answer_end.Content.PARTIAL_EVENT
        if self._last_event is None:
            return answer_end.Content.NO_EVENT
        if self._last_event.is_end_marker:
            return answer_end.Content.MARKED_END
        return answer_end.Content.WHOLE_EVENTS

    def begin_connection(self) -> None:
        """Begin another connection; the incomplete event of the previous one is discarded."""
        self._splitter = raw_events.RawEventSplitter()

    def feed(self, data: bytes) -> SpliceResult:
        """Process bytes of the current connection."""
        result = SpliceResult()
        forwarded: list[bytes] = []
        for event in self._splitter.feed(data):
            if event.event_id or event_stream.has_field(event.data):
                self._last_event = event
            if not event.event_id.isdigit():
                forwarded.append(event.data)
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
            forwarded.append(event.data)
        if self._splitter.is_too_large:
            result.problem = "an event has no end"
        result.data = b"".join(forwarded)
        return result

    def finish(self) -> bytes:
        """Return the bytes after the last event of a complete answer."""
        remainder, self._splitter.remainder = self._splitter.remainder, b""
        return remainder
