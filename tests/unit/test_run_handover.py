"""A run goes on at another instance only once it is known to have ended at its own."""

import json

import pytest

from lib import gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.network import links
from spoolhead._internal.policy import answer_end, run_handover

SIGNED = gateway_setting.SIGNED
Framing = gateway_setting.Framing
Step = run_handover.Step
StreamEnd = run_handover.StreamEnd
make_events = gateway_setting.make_events
FIRST_COPY = b'{"handle": "h-1", "made": 3}'
UPDATE = b'{"handle": "h-2", "made": 3}'


def start(framing=Framing.CHUNKED):
    """Return a setting whose run has been ordered to stop after three events."""
    setting = gateway_setting.Setting(
        route_table.RequestKind.STREAM, attempts=1, names=("i-1", "i-2"), tokens="3000,2000"
    )
    setting.last.answer(200, SIGNED, make_events(1, 3), whole=False, framing=framing)
    setting.leave(setting.last.address.removesuffix(":80"))
    setting.calls.copies[-1].answer(200, [], FIRST_COPY)
    assert json.loads(setting.calls.copies[-1].body)["last"] is True
    setting.calls.copies[-1].send()
    return setting


def get_releases(setting):
    return [call.target for call in setting.calls.made if "/kv-handle/" in call.target]


def check_resumed(setting, handle):
    source, resumed = setting.calls.attempts
    assert source.is_over
    assert resumed.get_header("kv-from") == f"{source.address}/{handle}"
    assert resumed.get_header("last-event-id") == "3"
    resumed.answer(200, SIGNED, make_events(4, 2))
    assert setting.caller.data == make_events(1, 5)
    assert setting.caller.is_finished and not setting.caller.is_aborted


def check_not_resumed(setting):
    assert len(setting.calls.attempts) == 1


def test_a_run_that_works_on_is_not_begun_elsewhere():
    """Guards against two instances that work on one request: closing a connection ends no run."""
    setting = start()
    source = setting.last
    assert not source.is_over
    source.listener.on_answer_body(make_events(4, 1))
    check_not_resumed(setting)
    assert setting.caller.data == make_events(1, 4)


def test_the_orderly_end_of_its_stream_shows_that_a_run_has_stopped():
    setting = start()
    setting.last.lose(links.CLOSED_CLEANLY)
    check_resumed(setting, "h-1")


def test_an_answered_order_shows_that_a_run_has_stopped():
    setting = start()
    setting.calls.copies[-1].answer(200, [], UPDATE)
    check_resumed(setting, "h-2")


def test_a_rejected_update_that_names_a_handle_shows_it_too():
    setting = start()
    setting.calls.copies[-1].answer(503, [], FIRST_COPY)
    check_resumed(setting, "h-1")


def test_a_reset_stream_alone_shows_nothing():
    setting = start()
    setting.last.lose()
    check_not_resumed(setting)
    setting.calls.copies[-1].answer(404, [], b"")
    check_resumed(setting, "h-1")


@pytest.mark.parametrize("status", [409, 500])
def test_an_order_that_failed_is_repeated(status):
    setting = start()
    setting.calls.copies[-1].answer(status, [], b"")
    check_not_resumed(setting)
    setting.timers.run_due(run_handover.ORDER_INTERVAL_S)
    assert len(setting.calls.copies) == 3
    setting.calls.copies[-1].answer(200, [], UPDATE)
    check_resumed(setting, "h-2")


def test_a_target_without_room_for_the_update_is_left_for_another_one():
    """Guards against a run that stays, and is lost, because one target has become full."""
    setting = gateway_setting.Setting(
        route_table.RequestKind.STREAM,
        attempts=1,
        names=("i-1", "i-2", "i-3"),
        tokens="3000,2000",
    )
    setting.last.answer(200, SIGNED, make_events(1, 3), whole=False)
    setting.leave(setting.last.address.removesuffix(":80"))
    setting.calls.copies[-1].answer(200, [], FIRST_COPY)
    setting.calls.copies[-1].answer(503, [], b"")
    check_not_resumed(setting)
    assert get_releases(setting) == []
    first, _, other = (json.loads(call.body) for call in setting.calls.copies)
    assert other["target_version"] != first["target_version"]
    setting.hand_over(handle="h-3")
    assert get_releases(setting) == ["/spoolhead/kv-handle/h-1"]
    check_resumed(setting, "h-3")


