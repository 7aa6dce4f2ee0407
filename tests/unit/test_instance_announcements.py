"""Rest that an instance requests of an entry, and its announcement that it leaves."""

import pytest

from lib import gateway_setting, limit_fleet
from spoolhead._internal.models import route_table, shared_load
from spoolhead._internal.policy import requested_rest, upstream_gate
from spoolhead._internal.utils import clocks
from spoolhead.platform import dialect

pytestmark = pytest.mark.usefixtures("held_clock")


def _read(status, **headers):
    named = [(name.replace("_", "-"), value) for name, value in headers.items()]
    return dialect.Dialect().read_answer(status, named)


@pytest.mark.parametrize(
    ("text", "rest_ms"), [("3", 3_000), ("0.25", 250), ("0", 0), (" 2 ", 2_000), ("1e9", 10**12)]
)
@pytest.mark.parametrize("status", [429, 503])
def test_an_answer_that_turns_a_request_away_may_ask_for_rest(status, text, rest_ms):
    head = _read(status, retry_after=text)
    assert (head.rest_ms, head.is_rest_unreadable) == (rest_ms, False)


@pytest.mark.parametrize("text", ["-1", "soon", "nan", "Wed, 21 Oct 2026 07:28:00 GMT"])
def test_what_is_no_number_of_seconds_asks_for_nothing(text):
    head = _read(503, retry_after=text)
    assert (head.rest_ms, head.is_rest_unreadable) == (None, True)


def test_other_answers_ask_for_nothing():
    assert _read(200, retry_after="3").rest_ms is None
    assert _read(503).rest_ms is None
    assert _read(503, retry_after="").is_rest_unreadable is False


@pytest.mark.parametrize(("text", "is_leaving"), [("1", True), ("0", False), ("", False)])
def test_an_instance_says_itself_that_it_leaves(text, is_leaving):
    head = _read(200, server_leaving=text)
    assert head.is_leaving is is_leaving
    assert head.headers == []


ONCE = route_table.RequestKind.ONCE
STREAM = route_table.RequestKind.STREAM
TURNED_AWAY = [
    ("x-request-id", gateway_setting.REQUEST_ID),
    ("x-not-executed", "1"),
    ("retry-after", "3"),
]


def _get_block_reason(setting, upstream, now_s):
    service = setting.exchange.job.service
    return setting.context.gate.get_block_reason(
        service, upstream, now_s, request_priority=gateway_setting.REQUEST_PRIORITY
    )


@pytest.mark.parametrize("kind", [ONCE, STREAM])
def test_an_instance_that_asked_for_rest_is_barred_until_it_is_over(kind):
    setting = gateway_setting.Setting(kind, names=("i-1",), attempts=1)
    (upstream,) = setting.registry.get_all()
    setting.last.answer(503, TURNED_AWAY)
    now_s = clocks.get_s()
    assert _get_block_reason(setting, upstream, now_s) is upstream_gate.BlockReason.RESTING
    assert _get_block_reason(setting, upstream, now_s + 2.9) is upstream_gate.BlockReason.RESTING
    assert _get_block_reason(setting, upstream, now_s + 3.1) is None
    assert setting.alarms == [("i-1", shared_load.AlarmKind.RESTING, 3_000)]


@pytest.mark.parametrize("kind", [ONCE, STREAM])
def test_where_all_rest_a_request_is_refused_with_when_the_first_is_over(kind):
    """Guards against a last resort that overrides the rest that instances asked for."""
    setting = gateway_setting.Setting(kind, names=("i-1", "i-2"), attempts=2)
    for _ in range(2):
        setting.last.answer(503, TURNED_AWAY)
    assert len(setting.calls.attempts) == 2
    assert setting.caller.status == 503
    choice = setting.exchange.choose(0)
    setting.exchange._tried_ids.clear()
    choice = setting.exchange.choose(0)
    assert choice.upstream is None
    assert 2_900 < choice.retry_after_ms <= 3_000


def test_after_a_rest_one_request_goes_first():
    rest = requested_rest.RequestedRest()
    rest.record(2_000, 0.0)
    assert not rest.is_likely_to_reject(2.1)
    rest.record_sent(2.1)
    assert rest.is_likely_to_reject(2.2)
    rest.record_accepted()
    assert not rest.is_likely_to_reject(2.3)


def test_a_first_request_that_is_lost_does_not_hold_the_others_back_for_long():
    rest = requested_rest.RequestedRest()
    rest.record(2_000, 0.0)
    rest.record_sent(2.1)
    assert not rest.is_likely_to_reject(2.2 + requested_rest.TRIAL_TIMEOUT_S)


