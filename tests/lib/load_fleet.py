"""A fleet's load datagrams in one process: the real classes, simulated time, lossy delivery."""

import collections
import itertools
import random

from lib import gateway_setting, simulated_clock
from spoolhead._internal.gateway import (
    load_sharing,
    permit_exchange,
    upstream_events,
    upstream_limits,
)
from spoolhead._internal.load_broadcast import hub_port
from spoolhead._internal.models import fleet, permits, shared_load
from spoolhead._internal.policy import content_registry, load_hub, upstream_registry

NEAR_S = 0.0005
FAR_S = 0.0014
AGE_STEP_S = 0.005
"""Pause between two looks at whether news has arrived."""
HEADER_BYTES = 28
"""What a datagram takes besides its payload."""


class Process:
    """A process's place in the network.

    :ivar is_up: it takes and sends datagrams.
    """

    def __init__(self, net, name, hall, address):
        self.net = net
        self.name = name
        self.hall = hall
        self.address = address
        self.is_up = True
        self.take = None
        self.sent = []
        self.receivers = []

    def send(self, data, address):
        if self.is_up:
            self.sent.append((self.net.clock.now_s, len(data) + HEADER_BYTES))
            self.receivers.append(address)
            self.net.deliver(self, data, address)


class Net:
    """Delivers datagrams, or loses, delays and swaps them."""

    def __init__(self, clock, rng, loss):
        self.clock = clock
        self.rng = rng
        self.loss = loss
        self.cut_off_halls = set()
        self.cut_keepers = set()
        self.processes = {}

    def deliver(self, sender, data, address):
        receiver = self.processes.get(address)
        if receiver is None or self.rng.random() < self.loss or self._is_cut(sender, receiver):
            return
        delay_s = NEAR_S if sender.hall == receiver.hall else FAR_S
        delay_s += self.rng.expovariate(1 / 0.0005)
        self.clock.call_later(delay_s, lambda: self._arrive(receiver, data, sender.address))

    def _arrive(self, receiver, data, sender_address):
        if receiver.is_up:
            receiver.take(shared_load.decode(data), sender_address)

    def _is_cut(self, one, other):
        if one.hall != other.hall and {one.hall, other.hall} & self.cut_off_halls:
            return True
        both = {one.name, other.name}
        return one.name != other.name and both <= self.cut_keepers


class FakeContext:
    """What news need of an entry without requests."""

    def query_termination_if_abandoned(self, upstream):
        pass


class LateSharing:
    """Tells by the sharing that an entry has by then."""

    def __init__(self, entry):
        self.entry = entry

    def broadcast_alarm(self, *args, **options):
        self.entry.sharing.broadcast_alarm(*args, **options)


class Entry:
    """One entry: its book, its sharing and the ages of what it knows."""

    def __init__(self, fleet_, process, known, listed):
        self.process = process
        self.clock = fleet_.clock
        self.registry = upstream_registry.UpstreamRegistry()
        self.registry.update_instances(listed, fleet_.clock())
        self.alarms = []
        self.held = []
        self.contents = gateway_setting.make_contents(
            process.name,
            clock=fleet_.clock,
            request_broadcast=lambda: self.sharing.broadcast_contents(),
            on_held=self.held.append,
        )
        config = gateway_setting.make_settings(name=process.name, hall=process.hall)
        self.limits = upstream_limits.UpstreamLimits(
            self.registry.get_by_key,
            request_broadcast=lambda: self.sharing.broadcast_limits(),
            on_change=lambda key: self.permits.backoff.clear(key),
        )
        self.permits = permit_exchange.PermitExchange(
            fleet_.clock,
            config,
            self.limits,
            send=process.send,
            first_id=int(fleet_.clock() * 1000),
            clock=fleet_.clock,
        )
        self.news = upstream_events.UpstreamEvents(
            FakeContext(), LateSharing(self), set(), get_table=lambda: None
        )
        self.sharing = load_sharing.LoadSharing(
            fleet_.clock,
            config,
            self.registry,
            self.contents,
            self.limits,
            send=process.send,
            on_alarm=lambda upstream: self.alarms.append(upstream.instance.instance_id),
            on_load_update=lambda: None,
            clock=fleet_.clock,
            wall_clock=fleet_.clock,
        )
        process.take = self.take
        self.set_fleet(known)

    def apply_list(self, listed):
        self.registry.update_instances(listed, self.clock())
        self.sharing.refresh()

    def set_fleet(self, known):
        self.sharing.set_fleet(known)
        self.permits.set_entries(self.sharing.get_entries())

    def take(self, message, sender):
        if isinstance(message, permits.PermitRequest | permits.PermitReply):
            self.permits.handle_datagram(message, sender)
        else:
            self.sharing.handle_datagram(message, sender)

    def hold(self, instance_id, request_id, tokens):
        work = upstream_registry.InFlightRequest(request_id, tokens, prefill_tokens=0)
        self.registry.get(instance_id).in_flight[request_id] = work
        self.sharing.schedule_report()

    def drop(self, instance_id, request_id):
        self.registry.get(instance_id).in_flight.pop(request_id)
        self.sharing.schedule_report()


