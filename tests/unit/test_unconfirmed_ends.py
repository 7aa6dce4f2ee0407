"""Answers that end with their connection count as complete only if their instance went on."""

import pytest

from lib import fakes, gateway_setting
from spoolhead._internal.models import codes, route_table
from spoolhead._internal.network import end_probes, links
from spoolhead._internal.policy import answer_end, end_confirmation, sound_runs
from spoolhead._internal.utils import clocks

ADDRESS = "10.0.0.9:80"
ROUNDING_S = 1e-6
Evidence = answer_end.Evidence
CONNECTION = answer_end.Framing.CONNECTION
SIGNED = gateway_setting.SIGNED
EVENTS = gateway_setting.make_events(1, 3)
Kind = route_table.RequestKind


def _end_unframed(kind, **options):
    """Return a request whose answer has just ended with its connection."""
    setting = gateway_setting.Setting(kind, **options)
    setting.upstream = setting.exchange._attempt.upstream
    body = EVENTS if kind is Kind.STREAM else b"body"
    setting.last.answer(200, SIGNED, body, framing=CONNECTION)
    assert not setting.caller.is_finished
    return setting


def _is_suspect_after_crash(setting):
    setting.contents.record_terminated(setting.upstream.instance.incarnation_id, "refused")
    return setting.contents.is_suspect(setting.exchange.job.keys)


@pytest.mark.parametrize("kind", [Kind.STREAM, Kind.ONCE, Kind.REPEATABLE])
def test_an_answer_of_an_instance_that_went_on_is_complete(kind, monkeypatch):
    setting = _end_unframed(kind)
    setting.calls.give_evidence(Evidence.ALIVE)
    assert setting.caller.data == (EVENTS if kind is Kind.STREAM else b"body")
    assert setting.caller.is_finished and not setting.caller.is_aborted
    now_s = clocks.get_s() + sound_runs.SETTLE_S
    monkeypatch.setattr(setting.contents, "_clock", lambda: now_s)
    assert not _is_suspect_after_crash(setting)


# Guards against a crash between two events that clears its request and looks complete.
def test_a_stream_of_an_instance_that_crashed_is_lost():
    setting = _end_unframed(Kind.STREAM)
    setting.calls.give_evidence(Evidence.TERMINATED)
    assert setting.caller.is_aborted
    assert setting.end_queries == [setting.upstream]
    assert _is_suspect_after_crash(setting)


def test_a_plain_answer_of_an_instance_that_crashed_is_lost():
    setting = _end_unframed(Kind.ONCE)
    setting.calls.give_evidence(Evidence.TERMINATED)
    assert (setting.caller.status, len(setting.calls.attempts)) == (502, 1)
    assert _is_suspect_after_crash(setting)


@pytest.mark.parametrize("kind", [Kind.STREAM, Kind.ONCE])
def test_nothing_is_concluded_or_claimed_without_evidence(kind):
    setting = _end_unframed(kind)
    setting.upstream.record_failure(clocks.get_s())
    setting.calls.give_evidence(Evidence.NONE)
    assert setting.caller.is_aborted or setting.caller.status == 502
    assert setting.end_queries == []
    assert not _is_suspect_after_crash(setting)
    # Neither a failure nor a success: one failure more would eject it after a success.
    assert setting.upstream._failures == 1


def test_a_repeatable_request_is_repeated_without_evidence():
    setting = _end_unframed(Kind.REPEATABLE)
    setting.calls.give_evidence(Evidence.NONE)
    assert len(setting.calls.attempts) == 2
    setting.last.answer(200, SIGNED, b"other")
    assert setting.caller.data == b"other"


# Guards against an instance that stops listening before its last answer ends.
def test_a_refused_connection_of_a_leaving_instance_is_no_evidence():
    setting = _end_unframed(Kind.STREAM)
    setting.apply_list(leaving=[setting.upstream.instance.instance_id])
    setting.calls.give_evidence(Evidence.TERMINATED)
    assert setting.end_queries == []
    assert setting.caller.is_aborted


def test_a_json_answer_and_a_marked_stream_show_their_own_end():
    setting = gateway_setting.Setting(Kind.ONCE)
    setting.last.answer(200, SIGNED, b'{"a": ', b"1}", framing=CONNECTION)
    assert setting.caller.data == b'{"a": 1}'
    setting = gateway_setting.Setting(Kind.STREAM)
    setting.last.answer(200, SIGNED, EVENTS, b"data: [DONE]\n\n", framing=CONNECTION)
    assert setting.caller.is_finished and not setting.caller.is_aborted


def test_a_request_that_was_not_run_is_not_checked():
    setting = gateway_setting.Setting(Kind.ONCE)
    headers = [("x-not-executed", "1")]
    setting.last.answer(503, headers, b"full", framing=CONNECTION)
    assert setting.calls.waiting_ends == []
    assert len(setting.calls.attempts) == 2


