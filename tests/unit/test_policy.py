"""Admission, placement, length prediction, retries, health and pace of an entry."""

import random

import hypothesis
import pytest
from hypothesis import stateful, strategies

from spoolhead._internal.models import codes, load_report, rows
from spoolhead._internal.policy import (
    admission,
    health,
    lengths,
    operating_point,
    pace,
    placement,
    replicas,
    retry,
)

ROW = {"key_sha256": [], "max_running": 2, "max_waiting": 3}


def _make_row(**columns):
    return rows.WorkspaceRow(**{**ROW, **columns})


def _make_waiting(number, workspace="a", *, now_s=0.0, deadline_s=1e9, service="m"):
    return admission.WaitingRequest(
        request_id=str(number),
        workspace=workspace,
        service=service,
        arrived_s=now_s,
        deadline_s=deadline_s,
        owner=None,
    )


def _make_report(received_s=0.0, **values):
    known = {"running": 0, "waiting": 0, "kv_used_tokens": 0, "preemptions": 0}
    return load_report.LoadReport(
        **{**known, "kv_capacity_tokens": 10_000, **values}, received_s=received_s
    )


def _make_replica(name, now_s=0.0, *, hall="h", state="live", report=None, is_new=False):
    row = rows.UpstreamRow(
        address="1.2.3.4:5", hall=hall, service="m", state=rows.UpstreamState(state)
    )
    replica = replicas.Replica(name, row, now_s, is_new=is_new)
    replica.handle_report(report or _make_report())
    return replica


class AdmissionMachine(stateful.RuleBasedStateMachine):
    """Compares the queue's counts with a model and checks the rows' limits after every step."""

    def __init__(self):
        super().__init__()
        self.rows = {"a": _make_row(), "b": _make_row(max_running=1, max_waiting=0)}
        self.queue = admission.Admission(self.rows)
        self.waiting = {}
        self.running = {"a": 0, "b": 0}
        self.now_s = 0.0
        self.number = 0

    def _count_waiting(self, workspace):
        return sum(1 for item in self.waiting.values() if item.workspace == workspace)

    @stateful.rule(
        workspace=strategies.sampled_from("ab"),
        service=strategies.sampled_from(["m", "n"]),
        timeout_s=strategies.sampled_from([2.0, 1e6]),
    )
    def offer(self, workspace, service, timeout_s):
        if workspace not in self.rows:
            return
        self.number += 1
        item = _make_waiting(
            self.number,
            workspace,
            now_s=self.now_s,
            deadline_s=self.now_s + timeout_s,
            service=service,
        )
        row = self.rows[workspace]
        room = row.max_waiting + max(0, row.max_running - self.running[workspace])
        result = self.queue.offer(item, self.now_s)
        if self._count_waiting(workspace) >= room:
            assert result.error.fault.code is codes.ResultCode.QUEUE_FULL
        elif result.is_error():
            assert result.error.fault.code is codes.ResultCode.DEADLINE_UNREACHABLE
        else:
            self.waiting[item.request_id] = item
            return
        assert result.error.retry_after_ms >= admission.MIN_RETRY_AFTER_MS

    @stateful.rule(service=strategies.sampled_from(["m", "n"]))
    def start_next(self, service):
        item = next(iter(self.queue.iterate(service, self.now_s)), None)
        eligible = [
            known
            for known in self.waiting.values()
            if known.service == service
            and known.workspace in self.rows
            and self.running[known.workspace] < self.rows[known.workspace].max_running
        ]
        assert (item is None) == (not eligible)
        if item is None:
            return
        same = [known for known in eligible if known.workspace == item.workspace]
        assert item is same[0], "first come, first served within a workspace"
        self.queue.start(item, self.now_s)
        del self.waiting[item.request_id]
        self.running[item.workspace] += 1

    @stateful.rule(workspace=strategies.sampled_from("ab"), tokens=strategies.integers(0, 900))
    def finish(self, workspace, tokens):
        if self.running[workspace]:
            self.queue.charge(workspace, tokens, self.now_s)
            self.queue.finish(workspace)
            self.running[workspace] -= 1

    @stateful.rule(data=strategies.data())
    def withdraw(self, data):
        if self.waiting:
            request_id = data.draw(strategies.sampled_from(sorted(self.waiting)))
            self.queue.withdraw(self.waiting.pop(request_id))

    @stateful.rule(passed_s=strategies.sampled_from([0.1, 1.5, 30.0]))
    def pass_time(self, passed_s):
        self.now_s += passed_s
        overdue = {item.request_id for item in self.queue.pop_overdue(self.now_s)}
        expected = {
            request_id
            for request_id, item in self.waiting.items()
            if item.deadline_s <= self.now_s or item.workspace not in self.rows
        }
        assert overdue == expected
        for request_id in overdue:
            del self.waiting[request_id]

    @stateful.rule(present=strategies.booleans(), limit=strategies.integers(1, 3))
    def edit(self, present, limit):
        self.rows.pop("b", None)
        if present:
            self.rows["b"] = _make_row(max_running=limit, max_waiting=limit)

    @stateful.invariant()
    def counts_agree(self):
        assert self.queue.waiting_count == len(self.waiting)
        for workspace, count in self.running.items():
            assert self.queue.get_running(workspace) == count