class LoadFleet:
    """Entries in halls, each hall with so many keepers.

    :param entries: number of entries.
    :param halls: number of halls.
    :param keepers: number of keepers, spread over the first halls.
    :param instances: number of instances.
    :param loss: part of the datagrams that is lost.
    """

    def __init__(self, *, entries, halls, keepers, instances, loss=0.01, seed=1):
        self.clock = simulated_clock.Clock()
        self.rng = random.Random(seed)
        self.net = Net(self.clock, self.rng, loss)
        self.halls = [f"hall-{number}" for number in range(halls)]
        self.instances = [f"i-{number:08x}" for number in range(instances)]
        self.hubs = [self._add("keeper", number) for number in range(keepers)]
        processes = [self._add("entry", number) for number in range(entries)]
        self.known = fleet.Fleet(
            keepers=tuple(_describe(item) for item in self.hubs),
            entries=tuple(_describe(item) for item in processes),
        )
        self.hub_books = [content_registry.ContentRegistry() for _ in self.hubs]
        self.hub_ports = [self._make_hub(number) for number in range(keepers)]
        self.listed = [
            gateway_setting.make_instance(name, hall=self.halls[number % halls])
            for number, name in enumerate(self.instances)
        ]
        self.entries = [Entry(self, item, self.known, self.listed) for item in processes]
        self.ages_ms = []

    def _add(self, kind, number):
        hall = self.halls[number % len(self.halls)]
        address = (f"10.{1 if kind == 'keeper' else 2}.{number // 200}.{number % 200}", 7)
        process = Process(self.net, f"{kind}-{number:03}", hall, address)
        self.net.processes[address] = process
        return process

    def _make_hub(self, number):
        process = self.hubs[number]
        others = [item.address for item in self.hubs if item is not process]
        port = hub_port.HubPort(
            self.clock,
            load_hub.LoadHub(process.name, 1, self.hub_books[number]),
            send=process.send,
            get_hubs=lambda: others,
            bytes_per_s=2_000_000,
            clock=self.clock,
        )
        process.take = port.handle_datagram
        return port

    def run(self, for_s):
        self.clock.run(for_s)

    def kill(self, *names):
        """End processes without a word; connections to keepers end, as their kernel resets them."""
        for process in self.net.processes.values():
            if process.name in names:
                process.is_up = False
                if process in self.hubs:
                    self._lose_keeper(process)

    def restart_entry(self, number, *, is_listed=True):
        """Have an entry end and start anew, knowing nothing; returns it.

        :param is_listed: it has read the list of instances already.
        """
        former = self.entries[number]
        # What still runs of the former one reaches nobody.
        former.process.is_up = False
        former.sharing.handle_datagram = lambda message, sender: None
        former.permits.handle_datagram = lambda message, sender: None
        process = Process(
            self.net, former.process.name, former.process.hall, former.process.address
        )
        self.net.processes[process.address] = process
        listed = self.listed if is_listed else []
        self.entries[number] = Entry(self, process, self.known, listed)
        return self.entries[number]

    def _lose_keeper(self, process):
        address = _describe(process).address
        for entry in self.entries:
            entry.sharing.record_keeper_lost(address)

    def begin_load(self, requests_per_s, *, lasting_s, tokens=3_500):
        """Have requests begin at random entries and instances from now on."""
        numbers = itertools.count()

        def _begin():
            entry = self.rng.choice(self.entries)
            name = self.rng.choice(self.instances)
            request_id = f"r{next(numbers)}"
            entry.hold(name, request_id, tokens)
            self._measure_age(entry, name)
            self.clock.call_later(
                self.rng.expovariate(1 / lasting_s), lambda: entry.drop(name, request_id)
            )
            self.clock.call_later(self.rng.expovariate(requests_per_s), _begin)

        _begin()

    def _measure_age(self, entry, name):
        """Measure when another entry's book shows what an entry has just begun.

        Given up if the truth changes before that.
        """
        observer = self.rng.choice(self.entries)
        if observer is entry:
            return
        began_s = self.clock.now_s
        expected = self.get_held(name, except_by=observer)
        upstream = observer.registry.get(name)

        def _look():
            if upstream.other_load.tokens == expected:
                self.ages_ms.append((self.clock.now_s - began_s) * 1000)
            elif self.get_held(name, except_by=observer) == expected:
                self.clock.call_later(AGE_STEP_S, _look)

        self.clock.call_later(AGE_STEP_S, _look)

    def get_held(self, name, *, except_by=None):
        """Return the memory that entries truly hold at an instance."""
        return sum(
            entry.registry.get(name).own_tokens
            for entry in self.entries
            if entry is not except_by and entry.process.is_up
        )

    def is_agreed(self):
        """Tell whether every living entry knows exactly what the others hold."""
        return all(
            entry.registry.get(name).other_load.tokens == self.get_held(name, except_by=entry)
            for entry in self.entries
            if entry.process.is_up
            for name in self.instances
        )

    def get_traffic(self, processes, seconds):
        """Return mean bytes a second and the largest burst within 5 ms, of any one process."""
        means = [sum(size for _, size in item.sent) / seconds for item in processes]
        return max(means), max(_get_burst(item.sent) for item in processes)

    def forget_traffic(self):
        for process in self.net.processes.values():
            process.sent.clear()
            process.receivers.clear()

    def seen_by(self, entry):
        """Return where an entry has sent datagrams."""
        return entry.process.receivers

    @property
    def entry_processes(self):
        return [entry.process for entry in self.entries]


def _get_burst(sent):
    window = collections.deque()
    most = total = 0
    for at_s, size in sent:
        window.append((at_s, size))
        total += size
        while window[0][0] < at_s - 0.005:
            total -= window.popleft()[1]
        most = max(most, total)
    return most


def _describe(process):
    host, port = process.address
    return fleet.Process(name=process.name, hall=process.hall, address=f"{host}:{port}")
