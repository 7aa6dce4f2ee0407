"""Cost of placing a generation at engines of known pace."""

import logging
import random

import pytest

from lib import gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import (
    run_migration_policy,
    run_placement,
    upstream_choice,
    upstream_registry,
)

ENGINE = gateway_setting.ENGINE
QUICK = run_placement.Pace(0.55, 0.55, 1.375)
SLOW = run_placement.Pace(1.2, 1.2, 3.0)
SLOW_NOW = run_placement.Pace(3.0, 1.2, 3.0)


class FakePace:
    is_known = True

    def __init__(self, factor):
        self.typical_factor = self.slow_factor = factor

    def get_current_factor(self, now_s):
        return self.typical_factor


def _make_generation(*, answer_tokens=750, pause_ms=180, prompt_tokens=3_000):
    return run_placement.Generation(
        prompt_tokens=prompt_tokens,
        answer_tokens=answer_tokens,
        objective_ms=1_800,
        pause_ms=pause_ms,
    )


def _make_upstream(name="i-1", *, runs=0, answer_tokens=0):
    upstream = upstream_registry.Upstream(gateway_setting.make_instance(name))
    for number in range(runs):
        upstream.in_flight[str(number)] = upstream_registry.InFlightRequest(
            str(number), 3_000, prefill_tokens=0, answer_tokens=answer_tokens
        )
    return upstream


def _compute(pace, upstream=None, **changes):
    generation = _make_generation(**changes)
    return run_placement.compute_placement(ENGINE, upstream or _make_upstream(), generation, pace)


def test_the_first_token_takes_as_long_as_the_pace_makes_it():
    quick, slow = _compute(QUICK), _compute(SLOW)
    assert slow.first_ms / quick.first_ms == pytest.approx(1.2 / 0.55)
    assert slow.first_cost == slow.first_ms / 1_800


def test_only_a_long_answer_whose_events_can_exceed_the_bound_is_at_risk():
    assert _compute(SLOW).risk_cost > 0.5
    assert _compute(QUICK).risk_cost == 0.0
    assert _compute(SLOW, answer_tokens=12).risk_cost == 0.0
    assert _compute(SLOW, pause_ms=300).risk_cost == 0.0
    assert _compute(SLOW, pause_ms=0).risk_cost == 0.0


def test_a_prompt_harms_the_long_answers_at_risk_beside_it():
    beside_long = _make_upstream(runs=3, answer_tokens=750)
    beside_short = _make_upstream(runs=3, answer_tokens=12)
    long, short = _compute(SLOW, beside_long), _compute(SLOW, beside_short)
    assert long.harm_cost > 10 * short.harm_cost
    assert _compute(SLOW_NOW, beside_long).harm_cost > long.harm_cost
    assert _compute(QUICK, beside_long).harm_cost == 0.0
    assert _compute(SLOW, beside_long, prompt_tokens=0).harm_cost == 0.0


def test_an_engine_of_unknown_pace_is_expected_to_be_like_the_mean_of_the_others():
    quick, slow, unknown = (_make_upstream(name) for name in ("i-1", "i-2", "i-3"))
    quick.pace, slow.pace = FakePace(0.5), FakePace(1.5)
    paces = run_placement.Paces([quick, slow, unknown], 0.0)
    assert paces.is_known
    assert paces.get(unknown).current == 1.0
    assert paces.get(slow).current == 1.5
    assert not run_placement.Paces([unknown], 0.0).is_known


def _choose(upstreams, service, generation=None):
    context = upstream_choice.ChoiceContext(
        hall="hall-a",
        silent_halls=(),
        cut_off_halls=(),
        now_s=100.0,
        gate=gateway_setting.make_gate("entry-1", "hall-a"),
        request_priority=gateway_setting.REQUEST_PRIORITY,
        rng=random.Random(1),
    )
    return upstream_choice.choose(
        service,
        upstreams,
        need_tokens=3_750,
        excluded=(),
        context=context,
        generation=generation,
    )


def _make_service(engine):
    return route_table.Service(name="s", health_path="/h", max_connections=9, engine=engine)


def test_a_choice_without_any_known_pace_goes_by_load_alone():
    full, empty = _make_upstream("full", runs=2, answer_tokens=12), _make_upstream("empty")
    generation = _make_generation()
    service = _make_service(ENGINE)
    costs = [item.cost for item in _choose([full, empty], service, generation).candidates]
    assert costs == [item.cost for item in _choose([full, empty], service).candidates]
    full.pace, empty.pace = FakePace(0.5), FakePace(3.0)
    assert _choose([full, empty], service, generation).upstream is full


def test_a_plain_request_goes_where_it_takes_the_least_time():
    quick, slow = _make_upstream("quick", runs=1), _make_upstream("slow")
    service = _make_service(None)
    assert _choose([quick, slow], service).upstream is slow
    quick.pace, slow.pace = FakePace(0.5), FakePace(1.2)
    assert _choose([quick, slow], service).upstream is quick


def test_a_run_is_copied_to_where_it_is_at_no_risk_unless_that_is_full():
    source, quick, slow = (_make_upstream(name) for name in ("i-1", "quick", "slow"))
    quick.pace, slow.pace = FakePace(1.0), FakePace(3.0)

    def _choose_target(generation):
        return run_migration_policy.choose_copy_target(
            _make_service(ENGINE),
            [source, quick, slow],
            source=source,
            excluded=(),
            now_s=100.0,
            gate=gateway_setting.make_gate("entry-1", "hall-a"),
            request_priority=gateway_setting.REQUEST_PRIORITY,
            generation=generation,
        )

    quick.in_flight["r"] = upstream_registry.InFlightRequest("r", 5_000, prefill_tokens=0)
    assert _choose_target(_make_generation(prompt_tokens=0)) is quick
    assert _choose_target(_make_generation(prompt_tokens=0, answer_tokens=12)) is slow
    quick.in_flight["r"].tokens = 40_000
    assert _choose_target(_make_generation(prompt_tokens=0)) is slow


def test_the_log_line_of_a_choice_gives_the_parts_of_the_cost(caplog):
    setting = gateway_setting.Setting(route_table.RequestKind.STREAM)
    exchange = setting.exchange
    for upstream in setting.registry.get_all():
        upstream.pace = FakePace(1.2)
    caplog.set_level(logging.INFO)
    choice = exchange.choose(exchange.need_tokens, _make_generation())
    exchange.log_choice("attempt", choice)
    placement = caplog.records[-1].fields["placement"]
    assert placement["pace"] == 1.2
    parts = [value for name, value in placement.items() if name.endswith("_cost")]
    assert sum(parts) == pytest.approx(choice.candidates[0].cost, abs=0.03)


def test_the_copy_of_a_run_counts_with_its_expected_answer():
    setting = gateway_setting.Setting(route_table.RequestKind.STREAM)
    source = setting.last.address.removesuffix(":80")
    events = gateway_setting.make_events(1, 3)
    setting.last.answer(200, gateway_setting.SIGNED, events, whole=False)
    setting.leave(source)
    (target,) = (item for item in setting.registry.get_all() if item.copy_count)
    assert target.answer_tokens == setting.exchange.answer_tokens > 0
