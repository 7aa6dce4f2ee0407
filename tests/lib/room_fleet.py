"""Simulates a fleet whose entries compete for the memory of engines: real broadcasts and queues."""

import collections
import itertools
import random

from lib import load_fleet
from spoolhead._internal.gateway import entry_metrics, room_sharing, run_queue
from spoolhead._internal.models import route_table, settings
from spoolhead._internal.policy import (
    run_admission,
    shared_queue,
    upstream_choice,
    upstream_registry,
)
from spoolhead._internal.utils import prometheus_metrics

SERVICE = "s"
MEMORY_TOKENS = 26_900
SAMPLE_S = 0.01
ENGINE = route_table.Engine(
    slots=64,
    memory_tokens=MEMORY_TOKENS,
    token_bytes=1,
    link_mbps=1.0,
    can_move=True,
    tokens_per_event=4,
)

BURST_S = 6.0
"""Duration of the burst of :func:`begin_burst`."""
MAX_UNUSED = 0.05
"""Share of the room that may stay unused while someone waits."""
MAX_OVERSHOOT = 0.05
"""Share of an engine's memory that may be queued at it."""


class Kind:
    """A kind of requests."""

    def __init__(self, name, *, rank, tokens, prompt_tokens, duration_s, objective_ms):
        self.name = name
        self.rank = rank
        self.tokens = tokens
        self.prompt_tokens = prompt_tokens
        self.duration_s = duration_s
        self.objective_ms = objective_ms

    def get_rate(self, load):
        """Return the requests a second that need a share of one engine's memory."""
        return load * MEMORY_TOKENS / (self.tokens * self.duration_s)


LONG = Kind("long", rank=0, tokens=3_750, prompt_tokens=500, duration_s=7.0, objective_ms=4_000)
SHORT = Kind("short", rank=1, tokens=2_300, prompt_tokens=500, duration_s=0.7, objective_ms=1_500)


class Engine:
    """An engine that queues runs beyond its memory, in order of arrival.

    :ivar upstream_id: its instance id.
    """

    def __init__(self, upstream_id, hall):
        self.upstream_id = upstream_id
        self.hall = hall
        self.running = set()
        self.queued = collections.deque()

    @property
    def free_tokens(self):
        return MEMORY_TOKENS - sum(run.kind.tokens for run in self.running)

    @property
    def sent_tokens(self):
        return sum(run.kind.tokens for run in (*self.running, *self.queued))


class Run:
    """A request, queued at an entry as in production.

    :ivar started_s: when it began to run at an engine; None before that.
    """

    def __init__(self, fleet, number, kind, workspace, request_id):
        self.fleet = fleet
        self.number = number
        self.entry = fleet.entries[number]
        self.kind = kind
        self.workspace = workspace
        self.request_id = request_id
        self.arrived_s = fleet.clock()
        self.started_s = None
        self.sent_s = None
        self.refused_s = None
        self.engine = None
        room = fleet.rooms[number]
        self.waiting = None
        if room is not None:
            self.waiting = shared_queue.WaitingRequest(
                service=SERVICE,
                rank=kind.rank,
                workspace=workspace,
                need_tokens=kind.tokens,
                objective_ms=kind.objective_ms,
                arrived_s=self.arrived_s,
                deadline_s=self.arrived_s + 30.0,
                rng=fleet.rng,
            )
        self.admission = run_admission.Request(
            rank=kind.rank if room is None else 0,
            need_tokens=kind.tokens,
            prompt_tokens=kind.prompt_tokens,
            objective_ms=kind.objective_ms,
            arrived_s=self.arrived_s,
        )

    def try_start(self):
        fleet = self.fleet
        if not self.entry.process.is_up:
            return False
        choice = fleet.choose(self)
        now_s = fleet.clock()

        def _has_room(upstream):
            return run_admission.has_room(ENGINE, upstream, self.admission)

        if self.waiting is None:
            choice = choice.prefer(_has_room)
            verdict = run_admission.decide(ENGINE, choice, self.admission, now_s)
        else:
            upstreams = [item.upstream for item in choice.candidates]
            decision = fleet.rooms[self.number].decide(
                self.waiting, ENGINE, upstreams, has_room=_has_room
            )
            verdict = run_admission.Verdict.BEGIN
            if decision.upstream is None:
                verdict = run_admission.decide_queued(
                    choice, self.admission, refuse_s=self.waiting.refuse_s, now_s=now_s
                )
            choice = choice.prefer(lambda item: item is decision.upstream)
        if verdict is run_admission.Verdict.WAIT:
            return False
        if verdict is run_admission.Verdict.REFUSE or choice.upstream is None:
            self.refused_s = now_s
            return True
        fleet.send(self, choice.upstream)
        return True


