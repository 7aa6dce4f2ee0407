"""Simulates keepers and the entries that follow them in one process, step by step.

The keepers are a :class:`consensus_group.Group` whose table is the list of changes. Keepers and
entries use the real feeds. Streams preserve the order of messages and are lost as a whole.
"""

from lib import consensus_group, gateway_setting, simulated_clock
from spoolhead._internal.gateway import table_feed
from spoolhead._internal.network import messages, route_messages
from spoolhead._internal.quorum import feed
from spoolhead.coordination import consensus_messages


def make_document(changes):
    return b",".join(b"{%s}" % change for change in changes)


def get_evacuations(changes):
    """Return the state of the halls after some changes."""
    machine = consensus_group.ListMachine()
    for data in changes:
        machine.apply(data)
    return machine.evacuations


class KeeperIncarnation:
    """The feed of a keeper to its followers, from its start until it stops."""

    def __init__(self, group, node):
        self.node = node
        self.consensus = node.consensus
        self.timers = simulated_clock.Clock()
        self.feed = feed.Feed(
            self.timers, "h", self._get_keepers, self._get_table, self._get_evacuations
        )
        self._last_broadcast = self._get_state()

    def _get_keepers(self):
        return [consensus_messages.get_address(item) for item in self.consensus.members]

    def _get_table(self):
        changes = self.node.machine.changes
        return feed.CommittedTable(
            len(changes), make_document(changes), is_confirmed=self.consensus.has_caught_up
        )

    def _get_evacuations(self):
        return self.node.machine.evacuations

    def _get_state(self):
        return (len(self.node.machine.changes), self.consensus.has_caught_up)

    def broadcast_changes(self):
        if self._last_broadcast != self._get_state():
            self._last_broadcast = self._get_state()
            self.feed.broadcast_version()

    def handle_message(self, session, message):
        match message:
            case route_messages.Subscribe():
                self.feed.add_follower(session, message)
            case route_messages.GetRouteTable():
                self.feed.send_table(session, message.digest)


class Stream:
    """A stream between an entry and a keeper, with the messages in transit."""

    def __init__(self, entry, followed, keeper):
        self.name = entry.name
        self.entry = entry
        self.followed = followed
        self.keeper = keeper
        self.to_keeper = []
        self.to_entry = []

    def send(self, message):
        self.to_entry.append(message)

    def send_encoded(self, data):
        self.to_entry.extend(messages.MessageReader().feed(data))

    def deliver(self):
        """Deliver the oldest message of each direction."""
        if self.to_keeper:
            self.keeper.handle_message(self, self.to_keeper.pop(0))
        if self.to_entry:
            self.entry.feed.on_keeper_message(self.followed, self.to_entry.pop(0))


