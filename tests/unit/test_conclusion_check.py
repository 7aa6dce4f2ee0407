"""Conclusions from an instance's silence: reported only if another instance answers."""

import random

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import conclusion_check
from spoolhead._internal.policy import upstream_registry


class _Check:
    def __init__(self, *names):
        self.timers = gateway_setting.FakeTimers()
        self.registry = upstream_registry.UpstreamRegistry()
        self.registry.update_instances([gateway_setting.make_instance(n) for n in names], 0.0)
        self.now_s = 5.0
        self.probed = []
        self.reported = []
        self.check = conclusion_check.ConclusionCheck(
            self.timers,
            self.registry,
            random.Random(1),
            probe=lambda upstream: self.probed.append(upstream.instance.incarnation_id),
            clock=lambda: self.now_s,
        )

    def conclude(self, name="i-1", kind="unreachable"):
        self.check.confirm(name, kind, lambda: self.reported.append((name, kind)))

    def answer(self, name, opened_s):
        self.check.record_answered(self.registry.get(name), opened_s)
        self.timers.run_due(0)


def test_it_is_reported_once_another_instance_has_answered():
    check = _Check("i-1", "i-2", "i-3")
    check.conclude()
    assert sorted(check.probed) == ["i-2", "i-3"]
    assert check.reported == []
    check.answer("i-3", 5.0)
    check.answer("i-2", 5.0)
    assert check.reported == [("i-1", "unreachable")]


@pytest.mark.parametrize(("name", "opened_s"), [("i-2", 4.9), ("i-1", 5.1)])
def test_an_older_connection_or_the_instance_itself_confirms_nothing(name, opened_s):
    check = _Check("i-1", "i-2")
    check.conclude()
    check.answer(name, opened_s)
    assert check.reported == []


def test_without_any_answer_it_is_dropped_and_logged(caplog):
    check = _Check("i-1", "i-2")
    check.conclude()
    check.timers.run_due(conclusion_check.CONFIRM_TIMEOUT_S)
    check.answer("i-2", 5.5)
    assert check.reported == []
    assert "conclusion about upstream is not reported" in caplog.messages


def test_of_the_only_instance_it_is_reported_at_once():
    check = _Check("i-1")
    check.conclude()
    assert check.reported == [("i-1", "unreachable")]


def test_repeated_losses_cause_few_probes():
    check = _Check("i-1", "i-2")
    for _ in range(10):
        check.conclude()
    assert check.probed == ["i-2"]
    check.now_s += 2 * conclusion_check.MIN_INTERVAL_S
    check.conclude()
    assert check.probed == ["i-2", "i-2"]


def test_an_instance_that_asked_for_rest_is_not_probed():
    check = _Check("i-1", "i-2", "i-3")
    check.registry.get("i-2").rest.record(3_000, 5.0)
    check.conclude()
    assert check.probed == ["i-3"]
