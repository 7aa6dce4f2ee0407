"""Selects the bytes of an upstream's streamed answer that are forwarded to the caller."""

from spoolhead._internal.models import codes, fault
from spoolhead._internal.relay import event_stream, sequencer

_COMMENT = b":"


class RelayResult:
    """The result of processing a part of the answer.

    :ivar data: bytes for the caller; may be empty.
    :ivar tokens: number of events with content in them; each is one token.
    :ivar is_done: whether the answer is complete.
    :ivar fault: why the stream cannot continue, or None.
    """

    __slots__ = ("data", "fault", "is_done", "tokens")

    def __init__(self) -> None:
        self.data = b""
        self.tokens = 0
        self.is_done = False
        self.fault: fault.Fault | None = None


class StreamRelay:
    """Relays one answer, over several consecutive connections if necessary.

    :param event_sequencer: checks the order of events; for a resumed answer, it carries the
        previous state.
    :ivar is_done: whether the answer is complete.
    """

    def __init__(self, event_sequencer: sequencer.Sequencer | None = None) -> None:
        self.sequencer = event_sequencer if event_sequencer is not None else sequencer.Sequencer()
        self.is_done = False
        self._splitter = event_stream.EventSplitter()

    def begin_connection(self) -> None:
        """Begin another connection; the incomplete event of the previous one is discarded."""
        self._splitter = event_stream.EventSplitter()

    def feed(self, data: bytes) -> RelayResult:
        """Process bytes of the upstream.

        :returns: the bytes for the caller; a fault ends the relay.
        """
        relayed = RelayResult()
        if self.is_done:
            return relayed
        try:
            events = self._splitter.feed(data)
        except event_stream.EventTooLargeError as error:
            relayed.fault = fault.Fault(codes.ResultCode.STREAM_OUT_OF_ORDER, str(error))
            return relayed
        parts: list[bytes] = []
        for event in events:
            if self._relay_event(event, parts, relayed):
                break
        relayed.data = b"".join(parts)
        return relayed

    def _is_next(self, done_marker: event_stream.Event) -> bool:
        # A numbered marker after a gap would end an answer that lacks its last tokens.
        if done_marker.event_id is None:
            return True
        _, _, digits = done_marker.event_id.rpartition(b":")
        return digits == b"%d" % self.sequencer.next_index

    def _relay_event(
        self, event: event_stream.Event, parts: list[bytes], relayed: RelayResult
    ) -> bool:
        """Process one event; return whether to ignore the remaining ones."""
        if event.raw.startswith(_COMMENT) and not event.data:
            return False
        if event.is_done_marker and self._is_next(event):
            parts.append(event.raw + b"\n\n")
            self.is_done = relayed.is_done = True
            return True
        verdict = self.sequencer.evaluate(event)
        if verdict is sequencer.Verdict.DELIVER:
            parts.append(event.raw + b"\n\n")
            relayed.tokens += 1
            return False
        if verdict is sequencer.Verdict.DUPLICATE:
            return False
        text = f"the upstream's stream cannot go on: {verdict.value}"
        relayed.fault = fault.Fault(codes.ResultCode.STREAM_OUT_OF_ORDER, text)
        return True