class RoomFleet(load_fleet.LoadFleet):
    """Entries and engines.

    :param shares_room: whether the entries share one queue.
    :ivar runs: all requests that arrived.
    :ivar lost: requests sent to engines that could not be reached.
    """

    def __init__(self, *, entries, engines, shares_room=True, seed=1, halls=3, keepers=3):
        super().__init__(
            entries=entries, halls=halls, keepers=keepers, instances=engines, seed=seed
        )
        self.numbers = itertools.count()
        self.runs = []
        self.lost = []
        self.samples = []
        self.engines = {
            item.instance_id: Engine(item.instance_id, item.hall) for item in self.listed
        }
        self.rooms = []
        self.queues = []
        for entry in self.entries:
            self._begin_queue(entry, shares_room)
        self.clock.call_every(SAMPLE_S, self._sample)
        self.run(0.5)

    def _begin_queue(self, entry, shares_room):
        config = settings.GatewaySettings.__new__(settings.GatewaySettings)
        config.shares_room = shares_room
        rng = random.Random(self.rng.random())
        room = room_sharing.make(
            config,
            entry.registry,
            entry.sharing,
            entry_metrics.EntryMetrics(prometheus_metrics.PrometheusMetrics()),
            rng=rng,
            clock=self.clock,
        )
        queue = run_queue.RunQueue(self.clock, rng, room, clock=self.clock)
        self.rooms.append(room)
        self.queues.append(queue)
        entry.sharing._on_load_update = queue.schedule_check

    def choose(self, run):
        """Return the engines by load and hall, as the choice of instances orders them."""
        hall = run.entry.process.hall
        silent = run.entry.sharing.get_silent_halls()
        cost = upstream_choice.OTHER_HALL_COST * upstream_choice.MAX_OTHER_HALL_FACTOR
        candidates = [
            upstream_choice.Candidate(
                upstream,
                (upstream.tokens + run.kind.tokens) / MEMORY_TOKENS
                + cost * (upstream.instance.hall != hall)
                + self.rng.random() * 1e-6,
            )
            for upstream in run.entry.registry.get_all()
            if upstream.instance.hall not in silent
        ]
        return upstream_choice.Choice(sorted(candidates, key=lambda item: item.cost))

    def begin_traffic(self, kind, requests_per_s, *, for_s, workspaces=("w",)):
        """Send requests to random entries; a workspace named twice sends twice as many."""
        until_s = self.clock() + for_s

        def _arrive():
            if self.clock() >= until_s:
                return
            number = self.rng.randrange(len(self.entries))
            if self.entries[number].process.is_up:
                self._accept(number, kind, self.rng.choice(workspaces))
            self.clock.call_later(self.rng.expovariate(requests_per_s), _arrive)

        self.clock.call_later(self.rng.expovariate(requests_per_s), _arrive)

    def _accept(self, number, kind, workspace):
        run = Run(self, number, kind, workspace, f"r{next(self.numbers)}")
        self.runs.append(run)
        if not run.try_start():
            self.queues[number].add(run)

    def send(self, run, upstream):
        run.sent_s = self.clock()
        run.engine = self.engines[upstream.instance.instance_id]
        upstream.in_flight[run.request_id] = upstream_registry.InFlightRequest(
            run.request_id,
            run.kind.tokens,
            prefill_tokens=0,
            rank=run.kind.rank,
            workspace=run.workspace,
        )
        run.entry.sharing.schedule_report()
        self.queues[run.number].schedule_check()
        self.clock.call_later(load_fleet.OTHER_HALL_DELAY_S, lambda: self._arrive_at(run, upstream))

    def _arrive_at(self, run, upstream):
        halls = {run.entry.process.hall, run.engine.hall}
        if len(halls) > 1 and halls & self.net.cut_off_halls:
            self.lost.append(run)
            self._end_at_entry(run, upstream)
            return
        run.engine.queued.append(run)
        self._start_queued(run.engine)

    def _start_queued(self, engine):
        while engine.queued and engine.free_tokens >= engine.queued[0].kind.tokens:
            run = engine.queued.popleft()
            engine.running.add(run)
            run.started_s = self.clock()
            self.clock.call_later(run.kind.duration_s, lambda run=run: self._end(run))

    def _end(self, run):
        if run in run.engine.running:
            run.engine.running.remove(run)
            self._start_queued(run.engine)
            upstream = run.entry.registry.get(run.engine.upstream_id)
            self.clock.call_later(
                load_fleet.OTHER_HALL_DELAY_S, lambda: self._end_at_entry(run, upstream)
            )

    def _end_at_entry(self, run, upstream):
        if not run.entry.process.is_up:
            # A frozen entry reads the end later.
            self.clock.call_later(0.1, lambda: self._end_at_entry(run, upstream))
            return
        upstream.in_flight.pop(run.request_id, None)
        run.entry.sharing.schedule_report()
        self.queues[run.number].schedule_check()

    def kill_entry(self, number):
        """Kill an entry; the connections of its runs close, which cancels them."""
        self.entries[number].process.is_up = False
        for engine in self.engines.values():
            engine.running = {run for run in engine.running if run.number != number}
            engine.queued = collections.deque(r for r in engine.queued if r.number != number)
            self._start_queued(engine)

    def cut_off(self, hall, for_s):
        """Cut off a hall; runs between it and other halls are lost."""
        self.net.cut_off_halls.add(hall)
        for engine in self.engines.values():
            for run in [r for r in (*engine.running, *engine.queued) if _crosses(r, hall)]:
                self.lost.append(run)
                if run in engine.running:
                    engine.running.remove(run)
                else:
                    engine.queued.remove(run)
                self._end_at_entry(run, run.entry.registry.get(engine.upstream_id))
            self._start_queued(engine)
        self.clock.call_later(for_s, self.net.cut_off_halls.clear)

    def freeze_entry(self, number, for_s):
        """Stop a process for a time: it gets no datagrams, and its timers have no effect."""
        entry = self.entries[number]
        entry.process.is_up = False
        entry.sharing._hub_choice.choose = lambda now_s: False
        entry.sharing._load_view.rebuild = lambda now_s: None

        def _resume():
            entry.process.is_up = True
            del entry.sharing._hub_choice.choose
            del entry.sharing._load_view.rebuild

        self.clock.call_later(for_s, _resume)

    def get_waiting(self):
        """Return the requests that wait at running entries."""
        queues = zip(self.entries, self.queues, strict=True)
        return [run for entry, queue in queues if entry.process.is_up for run in queue._waiting]

    def find_head(self):
        """Return the number of the entry whose waiting request is first in the shared order."""
        waiting = self.get_waiting()
        first = min(waiting, key=lambda r: (r.kind.rank, r.arrived_s / r.kind.objective_ms))
        return first.number

    def _sample(self):
        waiting = self.get_waiting()
        capacity = MEMORY_TOKENS * len(self.engines)
        free = [engine.free_tokens for engine in self.engines.values()]
        unused = 0
        for tokens in sorted((run.kind.tokens for run in waiting), reverse=True):
            place = next((i for i, each in enumerate(free) if each >= tokens), None)
            if place is not None:
                free[place] -= tokens
                unused += tokens
        over = [max(0, e.sent_tokens - MEMORY_TOKENS) for e in self.engines.values()]
        used = collections.Counter()
        for engine in self.engines.values():
            for run in engine.running:
                used[run.workspace] += run.kind.tokens
        self.samples.append(
            Sample(self.clock(), len(waiting), unused / capacity, over, used, capacity)
        )

    def get_unused(self, since_s, until_s):
        """Return the mean share of the room left unused while someone waited."""
        found = [s.unused for s in self._get_samples(since_s, until_s) if s.waiting]
        return sum(found) / len(found)

    def get_overshoot(self, since_s, until_s):
        """Return the mean overshoot of an engine as a share of its memory."""
        samples = self._get_samples(since_s, until_s)
        return sum(sum(s.over) for s in samples) / len(samples) / samples[0].capacity

    def get_usage(self, workspace, since_s, until_s):
        """Return the mean share of the room that a workspace used while someone waited."""
        found = [s for s in self._get_samples(since_s, until_s) if s.waiting]
        return sum(s.used[workspace] for s in found) / len(found) / found[0].capacity

    def get_served(self, since_s, until_s, *, kind=None, workspace=None):
        """Return the share of requests served of those that arrived in a time."""
        runs = [
            run
            for run in self.runs
            if since_s <= run.arrived_s < until_s
            and run.entry.process.is_up
            and kind in (None, run.kind)
            and workspace in (None, run.workspace)
        ]
        return sum(run.started_s is not None for run in runs) / max(1, len(runs))

    def get_received_per_s(self, seconds):
        """Return the maximum over entries of mean bytes received per second."""
        received = collections.Counter()
        for process in self.net.processes.values():
            for (_, size), address in zip(process.sent, process.receivers, strict=True):
                received[address] += size
        return max(received[process.address] for process in self.entry_processes) / seconds

    def get_started_share(self, workspace, since_s, until_s):
        """Return the share of a workspace in the memory of all runs that were sent in a time."""
        tokens = collections.Counter()
        for run in self.runs:
            if run.sent_s is not None and since_s <= run.sent_s < until_s:
                tokens[run.workspace] += run.kind.tokens
        return tokens[workspace] / tokens.total()

    def get_longest_stall_s(self, since_s):
        """Return the longest time in which room was unused, someone waited and nobody started."""
        starts_s = sorted(run.sent_s for run in self.runs if run.sent_s is not None)
        longest_s = 0.0
        began_s = None
        for sample in self._get_samples(since_s, self.clock()):
            while starts_s and starts_s[0] <= sample.at_s:
                starts_s.pop(0)
                began_s = None
            if not sample.unused:
                began_s = None
            elif began_s is None:
                began_s = sample.at_s
            else:
                longest_s = max(longest_s, sample.at_s - began_s)
        return longest_s

    def _get_samples(self, since_s, until_s):
        return [sample for sample in self.samples if since_s <= sample.at_s < until_s]


class Sample:
    """State of the fleet at one time."""

    def __init__(self, at_s, waiting, unused, over, used, capacity):
        self.at_s = at_s
        self.waiting = waiting
        self.unused = unused
        self.over = over
        self.used = used
        self.capacity = capacity


def _crosses(run, hall):
    return (run.entry.process.hall == hall) != (run.engine.hall == hall)


def get_engine_count(entries):
    """Return as many engines as serve so many entries: 24 for 55."""
    return max(3, round(entries * 24 / 55))


def begin_burst(entries, *, workspaces=("w",), seed=1):
    """Return a fleet at the start of its burst, and that time."""
    engines = get_engine_count(entries)
    fleet = RoomFleet(entries=entries, engines=engines, seed=seed)
    send_load(fleet, 0.7, 0.1, for_s=3.0, workspaces=workspaces)
    fleet.run(3.0)
    fleet.clear_traffic()
    send_load(fleet, 2.4, 0.2, for_s=BURST_S, workspaces=workspaces)
    return fleet, fleet.clock()


def send_load(fleet, long_load, short_load, **options):
    for kind, load in ((LONG, long_load), (SHORT, short_load)):
        fleet.begin_traffic(kind, kind.get_rate(load * len(fleet.engines)), **options)
