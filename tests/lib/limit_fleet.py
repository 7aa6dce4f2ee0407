"""Simulates a fleet with rate-limited instances: real broadcasts, simulated requests."""

import itertools

from lib import gateway_setting, load_fleet
from spoolhead._internal.gateway import permit_exchange
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import cold_start, upstream_gate

CONTACT_S = 3.0
"""Time after which a stated limit is in force at all entries that received it."""
WINDOW_S = 4.0
WAIT_S = 0.25
"""A sixth of the time until a request's deadline."""
SERVICE = route_table.Service(name="s", health_path="/h", max_connections=9, engine=None)


def get_max_allowed(limit_per_s):
    """Return how many requests may reach an instance within any window of ``WINDOW_S``."""
    return 1.5 * limit_per_s * WINDOW_S + 5


def get_max_in_window(times_s, window_s=WINDOW_S):
    """Return the maximum number of events within any window of a given length."""
    largest = first = 0
    for last, time_s in enumerate(times_s):
        while time_s - times_s[first] >= window_s:
            first += 1
        largest = max(largest, last - first + 1)
    return largest


class Instance:
    """An instance that answers every request immediately.

    :ivar limit_per_s: rate limit that it states; None for none.
    :ivar rest_ms: rest that it requests when it rejects requests; 0 to accept them.
    :ivar rejected_entries: numbers of the entries whose requests it rejects; None for all.
    :ivar arrivals: received requests, as (time, number of the entry).
    """

    def __init__(self):
        self.limit_per_s = None
        self.rest_ms = 0
        self.rejected_entries = None
        self.arrivals = []

    def rejects(self, number):
        is_rejected = self.rejected_entries is None or number in self.rejected_entries
        return bool(self.rest_ms) and is_rejected

    def get_times_s(self, since_s):
        return [time_s for time_s, _ in self.arrivals if time_s >= since_s]


class Request:
    """A request at an entry."""

    def __init__(self, number, arrived_s, rank, workspace):
        self.number = number
        self.arrived_s = arrived_s
        self.request_priority = upstream_gate.RequestPriority(rank, workspace)


