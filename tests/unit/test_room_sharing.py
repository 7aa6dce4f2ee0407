"""One request in the queue that all entries share, and the rows that its entry reports."""

from lib import gateway_setting, simulated_clock
from spoolhead._internal.models import queue_rows, route_table, shared_load
from spoolhead._internal.utils import clocks

OBJECTIVE_S = 0.4
WAITING_KEYS = queue_rows.get_waiting_keys("s")


def _start(monkeypatch, fill, **options):
    clock = simulated_clock.Clock()
    monkeypatch.setattr(clocks, "get_s", clock)
    setting = gateway_setting.Setting(
        route_table.RequestKind.STREAM, names=("i-1",), fill=fill, shares_room=True, **options
    )
    setting.clock = clock
    return setting


def _check(setting, after_s):
    """Check the queue after a time."""
    setting.clock.now_s += after_s
    for item in list(setting.context.queue._waiting):
        if item.try_start():
            setting.context.queue.remove(item)


def _get_waiting_tokens(setting):
    rows = setting.room.get_rows()
    return sum(rows[key].tokens for key in WAITING_KEYS if key in rows)


def test_a_request_is_never_sent_to_a_full_engine(monkeypatch):
    """It waits until its expected start is past twice its objective."""
    setting = _start(monkeypatch, 33_000)
    for _ in range(6):
        _check(setting, OBJECTIVE_S / 4)
        assert not setting.calls.attempts
    assert _get_waiting_tokens(setting) == 3_800


def test_a_request_moves_from_the_queue_to_its_engine_in_one_report(monkeypatch):
    setting = _start(monkeypatch, 33_000)
    running_key = queue_rows.get_running_keys("s")[1]
    assert running_key not in setting.room.get_rows()
    setting.registry.get("i-1").in_flight.pop("other")
    _check(setting, 0.1)
    assert len(setting.calls.attempts) == 1
    assert _get_waiting_tokens(setting) == 0
    assert setting.room.get_rows()[running_key].tokens == 3_800


def test_a_request_that_gets_no_room_is_refused_and_may_return(monkeypatch):
    setting = _start(monkeypatch, 33_000)
    for _ in range(9):
        _check(setting, OBJECTIVE_S / 4)
    assert setting.caller.status == 503
    assert setting.caller.get_header("retry-after") is not None
    assert not setting.calls.attempts
    assert _get_waiting_tokens(setting) == 0


def test_a_request_waits_behind_the_demand_of_other_entries(monkeypatch):
    setting = _start(monkeypatch, 30_400)
    assert len(setting.calls.attempts) == 0
    setting.registry.get("i-1").in_flight["other"].tokens = 30_000
    setting.other_rows[WAITING_KEYS[0]] = shared_load.InstanceLoad(3_800, 1)
    _check(setting, 0.02)
    assert len(setting.calls.attempts) == 0
    del setting.other_rows[WAITING_KEYS[0]]
    _check(setting, 0.02)
    assert len(setting.calls.attempts) == 1


def test_workspaces_are_reported_only_while_someone_waits(monkeypatch):
    setting = _start(monkeypatch, 0)
    assert len(setting.calls.attempts) == 1
    assert not [key for key in setting.room.get_rows() if key >= queue_rows.BUCKET_KEY_START]
    setting.other_rows[WAITING_KEYS[3]] = shared_load.InstanceLoad(3_800, 1)
    rows = setting.room.get_rows()
    tokens = [load.tokens for key, load in rows.items() if key >= queue_rows.BUCKET_KEY_START]
    assert tokens == [3_800, 3_800]


def test_each_entry_has_its_own_queue_unless_the_settings_say_otherwise():
    assert not gateway_setting.make_settings().shares_room
    setting = gateway_setting.Setting(route_table.RequestKind.STREAM, names=("i-1",), fill=33_000)
    assert setting.exchange.waiting is None
    assert setting.exchange.admission.rank == 1