TestAdmissionMachine = AdmissionMachine.TestCase


def _serve(table_rows, offered, *, starts, tokens):
    """Queue requests, start them one after another, and return the starts by workspace."""
    queue = admission.Admission(table_rows)
    for number, workspace in enumerate(offered):
        assert queue.offer(_make_waiting(number, workspace), 0.0).is_ok()
    started = dict.fromkeys(table_rows, 0)
    for step in range(starts):
        item = next(iter(queue.iterate("m", step * 0.001)))
        queue.start(item, step * 0.001)
        queue.charge(item.workspace, tokens[item.workspace], step * 0.001)
        queue.finish(item.workspace)
        started[item.workspace] += 1
    return started


def test_weights_share_tokens_really_produced():
    table_rows = {
        "heavy": _make_row(weight=3.0, max_waiting=1_000),
        "light": _make_row(weight=1.0, max_waiting=1_000),
    }
    offered = ["heavy"] * 500 + ["light"] * 500
    started = _serve(table_rows, offered, starts=400, tokens={"heavy": 100, "light": 100})
    assert started["heavy"] == pytest.approx(3 * started["light"], rel=0.05)
    # Answers four times as long count four times, although their lengths were unknown.
    started = _serve(table_rows, offered, starts=400, tokens={"heavy": 400, "light": 100})
    assert started["heavy"] * 400 == pytest.approx(3 * started["light"] * 100, rel=0.2)


def test_a_surge_does_not_starve_a_small_workspace():
    table_rows = {"large": _make_row(max_waiting=1_000), "small": _make_row()}
    offered = ["large"] * 900 + ["small"]
    started = _serve(table_rows, offered, starts=2, tokens={"large": 100, "small": 100})
    assert started["small"] == 1


def test_priority_goes_first_but_waiting_wins_in_the_end():
    table_rows = {"high": _make_row(priority=9), "low": _make_row(priority=0)}
    queue = admission.Admission(table_rows)
    queue.offer(_make_waiting(1, "low"), 0.0)
    queue.offer(_make_waiting(2, "high"), 0.0)
    assert next(iter(queue.iterate("m", 0.1))).workspace == "high"
    later_s = 10 * admission.AGING_MS_PER_PRIORITY / 1000
    queue.withdraw(next(iter(queue.iterate("m", 0.1))))
    queue.offer(_make_waiting(3, "high", now_s=later_s), later_s)
    assert next(iter(queue.iterate("m", later_s))).workspace == "low"


def test_token_rate_holds_over_time():
    queue = admission.Admission(
        {"a": _make_row(max_tokens_per_s=100, max_running=50, max_waiting=50)}
    )
    for number in range(40):
        queue.offer(_make_waiting(number), 0.0)
    produced = 0
    for tick in range(100):
        now_s = tick * 0.1
        for item in list(queue.iterate("m", now_s)):
            queue.start(item, now_s)
            queue.charge("a", 84, now_s)
            queue.finish("a")
            produced += 84 + admission.START_CHARGE_TOKENS
    assert produced <= 100 * 10 + 2 * 100


def test_a_wait_beyond_the_deadline_is_refused_at_once():
    queue = admission.Admission({"a": _make_row(max_waiting=100)})
    for number in range(20):
        queue.offer(_make_waiting(number), 0.0)
    for now_s in (1.0, 2.0, 3.0):
        queue.start(next(iter(queue.iterate("m", now_s))), now_s)
        queue.finish("a")
    refused = queue.offer(_make_waiting(99, now_s=3.0, deadline_s=6.0), 3.0)
    assert refused.error.fault.code is codes.ResultCode.DEADLINE_UNREACHABLE
    assert refused.error.retry_after_ms > 1_000
    assert queue.offer(_make_waiting(99, now_s=3.0, deadline_s=60.0), 3.0).is_ok()


