"""An entry that follows several keepers accepts the newest table and never an older one."""

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import table_feed
from spoolhead._internal.models import fleet, instances
from spoolhead._internal.network import route_messages
from spoolhead._internal.utils import clocks, deflate, document_delta


class _Client:
    def __init__(self):
        self.is_ready = True
        self.is_closed = False
        self.sent = []

    def send(self, message):
        self.sent.append(message)
        return True

    def close(self):
        self.is_closed = True

    def count(self, kind):
        return sum(isinstance(message, kind) for message in self.sent)


class _Loop:
    def __init__(self):
        self.scheduler = self

        self.later = []

    def call_every(self, interval_s, call):
        pass

    def call_later(self, delay_s, call):
        self.later.append(call)


class _Listener:
    def __init__(self):
        self.tables = []
        self.unusable = set()
        self.failing = set()
        self.lists = []
        self.evacuations = []
        self.fleets = []
        self.lost_keepers = []

    def on_table(self, version, document):
        if version in self.unusable:
            return False
        if version in self.failing:
            self.failing.remove(version)
            raise RuntimeError("cannot be put in force")
        self.tables.append(version)
        return True

    def on_evacuations(self, halls):
        self.evacuations.append(set(halls))

    def on_instances(self, listed):
        self.lists.append([item.instance_id for item in listed])

    def on_fleet(self, known):
        self.fleets.append(known)

    def on_keeper_lost(self, address):
        self.lost_keepers.append(address)


class _Dialect:
    list_target = "/list"


class _Feed(table_feed.TableFeed):
    def make_client(self, address, keeper):
        return _Client()


@pytest.fixture
def feed():
    config = gateway_setting.make_settings()
    config.keepers = ["a:1", "b:1", "c:1"]
    made = _Feed(_Loop(), None, gateway_setting.GatewayCalls(), config, _Dialect(), _Listener())
    for address in config.keepers:
        made.on_keeper_ready(made._keepers[address])
    return made


def _deliver(feed, address, message):
    feed.on_keeper_message(feed._keepers[address], message)


def _client(feed, address):
    return feed._keepers[address].client


def _make_fleet(*, is_whole=True, gone=(), **fields):
    return route_messages.Fleet(is_whole=is_whole, gone=list(gone), **fields)


def _make_list(names, *, term, sequence=1, is_whole=True, gone=()):
    packed = instances.pack([gateway_setting.make_instance(name) for name in names])
    return route_messages.InstanceList(
        reader_term=term,
        sequence=sequence,
        is_whole=is_whole,
        changed=packed,
        gone=list(gone),
    )


def test_every_keeper_is_asked_for_its_version(feed):
    assert all(_client(feed, a).count(route_messages.Subscribe) == 1 for a in ("a:1", "b:1", "c:1"))


def test_the_newest_version_is_fetched_from_who_names_it(feed):
    _deliver(feed, "b:1", route_messages.RouteTableVersion(version=5, is_confirmed=True))
    assert _client(feed, "b:1").count(route_messages.GetRouteTable) == 1
    _deliver(
        feed, "b:1", route_messages.RouteTableDocument(version=5, packed=deflate.pack(b"five"))
    )
    _deliver(feed, "a:1", route_messages.RouteTableVersion(version=5, is_confirmed=True))
    assert _client(feed, "a:1").count(route_messages.GetRouteTable) == 0
    assert feed._listener.tables == [5]


def test_a_keeper_that_is_behind_never_takes_the_table_back(feed):
    _deliver(
        feed, "a:1", route_messages.RouteTableDocument(version=9, packed=deflate.pack(b"nine"))
    )
    _deliver(feed, "b:1", route_messages.RouteTableVersion(version=7, is_confirmed=True))
    _deliver(
        feed, "b:1", route_messages.RouteTableDocument(version=7, packed=deflate.pack(b"seven"))
    )
    _deliver(
        feed, "c:1", route_messages.RouteTableDocument(version=9, packed=deflate.pack(b"nine"))
    )
    assert feed._listener.tables == [9]
    assert _client(feed, "b:1").count(route_messages.GetRouteTable) == 0