def test_the_longest_of_several_rests_counts_up_to_a_bound():
    rest = requested_rest.RequestedRest()
    assert rest.record(2_000, 0.0)
    assert not rest.record(500, 1.0)
    assert rest.get_remaining_ms(1.0) == 1_000
    rest.record(10**12, 1.0)
    assert rest.is_resting(60.9)
    assert not rest.is_resting(61.1)


def test_two_others_that_were_asked_make_an_instance_doubtful_until_their_rests_are_over():
    rest = requested_rest.RequestedRest()
    rest.record_report("e-2", 2_000, 0.0)
    assert not rest.is_likely_to_reject(0.1)
    rest.record_report("e-2", 2_000, 0.1)
    assert not rest.is_likely_to_reject(0.2)
    rest.record_report("e-3", 1_000, 0.2)
    assert rest.is_likely_to_reject(1.1)
    assert not rest.is_resting(1.1)
    assert not rest.is_likely_to_reject(1.3)


def test_a_word_of_another_instance_at_the_address_is_none_of_this_one():
    setting = gateway_setting.Setting(ONCE, names=("i-1",), attempts=1)
    (upstream,) = setting.registry.get_all()
    setting.events.handle_answer(upstream, _read(421, retry_after="3"), 0.0)
    assert not upstream.rest.is_resting(0.1)


LEAVING = [*gateway_setting.SIGNED, ("server-leaving", "1")]


@pytest.mark.parametrize("kind", [ONCE, STREAM])
def test_an_instance_that_says_that_it_leaves_is_barred_whatever_the_list_shows(kind):
    """Guards against an entry that waits for a list that is late or unreadable."""
    setting = gateway_setting.Setting(kind, names=("i-1",))
    (upstream,) = setting.registry.get_all()
    setting.last.listener.on_answer_head(200, LEAVING)
    setting.apply_list()
    now_s = clocks.get_s()
    for later_s in (0.0, 5.0, 600.0):
        assert (
            _get_block_reason(setting, upstream, now_s + later_s)
            is upstream_gate.BlockReason.LEAVING
        )
    assert setting.alarms == [("i-1", shared_load.AlarmKind.LEAVING, 0)]
    setting.events.handle_answer(upstream, _read(200), now_s)
    assert _get_block_reason(setting, upstream, now_s) is upstream_gate.BlockReason.LEAVING


def test_a_run_leaves_an_instance_that_says_that_it_leaves():
    setting = gateway_setting.Setting(STREAM, names=("i-1", "i-2"))
    setting.last.send()
    setting.last.listener.on_answer_head(200, gateway_setting.SIGNED)
    setting.last.listener.on_answer_body(gateway_setting.make_events(1, 2))
    name = setting.last.address.removesuffix(":80")
    setting.events.handle_answer(setting.registry.get(name), _read(200, server_leaving="1"), 0.0)
    assert len(setting.calls.copies) == 1


def test_the_end_of_an_instance_that_said_that_it_leaves_is_no_requests_fault():
    setting = gateway_setting.Setting(ONCE, names=("i-1",))
    (upstream,) = setting.registry.get_all()
    assert not upstream.is_expected_to_terminate(0.0)
    setting.last.listener.on_answer_head(200, LEAVING)
    assert upstream.is_expected_to_terminate(clocks.get_s() + 60.0)
    setting.last.lose()
    assert setting.end_queries == []


def test_an_instance_that_starts_again_under_its_id_does_not_leave():
    setting = gateway_setting.Setting(ONCE, names=("i-1",), started_ms=1)
    setting.last.listener.on_answer_head(200, LEAVING)
    setting.started_ms = 2
    setting.apply_list()
    (upstream,) = setting.registry.get_all()
    assert _get_block_reason(setting, upstream, clocks.get_s()) is None


def test_others_that_are_told_of_it_send_nothing_either():
    fleet = limit_fleet.LimitFleet(entries=8)
    entry = fleet.entries[0]
    name, *_ = fleet.instances
    entry.events.handle_answer(
        entry.registry.get(name), _read(200, server_leaving="1"), fleet.clock()
    )
    fleet.run(0.3)
    assert all(item.registry.get(name).is_leaving for item in fleet.entries)
    assert all(item.alarms == [name] for item in fleet.entries[1:])


REST = {"retry_after": "3", "x_not_executed": "1"}
LIST_LATE_S = 0.8


def _make_fleet():
    fleet = limit_fleet.LimitFleet(entries=8)
    fleet.run(1.0)
    return fleet, fleet.instances[0]


