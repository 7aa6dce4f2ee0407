"""Whether a generation begins, waits or is refused, and the queue of an entry."""

import random

from lib import gateway_setting
from spoolhead._internal.gateway import run_queue
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import run_admission, upstream_choice, upstream_registry

ENGINE = gateway_setting.ENGINE
STREAM = route_table.RequestKind.STREAM
SIGNED = gateway_setting.SIGNED
Verdict = run_admission.Verdict


def _make_request(**changes):
    fields = {"rank": 0, "need_tokens": 4_000, "prompt_tokens": 3_000, "objective_ms": 1_800}
    return run_admission.Request(**{**fields, **changes}, arrived_s=100.0)


def _make_upstream(tokens, prefill_tokens=0):
    upstream = upstream_registry.Upstream(gateway_setting.make_instance("i"))
    if tokens:
        upstream.in_flight["r"] = upstream_registry.InFlightRequest(
            "r", tokens, prefill_tokens=prefill_tokens
        )
    return upstream


def _decide(upstream, request, now_s):
    choice = upstream_choice.Choice([upstream_choice.Candidate(upstream, 0.0)])
    return run_admission.decide(ENGINE, choice, request, now_s)


def test_what_fits_begins_at_once():
    assert _decide(_make_upstream(30_000), _make_request(), 100.0) is Verdict.BEGIN


def test_what_does_not_fit_waits_and_goes_to_the_fullest_when_time_runs_out():
    request = _make_request()
    upstream = _make_upstream(32_000)
    assert _decide(upstream, request, 100.0) is Verdict.WAIT
    assert _decide(upstream, request, request.offer_s - 0.01) is Verdict.WAIT
    assert _decide(upstream, request, request.offer_s) is Verdict.BEGIN


def test_without_hope_it_is_refused_early():
    request = _make_request()
    upstream = _make_upstream(50_000)
    assert _decide(upstream, request, request.refuse_s - 0.01) is Verdict.WAIT
    assert _decide(upstream, request, request.refuse_s) is Verdict.REFUSE
    assert request.refuse_s - request.arrived_s <= 1.8 / 4


def test_without_any_engine_it_is_refused_early_too():
    request = _make_request()
    nothing = upstream_choice.Choice([])
    assert run_admission.decide(ENGINE, nothing, request, request.refuse_s) is Verdict.REFUSE


def test_memory_is_kept_free_for_more_urgent_routes():
    upstream = _make_upstream(28_500)
    assert _decide(upstream, _make_request(), 100.0) is Verdict.BEGIN
    assert _decide(upstream, _make_request(rank=1), 100.0) is Verdict.WAIT


def test_prompts_ahead_count_even_where_memory_is_free():
    assert _decide(_make_upstream(3_000, 3_000), _make_request(), 100.0) is Verdict.BEGIN
    assert _decide(_make_upstream(9_000, 9_000), _make_request(), 100.0) is Verdict.WAIT


def test_what_is_larger_than_any_engine_still_goes_to_an_empty_one():
    assert _decide(_make_upstream(0), _make_request(need_tokens=90_000), 100.0) is Verdict.BEGIN


def test_a_caller_is_told_to_come_back_within_its_time():
    assert run_admission.compute_retry_after_ms(39_000) == 6_500
    assert run_admission.compute_retry_after_ms(600) == run_admission.MIN_RETRY_AFTER_MS


class Item:
    def __init__(self, rank, arrived_s, log):
        self.admission = _make_request(rank=rank)
        self.admission.arrived_s = arrived_s
        self.has_room = False
        self._log = log

    def try_start(self):
        self._log.append(self)
        return self.has_room


def test_the_queue_asks_by_rank_and_then_by_arrival():
    timers = gateway_setting.FakeTimers()
    queue = run_queue.RunQueue(timers, random.Random(1))
    log = []
    late, early, urgent = Item(1, 2.0, log), Item(1, 1.0, log), Item(0, 3.0, log)
    for item in (late, early, urgent):
        queue.add(item)
    urgent.has_room = True
    timers.run_due(1.0)
    assert log == [urgent, early, late]
    assert len(queue) == 2
    queue.remove(late)
    log.clear()
    queue.schedule_check()
    timers.run_due(run_queue.MAX_JITTER_S)
    assert log == [early]


def test_a_stream_waits_until_an_engine_has_room():
    setting = gateway_setting.Setting(
        STREAM, attempts=1, names=("i-1",), tokens="3000,800", fill=33_000
    )
    assert setting.calls.attempts == []
    setting.registry.get("i-1").in_flight.clear()
    setting.exchange._context.queue.schedule_check()
    setting.timers.run_due(run_queue.MAX_JITTER_S)
    assert len(setting.calls.attempts) == 1


def test_a_caller_that_leaves_while_it_waits_is_never_sent_on():
    setting = gateway_setting.Setting(
        STREAM, attempts=1, names=("i-1",), tokens="3000,800", fill=33_000
    )
    setting.caller.on_disconnect()
    setting.registry.get("i-1").in_flight.clear()
    setting.exchange._context.queue.schedule_check()
    setting.timers.run_due(5.0)
    assert setting.calls.attempts == []
    assert setting.ended == [setting.exchange]


def test_a_request_with_time_does_not_fill_the_backlog_of_a_more_urgent_kind():
    """Pattern: long prompts burst at engines that also get short answers with 1.5 s to begin.

    A prompt that starts behind another one gains nothing, and it delays every later one there.
    """
    bound_ms = run_admission.get_max_prefill_ms(4_000, 1_500)
    assert bound_ms + 2_200 / run_admission.PREFILL_TOKENS_PER_MS <= 0.7 * 1_500
    request = _make_request(objective_ms=4_000, max_prefill_ms=bound_ms)
    assert run_admission.has_room(ENGINE, _make_upstream(9_000, 1_000), request)
    assert not run_admission.has_room(ENGINE, _make_upstream(9_000, 3_000), request)
    assert run_admission.has_room(ENGINE, _make_upstream(9_000, 3_000), _make_request())


def test_the_most_urgent_kind_keeps_its_own_bound():
    bound_ms = run_admission.get_max_prefill_ms(1_500, 1_500)
    assert bound_ms == 1_500 * run_admission.PREFILL_FRACTION
