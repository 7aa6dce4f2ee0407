"""Cut-off halls: the difference to a single unreachable instance, and the request handling."""

import pytest

from lib import gateway_setting
from spoolhead._internal.models import route_table
from spoolhead._internal.network import links
from spoolhead._internal.policy import hall_reach, upstream_registry

BACKOFF_S = hall_reach.BACKOFF_S
SILENT_HALL_BACKOFF_S = hall_reach.SILENT_HALL_BACKOFF_S


def _make():
    reach = hall_reach.HallReach("hall-a")
    reach.record_answer("hall-b", 9.0)
    return reach


def test_a_hall_is_cut_off_after_a_connection_timed_out_and_nothing_came_since():
    reach = _make()
    assert not reach.get_cut_off_halls((), 10.0)
    reach.record_timeout("hall-b", 10.0)
    assert reach.get_cut_off_halls((), 10.0) == {"hall-b"}


def test_a_hall_that_answers_has_one_dark_instance_only():
    reach = _make()
    reach.record_timeout("hall-b", 10.0)
    reach.record_answer("hall-b", 10.1)
    assert not reach.get_cut_off_halls((), 10.2)


def test_the_way_is_tried_again_sooner_if_the_halls_entries_are_heard():
    reach = _make()
    reach.record_timeout("hall-b", 10.0)
    soon_s = 10.0 + BACKOFF_S + 0.1
    assert not reach.get_cut_off_halls((), soon_s)
    assert reach.get_cut_off_halls({"hall-b"}, soon_s) == {"hall-b"}
    assert not reach.get_cut_off_halls({"hall-b"}, 10.0 + SILENT_HALL_BACKOFF_S + 0.1)


def test_the_own_hall_is_never_cut_off():
    reach = _make()
    reach.record_timeout("hall-a", 10.0)
    assert not reach.get_cut_off_halls({"hall-a"}, 10.0)


def test_a_silent_hall_is_lost_only_once_it_was_tried_in_vain():
    reach = _make()
    assert not reach.get_unreachable_halls({"hall-b"}, 10.0, is_isolated=False)
    reach.record_timeout("hall-b", 10.0)
    assert reach.get_unreachable_halls({"hall-b"}, 10.0, is_isolated=False) == {"hall-b"}
    assert not reach.get_unreachable_halls((), 10.0, is_isolated=False)
    reach.record_answer("hall-b", 11.0)
    assert not reach.get_unreachable_halls({"hall-b"}, 11.0, is_isolated=False)


def test_to_one_that_hears_no_hall_a_silent_one_is_lost_unless_it_answers():
    reach = _make()
    assert reach.get_unreachable_halls({"hall-b"}, 10.0, is_isolated=True) == {"hall-b"}
    reach.record_answer("hall-b", 10.0)
    assert not reach.get_unreachable_halls({"hall-b"}, 10.1, is_isolated=True)
    assert reach.get_unreachable_halls({"hall-b", "hall-c"}, 10.1, is_isolated=True) == {"hall-c"}


def test_a_service_is_out_of_reach_if_all_its_instances_stand_in_lost_halls():
    registry = upstream_registry.UpstreamRegistry()
    near = gateway_setting.make_instance("near")
    far = gateway_setting.make_instance("far", hall="hall-b")
    registry.update_instances([near, far], 0.0)
    assert not hall_reach.is_service_unreachable(registry.get_service("s"), {"hall-b"})
    registry.update_instances([gateway_setting.make_instance("near", is_leaving=True), far], 0.0)
    assert hall_reach.is_service_unreachable(registry.get_service("s"), {"hall-b"})
    assert not hall_reach.is_service_unreachable(registry.get_service("none"), {"hall-b"})


@pytest.mark.parametrize("kind", [route_table.RequestKind.STREAM, route_table.RequestKind.ONCE])
def test_one_time_out_is_enough_to_refuse_what_only_that_hall_could_serve(kind):
    setting = gateway_setting.Setting(kind, names=("i-1", "i-2", "i-3"), hall="hall-b")
    setting.last.lose(links.CONNECT_TIMEOUT)
    assert len(setting.calls.attempts) == 1
    assert setting.caller.status == 503


@pytest.mark.parametrize("kind", [route_table.RequestKind.STREAM, route_table.RequestKind.ONCE])
def test_a_refused_connection_says_nothing_of_the_hall(kind):
    setting = gateway_setting.Setting(kind, names=("i-1", "i-2"), hall="hall-b")
    setting.last.lose("Connection refused")
    assert len(setting.calls.attempts) == 2
