"""Encoding and decoding of messages between processes, the handshake, and stream tokens."""

import typing

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from spoolhead._internal.entry import stream_token
from spoolhead._internal.network import handshake, messages, route_messages
from spoolhead.coordination import consensus_messages

KEY = "0123456789abcdef"
SENT = [
    messages.Follow(log_id="l", version=3),
    messages.Heartbeat(),
    messages.Propose(request=1, edit_id="e", author="a", time_ms=5, edits=[["s", "n", 0, None]]),
]


@hypothesis.given(strategies.lists(strategies.integers(0, 120), max_size=6))
def test_any_split_gives_the_same_messages(cuts):
    data = b"".join(messages.encode(message) for message in SENT)
    reader = messages.MessageReader()
    positions = sorted(min(cut, len(data)) for cut in cuts)
    found = []
    for begin, end in zip([0, *positions], [*positions, len(data)], strict=True):
        found.extend(reader.feed(data[begin:end]))
    assert found == SENT


@pytest.mark.parametrize(
    "value", [1, [], ["x"], [999], [10, "l"], [10, 3, "l"], [10, "l", 3, 4], {"a": 1}]
)
def test_what_is_no_message_is_refused(value):
    with pytest.raises(messages.MessageError):
        messages.MessageReader().feed(msgpack.packb(value))


@hypothesis.given(strategies.binary(max_size=60))
def test_any_bytes_give_messages_or_an_error(data):
    try:
        messages.MessageReader().feed(data)
    except messages.MessageError:
        return


def test_the_handshake_needs_the_key_on_both_sides():
    challenge = messages.Challenge(protocol=1, nonce=b"n" * 16)
    hello = handshake.make_hello(KEY, challenge, role="entry", name="e", nonce=b"m" * 16)
    assert handshake.check_hello(KEY, b"n" * 16, hello)
    assert not handshake.check_hello(KEY, b"o" * 16, hello), "a replayed handshake was accepted"
    assert not handshake.check_hello("another-shared-key", b"n" * 16, hello)
    hello.role = "operator"
    assert not handshake.check_hello(KEY, b"n" * 16, hello), "a modified role was accepted"
    welcome = handshake.make_welcome(KEY, hello, "k")
    assert handshake.check_welcome(KEY, b"m" * 16, welcome)
    assert not handshake.check_welcome("another-shared-key", b"m" * 16, welcome)


@hypothesis.given(strategies.integers(0, 200), strategies.integers(1, 255))
def test_a_changed_stream_token_is_refused(position, change):
    content = stream_token.StreamToken(workspace="w", service="m", upstream="u", generation="g")
    text = stream_token.make_token(KEY, content)
    assert stream_token.parse_token(KEY, text).workspace == "w"
    assert stream_token.parse_token("another-shared-key", text) is None
    position %= len(text)
    changed = text[:position] + chr(change) + text[position + 1 :]
    parsed = stream_token.parse_token(KEY, changed)
    # The last character contains bits that are not part of the data.
    if position < len(text) - 1 and changed != text:
        assert parsed is None


def test_fields_are_of_plain_types():
    for cls in messages.CLASSES.values():
        assert all(type(kind) is type for kind in typing.get_type_hints(cls).values())


def test_no_two_messages_share_a_tag():
    groups = (messages.CLASSES, route_messages.CLASSES, consensus_messages.CLASSES)
    all_classes = {**groups[0], **groups[1], **groups[2]}
    own_tags = set(groups[0]) - set(groups[1]) - set(groups[2])
    assert len(all_classes) == len(own_tags) + len(groups[1]) + len(groups[2])
    assert len(set(all_classes.values())) == len(all_classes)
    for tag, cls in all_classes.items():
        assert messages.CLASSES[tag] is cls
