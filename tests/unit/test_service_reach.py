"""Which failures show that an entry has lost its connections to a service."""

import logging

import pytest

from lib import gateway_setting
from spoolhead._internal.gateway import entry_metrics, reach_watch
from spoolhead._internal.policy import service_reach, upstream_registry
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


def _make_watch():
    registry = upstream_registry.UpstreamRegistry()
    registry.update_instances([gateway_setting.make_instance(name) for name in NAMES], 0.0)
    return reach_watch.ReachWatch(
        registry,
        entry_metrics.EntryMetrics(prometheus_metrics.PrometheusMetrics()),
        get_silent_halls=frozenset,
        get_load_age_ms=lambda: 20,
        clock=lambda: 5.0,
    )


def test_the_log_says_when_a_service_is_lost_and_regained(caplog):
    watch = _make_watch()
    with caplog.at_level(logging.INFO):
        for name in NAMES[:3]:
            watch.record_unanswered(f"{name}:80")
        assert watch.is_out_of_reach("s")
        watch.record_unanswered("10.0.0.3:1")
        watch.record_answered("i-5:80", 5.0)
    assert not watch.is_out_of_reach("s")
    assert [record.message for record in caplog.records] == [
        "service is out of reach",
        "service is within reach again",
    ]
    assert caplog.records[0].fields["unreached"] == list(NAMES[:3])
    assert caplog.records[0].fields["peers_age_ms"] == 20
