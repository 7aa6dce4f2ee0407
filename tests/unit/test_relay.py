"""Splitting, sequencing and relaying of events, at every byte boundary and across resumes."""

import hypothesis
from hypothesis import strategies

from spoolhead._internal.models import codes
from spoolhead._internal.relay import event_stream, raw_events, sequencer, stream_relay


def _make_events(count, generation="g", line_end="\n", first=0):
    events = [
        f"id: {generation}:{n}{line_end}data: {n}{line_end}{line_end}" for n in range(first, count)
    ]
    return "".join(events).encode()


def _split(data, cuts):
    positions = sorted({min(cut, len(data)) for cut in cuts})
    return [data[a:b] for a, b in zip([0, *positions], [*positions, len(data)], strict=True)]


CUTS = strategies.lists(strategies.integers(0, 400), max_size=12)


@hypothesis.given(strategies.sampled_from(["\n", "\r\n", "\r"]), CUTS)
def test_any_split_gives_the_same_events(line_end, cuts):
    splitter = event_stream.EventSplitter()
    found = [
        event
        for part in _split(_make_events(12, line_end=line_end) + b"data", cuts)
        for event in splitter.feed(part)
    ]
    # A trailing bare carriage return is kept until the next byte arrives.
    assert [event.data for event in found] == [b"%d" % n for n in range(12)]
    assert [event.event_id for event in found] == [b"g:%d" % n for n in range(12)]


def test_an_event_without_an_end_is_bounded():
    relay = stream_relay.StreamRelay()
    relayed = relay.feed(b"data: " + b"x" * (event_stream.MAX_EVENT_BYTES + 1))
    assert relayed.fault.code is codes.ResultCode.STREAM_OUT_OF_ORDER


@hypothesis.given(
    count=strategies.integers(1, 25),
    losses=strategies.lists(
        strategies.tuples(strategies.integers(0, 300), strategies.integers(0, 9)), max_size=4
    ),
    cuts=CUTS,
)
def test_tokens_once_in_order_across_lost_connections(count, losses, cuts):
    """Each connection is lost after some bytes; each resume repeats some events."""
    relay = stream_relay.StreamRelay()
    delivered = b""
    done = b"data: [DONE]\n\n"
    for loss, replayed in [*losses, (10**9, 0)]:
        relay.begin_connection()
        first = max(0, relay.sequencer.next_index - replayed)
        sent = (_make_events(count, first=first) + done)[:loss]
        for part in _split(sent, cuts):
            relayed = relay.feed(part)
            assert relayed.fault is None
            delivered += relayed.data
    assert relay.is_done
    assert delivered == _make_events(count) + done


@hypothesis.given(strategies.integers(0, 10), strategies.integers(1, 5))
def test_a_skipped_token_stops_the_stream(before, skipped):
    relay = stream_relay.StreamRelay()
    relay.feed(_make_events(before))
    relayed = relay.feed(_make_events(before + skipped + 1, first=before + skipped))
    assert relayed.fault.code is codes.ResultCode.STREAM_OUT_OF_ORDER
    assert relayed.data == b""


def test_another_generation_is_never_spliced_in():
    relay = stream_relay.StreamRelay()
    relay.feed(_make_events(3))
    relay.begin_connection()
    relayed = relay.feed(_make_events(9, generation="other", first=3))
    assert relayed.fault.code is codes.ResultCode.STREAM_OUT_OF_ORDER
    assert relayed.data == b""


def test_a_numbered_done_mark_after_a_gap_does_not_end_the_answer():
    relay = stream_relay.StreamRelay()
    relay.feed(_make_events(3))
    relayed = relay.feed(b"id: g:5\ndata: [DONE]\n\n")
    assert not relay.is_done
    assert relayed.fault is not None


def test_nothing_after_the_done_mark_is_delivered():
    relay = stream_relay.StreamRelay()
    relayed = relay.feed(b"id: g:0\ndata: 0\n\ndata: [DONE]\n\nid: g:1\ndata: 1\n\n")
    assert relayed.data == b"id: g:0\ndata: 0\n\ndata: [DONE]\n\n"
    assert relay.feed(_make_events(9, first=2)).data == b""


def test_an_unnumbered_answer_is_relayed_and_cannot_resume():
    relay = stream_relay.StreamRelay()
    assert relay.feed(b"data: a\n\ndata: b\n\n").data == b"data: a\n\ndata: b\n\n"
    assert relay.sequencer.has_delivered
    assert not relay.sequencer.can_resume


def test_an_unnumbered_event_in_a_numbered_answer_is_refused():
    relay = stream_relay.StreamRelay()
    relay.feed(_make_events(2))
    assert relay.feed(b"data: x\n\n").fault is not None


def test_a_resumed_answer_begins_where_its_caller_stands():
    relay = stream_relay.StreamRelay(sequencer.Sequencer(b"g", 5))
    assert relay.feed(_make_events(8, first=3)).data == _make_events(8, first=5)


def test_comments_are_not_tokens():
    relay = stream_relay.StreamRelay()
    relayed = relay.feed(b": keep-alive\n\n" + _make_events(1))
    assert (relayed.data, relayed.tokens) == (_make_events(1), 1)


LINE_END = strategies.sampled_from([b"\n", b"\r\n", b"\r"])


# Guards against a stream that is kept back until its end because of its line ends.
@hypothesis.given(strategies.lists(strategies.tuples(*[LINE_END] * 3), max_size=6), CUTS)
def test_raw_events_end_at_any_blank_line_and_keep_their_bytes(line_ends, cuts):
    # A carriage return before a line feed would make one line end of both.
    line_ends = [
        (first, b"\n", blank) if second == b"\r" else (first, second, blank)
        for first, second, blank in line_ends
    ] + [(b"\r", b"\r", b"\r")]
    events = [
        b"id: %d%bdata: %d%b%b" % (number, first, number, second, blank)
        for number, (first, second, blank) in enumerate(line_ends)
    ]
    splitter = raw_events.RawEventSplitter()
    found = [event for part in _split(b"".join(events), cuts) for event in splitter.feed(part)]
    assert [event.event_id for event in found] == [str(n) for n in range(len(events))]
    assert b"".join(event.data for event in found) + splitter.remainder == b"".join(events)
    assert not event_stream.has_field(splitter.remainder)


def test_blank_lines_and_comments_after_an_event_are_no_event():
    assert not event_stream.has_field(b"\n\r\n: ping")
    assert event_stream.has_field(b": ping\nid: 4")
    assert event_stream.has_field(b"\xc3")
