"""Simulates engines of uneven pace, step by step, with the real choice of instances.

A step decodes a token for each run and reads one chunk of the first prompt in the engine's queue.
Simplifications: loads are known at once or after a stated age; a generation that fits nowhere is
sent to the best engine, where it waits for memory; a migrated run goes on after a fixed time.
"""

import collections
import heapq
import itertools
import math
import random

from lib import gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import (
    run_admission,
    run_migration_policy,
    run_placement,
    upstream_choice,
    upstream_registry,
)

STEP_MS, RUN_MS, CHUNK_MS, CHUNK_TOKENS = 7.0, 0.12, 8.0, 112
QUICK_FACTOR, OTHER_FACTOR, SLOW_FACTOR = 0.55, 1.2, 2.5
SLOW_PROBABILITY, SLOW_S = 0.15, 0.6
MOVE_S = 0.3
SWING, SWING_S = 0.55, 15.0
ENGINE = route_table.Engine(
    slots=64,
    memory_tokens=26_900,
    token_bytes=18_432,
    link_mbps=2_700.0,
    can_move=True,
    tokens_per_event=4,
)


class Kind:
    """A kind of generation, with its objective and pause bound."""

    def __init__(self, per_s, *, prompt_tokens, events, objective_ms, pause_ms=180):
        self.per_s = per_s
        self.prompt_tokens = prompt_tokens
        self.events = events
        self.objective_ms = objective_ms
        self.pause_ms = pause_ms


class Run:
    def __init__(self, kind, prompt_tokens, answer_tokens, now_s):
        self.kind = kind
        self.prompt_tokens = self.unread = prompt_tokens
        self.answer_tokens = answer_tokens
        self.arrived_s = now_s
        self.tokens = 0
        self.last_s = None
        self.first_ms = None
        self.longest_ms = 0.0
        self.engine = None


class Engine:
    """One engine; its true pace changes each 0.6 s."""

    def __init__(self, number, factor, upstream):
        self.number = number
        self.factor = factor
        self.upstream = upstream
        self.waiting = collections.deque()
        self.running = []
        self.is_busy = False
        self.is_gone = False

    def get_factor(self, at_s):
        window = int(max(0.0, at_s) / SLOW_S)
        is_slow = random.Random(self.number * 100_003 + window).random() < SLOW_PROBABILITY
        return self.factor * (SLOW_FACTOR if is_slow else 1.0)

    def has_memory(self, run):
        used = sum(item.prompt_tokens + item.tokens for item in self.running)
        return used + run.prompt_tokens <= ENGINE.memory_tokens


class KnownPace:
    """The true pace of an engine as it was some time ago."""

    is_known = True

    def __init__(self, engine, age_s):
        self._engine = engine
        self._age_s = age_s
        self.typical_factor = engine.factor
        self.slow_factor = engine.factor * SLOW_FACTOR

    def get_current_factor(self, now_s):
        return self._engine.get_factor(now_s - self._age_s)


