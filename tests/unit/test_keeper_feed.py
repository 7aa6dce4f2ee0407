"""Messages that a keeper sends to the entries that follow it, and how often."""

import random

import pytest

from lib import gateway_setting
from spoolhead._internal.models import evacuations, instances
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


class _Keeper:
    def __init__(self):
        self.keepers = ["a:1"]
        self.table = feed.CommittedTable(3, b"three", is_confirmed=True)
        self.evacuations = evacuations.Evacuations()
        self.timers = gateway_setting.FakeTimers()
        self.feed = feed.Feed(
            self.timers, "h", lambda: self.keepers, lambda: self.table, lambda: self.evacuations
        )

    def join(self, name):
        session = _Session(name)
        self.feed.add_follower(session, route_messages.Subscribe(hall="h", address=f"{name}:9"))
        return session


@pytest.fixture
def keeper():
    return _Keeper()


def test_entries_that_join_together_are_told_of_each_other_once(keeper):
    sessions = [keeper.join(f"e{number}") for number in range(50)]
    keeper.timers.pass_interval()
    keeper.timers.pass_interval()
    for session in sessions:
        received = session.get(route_messages.Fleet)
        assert len(received) == 2
        assert not received[0].entries
        assert len(received[-1].entries) == 50


def test_only_what_changed_in_the_fleet_is_sent_and_one_that_joins_gets_all(keeper):
    """A full list of 195 entries takes 8 KB per receiver."""
    sessions = [keeper.join(f"e{number}") for number in range(50)]
    keeper.timers.pass_interval()
    keeper.feed.remove_follower(sessions[3])
    joining = keeper.join("new")
    assert len(joining.get(route_messages.Fleet)[0].entries) == 50
    keeper.timers.pass_interval()
    for session in (sessions[0], joining):
        change = session.get(route_messages.Fleet)[-1]
        assert not change.is_whole
        assert change.gone == ["e3"]
        assert [row[0] for row in change.entries] == ["new"]


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
    (first_document,) = first.get(route_messages.RouteTableDocument)
    (second_document,) = second.get(route_messages.RouteTableDocument)
    assert first_document is second_document
    keeper.table = feed.CommittedTable(4, b"four", is_confirmed=True)
    keeper.feed.send_table(first, 0)
    assert first.get(route_messages.RouteTableDocument)[-1].version == 4


def test_an_unchanged_list_goes_as_one_line(keeper):
    session = keeper.join("e")
    for _ in range(3):
        keeper.feed.broadcast_instances(1, [gateway_setting.make_instance("i")])
    lists = session.get(route_messages.InstanceList)
    assert [item.is_whole for item in lists] == [True, False, False]
    assert [len(item.changed) for item in lists] == [1, 0, 0]


def test_only_what_changed_in_a_list_is_sent_and_one_that_joins_gets_all(keeper):
    """A full list of a hundred instances takes 10 KB; only a few come or go at a time."""
    first = keeper.join("e1")
    listed = [gateway_setting.make_instance(f"i-{number}") for number in range(100)]
    keeper.feed.broadcast_instances(1, listed)
    leaving = gateway_setting.make_instance("i-7", is_leaving=True)
    changed = [*listed[1:7], leaving, *listed[8:], gateway_setting.make_instance("new")]
    keeper.feed.broadcast_instances(1, changed)
    sent = first.get(route_messages.InstanceList)[-1]
    assert not sent.is_whole
    assert {item[0] for item in sent.changed} == {"i-7", "new"}
    assert sent.gone == ["i-0"]
    whole = keeper.join("e2").get(route_messages.InstanceList)[-1]
    assert whole.is_whole
    assert instances.unpack(whole.changed) == changed
    assert len(messages.encode(sent)) * 20 < len(messages.encode(whole))


def test_lists_sent_as_changes_come_to_the_same_as_whole_ones(keeper):
    """After any sequence of lists, the follower's list equals the keeper's."""
    session = keeper.join("e")
    rng = random.Random(4)
    list_at_follower = {}
    for _ in range(200):
        names = rng.sample(range(30), rng.randrange(30))
        listed = [
            gateway_setting.make_instance(f"i-{n}", is_leaving=rng.random() < 0.3) for n in names
        ]
        keeper.feed.broadcast_instances(rng.randrange(1, 3), listed)
        sent = session.get(route_messages.InstanceList)[-1]
        for name in sent.gone:
            del list_at_follower[name]
        list_at_follower.update({item[0]: item for item in sent.changed})
        assert set(instances.unpack(list(list_at_follower.values()))) == set(listed)


def test_one_that_has_the_table_before_gets_the_difference(keeper):
    session = keeper.join("e")
    keeper.table = feed.CommittedTable(3, b"{a},{b},{c}", is_confirmed=True)
    keeper.feed.broadcast_version()
    digest = document_delta.get_digest(keeper.table.document)
    keeper.table = feed.CommittedTable(4, b"{a},{d},{c}", is_confirmed=True)
    keeper.feed.broadcast_version()
    keeper.feed.send_table(session, digest)
    (sent,) = session.get(route_messages.RouteTableDocument)
    assert sent.base_digest == digest
    delta = deflate.unpack(sent.packed)
    assert document_delta.apply(b"{a},{b},{c}", delta) == keeper.table.document
    keeper.feed.send_table(session, 12345)
    assert session.get(route_messages.RouteTableDocument)[-1].base_digest == 0


def test_documents_for_differences_are_bounded(keeper):
    for version in range(4, 40):
        keeper.table = feed.CommittedTable(version, b"%d" % version, is_confirmed=True)
        keeper.feed.broadcast_version()
    assert len(keeper.feed._documents) == feed.MAX_DOCUMENTS
