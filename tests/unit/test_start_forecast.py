"""Forecast of a start from free memory, demand and the rate at which memory is released."""

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import (
    return_places,
    run_admission,
    run_refusal,
    start_forecast,
)

CONTENT = b"\x01" * 16


def _make_demand(**changes):
    fields = {"free_tokens": 1_000, "ahead_tokens": 8_000, "need_tokens": 3_000}
    return start_forecast.Demand(**{**fields, **changes})


def _make_request(objective_ms=4_000):
    return run_admission.Request(
        rank=0,
        need_tokens=3_750,
        prompt_tokens=3_000,
        objective_ms=objective_ms,
        arrived_s=100.0,
    )


def _get_no_load(key):
    return shared_load.InstanceLoad()


def test_missing_memory_takes_its_time_at_the_rate():
    assert start_forecast.compute_wait_ms(_make_demand(), 5_000.0) == 2_000


def test_with_room_there_is_no_wait_even_at_an_unknown_rate():
    assert start_forecast.compute_wait_ms(_make_demand(free_tokens=11_000), None) == 0


def test_without_room_and_rate_nothing_is_forecast():
    assert start_forecast.compute_wait_ms(_make_demand(), None) is None
    assert start_forecast.compute_wait_ms(_make_demand(), 0.0) is None


def test_the_turnover_counts_where_the_runs_have_only_just_begun():
    """Pattern: a burst fills the engines within two seconds, and nothing has ended yet."""
    running = start_forecast.Running(tokens=375_000, answer_tokens=75_000, count=100)
    rate_per_s = start_forecast.compute_rate_per_s(running, 2_000.0)
    assert 20_000 < rate_per_s < 375_000 / 7.5
    assert start_forecast.compute_rate_per_s(running, 60_000.0) == 60_000.0


def test_refused_generations_come_back_one_after_the_other():
    demand = _make_demand(returning_tokens=10_000)
    assert start_forecast.compute_return_ms(demand, 5_000.0) == 4_000


def test_what_more_urgent_runs_take_is_not_available():
    flow = start_forecast.MemoryFlow()
    for step in range(11):
        flow.record(step * 1_000, step * 400, 10.0 + step * 0.1)
    assert round(flow.get_rate_per_s(11.0)) == 6_000


def test_a_short_or_an_old_measurement_gives_no_rate():
    flow = start_forecast.MemoryFlow()
    flow.record(0, 0, 10.0)
    flow.record(1_000, 0, 10.3)
    assert flow.get_rate_per_s(10.3) is None
    flow.record(2_000, 0, 10.6)
    assert flow.get_rate_per_s(10.6) is not None
    assert flow.get_rate_per_s(10.6 + start_forecast.WINDOW_S + 0.1) is None


def test_a_lost_entry_restarts_the_measurement():
    """The sum of the counters drops by what the entry had counted."""
    flow = start_forecast.MemoryFlow()
    for step in range(11):
        flow.record(50_000 + step * 1_000, 0, 10.0 + step * 0.1)
    flow.record(20_000, 0, 11.1)
    assert flow.get_rate_per_s(11.1) is None


def test_what_cannot_start_in_time_is_refused_at_once_and_who_waited_keeps_its_place():
    request = _make_request()
    assert run_refusal.should_refuse(request, 39_000, 3_700, 100.0)
    assert not run_refusal.should_refuse(request, 39_000, 3_500, 100.0)
    assert not run_refusal.should_refuse(request, 39_000, 3_700, 101.0)
    assert run_refusal.should_refuse(request, 39_000, 7_100, 101.0)
    assert run_refusal.should_refuse(request, 39_000, 0, 108.0)


def test_nothing_is_refused_on_an_unknown_forecast():
    assert not run_refusal.should_refuse(_make_request(), 39_000, None, 100.0)


def test_a_return_is_not_refused_for_being_late():
    assert not run_refusal.should_refuse(_make_request(), 39_000, 3_700, 100.0, is_return=True)


def test_a_place_holds_around_its_time_only():
    places = return_places.ReturnPlaces(_get_no_load)
    due_ms = places.add(CONTENT, "s", 3_750, return_ms=2_000, rate_per_s=1e6, now_s=50.0)
    assert due_ms == 2_000
    assert places.get_returning_tokens("s", 50.0) == 3_750
    assert not places.claim(CONTENT, 51.0)
    assert places.claim(CONTENT, 52.0)
    assert not places.claim(CONTENT, 52.0)


def test_a_place_that_nobody_claims_expires():
    places = return_places.ReturnPlaces(_get_no_load)
    places.add(CONTENT, "s", 3_750, return_ms=2_000, rate_per_s=1e6, now_s=50.0)
    assert return_places.get_place_key(CONTENT) in places.get_rows(52.0)
    assert not places.get_rows(52.0 + return_places.GRACE_S + 0.1)
    assert len(places) == 0


def test_a_flood_of_refusals_is_bounded():
    places = return_places.ReturnPlaces(_get_no_load)
    for number in range(1_000):
        content_id = number.to_bytes(16, "big")
        places.add(content_id, "s", 3_750, return_ms=2_000, rate_per_s=1e6, now_s=50.0)
    assert len(places.get_rows(52.0)) <= return_places.MAX_PLACES + 1


def test_a_place_of_another_entry_counts_until_it_expires_there():
    key = return_places.get_place_key(CONTENT)
    rows = {key: shared_load.InstanceLoad(count=1)}
    places = return_places.ReturnPlaces(lambda key: rows.get(key, shared_load.InstanceLoad()))
    assert places.claim(CONTENT, 50.0)
    rows.clear()
    assert not places.claim(CONTENT, 50.0)
