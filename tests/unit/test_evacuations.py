"""Evacuated halls: late and repeated orders, the keepers' state, and the entries' behaviour."""

import json

import hypothesis
import msgpack
import pytest
from hypothesis import strategies

from lib import gateway_setting
from spoolhead._internal.models import dialects, evacuations, route_table
from spoolhead._internal.network import request_reader
from spoolhead._internal.policy import hall_reach
from spoolhead._internal.quorum import replicated_state, table_register
from spoolhead.platform import dialect

STREAM = route_table.RequestKind.STREAM
REPEATABLE = route_table.RequestKind.REPEATABLE


def _make_order(state, hall, is_evacuated, order_id="o"):
    return evacuations.HallOrder(
        hall=hall,
        is_evacuated=is_evacuated,
        base_revision=state.get_revision(hall),
        order_id=order_id,
    )


def test_an_order_overtaken_by_its_withdrawal_comes_to_nothing():
    state = evacuations.Evacuations()
    delayed_order = _make_order(state, "a", True, "first")
    assert state.apply(_make_order(state, "a", True, "again"))
    assert state.apply(_make_order(state, "a", False))
    assert not state.apply(delayed_order)
    assert state.evacuated_halls == frozenset()


def test_a_withdrawal_of_nothing_still_overtakes_the_order():
    """An operator gives an order up and withdraws it to be sure; the order arrives after that."""
    state = evacuations.Evacuations()
    delayed_order = _make_order(state, "a", True)
    assert state.apply(_make_order(state, "a", False))
    assert not state.apply(delayed_order)
    assert not state.is_evacuated("a")


def test_orders_on_other_halls_do_not_stand_in_the_way():
    state = evacuations.Evacuations()
    order = _make_order(state, "a", True)
    state.apply(_make_order(state, "b", True))
    assert state.apply(order)
    assert state.evacuated_halls == {"a", "b"}


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from("ab"), strategies.booleans(), strategies.integers(0, 9)
        ),
        max_size=20,
    )
)
def test_whatever_is_repeated_late_an_acknowledged_order_holds(steps):
    """Each order is applied when it is sent; earlier orders arrive again at any later time."""
    state = evacuations.Evacuations()
    sent = []
    wanted = {}
    for number, (hall, is_evacuated, earlier) in enumerate(steps):
        order = _make_order(state, hall, is_evacuated, f"o-{number}")
        sent.append(order)
        assert state.apply(order)
        wanted[hall] = is_evacuated
        state.apply(sent[earlier % len(sent)])
        assert {name: state.is_evacuated(name) for name in wanted} == wanted


def test_the_state_outlives_a_snapshot_and_one_without_halls_is_read():
    state = replicated_state.ReplicatedState()
    state.apply(table_register.pack_change(4, b"four"))
    state.apply(evacuations.pack_order(_make_order(state.evacuations, "a", True, "x")))
    assert state.get_outcome("x") is True
    copy = replicated_state.ReplicatedState()
    copy.load(state.dump())
    assert (copy.table.version, copy.table.document) == (4, b"four")
    assert copy.evacuations.pack() == state.evacuations.pack()
    assert copy.evacuations.evacuated_halls == {"a"}
    old_format = replicated_state.ReplicatedState()
    old_format.load(msgpack.packb([7, b"seven"]))
    assert (old_format.table.version, old_format.evacuations.revision) == (7, 0)


def test_an_order_put_to_two_leaders_has_one_outcome():
    state = replicated_state.ReplicatedState()
    data = evacuations.pack_order(_make_order(state.evacuations, "a", True, "x"))
    state.apply(data)
    state.apply(evacuations.pack_order(_make_order(state.evacuations, "a", False, "y")))
    state.apply(data)
    assert state.get_outcome("x") is True
    assert state.evacuations.evacuated_halls == frozenset()


def test_the_outcome_of_an_order_outlives_a_snapshot():
    """Guards against an order that took effect and is answered as unsure after a snapshot."""
    state = replicated_state.ReplicatedState()
    effective = _make_order(state.evacuations, "a", True, "x")
    overtaken = _make_order(state.evacuations, "a", False, "y")
    for order in (effective, overtaken):
        state.apply(evacuations.pack_order(order))
    state.apply(evacuations.pack_order(_make_order(state.evacuations, "a", False, "z")))
    copy = replicated_state.ReplicatedState()
    copy.load(state.dump())
    # An order that was sent to two leaders may be committed again after the snapshot.
    copy.apply(evacuations.pack_order(effective))
    assert [copy.get_outcome(order_id) for order_id in "xyz"] == [True, False, True]
    without_outcomes = msgpack.packb(msgpack.unpackb(state.dump())[:3])
    copy.load(without_outcomes)
    assert copy.evacuations.pack() == state.evacuations.pack()