def _handle_answer(fleet, number, name, status, **headers):
    entry = fleet.entries[number]
    entry.events.handle_answer(entry.registry.get(name), _read(status, **headers), fleet.clock())


@pytest.mark.parametrize("receiver", [0, 1])
def test_an_entry_that_starts_later_sends_nothing_to_one_that_leaves(receiver):
    """Guards against announcements that reach only entries that were running at the time."""
    fleet, name = _make_fleet()
    _handle_answer(fleet, receiver, name, 200, server_leaving="1")
    fleet.run(5.0)
    started = fleet.restart_entry(0)
    fleet.run(0.5)
    assert started.registry.get(name).is_leaving


@pytest.mark.parametrize("receiver", [0, 1])
def test_so_it_is_where_the_list_comes_after_the_word(receiver):
    fleet, name = _make_fleet()
    _handle_answer(fleet, receiver, name, 200, server_leaving="1")
    fleet.run(1.0)
    started = fleet.restart_entry(0, is_listed=False)
    fleet.run(LIST_LATE_S)
    started.apply_list(fleet.listed)
    assert started.registry.get(name).is_leaving
    assert started.alarms == [name]


def test_an_entry_that_starts_anew_keeps_the_rest_that_it_was_asked_for():
    fleet, name = _make_fleet()
    _handle_answer(fleet, 0, name, 503, **REST)
    until_s = fleet.clock() + 3.0
    fleet.run(1.0)
    upstream = fleet.restart_entry(0).registry.get(name)
    fleet.run(0.5)
    assert upstream.rest.get_remaining_ms(fleet.clock()) == pytest.approx(
        (until_s - fleet.clock()) * 1000, abs=50
    )
    fleet.run(2.0)
    assert not upstream.rest.is_resting(fleet.clock())


def test_an_entry_that_starts_later_holds_back_where_two_others_were_asked():
    fleet, name = _make_fleet()
    for number in (1, 2):
        _handle_answer(fleet, number, name, 503, **REST)
    fleet.run(1.0)
    upstream = fleet.restart_entry(0).registry.get(name)
    fleet.run(0.5)
    assert not upstream.rest.is_resting(fleet.clock())
    assert upstream.rest.is_likely_to_reject(fleet.clock())
    fleet.run(2.0)
    assert not upstream.rest.is_likely_to_reject(fleet.clock())


def test_an_entrys_own_word_that_comes_back_is_no_news():
    """Guards against an entry's own report that lengthens the rest or counts as another entry's."""
    fleet, name = _make_fleet()
    _handle_answer(fleet, 0, name, 503, **REST)
    upstream = fleet.entries[0].registry.get(name)
    left_ms = upstream.rest.get_remaining_ms(fleet.clock())
    fleet.run(0.5)
    assert upstream.rest.get_remaining_ms(fleet.clock()) == pytest.approx(left_ms - 500, abs=1)
    assert not upstream.rest.has_reports(fleet.clock())


NOT_RUN = TURNED_AWAY[:2]


@pytest.mark.parametrize("kind", [ONCE, STREAM])
def test_an_instance_that_turns_a_request_away_is_left_to_the_last_for_a_moment(kind):
    """Guards against an instance that looks emptiest because it rejects all requests."""
    setting = gateway_setting.Setting(kind, names=("i-1",), attempts=1)
    (upstream,) = setting.registry.get_all()
    setting.last.answer(503, NOT_RUN)
    now_s = clocks.get_s()
    assert _get_block_reason(setting, upstream, now_s) is upstream_gate.BlockReason.SUSPECTED
    assert _get_block_reason(setting, upstream, now_s + 0.2) is None
    setting.exchange._tried_ids.clear()
    assert setting.exchange.choose(0).upstream is upstream


def test_the_moment_grows_with_each_rejection_and_ends_with_a_request_that_is_taken():
    rest = requested_rest.RequestedRest()
    backoffs_s = []
    now_s = 0.0
    for _ in range(6):
        rest.record_rejection(now_s)
        began_s = now_s
        while rest.is_likely_to_reject(now_s):
            now_s += 0.01
        backoffs_s.append(round(now_s - began_s, 1))
    assert backoffs_s == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]
    rest.record_accepted()
    rest.record_rejection(now_s)
    assert not rest.is_likely_to_reject(now_s + requested_rest.INITIAL_BACKOFF_S + 0.01)


def test_rejections_of_one_moment_count_once():
    rest = requested_rest.RequestedRest()
    for _ in range(9):
        rest.record_rejection(0.0)
    assert not rest.is_likely_to_reject(requested_rest.INITIAL_BACKOFF_S + 0.01)
