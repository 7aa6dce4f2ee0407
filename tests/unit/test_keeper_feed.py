"""What a keeper sends to the entries that follow it, and how often."""

import pytest

from lib import gateway_setting
from spoolhead._internal.network import messages, route_messages
from spoolhead._internal.quorum import feed
from spoolhead._internal.utils import deflate, document_delta


class _Session:
    def __init__(self, name):
        self.name = name
        self.sent = []

    def send(self, message):
        self.sent.append(message)

    def send_encoded(self, data):
        reader = messages.MessageReader()
        self.sent.extend(reader.feed(data))

    def get(self, kind):
        return [message for message in self.sent if isinstance(message, kind)]


class _Timers(gateway_setting.FakeTimers):
    def __init__(self):
        super().__init__()
        self.repeated = []

    def call_every(self, interval_s, call):
        self.repeated.append(call)

    def pass_interval(self):
        for call in self.repeated:
            call()


class _Keeper:
    def __init__(self):
        self.keepers = ["a:1"]
        self.table = feed.Table(3, b"three")
        self.timers = _Timers()
        self.feed = feed.Feed(self.timers, "h", lambda: self.keepers, lambda: self.table)

    def join(self, name):
        session = _Session(name)
        self.feed.add(session, route_messages.Subscribe(hall="h", address=f"{name}:9"))
        return session


@pytest.fixture
def keeper():
    return _Keeper()


def test_entries_that_join_together_are_told_of_each_other_once(keeper):
    sessions = [keeper.join(f"e{number}") for number in range(50)]
    keeper.timers.pass_interval()
    keeper.timers.pass_interval()
    for session in sessions:
        told = session.get(route_messages.Fleet)
        assert len(told) == 2
        assert len(told[-1].entries) == 50


def test_one_that_joins_knows_the_keepers_at_once(keeper):
    assert keeper.join("e").get(route_messages.Fleet)[0].keepers == ["a:1"]


def test_new_keepers_are_told_without_a_new_table(keeper):
    session = keeper.join("e")
    keeper.timers.pass_interval()
    keeper.keepers = ["a:1", "b:1"]
    keeper.timers.pass_interval()
    assert session.get(route_messages.Fleet)[-1].keepers == ["a:1", "b:1"]


def test_a_table_is_packed_once_a_version(keeper):
    first, second = keeper.join("e1"), keeper.join("e2")
    keeper.feed.send_table(first, 0)
    keeper.feed.send_table(second, 0)
    (one,) = first.get(route_messages.RouteTableDocument)
    (other,) = second.get(route_messages.RouteTableDocument)
    assert one is other
    keeper.table = feed.Table(4, b"four")
    keeper.feed.send_table(first, 0)
    assert first.get(route_messages.RouteTableDocument)[-1].version == 4


def test_an_unchanged_list_goes_as_one_line(keeper):
    session = keeper.join("e")
    for _ in range(3):
        keeper.feed.publish_instances(1, [gateway_setting.make_instance("i")])
    lists = session.get(route_messages.InstanceList)
    assert [item.is_unchanged for item in lists] == [False, True, True]


def test_one_that_has_the_table_before_gets_the_difference(keeper):
    session = keeper.join("e")
    keeper.table = feed.Table(3, b"{a},{b},{c}")
    keeper.feed.announce_version()
    digest = document_delta.get_digest(keeper.table.document)
    keeper.table = feed.Table(4, b"{a},{d},{c}")
    keeper.feed.announce_version()
    keeper.feed.send_table(session, digest)
    (sent,) = session.get(route_messages.RouteTableDocument)
    assert sent.base_digest == digest
    delta = deflate.unpack(sent.packed)
    assert document_delta.apply(b"{a},{b},{c}", delta) == keeper.table.document
    keeper.feed.send_table(session, 12345)
    assert session.get(route_messages.RouteTableDocument)[-1].base_digest == 0


def test_documents_for_differences_are_bounded(keeper):
    for version in range(4, 40):
        keeper.table = feed.Table(version, b"%d" % version)
        keeper.feed.announce_version()
    assert len(keeper.feed._documents) == feed.DOCUMENTS_KEPT
