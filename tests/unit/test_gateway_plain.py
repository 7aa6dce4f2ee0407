"""Plain requests: repeated attempts, the statuses of refusals and the checks of answers."""

import pytest

from lib import gateway_setting
from spoolhead._internal.models import route_table

ONCE = route_table.RequestKind.ONCE
REPEATABLE = route_table.RequestKind.REPEATABLE
NOT_RUN = [("x-request-id", gateway_setting.REQUEST_ID), ("x-not-executed", "1")]


def test_an_answer_is_passed_on_unchanged():
    setting = gateway_setting.Setting(ONCE)
    setting.last.answer(200, gateway_setting.SIGNED, b"bo", b"dy")
    assert (setting.caller.status, setting.caller.data) == (200, b"body")
    assert setting.caller.get_header("x-response-signature") == "3e1b.07"
    assert len(setting.ended) == 1


def test_the_instance_gets_its_own_id_the_time_left_and_the_workspace():
    setting = gateway_setting.Setting(ONCE)
    upstream = setting.last.address.removesuffix(":80")
    assert setting.last.get_header("x-expected-replica") == upstream
    assert 1_900 < int(setting.last.get_header("x-request-deadline")) <= 2_000
    assert setting.last.get_header("x-tenant") == "w"
    assert setting.last.get_header("host") == "h.example"


def test_a_once_request_that_may_have_run_is_never_repeated_nor_called_not_run():
    setting = gateway_setting.Setting(ONCE, attempts=3)
    setting.last.send()
    setting.last.lose()
    assert len(setting.calls.attempts) == 1
    assert setting.caller.status == 502
    assert setting.caller.get_header("retry-after") is None


def test_a_once_request_whose_time_ends_while_it_runs_is_not_called_not_run():
    setting = gateway_setting.Setting(ONCE)
    setting.last.send()
    setting.timers.run_due(2.0)
    assert setting.caller.status == 504
    assert setting.last.is_over


def test_a_request_that_never_left_goes_elsewhere():
    setting = gateway_setting.Setting(ONCE, attempts=1)
    first = setting.last
    first.lose("Connection refused")
    assert len(setting.calls.attempts) == 2
    assert setting.last.address != first.address


def test_a_refusal_that_says_not_run_is_passed_on_with_when_to_come_back():
    setting = gateway_setting.Setting(ONCE, attempts=1)
    setting.last.answer(503, NOT_RUN)
    assert setting.caller.status == 503
    assert float(setting.caller.get_header("retry-after")) > 0


def test_a_repeatable_request_is_tried_again_after_an_error():
    setting = gateway_setting.Setting(REPEATABLE)
    setting.last.answer(500, gateway_setting.SIGNED, b"error")
    assert len(setting.calls.attempts) == 2
    setting.last.answer(200, gateway_setting.SIGNED, b"ok")
    assert setting.caller.data == b"ok"


def test_attempts_are_bounded_and_the_last_error_is_the_instances_own():
    setting = gateway_setting.Setting(REPEATABLE, attempts=2, names=("a", "b", "c"))
    for _ in range(2):
        setting.last.answer(500, gateway_setting.SIGNED, b"error")
    assert len(setting.calls.attempts) == 2
    assert (setting.caller.status, setting.caller.data) == (500, b"error")


def test_no_second_attempt_beyond_the_allowance():
    setting = gateway_setting.Setting(REPEATABLE, slack=0)
    setting.last.answer(500, gateway_setting.SIGNED, b"error")
    assert len(setting.calls.attempts) == 1
    assert setting.caller.status == 500


@pytest.mark.parametrize(
    "headers",
    [
        [("x-request-id", "another"), ("x-response-signature", "s")],
        [("x-request-id", gateway_setting.REQUEST_ID)],
        [*gateway_setting.SIGNED, ("content-encoding", "gzip")],
    ],
)
def test_an_answer_that_is_not_the_requests_own_is_never_passed_on(headers):
    setting = gateway_setting.Setting(ONCE)
    setting.last.answer(200, headers, b"not yours")
    assert setting.caller.status == 502
    assert b"not yours" not in setting.caller.data


def test_a_caller_that_leaves_ends_the_work():
    setting = gateway_setting.Setting(ONCE)
    setting.last.send()
    setting.caller.is_disconnected = True
    setting.caller.on_disconnect()
    assert setting.last.is_over
    assert len(setting.ended) == 1
    assert not any(upstream.in_flight for upstream in setting.registry.get_all())


def test_a_leaving_instance_gets_no_new_work():
    setting = gateway_setting.Setting(REPEATABLE, names=("a", "b", "c"))
    first = setting.last.address.removesuffix(":80")
    left = [name for name in setting.names if name != first]
    setting.apply_list(leaving=left[:1])
    setting.last.answer(500, gateway_setting.SIGNED, b"error")
    assert setting.last.address == f"{left[1]}:80"


def test_without_an_instance_the_refusal_is_at_once_and_true():
    setting = gateway_setting.Setting(ONCE, names=())
    assert setting.caller.status == 503
    assert not setting.calls.made