def test_a_caller_that_leaves_meanwhile_changes_nothing():
    setting = _end_unframed(Kind.STREAM)
    setting.caller.is_disconnected = True
    setting.caller.on_disconnect()
    setting.calls.give_evidence(Evidence.TERMINATED)
    assert setting.end_queries == []


def _end_unframed_flow(body):
    request = fakes.make_request(kind="plain", stream=False, once=True)
    harness = fakes.FlowHarness(request)
    (call,) = harness.calls.attempts
    call.may_have_arrived = True
    call.framing, call.ending = CONNECTION, answer_end.Ending.CLOSED
    call.listener.on_answer_head(200, [])
    call.listener.on_answer_body(body)
    call.listener.on_answer_end()
    return harness


# Guards against a stored answer of a request that runs once, which was cut short.
@pytest.mark.parametrize(
    ("evidence", "code"),
    [
        (Evidence.ALIVE, codes.ResultCode.OK),
        (Evidence.TERMINATED, codes.ResultCode.UPSTREAM_LOST),
        (Evidence.NONE, codes.ResultCode.UPSTREAM_LOST),
    ],
)
def test_the_own_interface_stores_only_complete_answers(evidence, code):
    harness = _end_unframed_flow(b"tally")
    assert harness.result is None
    harness.calls.give_evidence(evidence)
    assert harness.result.code is code
    is_complete = evidence is Evidence.ALIVE
    assert (harness.result.body, harness.caller.data == b"tally") == (
        b"tally" if is_complete else b"",
        is_complete,
    )
    assert bool(harness.contents.lost) is (evidence is Evidence.TERMINATED)
    assert bool(harness.contents.harmless) is is_complete


class _Probing:
    """Probes with fake connections and a clock that a test sets."""

    def __init__(self, monkeypatch):
        self.now_s = 100.0
        monkeypatch.setattr(clocks, "get_s", lambda: self.now_s)
        self.timers = gateway_setting.FakeTimers()
        self.links = fakes.FakeLinks()
        self.probes = end_probes.EndProbes(self.timers, self.links)
        self.evidence = []

    def end_answer(self):
        self.probes.confirm(ADDRESS, self.evidence.append)

    def wait(self, for_s):
        self.now_s += for_s + ROUNDING_S
        self.timers.run_due(for_s + ROUNDING_S)


@pytest.fixture
def probing(monkeypatch):
    return _Probing(monkeypatch)


def test_one_probe_serves_all_ends_before_it(probing):
    for _ in range(5):
        probing.end_answer()
    probing.wait(end_confirmation.SETTLE_S)
    (link,) = probing.links.opened
    link.listener.on_connected()
    assert probing.evidence == []
    probing.wait(end_probes.STAY_S)
    assert probing.evidence == [Evidence.ALIVE] * 5
    assert link.is_closed
    probing.wait(1.0)
    assert len(probing.links.opened) == 1


def test_an_end_during_a_probe_waits_for_the_next_one(probing):
    probing.end_answer()
    probing.wait(end_confirmation.SETTLE_S)
    probing.end_answer()
    probing.links.opened[0].listener.on_lost(links.REFUSED)
    assert probing.evidence == [Evidence.TERMINATED]
    probing.wait(end_confirmation.PROBE_INTERVAL_S)
    probing.links.opened[1].listener.on_lost(links.REFUSED)
    assert probing.evidence == [Evidence.TERMINATED] * 2


# Guards against a proxy that accepts connections for an instance that has crashed.
@pytest.mark.parametrize("reason", [links.CLOSED_CLEANLY, links.CONNECT_TIMEOUT])
def test_a_connection_that_does_not_stay_shows_nothing(probing, reason):
    probing.end_answer()
    for number in range(end_confirmation.MAX_PROBES):
        assert probing.evidence == []
        probing.wait(end_confirmation.PROBE_INTERVAL_S)
        if reason is links.CLOSED_CLEANLY:
            probing.links.opened[number].listener.on_connected()
        probing.links.opened[number].listener.on_lost(reason)
    assert probing.evidence == [Evidence.NONE]


def test_an_answer_to_a_later_call_saves_the_probe(probing):
    probing.end_answer()
    probing.probes.record_alive(ADDRESS, probing.now_s)
    assert probing.evidence == []
    probing.probes.record_alive(ADDRESS, probing.now_s + end_confirmation.SETTLE_S)
    assert probing.evidence == [Evidence.ALIVE]
    probing.wait(1.0)
    assert probing.links.opened == []


def test_a_refused_probe_shows_nothing_while_another_connection_is_established(probing):
    """Guards against an instance that stops listening, taken for one that crashed."""
    probing.links.established.add(ADDRESS)
    probing.end_answer()
    for number in range(end_confirmation.MAX_PROBES):
        assert probing.evidence == []
        probing.wait(end_confirmation.PROBE_INTERVAL_S)
        probing.links.opened[number].listener.on_lost(links.REFUSED)
    assert probing.evidence == [Evidence.NONE]