def _read_order(method, target):
    wire = request_reader.WireRequest()
    wire.method = method
    wire.target = target
    return dialect.Dialect().read_order(wire)


def test_operators_orders_on_halls_are_read():
    order = _read_order("POST", "/spoolhead/evacuations/hall-a").ok
    assert isinstance(order, dialects.SetEvacuation)
    assert (order.hall, order.is_evacuated) == ("hall-a", True)
    assert not _read_order("DELETE", "/spoolhead/evacuations/hall-a?x=1").ok.is_evacuated
    assert _read_order("PUT", "/spoolhead/evacuations/hall-a").is_error()
    assert _read_order("POST", "/spoolhead/evacuations/").is_error()
    assert _read_order("POST", "/spoolhead/evacuations/a%2Fb").is_error()


def _evacuate(setting, *halls):
    setting.registry.set_evacuated(frozenset(halls))
    if setting.exchange is not None:
        setting.exchange.on_instances_changed()


@pytest.mark.parametrize("kind", [STREAM, REPEATABLE])
def test_what_only_an_evacuated_hall_could_serve_is_refused_at_once(kind):
    setting = gateway_setting.Setting(kind, evacuated_halls=["hall-a"])
    assert setting.calls.made == []
    assert setting.caller.status == 503
    assert json.loads(setting.caller.data)["error"]["ran"] == "no"
    assert float(setting.caller.get_header("retry-after")) >= 0.3


def test_a_run_in_a_hall_that_is_evacuated_ends_where_it_is():
    setting = gateway_setting.Setting(STREAM)
    setting.last.send()
    setting.last.listener.on_answer_head(200, gateway_setting.SIGNED)
    setting.last.listener.on_answer_body(gateway_setting.make_events(1, 3))
    _evacuate(setting, "hall-a")
    assert setting.calls.copies == []
    setting.last.listener.on_answer_body(gateway_setting.make_events(4, 2))
    setting.last.end()
    assert setting.caller.is_finished and setting.caller.status == 200


def test_new_instances_of_an_evacuated_hall_get_nothing_and_others_do():
    setting = gateway_setting.Setting(REPEATABLE)
    setting.registry.set_evacuated(frozenset(["hall-b"]))
    far = gateway_setting.make_instance("far", hall="hall-b")
    near = gateway_setting.make_instance("near")
    setting.registry.update_instances([far, near], 0.0)
    assert setting.registry.get("far").is_evacuated
    assert not setting.registry.get("far").is_usable(0.0)
    assert setting.registry.get("near").is_usable(0.0)
    assert [item.instance.instance_id for item in setting.registry.set_evacuated(frozenset())] == [
        "far"
    ]


def test_a_copy_in_a_hall_that_is_evacuated_is_given_up():
    setting = gateway_setting.Setting(STREAM)
    setting.last.send()
    setting.last.listener.on_answer_head(200, gateway_setting.SIGNED)
    setting.last.listener.on_answer_body(gateway_setting.make_events(1, 3))
    source = setting.exchange.upstream.instance.instance_id
    setting.leave(source)
    (order,) = setting.calls.copies
    _evacuate(setting, "hall-a")
    order.answer(200, [], json.dumps({"handle": "h1", "made": 3}).encode())
    assert len(setting.calls.attempts) == 1, "the run went on in the evacuated hall"
    assert [call.target for call in setting.calls.made][-1] == "/spoolhead/kv-handle/h1"


def test_a_hall_cut_off_with_its_own_instances_evacuated_is_out_of_reach():
    setting = gateway_setting.Setting(REPEATABLE)
    near = gateway_setting.make_instance("near")
    far = gateway_setting.make_instance("far", hall="hall-b")
    setting.registry.update_instances([near, far], 0.0)
    everything = setting.registry.get_all()
    assert not hall_reach.is_service_unreachable(everything, {"hall-b"})
    setting.registry.set_evacuated(frozenset(["hall-a"]))
    assert hall_reach.is_service_unreachable(everything, {"hall-b"})
