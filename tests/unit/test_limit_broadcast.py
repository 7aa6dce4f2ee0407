"""Which stated limits a hub sends, and how often."""

from spoolhead._internal.policy import limit_broadcast, limit_registry, repeats

STEP_S = 0.1


def _make(count=1, now_s=0.0):
    registry = limit_registry.LimitRegistry()
    for key in range(count):
        registry.record(key, 2.0, now_s)
    broadcast = limit_broadcast.LimitBroadcast(registry)
    broadcast.add(range(count), now_s)
    return registry, broadcast


def _get_sent(broadcast, since_s, until_s):
    """Return when a datagram every tenth of a second carried limits, and which limits."""
    sent = {}
    steps = round((until_s - since_s) / STEP_S)
    for number in range(steps):
        now_s = since_s + number * STEP_S
        part = broadcast.pop_batch(now_s)
        if part:
            sent[round(now_s, 1)] = [(item.key, item.limit_per_s) for item in part]
    return sent


def test_a_statement_is_sent_at_once_and_again_for_some_seconds():
    """Guards against a receiver that loses the first datagrams and never receives the limit."""
    _, broadcast = _make()
    sent_s = sorted(_get_sent(broadcast, 0.0, 8.0))
    assert sent_s[: limit_broadcast.SEND_COUNT] == [0.0, 0.1]
    later_s = sent_s[limit_broadcast.SEND_COUNT :]
    pauses_s = [after - before for before, after in zip(later_s, later_s[1:], strict=False)]
    assert all(pause_s <= repeats.REPEAT_INTERVAL_S + STEP_S for pause_s in pauses_s)
    last_s = repeats.REPEAT_DURATION_S
    assert last_s - repeats.REPEAT_INTERVAL_S - STEP_S <= later_s[-1] <= last_s


def test_what_is_repeated_is_the_newest_statement():
    registry, broadcast = _make()
    _get_sent(broadcast, 0.0, 1.0)
    registry.record(0, None, 1.0)
    broadcast.add([0], 1.0)
    sent = _get_sent(broadcast, 1.0, 8.0)
    assert {limit for part in sent.values() for limit in part} == {(0, None)}
    assert max(sent) > repeats.REPEAT_DURATION_S


def test_a_datagram_carries_so_many_and_the_others_follow():
    count = 3 * limit_broadcast.MAX_LIMITS_PER_DATAGRAM
    _, broadcast = _make(count)
    sent = _get_sent(broadcast, 0.0, 3.0)
    assert max(len(part) for part in sent.values()) <= limit_broadcast.MAX_LIMITS_PER_DATAGRAM
    first_s = (limit_broadcast.SEND_COUNT * 3) * STEP_S
    later = [key for sent_s, part in sent.items() if sent_s >= first_s for key, _ in part]
    assert set(later) == set(range(count))


def test_repeats_do_not_hasten_a_datagram():
    _, broadcast = _make()
    _get_sent(broadcast, 0.0, 0.2)
    assert not broadcast.has_new
    assert not broadcast.has_pending
    assert broadcast.pop_batch(repeats.REPEAT_INTERVAL_S)


def test_nothing_is_repeated_once_nobody_is_there():
    _, broadcast = _make()
    broadcast.clear()
    assert _get_sent(broadcast, 0.0, 6.0) == {}