@hypothesis.given(strategies.lists(strategies.integers(1, 50_000), min_size=30, max_size=60))
def test_what_is_foreseen_is_bounded(observed):
    model = lengths.LengthModel()
    for length in observed:
        model.observe("a", "m", length)
    for generated in (0, 1, 10, 1_000, 40_000):
        profile = model.get_profile(
            "a", "m", prompt_tokens=50, generated_tokens=generated, limit_tokens=41_000
        )
        assert profile[0] == pytest.approx(50 + generated)
        for ahead, held in zip(lengths.HORIZONS_TOKENS, profile, strict=True):
            assert 0 <= held <= 50 + generated + ahead + 1e-6
            assert generated + ahead < 41_000 or not ahead or held == 0


def _predict_survival(model, workspace, generated, ahead):
    profile = model.get_profile(
        workspace, "m", prompt_tokens=0, generated_tokens=generated, limit_tokens=10_000
    )
    return profile[lengths.HORIZONS_TOKENS.index(ahead)] / (generated + ahead)


def test_lengths_are_learned_for_each_workspace():
    model = lengths.LengthModel()
    for _ in range(200):
        model.observe("short", "m", 10)
        model.observe("long", "m", 2_000)
    assert (
        _predict_survival(model, "short", 0, 64)
        < 0.1
        < 0.9
        < _predict_survival(model, "long", 0, 64)
    )
    # An answer longer than all short ones is predicted to be a long one.
    assert 0.4 < _predict_survival(model, "new", 0, 64) < 0.6
    assert _predict_survival(model, "new", 100, 64) > 0.9


def test_planning_limit_falls_on_preemption_and_rises_only_when_it_binds():
    point = operating_point.OperatingPoint()
    point.handle_report(preemptions=0, was_limiting=False, now_s=0.0)
    point.handle_report(preemptions=0, was_limiting=False, now_s=5.0)
    assert point.limit == operating_point.INITIAL_LIMIT
    point.handle_report(preemptions=3, was_limiting=True, now_s=6.0)
    decreased = point.limit
    assert decreased < operating_point.INITIAL_LIMIT
    point.handle_report(preemptions=4, was_limiting=True, now_s=6.2)
    assert point.limit == decreased, "one overload counts once"
    for step in range(400):
        point.handle_report(preemptions=4, was_limiting=True, now_s=7.0 + step)
    assert point.limit == operating_point.MAX_LIMIT
    point.handle_report(preemptions=0, was_limiting=False, now_s=500.0)
    assert point.limit == operating_point.MAX_LIMIT, "a restarted engine counts anew"


def test_ejection_grows_and_return_is_gradual():
    state = health.Health(0.0, is_new=False)
    assert state.get_capacity_fraction(0.0) == 1.0
    for _ in range(health.FAILURES_BEFORE_EJECTION):
        state.record_failure(1.0)
    assert state.is_ejected(1.5)
    assert not state.is_ejected(2.5)
    assert state.get_capacity_fraction(2.5) == health.INITIAL_CAPACITY_FRACTION
    assert health.INITIAL_CAPACITY_FRACTION < state.get_capacity_fraction(6.0) < 1.0
    for _ in range(health.FAILURES_BEFORE_EJECTION):
        state.record_failure(3.0)
    assert state.is_ejected(4.5), "the second ejection is longer"


def test_a_new_upstream_starts_slowly():
    assert (
        health.Health(10.0, is_new=True).get_capacity_fraction(10.0)
        == health.INITIAL_CAPACITY_FRACTION
    )


def _make_demand(**values):
    known = {"workspace": "a", "service": "m", "prompt_tokens": 100, "limit_tokens": 1_000}
    return placement.Demand(**{**known, **values})


SERVICE = rows.ServiceRow(kind=rows.ServiceKind.MODEL)


def _make_placement(seed=1):
    return placement.Placement("h", lengths.LengthModel(), random.Random(seed))


def _make_pool(*members):
    pool = placement.Pool()
    for member in members:
        pool.put(member)
    return pool


def test_the_emptier_upstream_is_chosen_and_the_others_say_why():
    full = _make_replica("full", report=_make_report(kv_used_tokens=9_900, running=5))
    busy = _make_replica("busy", report=_make_report(kv_used_tokens=4_000, running=5))
    idle = _make_replica("idle")
    queued = _make_replica("queued", report=_make_report(running=1, waiting=3))
    choice = _make_placement().choose(
        _make_demand(), SERVICE, _make_pool(full, busy, idle, queued), 0.1
    )
    assert choice.replica is idle
    reasons = {item.name: item.lost_because for item in choice.candidates}
    assert reasons == {
        "full": "its memory would fill",
        "busy": "fuller",
        "idle": "",
        "queued": "requests wait inside it",
    }
    assert full.was_limited


def test_work_waits_rather_than_fill_an_engine():
    full = _make_replica("full", report=_make_report(kv_used_tokens=9_500, running=5))
    assert _make_placement().choose(_make_demand(), SERVICE, _make_pool(full), 0.1).replica is None