def test_an_order_without_an_answer_is_repeated():
    setting = start()
    setting.timers.run_due(run_handover.ORDER_TIMEOUT_S)
    setting.timers.run_due(run_handover.ORDER_INTERVAL_S)
    assert len(setting.calls.copies) == 3
    check_not_resumed(setting)
    setting.calls.copies[-1].answer(200, [], UPDATE)
    check_resumed(setting, "h-2")


def test_a_run_that_cannot_be_stopped_goes_on_where_it_is():
    setting = start()
    for _ in range(run_handover.MAX_ORDERS):
        setting.calls.copies[-1].lose()
        setting.timers.run_due(run_handover.ORDER_INTERVAL_S)
    check_not_resumed(setting)
    assert not setting.last.is_over
    assert get_releases(setting) == []
    setting.last.listener.on_answer_body(make_events(4, 1))
    setting.last.end()
    assert setting.caller.data == make_events(1, 4)
    assert setting.caller.is_finished and not setting.caller.is_aborted
    assert get_releases(setting) == ["/spoolhead/kv-handle/h-1"]


def test_without_any_evidence_the_callers_stream_is_broken_off():
    """Guards against a run that goes on elsewhere while a cut hides whether it has ended."""
    setting = start()
    setting.last.lose()
    for _ in range(run_handover.MAX_ORDERS):
        setting.calls.copies[-1].lose()
        setting.timers.run_due(run_handover.ORDER_INTERVAL_S)
    check_not_resumed(setting)
    assert setting.caller.data == make_events(1, 3)
    assert setting.caller.is_aborted


def test_an_instance_that_has_terminated_runs_nothing():
    setting = start()
    setting.last.lose()
    setting.calls.copies[-1].lose(links.REFUSED)
    check_resumed(setting, "h-1")


def _refuse_orders(setting, count):
    """Refuse the order to stop and those that repeat it."""
    for _ in range(count):
        setting.calls.copies[-1].lose(links.REFUSED)
        setting.timers.run_due(run_handover.REFUSED_INTERVAL_S)


def test_refused_orders_are_no_end_of_a_run_whose_stream_is_open():
    """Guards against an instance that stops listening and is silent, taken for one that ended."""
    setting = start()
    _refuse_orders(setting, 40)
    check_not_resumed(setting)
    assert not setting.caller.is_finished
    setting.last.listener.on_answer_body(make_events(4, 2))
    setting.last.end()
    assert setting.caller.data == make_events(1, 5)
    assert setting.caller.is_finished and not setting.caller.is_aborted


def test_an_instance_that_ends_after_refused_orders_runs_nothing():
    """Guards against callers that wait on although the end has closed all connections."""
    setting = start()
    _refuse_orders(setting, 12)
    setting.last.lose()
    check_not_resumed(setting)
    setting.timers.run_due(run_handover.ORDER_INTERVAL_S)
    setting.calls.copies[-1].lose(links.REFUSED)
    check_resumed(setting, "h-1")


def test_a_reset_stream_is_no_end_of_an_instance_that_keeps_other_connections():
    """Guards against one lost connection and a refused one taken for the end of a process."""
    setting = start()
    address = setting.last.address
    setting.calls.open_connections.add(address)
    setting.last.lose()
    _refuse_orders(setting, 5)
    check_not_resumed(setting)
    assert not setting.caller.is_aborted
    setting.calls.open_connections.clear()
    setting.calls.copies[-1].lose(links.REFUSED)
    check_resumed(setting, "h-1")


def test_a_run_without_a_stream_at_an_instance_that_stays_deaf_is_given_up():
    setting = start()
    setting.calls.open_connections.add(setting.last.address)
    setting.last.lose()
    _refuse_orders(setting, run_handover.MAX_REFUSALS + 1)
    check_not_resumed(setting)
    assert setting.caller.is_aborted