class Client:
    """The entry's end of a stream."""

    def __init__(self):
        self.stream = None
        self.is_closed = False

    @property
    def is_ready(self):
        return self.stream is not None

    def send(self, message):
        if self.stream is None:
            return False
        self.stream.to_keeper.append(message)
        return True

    def close(self):
        self.is_closed = True
        self.end()

    def end(self):
        """Lose the stream and the messages in transit."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.keeper.feed.remove_follower(stream)


class _Feed(table_feed.TableFeed):
    def make_client(self, address, keeper):
        return Client()


class _Loop:
    def __init__(self, scheduler):
        self.scheduler = scheduler


class _Dialect:
    list_target = "/list"


class Entry:
    """One entry from its start until it stops.

    :ivar acknowledged_before: number of changes acknowledged before its start.
    :ivar failures: number of next tables that it fails to put in force.
    :ivar order_revision_before: revision of the orders on halls acknowledged before its start.
    """

    def __init__(self, fleet, name):
        self.name = name
        self.fleet = fleet
        self.acknowledged_before = len(fleet.group.acknowledged)
        self.failures = 0
        self.version = 0
        self.evacuated_halls = frozenset()
        self.order_revision_before = get_evacuations(fleet.group.acknowledged).revision
        self.timers = simulated_clock.Clock()
        config = gateway_setting.make_settings()
        config.keepers = fleet.draw_seeds()
        calls = gateway_setting.GatewayCalls()
        self.feed = _Feed(_Loop(self.timers), None, calls, config, _Dialect(), self)

    def on_table(self, version, document):
        if self.failures:
            self.failures -= 1
            raise RuntimeError("cannot be put in force")
        assert version > self.version, "an entry returned to an older table"
        assert document == make_document(
            self.fleet.group.longest[:version]
        ), "the table differs from the committed one"
        self.version = version
        return True

    def on_evacuations(self, halls):
        self.evacuated_halls = halls

    def on_instances(self, listed):
        pass

    def on_fleet(self, known):
        pass

    def on_keeper_lost(self, address):
        pass

    def get_streams(self):
        clients = [item.client for item in self.feed._keepers.values()]
        return [client.stream for client in clients if client.stream is not None]

    def stop(self):
        for stream in self.get_streams():
            stream.followed.client.end()


class _Group(consensus_group.Group):
    """Calls the fleet after each step of time."""

    def __init__(self, fleet, seed, size):
        self.on_advance = fleet.on_advance
        super().__init__(seed, size, streams_end_with_processes=True)

    def advance(self, steps=1):
        for _ in range(steps):
            super().advance()
            self.on_advance()


class Fleet:
    """Keepers and entries.

    :param seed: seed of all random choices.
    :param size: number of initial keepers.
    :ivar cut_links: pairs of an entry's name and a keeper's address that are not connected.
    """

    def __init__(self, seed, size):
        self.group = _Group(self, seed, size)
        self.cut_links = set()
        self.keeper_incarnations = {}
        self.entries = {}
        self._update_incarnations()
        for name in ("entry-1", "entry-2"):
            self.start_entry(name)

    def get_s(self):
        """Return the time; replaces the clock of the modules under test."""
        return self.group.now_s

    def draw_seeds(self):
        return self.group.draw_seeds()

    def start_entry(self, name):
        """Start an entry, or restart it with empty state."""
        if name in self.entries:
            self.entries[name].stop()
        self.entries[name] = Entry(self, name)

    def crash_keeper(self, address):
        self.group.nodes[address].crash()
        self._update_incarnations()

    def on_advance(self):
        self._update_incarnations()
        for entry in self.entries.values():
            self._connect(entry)
            entry.timers.run(consensus_group.STEP_S)
        for keeper in self.keeper_incarnations.values():
            keeper.timers.run(consensus_group.STEP_S)
        if not self.cut_links:
            self.deliver_all()

    def _update_incarnations(self):
        """End the streams of crashed keepers and create the feeds of started ones."""
        up = {node.address: node for node in self.group.up()}
        for address, keeper in list(self.keeper_incarnations.items()):
            node = up.get(address)
            if node is None or node.consensus is not keeper.consensus:
                del self.keeper_incarnations[address]
                self._end_streams(lambda stream, keeper=keeper: stream.keeper is keeper)
        for address, node in up.items():
            if address not in self.keeper_incarnations:
                self.keeper_incarnations[address] = KeeperIncarnation(self.group, node)
        for keeper in self.keeper_incarnations.values():
            keeper.broadcast_changes()

    def _end_streams(self, matches):
        for entry in self.entries.values():
            for stream in entry.get_streams():
                if matches(stream):
                    stream.followed.client.end()
                    stream.followed.on_peer_lost()

    def cut_link(self, name, address):
        """Cut an entry off from a keeper."""
        self.cut_links.add((name, address))
        self._end_streams(lambda stream: stream.name == name and stream.followed.address == address)

    def _connect(self, entry):
        for address, followed in list(entry.feed._keepers.items()):
            is_cut = (entry.name, address) in self.cut_links
            if followed.client.is_ready or is_cut or address not in self.keeper_incarnations:
                continue
            followed.client.stream = Stream(entry, followed, self.keeper_incarnations[address])
            followed.on_peer_ready()

    def deliver(self, entry):
        """Deliver one message in each direction of each of an entry's streams."""
        for stream in entry.get_streams():
            stream.deliver()

    def deliver_all(self):
        for _ in range(50):
            busy = [
                stream
                for entry in self.entries.values()
                for stream in entry.get_streams()
                if stream.to_entry or stream.to_keeper
            ]
            for stream in busy:
                stream.deliver()
            if not busy:
                return

    def check(self):
        self._update_incarnations()
        for entry in self.entries.values():
            assert entry.version == entry.feed.version
            if entry.feed.is_sure:
                assert (
                    entry.version >= entry.acknowledged_before
                ), "an older table counts as confirmed"
                known = entry.feed.evacuation_revision
                assert (
                    known >= entry.order_revision_before
                ), "counts as confirmed without an order on a hall"

    def settle(self, seconds):
        """Remove all cuts and let time pass."""
        self.cut_links.clear()
        self.group.settle(seconds)
        self.check()
