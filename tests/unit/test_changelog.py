"""Reading logs that are intact, cut short or damaged."""

import hypothesis
import pytest
from hypothesis import strategies

from spoolhead.coordination import changelog

PAYLOADS = strategies.lists(strategies.binary(min_size=1, max_size=40), min_size=1, max_size=8)


def _make_log(payloads):
    return b"".join(changelog.make_record(payload) for payload in payloads)


@hypothesis.given(PAYLOADS)
def test_what_was_written_is_read(payloads):
    found = changelog.scan(_make_log(payloads))
    assert found.payloads == payloads
    assert not found.torn
    assert found.damage is None


@hypothesis.given(PAYLOADS, strategies.data())
def test_a_log_cut_anywhere_keeps_its_whole_records(payloads, data):
    log = _make_log(payloads)
    length = data.draw(strategies.integers(0, len(log)))
    found = changelog.scan(log[:length])
    assert found.damage is None
    assert found.payloads == payloads[: len(found.payloads)]
    assert found.torn == (found.good_bytes < length)
    assert length - found.good_bytes < len(changelog.make_record(b"x" * 40))


@hypothesis.given(PAYLOADS, strategies.integers(1, 2_000))
def test_zeros_after_the_last_record_are_a_torn_write(payloads, count):
    found = changelog.scan(_make_log(payloads) + b"\0" * count)
    assert (found.payloads, found.torn, found.damage) == (payloads, True, None)


@hypothesis.given(PAYLOADS, strategies.data())
def test_a_flipped_bit_is_never_served(payloads, data):
    log = bytearray(_make_log(payloads))
    position = data.draw(strategies.integers(0, len(log) - 1))
    log[position] ^= 1 << data.draw(strategies.integers(0, 7))
    found = changelog.scan(bytes(log))
    assert found.payloads == payloads[: len(found.payloads)]
    assert len(found.payloads) < len(payloads)
    assert found.torn or found.damage is not None


@hypothesis.given(PAYLOADS, strategies.data())
def test_rot_before_the_last_record_is_damage_not_a_torn_write(payloads, data):
    hypothesis.assume(len(payloads) > 1)
    log = bytearray(_make_log(payloads))
    last = len(changelog.make_record(payloads[-1]))
    position = data.draw(strategies.integers(0, len(log) - last - 1))
    log[position] ^= 1 << data.draw(strategies.integers(0, 7))
    found = changelog.scan(bytes(log))
    assert found.damage is not None
    assert not found.torn


@pytest.mark.parametrize("size", [0, changelog.MAX_PAYLOAD_BYTES + 1])
def test_payloads_out_of_bounds_are_refused(size):
    with pytest.raises(ValueError, match="out of bounds"):
        changelog.make_record(b"x" * size)
