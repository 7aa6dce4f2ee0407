"""Health probes: assignment to entries, alarms after bad answers, none for silent halls."""

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import health_watch
from spoolhead._internal.models import fleet, route_table
from spoolhead._internal.network import links
from spoolhead._internal.policy import probe_assignment, upstream_registry
from spoolhead._internal.routing import matcher
from spoolhead._internal.utils import clocks
from spoolhead.platform import dialect

SERVICE = route_table.Service(
    name="s", health_path="/healthz", max_connections=9, engine=gateway_setting.ENGINE
)


class _Loop:
    class scheduler:  # noqa: N801
        calls = []

        @classmethod
        def call_every(cls, interval_s, call):
            cls.calls.append(call)


class _Watch:
    def __init__(self, *, silent=(), watchers=("entry-1",)):
        self.calls = gateway_setting.GatewayCalls()
        self.registry = upstream_registry.UpstreamRegistry()
        self.registry.update_instances([gateway_setting.make_instance("i-1", hall="hall-b")], 0.0)
        self.alarms = []
        self.cold_reports = []
        self.replaced_ids = []
        self.silent = frozenset(silent)
        table = route_table.RouteTable(
            version=1,
            routes=[],
            services=[SERVICE],
            workspaces=None,
            bounds=route_table.CallerBounds(),
        )
        config = gateway_setting.make_settings()
        _Loop.scheduler.calls = []
        self.heads = []
        self.limited = set()
        self.watch = health_watch.HealthWatch(
            _Loop,
            self.calls,
            config,
            dialect.Dialect(),
            self.registry,
            get_table=lambda: matcher.Matcher(table),
            get_entries=lambda: [
                fleet.Process(name=n, hall="hall-a", address="") for n in watchers
            ],
            get_silent_halls=lambda: self.silent,
            on_alarm=lambda upstream, kind: self.alarms.append(upstream),
            on_cold=lambda upstream, cold_ms: self.cold_reports.append(cold_ms),
            on_replaced=self.replaced_ids.append,
            on_answer=lambda upstream, head: self.heads.append(head),
            is_limited=lambda upstream: upstream.instance.incarnation_id in self.limited,
            confirm=lambda incarnation_id, kind, action: action(),
        )

    def probe(self):
        _Loop.scheduler.calls[0]()


def test_a_good_answer_raises_no_alarm():
    watch = _Watch()
    watch.probe()
    watch.calls.made[0].answer(200, [])
    assert not watch.alarms
    assert not watch.registry.get("i-1").is_alarmed(0.0)


@pytest.mark.parametrize("outcome", ["bad", "lost"])
def test_a_bad_answer_or_none_raises_one_alarm(outcome):
    watch = _Watch()
    watch.probe()
    if outcome == "bad":
        watch.calls.made[0].answer(503, [])
    else:
        watch.calls.made[0].lose()
    assert [item.instance.instance_id for item in watch.alarms] == ["i-1"]


def test_a_full_instance_is_not_an_ill_one():
    watch = _Watch()
    watch.probe()
    watch.calls.made[0].answer(503, [("x-not-executed", "1")])
    assert not watch.alarms


def test_silence_is_believed_the_second_time():
    """One timeout may be caused by this entry itself; a refusal or a bad answer cannot."""
    watch = _Watch()
    watch.probe()
    watch.calls.made[0].lose(links.CONNECT_TIMEOUT)
    assert not watch.alarms
    watch.probe()
    watch.calls.made[1].answer(200, [])
    watch.probe()
    watch.calls.made[2].lose(links.CONNECT_TIMEOUT)
    assert not watch.alarms
    watch.probe()
    watch.calls.made[3].lose(links.CONNECT_TIMEOUT)
    assert [item.instance.instance_id for item in watch.alarms] == ["i-1"]


def test_an_instance_that_has_not_answered_is_not_asked_twice():
    watch = _Watch()
    watch.probe()
    watch.probe()
    assert len(watch.calls.made) == 1


def test_only_the_entry_on_duty_asks():
    probe_count = 0
    for other in ("entry-0", "entry-2", "entry-3"):
        watch = _Watch(watchers=("entry-1", other))
        watch.probe()
        probe_count += len(watch.calls.made)
    names = ("entry-0", "entry-2", "entry-3")
    instance = gateway_setting.make_instance("i-1", hall="hall-b")
    expected = 0
    for other in names:
        watchers = [fleet.Process(name=n, hall="hall-a", address="") for n in ("entry-1", other)]
        expected += probe_assignment.is_assigned("entry-1", watchers, instance)
    assert probe_count == expected


def test_nothing_is_asked_and_nothing_believed_behind_a_cut():
    watch = _Watch(silent=["hall-b"])
    watch.probe()
    assert not watch.calls.made
    watch = _Watch()
    watch.probe()
    watch.silent = frozenset(["hall-b"])
    watch.calls.made[0].lose()
    assert not watch.alarms


@pytest.mark.parametrize("is_reused", [False, True])
def test_a_kept_connection_that_is_gone_raises_no_alarm_and_the_question_is_repeated(is_reused):
    """An instance may drop an idle connection silently; the probe on a new one is decisive."""
    watch = _Watch()
    watch.probe()
    call = watch.calls.made[0]
    call.is_reused = is_reused
    call.lose("Connection reset by peer")
    assert bool(watch.alarms) != is_reused
    if is_reused:
        again = watch.calls.made[1]
        assert again.fresh
        again.lose("Connection reset by peer")
        assert watch.alarms


def test_an_instance_that_says_to_be_cold_is_told_of_once():
    watch = _Watch()
    watch.probe()
    watch.calls.made[0].answer(200, [("x-cold-remaining", "900")])
    watch.probe()
    watch.calls.made[1].answer(200, [("x-cold-remaining", "700")])
    assert watch.cold_reports == [900]
    assert not watch.alarms


def test_another_instance_that_answers_is_no_word_of_the_one_asked():
    watch = _Watch()
    for _ in range(2):
        watch.probe()
        watch.calls.made[-1].answer(503, [("x-replica-id", "i-9")])
    assert [item.instance.instance_id for item in watch.replaced_ids] == ["i-1"]
    assert not watch.alarms


def test_an_instance_that_asked_for_rest_is_not_asked_for_its_health():
    """Guards against probes that take capacity from requests at an overloaded instance."""
    watch = _Watch()
    watch.registry.get("i-1").rest.record(60_000, clocks.get_s())
    watch.probe()
    assert watch.calls.made == []


def test_a_limited_instance_is_asked_once_a_second():
    watch = _Watch()
    watch.limited.add("i-1")
    for _ in range(3):
        watch.probe()
        watch.calls.made[0].answer(200, [])
    assert len(watch.calls.made) == 1
    watch.limited.clear()
    watch.probe()
    assert len(watch.calls.made) == 2