class LimitFleet(load_fleet.LoadFleet):
    """Entries that prefer limited instances, as if these looked least loaded.

    :ivar served: requests that an instance answered, as (request, time).
    :ivar refused: refused requests, as (request, time, retry-after in ms or None).
    """

    def __init__(self, *, entries, halls=3, keepers=3, instances=3, loss=0.01, seed=1):
        super().__init__(
            entries=entries,
            halls=halls,
            keepers=keepers,
            instances=instances,
            loss=loss,
            seed=seed,
        )
        self.served = []
        self.refused = []
        self.upstreams = {name: Instance() for name in self.instances}
        self.gates = [self._make_gate(entry) for entry in self.entries]
        self.run(0.5)

    def _make_gate(self, entry):
        cold_starts = cold_start.ColdStarts(entry.process.name, entry.process.hall)
        return upstream_gate.Gate(cold_starts, entry.limits.registry, entry.permits.backoff)

    def set_limit(self, limit_per_s, *names):
        for name in names or self.instances:
            self.upstreams[name].limit_per_s = limit_per_s

    def run_traffic(self, *, requests_per_s, for_s):
        """Run traffic; return the time from which limits stated before are in force."""
        self.begin_traffic(requests_per_s)
        self.run(CONTACT_S)
        effective_s = self.clock()
        self.run(for_s)
        return effective_s

    def begin_traffic(self, requests_per_s, *, rank=0, workspace="w", entries=None):
        """Send requests to random entries from now on."""
        numbers = range(len(self.entries)) if entries is None else entries

        def _arrive_next():
            self.send(self.rng.choice(list(numbers)), rank=rank, workspace=workspace)
            self.clock.call_later(self.rng.expovariate(requests_per_s), _arrive_next)

        _arrive_next()

    def send(self, number, *, rank=0, workspace="w"):
        self._dispatch(self.entries[number], Request(number, self.clock(), rank, workspace))

    def send_one_to(self, name):
        """Send one request to an instance, bypassing the choice of instances."""
        entry = next(entry for entry in self.entries if entry.process.is_up)
        request = Request(self.entries.index(entry), self.clock(), 0, "w")
        self._send_to(entry, request, entry.registry.get(name))

    def _dispatch(self, entry, request):
        if entry is not self.entries[request.number] or not entry.process.is_up:
            return
        gate = self.gates[request.number]
        now_s = self.clock()
        block_reasons = {
            upstream: gate.get_block_reason(
                SERVICE,
                upstream,
                now_s,
                request_priority=request.request_priority,
                cut_off_halls=self._get_cut_halls(entry),
            )
            for upstream in entry.registry.get_all()
        }
        candidates = [upstream for upstream, reason in block_reasons.items() if reason is None]
        if not candidates:
            candidates = [item for item, reason in block_reasons.items() if not reason.is_binding]
        self.rng.shuffle(candidates)
        candidates.sort(key=lambda upstream: not gate.is_limited(upstream))
        if not candidates:
            waits_ms = [gate.get_retry_after_ms(*item, now_s) for item in block_reasons.items()]
            waits_ms = [wait_ms for wait_ms in waits_ms if wait_ms is not None]
            self.refused.append((request, now_s, min(waits_ms, default=None)))
        elif gate.is_limited(candidates[0]):
            self._request_permit(entry, request, candidates)
        else:
            self._send_to(entry, request, candidates[0])

    def _get_cut_halls(self, entry):
        cut = self.net.cut_off_halls
        if entry.process.hall in cut:
            return set(self.halls) - {entry.process.hall}
        return cut

    def _request_permit(self, entry, request, candidates):
        gate = self.gates[request.number]
        left_s = request.arrived_s + WAIT_S - self.clock()
        can_wait = all(gate.is_limited(upstream) for upstream in candidates)
        terms = permit_exchange.PermitTerms(
            request.request_priority,
            is_retry=False,
            wait_ms=max(0, int(left_s * 1000)) if can_wait else 0,
            is_final=len(candidates) == 1,
        )

        def _handle_decision(is_granted):
            if is_granted:
                self._send_to(entry, request, candidates[0])
            else:
                self._dispatch(entry, request)

        entry.permits.request_permit(candidates[0], terms, _handle_decision)

    def _send_to(self, entry, request, upstream):
        if entry is not self.entries[request.number] or not entry.process.is_up:
            return
        instance = self.upstreams[upstream.instance.instance_id]
        upstream.record_sent(self.clock())
        self.clock.call_later(
            load_fleet.OTHER_HALL_DELAY_S, lambda: self._arrive(entry, request, upstream, instance)
        )

    def _arrive(self, entry, request, upstream, instance):
        instance.arrivals.append((self.clock(), request.number))
        head = gateway_setting.make_answer_head(limit_per_s=instance.limit_per_s)
        if instance.rejects(request.number):
            head.status = 503
            head.has_not_run = True
            head.rest_ms = instance.rest_ms
        self.clock.call_later(
            load_fleet.OTHER_HALL_DELAY_S,
            lambda: self._handle_answer(entry, request, upstream, head),
        )

    def _handle_answer(self, entry, request, upstream, head):
        if entry.process.is_up:
            entry.limits.handle_answer(upstream, head, self.clock())
            entry.events.handle_answer(upstream, head, self.clock())
        if head.has_not_run:
            self.refused.append((request, self.clock(), None))
        else:
            self.served.append((request, self.clock()))

    def restart_entry(self, number, **options):
        """Restart an entry with empty state and return it."""
        started = super().restart_entry(number, **options)
        self.gates[number] = self._make_gate(started)
        return started

    def find_granter(self, name):
        """Return the number of the entry that is the primary granter of an instance."""
        entry = self.entries[0]
        granter = entry.permits._get_granters(entry.registry.get(name))[0]
        numbers = itertools.count()
        return next(number for number in numbers if self._get_name(number) == granter.name)

    def _get_name(self, number):
        return self.entries[number].process.name

    def get_entries_with_limit(self, name):
        """Return the numbers of the running entries that know a limit of an instance."""
        return [
            number
            for number, entry in enumerate(self.entries)
            if entry.process.is_up and self.gates[number].is_limited(entry.registry.get(name))
        ]