class UnevenEngines:
    """A load on engines of which a quarter is quick.

    :param pace_age_s: age of the known paces; None if no pace is known.
    :param load_age_s: age of the known loads.
    """

    def __init__(self, kinds, *, engines, pace_age_s, load_age_s=0.0, seed=1):
        self.rng = random.Random(seed)
        self.kinds = kinds
        self.pace_age_s = pace_age_s
        self.load_age_s = load_age_s
        self.now_s = 0.0
        self.runs = []
        self.registry = upstream_registry.UpstreamRegistry()
        self.service = route_table.Service(
            name="s", health_path="/h", max_connections=1_000, engine=ENGINE
        )
        self.engines = {}
        self._gates = {}
        self._seed = seed
        self._due = []
        self._numbers = itertools.count()
        self._names = itertools.count()
        for number in range(engines):
            self._add_engine(QUICK_FACTOR if number % 4 == 0 else OTHER_FACTOR)
        self._apply_list()

    def run(self, for_s, *, leave_every_s=3.3, leaving=5):
        """Simulate the load; generations of the first second are not counted."""
        for kind in self.kinds:
            self._schedule(self.rng.expovariate(kind.per_s), self._arrive, kind)
        at_s = leave_every_s
        while at_s < for_s:
            self._schedule(at_s, self._leave, leaving)
            at_s += leave_every_s
        while self._due[0][0] <= for_s:
            self.now_s, _, call, args = heapq.heappop(self._due)
            call(*args)

    def get_spoilt_fraction(self, kind):
        """Return the fraction of answers with a pause over their bound."""
        runs = self._get_counted(kind)
        return sum(run.longest_ms > kind.pause_ms for run in runs) / len(runs)

    def get_first_ms(self, kind, quantile=0.95):
        """Return a quantile of the time to the first event; infinite for one that never came."""
        times = sorted(run.first_ms or math.inf for run in self._get_counted(kind))
        return times[int(quantile * (len(times) - 1))]

    def _get_counted(self, kind):
        until_s = self.now_s - 2.0
        return [run for run in self.runs if run.kind is kind and 1.0 < run.arrived_s < until_s]

    def _schedule(self, delay_s, call, *args):
        heapq.heappush(self._due, (self.now_s + delay_s, next(self._numbers), call, args))

    def _add_engine(self, factor):
        number = next(self._names)
        self.engines[f"i-{number}"] = Engine(number + 1_000 * self._seed, factor, None)

    def _apply_list(self):
        self.registry.update_instances(
            [
                gateway_setting.make_instance(name, hall=f"hall-{int(name[2:]) % 3}")
                for name in self.engines
            ],
            self.now_s,
        )
        for name, engine in self.engines.items():
            engine.upstream = self.registry.get(name)
            if self.pace_age_s is not None and not isinstance(engine.upstream.pace, KnownPace):
                engine.upstream.pace = KnownPace(engine, self.pace_age_s)

    def _arrive(self, kind):
        self._schedule(self.rng.expovariate(kind.per_s), self._arrive, kind)
        phases = [2 * math.pi * (self.now_s / SWING_S + hall / 3) for hall in range(3)]
        weights = [1 + SWING * math.sin(phase) for phase in phases]
        hall = self.rng.choices(range(3), weights)[0]
        prompt = int(kind.prompt_tokens * self.rng.lognormvariate(-0.06, 0.35))
        events = max(1, round(kind.events * self.rng.lognormvariate(-0.06, 0.35)))
        run = Run(kind, prompt, events * ENGINE.tokens_per_event, self.now_s)
        self.runs.append(run)
        self._begin(run, self._choose(run, f"hall-{hall}"))

    def _choose(self, run, hall):
        kind, need = run.kind, run.prompt_tokens + run.answer_tokens
        gate = self._gates.setdefault(hall, gateway_setting.make_gate("entry-1", hall))
        context = upstream_choice.ChoiceContext(
            hall=hall,
            silent_halls=(),
            cut_off_halls=(),
            now_s=self.now_s,
            gate=gate,
            request_priority=gateway_setting.REQUEST_PRIORITY,
            rng=self.rng,
        )
        choice = upstream_choice.choose(
            self.service,
            self.registry.get_service("s"),
            need_tokens=need,
            generation=self._make_generation(run, run.prompt_tokens),
            excluded=(),
            context=context,
        )
        request = run_admission.Request(
            rank=0,
            need_tokens=need,
            prompt_tokens=run.prompt_tokens,
            objective_ms=kind.objective_ms,
            arrived_s=self.now_s,
        )
        choice = choice.prefer(lambda item: run_admission.has_room(ENGINE, item, request))
        return self.engines[choice.upstream.instance.instance_id]

    def _begin(self, run, engine):
        run.engine = engine
        request = upstream_registry.InFlightRequest(
            str(id(run)),
            run.prompt_tokens + run.answer_tokens,
            prefill_tokens=run.unread,
            answer_tokens=run.answer_tokens,
        )
        self._record(engine.upstream.in_flight.__setitem__, request.request_id, request)
        engine.waiting.append(run)
        self._wake(engine)

    def _record(self, call, *args):
        if self.load_age_s:
            self._schedule(self.load_age_s, call, *args)
        else:
            call(*args)

    def _wake(self, engine):
        if not engine.is_busy and not engine.is_gone:
            engine.is_busy = True
            self._step(engine)

    def _step(self, engine):
        while engine.waiting and engine.has_memory(engine.waiting[0]):
            engine.running.append(engine.waiting.popleft())
        reading = next((run for run in engine.running if run.unread), None)
        decoding = [run for run in engine.running if not run.unread]
        if reading is None and not decoding:
            engine.is_busy = False
            return
        step_ms = STEP_MS + RUN_MS * len(decoding) if decoding else 0.0
        step_ms += CHUNK_MS if reading else 0.0
        duration_s = step_ms * engine.get_factor(self.now_s) / 1000
        self._schedule(duration_s, self._end_step, engine, reading, decoding)

    def _end_step(self, engine, reading, decoding):
        if engine.is_gone:
            return
        if reading is not None:
            reading.unread = max(0, reading.unread - CHUNK_TOKENS)
            if not reading.unread:
                self._record(self._record_read, engine, str(id(reading)))
        for run in decoding:
            if run.engine is engine:
                self._decode(engine, run)
        self._step(engine)

    @staticmethod
    def _record_read(engine, request_id):
        if request_id in engine.upstream.in_flight:
            engine.upstream.in_flight[request_id].prefill_tokens = 0

    def _decode(self, engine, run):
        run.tokens += 1
        if run.tokens % ENGINE.tokens_per_event:
            return
        if run.first_ms is None:
            run.first_ms = (self.now_s - run.arrived_s) * 1000
        elif run.last_s is not None:
            run.longest_ms = max(run.longest_ms, (self.now_s - run.last_s) * 1000)
        run.last_s = self.now_s
        if run.tokens >= run.answer_tokens:
            engine.running.remove(run)
            self._record(engine.upstream.in_flight.pop, str(id(run)), None)

    def _leave(self, count):
        for name in self.rng.sample(sorted(self.engines), count):
            engine = self.engines[name]
            engine.upstream.is_leaving = True
        for name, engine in list(self.engines.items()):
            if engine.upstream.is_leaving and not engine.is_gone:
                self._move_runs(engine)
                self._schedule(self.rng.uniform(1.5, 2.1), self._replace, name)

    def _replace(self, name):
        self._add_engine(self.engines.pop(name).factor)
        self._apply_list()

    def _move_runs(self, engine):
        engine.is_gone = True
        for run in [*engine.running, *engine.waiting]:
            target = self._choose_target(engine, run)
            # A move pauses any run, wherever it goes.
            run.last_s = None
            run.engine = None
            self._schedule(MOVE_S, self._begin, run, target)

    def _choose_target(self, engine, run):
        target = run_migration_policy.choose_copy_target(
            self.service,
            self.registry.get_service("s"),
            source=engine.upstream,
            excluded=(),
            now_s=self.now_s,
            gate=gateway_setting.make_gate("entry-1", "hall-0"),
            request_priority=gateway_setting.REQUEST_PRIORITY,
            generation=self._make_generation(run, 0),
        )
        return self.engines[target.instance.instance_id]

    @staticmethod
    def _make_generation(run, prompt_tokens):
        return run_placement.Generation(
            prompt_tokens=prompt_tokens,
            answer_tokens=run.answer_tokens - run.tokens,
            objective_ms=run.kind.objective_ms,
            pause_ms=run.kind.pause_ms,
        )