def test_the_list_of_a_former_reader_does_not_replace_a_later_ones(feed):
    _deliver(feed, "a:1", _make_list(["i-1", "i-2"], term=4))
    _deliver(feed, "b:1", _make_list(["i-0"], term=3))
    assert feed._listener.lists == [["i-1", "i-2"]]


def test_an_unchanged_list_stands_for_that_keepers_last_one(feed):
    _deliver(feed, "a:1", _make_list(["i-1"], term=4))
    _deliver(feed, "a:1", _make_list([], term=4, sequence=2, is_whole=False))
    assert feed._listener.lists == [["i-1"], ["i-1"]]
    # An incremental list is ignored until a complete one has arrived on the stream.
    _deliver(feed, "b:1", _make_list([], term=4, sequence=3, is_whole=False))
    assert len(feed._listener.lists) == 2


def test_a_changed_list_is_that_keepers_last_one_with_the_change(feed):
    _deliver(feed, "a:1", _make_list(["i-1", "i-2"], term=4))
    _deliver(feed, "a:1", _make_list(["i-3"], term=4, sequence=2, is_whole=False, gone=["i-1"]))
    assert feed._listener.lists[-1] == ["i-2", "i-3"]
    feed._keepers["a:1"].on_peer_lost()
    _deliver(feed, "a:1", _make_list(["i-4"], term=4, sequence=3, is_whole=False))
    assert len(feed._listener.lists) == 2
    _deliver(feed, "a:1", _make_list(["i-4"], term=4, sequence=3))
    assert feed._listener.lists[-1] == ["i-4"]


def test_keepers_come_and_go_with_what_the_others_say(feed):
    _deliver(
        feed,
        "a:1",
        _make_fleet(hall="h", keepers=["a:1", "b:1", "d:1"], entries=[["e", "h", "x:1"]]),
    )
    assert set(feed._keepers) == {"a:1", "b:1", "c:1", "d:1"}
    gone = _client(feed, "c:1")
    feed.set_keeper_addresses(["a:1", "b:1"])
    assert set(feed._keepers) == {"a:1", "b:1", "d:1"}
    assert gone.is_closed
    (known,) = feed._listener.fleets
    assert known.keepers == (fleet.Process(name="a:1", hall="h", address="a:1"),)
    assert known.entries == (fleet.Process(name="e", hall="h", address="x:1"),)


def test_entries_that_any_reachable_keeper_knows_of_count(feed):
    """A keeper that has just started reports few entries, and a lost one none."""
    keepers = ["a:1", "b:1", "c:1"]
    many = [[f"e{number}", "h", "x:1"] for number in range(3)]
    _deliver(feed, "a:1", _make_fleet(hall="h", keepers=keepers, entries=many))
    _deliver(feed, "b:1", _make_fleet(hall="g", keepers=keepers, entries=many[:1]))
    assert len(feed._listener.fleets[-1].entries) == 3
    assert {item.hall for item in feed._listener.fleets[-1].keepers} == {"g", "h"}
    feed._keepers["a:1"].on_peer_lost()
    assert feed._listener.lost_keepers == ["a:1"]
    _deliver(feed, "b:1", _make_fleet(hall="g", keepers=keepers, entries=many[:1]))
    assert len(feed._listener.fleets[-1].entries) == 1
    assert {item.hall for item in feed._listener.fleets[-1].keepers} == {"g"}


def test_a_changed_fleet_is_that_keepers_last_one_with_the_change(feed):
    keepers = ["a:1", "b:1", "c:1"]
    rows = [[f"e{number}", "h", "x:1"] for number in range(4)]
    _deliver(feed, "a:1", _make_fleet(hall="h", keepers=keepers, entries=rows[:3]))
    change = _make_fleet(hall="h", keepers=keepers, entries=rows[3:], gone=["e0"], is_whole=False)
    _deliver(feed, "a:1", change)
    assert {item.name for item in feed._listener.fleets[-1].entries} == {"e1", "e2", "e3"}