def test_own_hall_first_and_another_when_it_is_full_or_gone():
    near = _make_replica("near")
    far = _make_replica("far", hall="other")
    chooser = _make_placement()
    assert chooser.choose(_make_demand(), SERVICE, _make_pool(near, far), 0.1).replica is near
    near.handle_report(_make_report(kv_used_tokens=9_990, running=3))
    assert chooser.choose(_make_demand(), SERVICE, _make_pool(near, far), 0.1).replica is far
    assert chooser.choose(_make_demand(), SERVICE, _make_pool(far), 0.1).replica is far


def test_failed_and_ejected_upstreams_are_passed_over():
    first, second = _make_replica("first"), _make_replica("second")
    for _ in range(health.FAILURES_BEFORE_EJECTION):
        second.health.record_failure(0.05)
    demand = _make_demand(excluded=frozenset({"first"}))
    choice = _make_placement().choose(demand, SERVICE, _make_pool(first, second), 0.1)
    assert choice.replica is None
    assert {item.lost_because for item in choice.candidates} == {
        "failed for this request",
        "ejected",
    }


def test_entries_do_not_all_take_the_room_of_one_report():
    """Eight entries place by the same report; together they may exceed the memory only slightly."""
    capacity, sent = 10_000, 0.0
    for entry in range(8):
        replica = _make_replica("engine", report=_make_report(running=1, kv_used_tokens=100))
        chooser = _make_placement(entry)
        chooser.entry_count = 8
        while (choice := chooser.choose(_make_demand(), SERVICE, _make_pool(replica), 0.1)).replica:
            request = replicas.RunningRequest("a", 100, 1_000)
            replica.start(request, choice.planned_tokens)
            sent += choice.planned_tokens
    assert sent < 1.3 * capacity


def test_cost_does_not_grow_with_the_fleet():
    pool = _make_pool(*(_make_replica(f"r{n}", hall=f"h{n % 15}") for n in range(1_600)))
    choice = _make_placement().choose(_make_demand(), SERVICE, pool, 0.1)
    assert choice.replica is not None
    assert len(choice.candidates) <= placement.SAMPLE_SIZE


FAILED = {
    "may_have_arrived": True,
    "refused": False,
    "has_delivered": False,
    "can_resume": True,
    "is_once": False,
    "attempts_left": 2,
}


@hypothesis.given(
    strategies.fixed_dictionaries(
        {
            "may_have_arrived": strategies.booleans(),
            "refused": strategies.booleans(),
            "has_delivered": strategies.booleans(),
            "can_resume": strategies.booleans(),
            "is_once": strategies.booleans(),
            "attempts_left": strategies.integers(0, 2),
        }
    )
)
def test_no_failure_leads_to_a_forbidden_step(values):
    failed = retry.FailedAttempt(**values)
    step = retry.decide(failed, retry.RetryBudget())
    if failed.has_delivered:
        assert step is not retry.NextStep.RETRY
    if failed.is_once and failed.may_have_arrived:
        assert step is not retry.NextStep.RETRY
    if not failed.attempts_left:
        assert step is retry.NextStep.GIVE_UP
    if retry.get_ran(failed) is codes.Ran.NO:
        assert not failed.has_delivered
        assert not failed.may_have_arrived or (failed.refused and not failed.is_once)


def test_retries_are_a_part_of_all_requests():
    budget = retry.RetryBudget()
    while budget.try_acquire():
        pass
    for _ in range(1_000):
        budget.record_request()
    spent = 0
    while budget.try_acquire():
        spent += 1
    assert spent <= retry.MAX_BUDGET
    assert retry.decide(retry.FailedAttempt(**FAILED), budget) is retry.NextStep.GIVE_UP


def test_a_stall_is_judged_by_the_streams_own_pace():
    quick, slow = pace.Pace(0.0), pace.Pace(0.0)
    for step in range(1, 50):
        quick.record_tokens(1, step * 0.01)
        slow.record_tokens(1, step * 0.2)
    assert quick.is_stalled(0.49 + 1.0)
    assert not slow.is_stalled(9.8 + 1.0)
    assert slow.is_stalled(9.8 + 3.0)
    quick.record_resume(2.0)
    assert not quick.is_stalled(3.0), "a resumed stream gets more time"


def test_stall_time_is_what_exceeds_the_threshold():
    stream = pace.Pace(0.0)
    stream.record_tokens(1, 0.1)
    stream.record_tokens(1, 0.1 + pace.REPORTED_STALL_S + 0.25)
    assert stream.stalled_s == pytest.approx(0.25)
