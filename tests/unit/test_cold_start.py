"""When an instance is considered cold: by the list, its own reports, or assumption."""

from lib import gateway_setting, load_fleet
from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import upstream_registry


def _update_list(registry, now_s, **fields):
    registry.update_instances([gateway_setting.make_instance("i-1", **fields)], now_s)
    return registry.get("i-1")


def test_how_long_it_stays_cold_is_counted_from_the_reading():
    registry = upstream_registry.UpstreamRegistry()
    upstream = _update_list(registry, 100.0, cold_ms=800)
    assert upstream.is_cold(100.79)
    assert not upstream.is_cold(100.81)


def test_one_reading_that_is_taken_again_makes_no_other_start():
    registry = upstream_registry.UpstreamRegistry()
    listed = [gateway_setting.make_instance("i-1", cold_ms=800)]
    registry.update_instances(listed, 100.0)
    registry.update_instances(listed, 101.0)
    assert not registry.get("i-1").is_cold(101.0)


def test_it_may_become_cold_again_at_any_moment():
    registry = upstream_registry.UpstreamRegistry()
    _update_list(registry, 100.0)
    assert not registry.get("i-1").is_cold(100.0)
    assert _update_list(registry, 130.0, cold_ms=1_000).is_cold(130.5)


def test_a_list_that_is_behind_does_not_end_what_the_instance_says():
    registry = upstream_registry.UpstreamRegistry()
    upstream = _update_list(registry, 100.0)
    assert upstream.record_cold(900, 100.0)
    assert not upstream.record_cold(700, 100.2), "the same start is recorded twice"
    assert _update_list(registry, 100.3, cold_ms=0).is_cold(100.8)


def test_a_cold_start_that_one_entry_finds_is_known_to_all_at_once():
    fleet = load_fleet.LoadFleet(entries=24, halls=3, keepers=3, instances=3, loss=0.1)
    fleet.run(1.0)
    name = fleet.instances[0]
    reporter = fleet.entries[0]
    reporter.sharing.broadcast_alarm(name, shared_load.AlarmKind.COLD, for_ms=5_000)
    fleet.run(0.1)
    others = [entry for entry in fleet.entries if entry is not reporter]
    assert all(entry.registry.get(name).is_cold(fleet.clock()) for entry in others)
    assert all(entry.alarms == [] for entry in others), "a cold start moved runs away"