def test_a_refused_order_is_repeated_over_an_established_connection():
    setting = start()
    assert setting.calls.copies[-1].fresh
    _refuse_orders(setting, 1)
    assert not setting.calls.copies[-1].fresh
    setting.calls.copies[-1].answer(200, [], UPDATE)
    check_resumed(setting, "h-2")


def test_a_run_that_ends_by_itself_is_passed_on_whole():
    setting = start()
    setting.last.listener.on_answer_body(make_events(4, 2))
    setting.last.end()
    check_not_resumed(setting)
    assert setting.caller.data == make_events(1, 5)
    assert setting.caller.is_finished and not setting.caller.is_aborted
    setting.calls.copies[-1].answer(404, [], b"")
    assert get_releases(setting) == ["/spoolhead/kv-handle/h-1"]


def test_a_stream_that_ends_with_its_connection_may_be_stopped_or_complete():
    """Its run has ended in both cases; resumed from the copy, a complete one generates nothing."""
    stopped, complete = start(Framing.CONNECTION), start(Framing.CONNECTION)
    for setting in (stopped, complete):
        setting.last.end()
        assert not setting.caller.is_finished
    check_resumed(stopped, "h-1")
    complete.calls.copies[-1].answer(404, [], b"")
    assert not complete.caller.is_finished
    complete.last.answer(200, SIGNED, framing=Framing.CONNECTION)
    complete.calls.give_evidence(answer_end.Evidence.ALIVE)
    assert complete.caller.data == make_events(1, 3)
    assert complete.caller.is_finished and not complete.caller.is_aborted


def test_a_caller_that_leaves_meanwhile_frees_both_copies():
    setting = start()
    setting.caller.is_disconnected = True
    setting.caller.on_disconnect()
    assert setting.last.is_over
    setting.calls.copies[-1].answer(200, [], UPDATE)
    check_not_resumed(setting)
    assert get_releases(setting) == ["/spoolhead/kv-handle/h-2"]


def test_an_update_that_is_not_used_is_released():
    setting = start()
    setting.last.lose(links.CLOSED_CLEANLY)
    setting.calls.copies[-1].answer(200, [], UPDATE)
    assert get_releases(setting) == []
    setting.last.answer(200, SIGNED, make_events(4, 1), whole=False)
    assert get_releases(setting) == ["/spoolhead/kv-handle/h-2"]


@pytest.mark.parametrize("is_answered_first", [False, True])
def test_a_refused_copy_is_followed_by_its_update(is_answered_first):
    setting = start()
    setting.last.lose(links.CLOSED_CLEANLY)
    order, resumed = setting.calls.copies[-1], setting.last
    if is_answered_first:
        order.answer(200, [], UPDATE)
    resumed.answer(503, [("x-not-executed", "1")])
    assert not setting.caller.is_finished
    if not is_answered_first:
        order.answer(200, [], UPDATE)
    assert len(setting.calls.attempts) == 3
    assert setting.last.get_header("kv-from").endswith("/h-2")
    assert get_releases(setting) == []


def test_only_evidence_lets_a_run_go_on():
    """Tries every order of three events after the order to stop."""
    events = {
        "closed": lambda item: item.handle_stream_end(StreamEnd.IN_ORDER),
        "reset": lambda item: item.handle_stream_end(StreamEnd.BROKEN),
        "409": lambda item: item.handle_answer(409, has_handle=False, is_other_pending=False),
        "404": lambda item: item.handle_answer(404, has_handle=False, is_other_pending=False),
        "503": lambda item: item.handle_answer(503, has_handle=False, is_other_pending=False),
        "lost": lambda item: item.handle_order_lost(is_other_pending=False),
        "refused": lambda item: item.handle_order_refused(has_open_connection=False),
        "refused, others open": lambda item: item.handle_order_refused(has_open_connection=True),
    }
    for first in events:
        for second in events:
            for third in events:
                handover = run_handover.RunHandover()
                names = []
                for name in (first, second, third):
                    names.append(name)
                    if events[name](handover) is Step.RESUME:
                        assert handover.evidence is not None
                        is_gone = "reset" in names and name in ("404", "refused", "reset")
                        assert "closed" in names or (is_gone and {"404", "refused"} & set(names))
                        break
