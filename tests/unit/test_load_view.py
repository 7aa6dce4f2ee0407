"""What entries tell each other: sums, speakers, late and repeated datagrams."""

import hypothesis
import pytest
from hypothesis import strategies

from lib import gateway_setting
from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import load_view, upstream_book


class Entry:
    """An entry's view with a book of its own."""

    def __init__(self, name, hall):
        self.name = name
        self.hall = hall
        self.book = upstream_book.UpstreamBook()
        self.book.take_list([gateway_setting.make_instance("i-1")])
        self.view = load_view.LoadView(name, hall, self.book)
        self.sequence = 0

    @property
    def upstream(self):
        return self.book.get("i-1")

    def hold(self, request_id, tokens, reading=0):
        self.upstream.works[request_id] = upstream_book.Work(
            request_id, tokens, reading_tokens=reading
        )

    def make(self, *, is_sum=False, now_s=0.0):
        self.sequence += 1
        return shared_load.Share(
            sender=self.name,
            hall=self.hall,
            is_sum=is_sum,
            sequence=self.sequence,
            held=self.view.get_sum() if is_sum else self.view.get_own(),
            members=self.view.get_members(now_s) if is_sum else [],
            alarms=[],
        )


def test_a_hall_is_counted_once_whoever_speaks_for_it():
    first, second, far = Entry("a1", "a"), Entry("a2", "a"), Entry("b1", "b")
    first.hold("r1", 100, reading=10)
    second.hold("r2", 200)
    first.view.take_share(second.make(), 0.0)
    second.view.take_share(first.make(), 0.0)
    far.view.take_share(first.make(is_sum=True), 0.0)
    far.view.take_share(second.make(is_sum=True), 0.1)
    assert far.upstream.tokens == 300
    assert far.upstream.count == 2
    assert far.upstream.reading_tokens == 10
    assert {watcher.name for watcher in far.view.get_watchers(0.1)} == {"a1", "a2", "b1"}


def test_shares_stay_in_the_hall_and_sums_outside():
    near, far = Entry("a1", "a"), Entry("b1", "b")
    near.hold("r1", 100)
    assert not far.view.take_share(near.make(), 0.0)
    mate = Entry("a2", "a")
    assert not mate.view.take_share(near.make(is_sum=True), 0.0)
    assert mate.upstream.tokens == far.upstream.tokens == 0


def test_what_is_late_or_came_already_is_no_news():
    first, second = Entry("a1", "a"), Entry("a2", "a")
    first.hold("r1", 100)
    old = first.make()
    first.hold("r2", 50)
    new = first.make()
    assert second.view.take_share(new, 0.0)
    assert not second.view.take_share(new, 0.0)
    assert not second.view.take_share(old, 0.0)
    assert second.upstream.tokens == 150


def test_a_dead_entry_counts_no_longer_and_another_speaks():
    entries = [Entry(f"a{number}", "a") for number in range(load_view.SPEAKERS + 1)]
    last = entries[-1]
    entries[0].hold("r1", 100)
    for entry in entries[:-1]:
        last.view.take_share(entry.make(), 0.0)
    assert not last.view.is_speaker(0.1)
    for entry in entries[1:-1]:
        last.view.take_share(entry.make(), 3.0)
    assert last.view.is_speaker(3.1)
    last.view.rebuild(3.1)
    assert last.upstream.tokens == 0


def test_a_hall_is_silent_only_after_it_was_heard():
    near, far = Entry("a1", "a"), Entry("b1", "b")
    assert near.view.get_silent_halls(100.0) == frozenset()
    near.view.take_share(far.make(is_sum=True), 100.0)
    assert near.view.get_silent_halls(101.0) == frozenset()
    assert near.view.get_silent_halls(102.0) == {"b"}


def _hear(view, far, gaps_s):
    now_s = 100.0
    for gap_s in gaps_s:
        now_s += gap_s
        assert view.take_share(far.make(is_sum=True), now_s)
    return now_s


def test_a_busy_halls_silence_is_noticed_sooner_than_an_idle_ones():
    busy, idle = Entry("a1", "a"), Entry("a2", "a")
    last_s = _hear(busy.view, Entry("b1", "b"), [0.03] * 60)
    assert not busy.view.get_silent_halls(last_s + load_view.SHORTEST_SILENCE_S - 0.01)
    assert busy.view.get_silent_halls(last_s + load_view.SHORTEST_SILENCE_S + 0.01) == {"b"}
    last_s = _hear(idle.view, Entry("b1", "b"), [1.0] * 60)
    assert not idle.view.get_silent_halls(last_s + load_view.LONGEST_SILENCE_S - 0.01)
    assert idle.view.get_silent_halls(last_s + load_view.LONGEST_SILENCE_S + 0.01) == {"b"}


def test_an_entry_is_alone_if_no_other_hall_is_heard():
    near = Entry("a1", "a")
    assert not near.view.is_alone(100.0)
    near.view.take_share(Entry("b1", "b").make(is_sum=True), 100.0)
    near.view.take_share(Entry("c1", "c").make(is_sum=True), 101.0)
    assert not near.view.is_alone(101.7)
    assert near.view.is_alone(102.7)


def test_an_instance_listed_later_gets_what_was_told_before():
    first, second = Entry("a1", "a"), Entry("a2", "a")
    first.book.take_list([gateway_setting.make_instance("i-9")])
    first.book.get("i-9").works["r"] = upstream_book.Work("r", 70, reading_tokens=0)
    second.view.take_share(first.make(), 0.0)
    second.book.take_list([gateway_setting.make_instance("i-9")])
    second.view.rebuild(0.1)
    assert second.book.get("i-9").tokens == 70


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 2), strategies.integers(0, 500)), max_size=30
    ),
    strategies.randoms(use_true_random=False),
)
def test_any_order_of_datagrams_comes_to_the_newest(changes, order):
    entries = [Entry(f"a{number}", "a") for number in range(3)]
    watcher = Entry("w", "a")
    sent = []
    for number, tokens in changes:
        entries[number].hold("r", tokens)
        sent.append(entries[number].make())
    order.shuffle(sent)
    for share in sent:
        watcher.view.take_share(shared_load.decode(shared_load.encode(share)), 0.0)
    newest = {share.sender: share for share in sorted(sent, key=lambda item: item.sequence)}
    expected = sum(held.tokens for share in newest.values() for held in share.held)
    assert watcher.upstream.tokens == expected
    watcher.view.rebuild(0.0)
    assert watcher.upstream.tokens == expected


@pytest.mark.parametrize(
    "data", [b"", b"\xc1", b"\x90", b"\x97\xa1a\xa1a\xc2\xa1x\x90\x90\x90"], ids=repr
)
def test_other_bytes_are_no_share(data):
    with pytest.raises(ValueError):
        shared_load.decode(data)
