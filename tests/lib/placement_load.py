"""Simulates engines under a load pattern with the real choice of instances, without a network.

Simplifications: loads are known without delay, a run takes the memory of its full length from the
start, and an engine processes prompts one after another in parallel to its runs.
"""

import heapq
import itertools
import random

from lib import gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import (
    run_admission,
    upstream_choice,
    upstream_registry,
)


class Kind:
    """A kind of generation.

    :ivar per_s: number of generations that start per second in the whole fleet.
    :ivar prompt_tokens: length of the prompt.
    :ivar output_tokens: mean length of the output; actual lengths differ by up to half.
    :ivar token_ms: time per output token.
    """

    def __init__(self, per_s, *, prompt_tokens, output_tokens, token_ms=10):
        self.per_s = per_s
        self.prompt_tokens = prompt_tokens
        self.output_tokens = output_tokens
        self.token_ms = token_ms


class Run:
    """One generation with the hall in which it arrived and the instance that runs it."""

    def __init__(self, hall, kind, upstream, began_s):
        self.hall = hall
        self.kind = kind
        self.upstream = upstream
        self.began_s = began_s
        self.first_ms = 0.0

    @property
    def is_cross_hall(self):
        return self.hall != self.upstream.instance.hall


class PlacementLoad:
    """A load pattern applied to engines.

    :param halls: number of halls; generations arrive at all halls at the same rate.
    :param engines: number of engines, distributed evenly over the halls.
    :param kinds: kinds of generations that make up the load.
    """

    def __init__(self, *, halls, engines, kinds, seed=1):
        self.rng = random.Random(seed)
        self.halls = [f"hall-{number}" for number in range(halls)]
        self.kinds = kinds
        self.now_s = 0.0
        self.registry = upstream_registry.UpstreamRegistry()
        listed = [
            gateway_setting.make_instance(f"i-{number}", hall=self.halls[number % halls])
            for number in range(engines)
        ]
        self.registry.update_instances(listed, 0.0)
        self.service = route_table.Service(
            name="s", health_path="/h", max_connections=1_000, engine=gateway_setting.ENGINE
        )
        self.running = set()
        self.ended = []
        self.fills = []
        self._due = []
        self._numbers = itertools.count()
        self._prefill_end_s = {}

    def run(self, for_s):
        """Simulate the load pattern."""
        for kind in self.kinds:
            self._schedule(self.rng.expovariate(kind.per_s), lambda kind=kind: self._arrive(kind))
        until_s = self.now_s + for_s
        while self._due[0][0] <= until_s:
            self.now_s, _, call = heapq.heappop(self._due)
            call()
        self.now_s = until_s

    def _schedule(self, delay_s, call):
        heapq.heappush(self._due, (self.now_s + delay_s, next(self._numbers), call))

    def _arrive(self, kind):
        self._schedule(self.rng.expovariate(kind.per_s), lambda: self._arrive(kind))
        hall = self.rng.choice(self.halls)
        output_tokens = int(kind.output_tokens * self.rng.uniform(0.5, 1.5))
        need_tokens = kind.prompt_tokens + output_tokens
        request = run_admission.Request(
            rank=0,
            need_tokens=need_tokens,
            prompt_tokens=kind.prompt_tokens,
            objective_ms=1_800,
            arrived_s=self.now_s,
        )
        context = upstream_choice.ChoiceContext(
            hall=hall,
            silent_halls=(),
            cut_off_halls=(),
            now_s=self.now_s,
            gate=gateway_setting.make_gate("entry-1", hall),
            request_priority=gateway_setting.REQUEST_PRIORITY,
            rng=self.rng,
        )
        engine = self.service.engine
        choice = upstream_choice.choose(
            self.service,
            self.registry.get_service("s"),
            need_tokens=need_tokens,
            excluded=(),
            context=context,
        ).prefer(lambda item: run_admission.has_room(engine, item, request))
        self._begin(Run(hall, kind, choice.upstream, self.now_s), need_tokens, output_tokens)

    def _begin(self, run, need_tokens, output_tokens):
        self.running.add(run)
        upstream = run.upstream
        in_flight = upstream_registry.InFlightRequest(
            str(next(self._numbers)), need_tokens, prefill_tokens=run.kind.prompt_tokens
        )
        upstream.in_flight[in_flight.request_id] = in_flight
        self.fills.append(upstream.tokens / self.service.engine.memory_tokens)
        prefill_s = run.kind.prompt_tokens / run_admission.PREFILL_TOKENS_PER_MS / 1000
        begin_s = max(self.now_s, self._prefill_end_s.get(upstream, 0.0))
        prefill_end_s = self._prefill_end_s[upstream] = begin_s + prefill_s
        run.first_ms = (prefill_end_s - self.now_s) * 1000

        def _record_prefill_end():
            in_flight.prefill_tokens = 0

        def _end():
            del upstream.in_flight[in_flight.request_id]
            self.running.discard(run)
            self.ended.append(run)

        self._schedule(prefill_end_s - self.now_s, _record_prefill_end)
        self._schedule(prefill_end_s - self.now_s + output_tokens * run.kind.token_ms / 1000, _end)

    def get_cross_hall_fraction(self):
        """Return the fraction of runs in another hall than their entry."""
        runs = [*self.ended, *self.running]
        return sum(run.is_cross_hall for run in runs) / len(runs)

    def get_first_token_ms(self, quantile):
        """Return a quantile of the time to the first token."""
        times_ms = sorted(run.first_ms for run in self.ended)
        return times_ms[int(quantile * (len(times_ms) - 1))]

    def get_fill(self, quantile):
        """Return a quantile of the engines' memory use right after the start of a run."""
        return sorted(self.fills)[int(quantile * (len(self.fills) - 1))]
