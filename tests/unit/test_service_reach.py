"""Which failures show that an entry has lost its connections to a service."""

import logging
import random

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import entry_metrics, reach_watch
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import service_reach, upstream_registry
from spoolhead._internal.routing import matcher
from spoolhead._internal.utils import prometheus_metrics

NAMES = ("i-1", "i-2", "i-3", "i-4", "i-5")


def _fail(reach, *names, at_s=1.0):
    for name in names:
        reach.record_unreached("s", name, at_s)


def test_one_or_two_dead_instances_of_five_are_not_the_entrys_connections():
    reach = service_reach.ServiceReach()
    _fail(reach, "i-1", "i-1", "i-2", "i-1")
    assert not reach.is_out_of_reach("s", NAMES)


def test_three_in_a_row_without_any_answer_are():
    reach = service_reach.ServiceReach()
    _fail(reach, "i-1", "i-2", "i-3")
    assert reach.is_out_of_reach("s", NAMES)
    assert not reach.is_out_of_reach("other", NAMES)


@pytest.mark.parametrize("count", [1, 2])
def test_all_of_fewer_instances_are(count):
    reach = service_reach.ServiceReach()
    _fail(reach, *NAMES[:count])
    assert reach.is_out_of_reach("s", NAMES[:count])


def test_an_answer_of_any_instance_ends_it():
    reach = service_reach.ServiceReach()
    _fail(reach, "i-1", "i-2", "i-3")
    reach.record_reached("s", 1.5)
    assert not reach.is_out_of_reach("s", NAMES)
    _fail(reach, "i-4", at_s=2.0)
    assert reach.get_unreached("s") == ["i-4"]


def test_an_answer_on_a_connection_that_is_older_than_the_failures_does_not():
    reach = service_reach.ServiceReach()
    _fail(reach, "i-1", "i-2", "i-3", at_s=2.0)
    reach.record_reached("s", 1.5)
    assert reach.is_out_of_reach("s", NAMES)


def test_instances_that_are_gone_count_no_longer():
    reach = service_reach.ServiceReach()
    _fail(reach, "i-1", "i-2", "i-3")
    assert not reach.is_out_of_reach("s", ("i-4", "i-5"))
    assert not reach.is_out_of_reach("s", ())
    reach.retain(["i-3"])
    assert reach.get_unreached("s") == ["i-3"]


class _Watch:
    """A watch of five instances; the clock stands at 5 s unless a test changes it."""

    def __init__(self, *, health_path="/healthz"):
        self.calls = gateway_setting.GatewayCalls()
        self.timers = gateway_setting.FakeTimers()
        self.registry = upstream_registry.UpstreamRegistry()
        self.registry.update_instances([gateway_setting.make_instance(n) for n in NAMES], 0.0)
        self.lost = []
        self.regained = []
        self.now_s = 5.0
        self.entry_count = 8
        service = route_table.Service(
            name="s", health_path=health_path, max_connections=9, engine=None
        )
        table = route_table.RouteTable(
            version=1,
            routes=[],
            services=[service],
            workspaces=None,
            bounds=route_table.CallerBounds(),
        )
        self.watch = reach_watch.ReachWatch(
            self.calls,
            self.timers,
            self.registry,
            entry_metrics.EntryMetrics(prometheus_metrics.PrometheusMetrics()),
            random.Random(1),
            get_table=lambda: matcher.Matcher(table),
            get_entry_count=lambda: self.entry_count,
            get_silent_halls=frozenset,
            get_load_age_ms=lambda: 20,
            on_lost=self.lost.append,
            on_regained=self.regained.append,
            clock=lambda: self.now_s,
        )

    def fail(self, *names):
        for name in names:
            self.watch.record_unanswered(f"{name}:80")

    @property
    def probed(self):
        return {call.address.removesuffix(":80") for call in self.calls.made}


def test_the_log_says_when_a_service_is_lost_and_regained(caplog):
    setting = _Watch()
    with caplog.at_level(logging.INFO):
        setting.fail(*NAMES[:3])
        assert setting.watch.is_out_of_reach("s")
        setting.watch.record_unanswered("10.0.0.3:1")
        setting.watch.record_answered("i-5:80", 5.0)
    assert not setting.watch.is_out_of_reach("s")
    setting.timers.run_due(0)
    assert (setting.lost, setting.regained) == (["s"], ["s"])
    assert [record.message for record in caplog.records] == [
        "service is out of reach",
        "service is within reach again",
    ]
    assert caplog.records[0].fields["unreached"] == list(NAMES[:3])
    assert caplog.records[0].fields["peers_age_ms"] == 20


def test_after_one_failure_others_are_probed_and_none_that_asked_for_rest():
    setting = _Watch()
    setting.registry.get("i-2").rest.record(3_000, 5.0)
    setting.fail("i-1")
    assert setting.probed == {"i-3", "i-4", "i-5"}
    assert all(call.fresh for call in setting.calls.made)
    setting.fail("i-1")
    assert len(setting.calls.made) == 3


def test_probes_without_an_answer_show_that_the_service_is_lost():
    setting = _Watch()
    setting.fail("i-1")
    setting.timers.run_due(reach_watch.PROBE_TIMEOUT_S)
    assert setting.watch.is_out_of_reach("s")
    assert all(call.is_over for call in setting.calls.made)


def test_a_lost_service_is_probed_until_an_instance_answers():
    setting = _Watch()
    setting.fail(*NAMES[:3])
    setting.calls.made.clear()
    setting.timers.pass_interval()
    assert len(setting.calls.made) == 1
    setting.watch.record_answered("i-4:80", 6.0)
    setting.calls.made.clear()
    setting.timers.pass_interval()
    assert setting.calls.made == []


def test_entries_of_a_large_fleet_that_all_lost_a_service_do_not_flood_its_instances():
    setting = _Watch()
    setting.entry_count = 350
    setting.fail(*NAMES[:3])
    setting.calls.made.clear()
    intervals = 200
    for _ in range(intervals):
        setting.timers.pass_interval()
    seconds = intervals * reach_watch.PROBE_INTERVAL_S
    per_instance_s = len(setting.calls.made) * setting.entry_count / len(NAMES) / seconds
    assert 0 < per_instance_s <= 1.5 * reach_watch.MAX_PROBES_PER_S


def test_a_service_without_a_health_path_is_never_lost():
    setting = _Watch(health_path="")
    setting.fail(*NAMES)
    assert not setting.watch.is_out_of_reach("s")