@pytest.mark.parametrize("packed", [b"", b"junk", deflate.pack(b"five")[:-2]], ids=repr)
def test_a_damaged_table_changes_nothing_and_is_asked_for_again(feed, packed):
    _deliver(feed, "b:1", route_messages.RouteTableVersion(version=5, is_confirmed=True))
    _deliver(feed, "b:1", route_messages.RouteTableDocument(version=5, packed=packed))
    assert feed.version == 0
    _deliver(
        feed, "b:1", route_messages.RouteTableDocument(version=5, packed=deflate.pack(b"five"))
    )
    assert feed.version == 5


def test_a_table_that_would_unpack_to_too_much_is_not_taken():
    with pytest.raises(ValueError):
        deflate.unpack(deflate.pack(bytes(deflate.MAX_UNPACKED_BYTES + 1)))


def test_a_table_is_fetched_from_one_keeper_at_a_time(feed):
    for address in ("a:1", "b:1", "c:1"):
        _deliver(feed, address, route_messages.RouteTableVersion(version=5, is_confirmed=True))
    requested = [
        _client(feed, address).count(route_messages.GetRouteTable)
        for address in ("a:1", "b:1", "c:1")
    ]
    assert requested == [1, 0, 0]
    _deliver(feed, "b:1", route_messages.RouteTableVersion(version=6, is_confirmed=True))
    assert _client(feed, "b:1").count(route_messages.GetRouteTable) == 1


def test_a_keeper_that_stands_still_is_passed_over(feed, monkeypatch):
    for address in ("a:1", "b:1", "c:1"):
        _deliver(feed, address, route_messages.RouteTableVersion(version=5, is_confirmed=True))
    later_s = clocks.get_s() + table_feed.PENDING_FETCH_TTL_S
    monkeypatch.setattr(table_feed.clocks, "get_s", lambda: later_s)
    feed._loop.later.pop()()
    requested = [
        _client(feed, address).count(route_messages.GetRouteTable)
        for address in ("a:1", "b:1", "c:1")
    ]
    # Either of the other two may be asked next, but only one, and not the stalled keeper.
    assert requested[0] == 1
    assert sorted(requested[1:]) == [0, 1]


def test_a_difference_is_put_on_the_table_that_is_there(feed):
    old, new = b"{a},{b},{c}", b"{a},{d},{c}"
    _deliver(feed, "a:1", route_messages.RouteTableDocument(version=5, packed=deflate.pack(old)))
    delta = deflate.pack(document_delta.make(old, new))
    digest = document_delta.get_digest(old)
    message = route_messages.RouteTableDocument(version=6, packed=delta, base_digest=digest)
    _deliver(feed, "a:1", message)
    assert feed.version == 6
    assert feed._document == new


def test_a_difference_to_another_table_is_not_taken_and_the_whole_is_asked_for(feed):
    delta = deflate.pack(document_delta.make(b"{x},{y}", b"{x},{z}"))
    _deliver(feed, "a:1", route_messages.RouteTableVersion(version=6, is_confirmed=True))
    _deliver(feed, "a:1", route_messages.RouteTableDocument(version=6, packed=delta, base_digest=1))
    assert feed.version == 0
    feed._check()
    requested = [
        item for item in _client(feed, "a:1").sent if isinstance(item, route_messages.GetRouteTable)
    ]
    assert requested[-1].digest == 0


def _deliver_version(feed, address, version, *, is_confirmed=True):
    _deliver(
        feed, address, route_messages.RouteTableVersion(version=version, is_confirmed=is_confirmed)
    )


def _deliver_table(feed, address, version):
    message = route_messages.RouteTableDocument(
        version=version, packed=deflate.pack(b"%d" % version)
    )
    _deliver(feed, address, message)


def _count_requests(feed, address):
    return _client(feed, address).count(route_messages.GetRouteTable)


def test_what_a_keeper_begins_with_is_not_fetched_until_a_leader_confirms_it(feed):
    _deliver_version(feed, "a:1", 5, is_confirmed=False)
    feed._check()
    assert _count_requests(feed, "a:1") == 0
    _deliver_version(feed, "a:1", 5)
    assert _count_requests(feed, "a:1") == 1


