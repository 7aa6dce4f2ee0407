"""Rate limits stated in instances' answers: parsing, logging and reporting by an entry."""

import logging

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import upstream_limits
from spoolhead._internal.models import route_table
from spoolhead.platform import dialect

ONCE = route_table.RequestKind.ONCE


def _read(*values):
    headers = [("server-limit", value) for value in values]
    return dialect.Dialect().read_answer(200, headers)


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [("2", 2.0), ("2.1", 2.1), ("0", 0.0), ("0.01", 0.01), ("1e9", 1e9), (" 3 ", 3.0)],
)
def test_a_decimal_number_is_a_limit(text, limit_per_s):
    head = _read(text)
    assert (head.limit_per_s, head.is_limit_unreadable) == (limit_per_s, False)


@pytest.mark.parametrize("text", ["", "soon", "-1", "nan", "inf", "1_000", "2,5", "9" * 400])
def test_what_is_no_number_is_neither_a_limit_nor_its_end(text):
    head = _read(text)
    assert (head.limit_per_s, head.is_limit_unreadable) == (None, True)


def test_of_several_limits_the_strictest_counts():
    assert _read("4", "x", "2.5").limit_per_s == 2.5


def test_the_limit_is_not_passed_on_to_the_caller():
    assert _read("2").headers == []


def _get_changes(caplog):
    return [
        (item.fields["limit_per_s"], item.fields["before_per_s"])
        for item in caplog.records
        if item.getMessage() == "upstream changed its rate limit"
    ]


def test_each_change_of_a_limit_is_logged_once(caplog):
    caplog.set_level(logging.INFO)
    setting = gateway_setting.Setting(ONCE, names=("i-1",))
    (upstream,) = setting.registry.get_all()
    limits = setting.context.limits
    for now_s, text in enumerate(("2", "2", "x", "3")):
        limits.handle_answer(upstream, _read(text), float(now_s))
    limits.handle_answer(upstream, _read(), 9.0)
    assert _get_changes(caplog) == [(2.0, None), (3.0, 2.0), (None, 3.0)]
    unreadable = "upstream stated an unreadable rate limit"
    assert [item.getMessage() for item in caplog.records].count(unreadable) == 1


def test_an_answer_of_another_instance_says_nothing_of_this_one():
    setting = gateway_setting.Setting(ONCE, names=("i-1",))
    (upstream,) = setting.registry.get_all()
    limits = setting.context.limits
    limits.handle_answer(upstream, _read("2"), 1.0)
    limits.handle_answer(upstream, dialect.Dialect().read_answer(421, []), 2.0)
    assert limits.registry.get_limit_per_s(upstream.key) == 2.0


def test_an_answer_to_a_health_question_sets_a_limit_but_lifts_none():
    setting = gateway_setting.Setting(ONCE, names=("i-1",))
    (upstream,) = setting.registry.get_all()
    limits = setting.context.limits
    limits.handle_health_answer(upstream, _read("2"), 1.0)
    assert limits.registry.get_limit_per_s(upstream.key) == 2.0
    limits.handle_health_answer(upstream, _read(), 2.0)
    assert limits.registry.get_limit_per_s(upstream.key) == 2.0


def test_what_an_entry_reads_is_reported_to_others_at_once_and_for_a_while():
    changes = []
    setting = gateway_setting.Setting(ONCE, names=("i-1",))
    (upstream,) = setting.registry.get_all()
    limits = upstream_limits.UpstreamLimits(
        setting.registry.get_by_key,
        request_broadcast=lambda: changes.append("told"),
        on_change=lambda key: changes.append(key),
    )
    limits.handle_answer(upstream, _read("2"), 1.0)
    assert changes == [upstream.key, "told"]
    (reported,) = limits.get_reported(1.2)
    assert (reported.key, reported.limit_per_s, reported.age_ms) == (upstream.key, 2.0, 200)
    assert limits.get_reported(1.0 + upstream_limits.REPORT_RETENTION_S + 0.1) == []