def test_a_keeper_that_starts_again_is_not_confirmed_by_its_former_stream(feed):
    _deliver_version(feed, "a:1", 5)
    feed._keepers["a:1"].on_peer_lost()
    _deliver_version(feed, "a:1", 4, is_confirmed=False)
    assert not feed._keepers["a:1"].is_confirmed


def test_an_unconfirmed_table_is_fetched_only_while_that_is_wanted(feed):
    _deliver_version(feed, "a:1", 5, is_confirmed=False)
    feed.accept_unconfirmed(True)
    assert _count_requests(feed, "a:1") == 1
    _deliver_table(feed, "a:1", 5)
    feed.accept_unconfirmed(False)
    _deliver_version(feed, "a:1", 6, is_confirmed=False)
    assert _count_requests(feed, "a:1") == 1
    assert feed._listener.tables == [5]


def test_sure_is_who_has_what_more_than_half_of_the_keepers_confirm(feed):
    for address in ("a:1", "b:1"):
        _deliver(feed, address, _make_fleet(hall="h", keepers=["a:1", "b:1", "c:1"], entries=[]))
    _deliver_version(feed, "a:1", 5)
    _deliver_table(feed, "a:1", 5)
    assert not feed.is_sure
    _deliver_version(feed, "b:1", 5, is_confirmed=False)
    assert not feed.is_sure
    _deliver_version(feed, "b:1", 5)
    assert feed.is_sure
    _deliver_version(feed, "b:1", 6)
    assert not feed.is_sure
    _deliver_table(feed, "b:1", 6)
    assert feed.is_sure
    feed._keepers["a:1"].on_peer_lost()
    assert not feed.is_sure


def test_former_keepers_that_the_settings_name_do_not_count(feed):
    """All three seeds may be gone after the members have moved to other addresses."""
    keepers = ["c:1", "d:1", "e:1"]
    _deliver(feed, "c:1", _make_fleet(hall="h", keepers=keepers, entries=[]))
    _deliver(feed, "d:1", _make_fleet(hall="h", keepers=keepers, entries=[]))
    _deliver_version(feed, "c:1", 5)
    _deliver_table(feed, "c:1", 5)
    _deliver_version(feed, "d:1", 5)
    assert feed.keeper_count == 5
    assert feed.is_sure


def test_a_table_that_failed_on_its_way_into_force_is_taken_again(feed):
    feed._listener.failing = {5}
    _deliver_version(feed, "a:1", 5)
    _deliver_table(feed, "a:1", 5)
    assert feed.version == 0
    assert _count_requests(feed, "a:1") == 1
    feed._check()
    assert _count_requests(feed, "a:1") == 2
    _deliver_table(feed, "a:1", 5)
    assert feed._listener.tables == [5]


def test_an_unusable_table_leaves_the_former_and_is_not_asked_for_again(feed):
    _deliver_version(feed, "a:1", 4)
    _deliver_table(feed, "a:1", 4)
    feed._listener.unusable = {5}
    _deliver_version(feed, "a:1", 5)
    _deliver_table(feed, "a:1", 5)
    feed._check()
    assert feed.version == 4
    assert _count_requests(feed, "a:1") == 2
    _deliver_version(feed, "a:1", 6)
    _deliver_table(feed, "a:1", 6)
    assert feed._listener.tables == [4, 6]


@pytest.mark.parametrize(("entries", "reads"), [(8, 3), (350, 1)])
def test_own_readings_of_the_list_are_spread_over_the_fleet(feed, monkeypatch, entries, reads):
    """Without a keeper's list an entry reads it directly, at a bounded rate over all entries."""
    rows = [[f"e{number}", "h", "x:1"] for number in range(entries)]
    _deliver(feed, "a:1", _make_fleet(hall="h", keepers=["a:1", "b:1", "c:1"], entries=rows))
    began_s = clocks.get_s()
    made = []
    monkeypatch.setattr(feed._reader, "read", lambda: made.append(1))
    for step in range(3):
        now_s = began_s + 10.0 + step * table_feed.CHECK_INTERVAL_S
        monkeypatch.setattr(table_feed.clocks, "get_s", lambda now_s=now_s: now_s)
        feed._check()
    assert len(made) == reads
