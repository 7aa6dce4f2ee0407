"""How typical paces reach all entries: what is sent, how often, and after which failures."""

import random

import pytest

from lib import gateway_setting, load_fleet
from spoolhead._internal.models import dialects, instance_pace, rate_limit, shared_load
from spoolhead._internal.policy import load_hub, pace_broadcast, pace_estimate, pace_registry
from spoolhead._internal.relay import block_meter

ADDRESS = ("10.0.0.9", 7)
STEP_S = 0.02
"""Interval between the datagrams of a busy hub."""
SHARED_S = 6.0
"""Time after which a pace is known everywhere: two seconds of figures and the repeats."""
MAX_BYTES_PER_S = 1_000


def _make_report(paces, *, sender="e1", sequence=1):
    return shared_load.Report(
        sender=sender,
        hall="a",
        sequence=sequence,
        is_reporter=True,
        rows={},
        alarms=[],
        paces=paces,
    )


def _get_sent(hub, since_s, until_s):
    """Return (time, bytes of paces, paces) of each update."""
    sent = []
    for step in range(round((until_s - since_s) / STEP_S)):
        now_s = since_s + step * STEP_S
        paces = hub.make_update(now_s).paces
        with_paces = shared_load.Update(sequence=1, rows={}, ages=[], alarms=[], paces=paces)
        without = shared_load.Update(sequence=1, rows={}, ages=[], alarms=[])
        size = len(shared_load.encode_update(with_paces)) - len(shared_load.encode_update(without))
        sent.append((now_s, size, paces))
    return sent


def _make_large_hub(rng):
    """Return a hub at which 350 entries report the paces of 1,600 instances at once."""
    hub = load_hub.LoadHub("k1", 1)
    keys = [rng.getrandbits(32) for _ in range(1_600)]
    for number in range(350):
        paces = [instance_pace.AgedPace(key, rng.choice((55, 300)), 0) for key in keys[number::350]]
        hub.handle_report(_make_report(paces, sender=f"e{number}"), ADDRESS, 0.0)
    return hub, keys


def test_the_paces_of_1600_instances_take_less_than_a_kilobyte_per_second_at_each_entry():
    hub, keys = _make_large_hub(random.Random(1))
    sent = _get_sent(hub, 0.0, 60.0)
    for start in range(0, len(sent), 10):
        assert sum(size for _, size, _ in sent[start : start + 50]) < MAX_BYTES_PER_S
    assert {pace.key for _, _, paces in sent for pace in paces} == set(keys)


def test_a_snapshot_with_all_of_them_fits_into_a_datagram():
    hub, keys = _make_large_hub(random.Random(1))
    report = _make_report([], sender="e999")
    report.rows = {key: shared_load.InstanceLoad(25_000, 24, 20_000, 9_000) for key in keys}
    hub.handle_report(report, ADDRESS, 500.0)
    snapshot = hub.make_snapshot(500.0)
    assert {pace.key for pace in snapshot.paces} == set(keys)
    assert len(shared_load.encode_update(snapshot)) < shared_load.MAX_DATAGRAM_BYTES


def test_with_much_else_a_snapshot_is_still_read_and_the_left_out_paces_follow():
    """Guards against entries that get no snapshot because paces make it too large."""
    hub, keys = _make_large_hub(random.Random(1))
    _get_sent(hub, 0.0, 60.0)
    report = _make_report([], sender="e999")
    report.rows = {key: shared_load.InstanceLoad(120_000, 24, 70_000, 70_000) for key in keys}
    report.limits = [rate_limit.AgedLimit(key, 50.0, 0) for key in keys]
    hub.handle_report(report, ADDRESS, 500.0)
    snapshot = hub.make_snapshot(500.0)
    assert snapshot.paces
    encoded = shared_load.complete_update(shared_load.encode_update(snapshot), 2**32)
    assert len(encoded) <= shared_load.MAX_DATAGRAM_BYTES
    assert (len(snapshot.rows), len(snapshot.limits)) == (1_600, 1_600)
    known = {pace.key for pace in snapshot.paces}
    known |= {pace.key for _, _, paces in _get_sent(hub, 500.0, 560.0) for pace in paces}
    assert known == set(keys)


def test_a_pace_that_was_renewed_stays_in_the_snapshot_when_others_are_left_out():
    hub = load_hub.LoadHub("k1", 1)
    for since, now_s in ((0, 0.0), (1, 100.0), (0, 200.0)):
        count = 1 if since == 0 else pace_broadcast.MAX_PACES_PER_SNAPSHOT
        paces = [instance_pace.AgedPace(key, 55, 0) for key in range(since, since + count)]
        hub.handle_report(_make_report(paces, sequence=1 + int(now_s)), ADDRESS, now_s)
    keys = {pace.key for pace in hub.make_snapshot(200.0).paces}
    assert keys == {0, *range(2, 1 + pace_broadcast.MAX_PACES_PER_SNAPSHOT)}


def test_without_paces_datagrams_are_as_before():
    report = _make_report([])
    assert len(shared_load.encode_report(report)) == len(
        shared_load.encode_report(_make_report([instance_pace.AgedPace(1, 1, 1)]))
    ) - len(b"\x94\1\1\1\0")


def test_datagrams_decode_to_what_was_encoded():
    paces = [
        instance_pace.AgedPace(7, 55, 900),
        instance_pace.AgedPace(9, 120, 0, is_measured=True),
    ]
    totals = shared_load.Totals(hub="k", sequence=1, rows={}, ages=[], alarms=[], paces=paces)
    update = shared_load.Update(sequence=1, rows={}, ages=[], alarms=[], paces=paces)
    encoded = (
        shared_load.encode_report(_make_report(paces)),
        shared_load.encode_totals(totals),
        shared_load.complete_update(shared_load.encode_update(update), 5),
    )
    for data in encoded:
        decoded = shared_load.decode(data)
        assert instance_pace.pack(decoded.paces) == [7, 55, 900, 0, 9, 120, 0, 1]


@pytest.mark.parametrize(
    "values",
    [
        [1, 2, 3],
        [1, 0, 0, 0],
        [1, instance_pace.MAX_PERCENT + 1, 0, 0],
        [1, 55, -1, 0],
        [1, "x", 0, 0],
        [-1, 55, 0, 0],
        [1 << 32, 55, 0, 0],
    ],
)
def test_invalid_paces_are_rejected(values):
    with pytest.raises(ValueError, match="pace"):
        instance_pace.unpack(values)


def test_a_pace_of_any_age_leaves_a_hub_able_to_send():
    """Guards against an age that, after the transfer, no longer fits into a datagram."""
    hub = load_hub.LoadHub("k1", 1)
    paces = [instance_pace.AgedPace(7, 55, 2**64 - 1), instance_pace.AgedPace(8, 55, 900)]
    report = shared_load.decode(shared_load.encode_report(_make_report(paces)))
    hub.handle_report(report, ADDRESS, 1.0)
    sent = (hub.make_totals(2.0), hub.make_update(2.0), hub.make_snapshot(2.0))
    assert [[pace.key for pace in item.paces] for item in sent] == [[8]] * 3
    assert shared_load.encode_totals(sent[0])


def test_a_measured_pace_is_reported_within_the_range_that_is_read():
    fleet = _PaceFleet(entries=1)
    fleet.run(0.1)
    paces = fleet.entries[0].paces
    paces._report(7, 1_000.0, fleet.clock(), is_measured=True)
    (pace,) = paces.get_reported(fleet.clock())
    assert pace.percent == instance_pace.MAX_PERCENT


def test_a_pace_that_is_sent_back_with_its_delay_is_not_sent_again():
    """Guards against paces that processes send to each other without end."""
    hub = load_hub.LoadHub("k1", 1)
    hub.handle_report(_make_report([instance_pace.AgedPace(7, 55, 0)]), ADDRESS, 0.0)
    _get_sent(hub, 0.0, 10.0)
    for sequence, delay_s in enumerate((0.001, 0.004, 0.4), 2):
        back = [instance_pace.AgedPace(7, 55, 10_000)]
        hub.handle_report(_make_report(back, sequence=sequence), ADDRESS, 10.0 + delay_s)
    assert not any(paces for _, _, paces in _get_sent(hub, 10.5, 15.0))


def test_a_statement_does_not_replace_a_measurement_that_overrules_it():
    registry = pace_registry.PaceRegistry()
    assert registry.merge([instance_pace.AgedPace(7, 120, 0, is_measured=True)], 100.0)
    assert not registry.merge([instance_pace.AgedPace(7, 30, 0)], 110.0)
    assert not registry.is_due(7, 30, 110.0, is_measured=False)
    assert registry.is_due(7, 120, 111.0, is_measured=True)
    assert registry.merge([instance_pace.AgedPace(7, 30, 0)], 121.0)


def test_only_a_clear_difference_or_a_renewal_is_reported():
    registry = pace_registry.PaceRegistry()
    registry.record(7, instance_pace.TimedPace(100, 0.0, is_measured=False))
    assert not registry.is_due(7, 200, 1.0, is_measured=False)
    assert not registry.is_due(7, 110, 10.0, is_measured=False)
    assert registry.is_due(7, 111, 10.0, is_measured=False)
    assert registry.is_due(7, 89, 10.0, is_measured=False)
    assert registry.is_due(7, 100, pace_registry.RENEWAL_AGE_S, is_measured=False)


class _PaceFleet(load_fleet.LoadFleet):
    """Entries of which each reads the figures of some instances five times a second."""

    def __init__(self, *, entries=9, instances=12, loss=0.2):
        super().__init__(entries=entries, halls=3, keepers=3, instances=instances, loss=loss)
        self.percents = {
            name: 55 if number % 4 else 120 for number, name in enumerate(self.instances)
        }
        self.is_stating = True
        self.clock.call_every(0.2, self._state)

    def _state(self):
        if not self.is_stating:
            return
        for number, name in enumerate(self.instances):
            self.read_figure(self.entries[number % len(self.entries)], name)

    def read_figure(self, entry, name):
        upstream = entry.registry.get(name)
        if not entry.process.is_up or upstream is None:
            return
        load = dialects.UpstreamLoad(
            running=0, waiting=0, slots=6, pace_percent=self.percents[name]
        )
        head = gateway_setting.make_answer_head(load=load)
        entry.paces.handle_answer(upstream, head, self.clock())

    def get_without_paces(self, entries):
        """Return the entries that don't know the pace of each instance."""
        return [
            entry.process.name
            for entry in entries
            for name in self.instances
            if entry.registry.get(name).pace.typical_factor != self.percents[name] / 100
        ]


def test_all_entries_know_all_paces_though_a_fifth_of_the_datagrams_is_lost():
    fleet = _PaceFleet()
    fleet.run(SHARED_S)
    assert not fleet.get_without_paces(fleet.entries)


def test_an_entry_that_starts_gets_all_paces_with_the_snapshot():
    fleet = _PaceFleet()
    fleet.run(SHARED_S + 10.0)
    fleet.is_stating = False
    started = fleet.restart_entry(4)
    fleet.run(2.0)
    assert not fleet.get_without_paces([started])


def test_so_does_one_that_reads_the_instance_list_after_the_snapshot():
    fleet = _PaceFleet()
    fleet.run(SHARED_S + 10.0)
    fleet.is_stating = False
    started = fleet.restart_entry(4, is_listed=False)
    fleet.run(2.0)
    started.apply_list(fleet.listed)
    assert not fleet.get_without_paces([started])


def test_the_hub_that_takes_over_knows_all_paces():
    fleet = _PaceFleet()
    fleet.run(SHARED_S + 10.0)
    fleet.is_stating = False
    fleet.kill("keeper-001")
    fleet.run(3.0)
    started = fleet.restart_entry(4)
    fleet.run(2.0)
    assert not fleet.get_without_paces([started])


def test_entries_that_act_as_hubs_after_the_keepers_get_what_was_determined_before():
    """Guards against reports that only the terminated hubs received."""
    fleet = _PaceFleet()
    fleet.run(SHARED_S + 10.0)
    fleet.is_stating = False
    fleet.kill("keeper-000", "keeper-001", "keeper-002")
    fleet.run(SHARED_S)
    started = fleet.restart_entry(7)
    fleet.run(2.0)
    assert not fleet.get_without_paces([started])


def test_a_hall_that_was_cut_off_gets_what_changed_meanwhile_and_the_others_what_changed_there():
    fleet = _PaceFleet()
    fleet.run(SHARED_S)
    fleet.net.cut_off_halls = {"hall-1"}
    fleet.percents = dict.fromkeys(fleet.instances, 240)
    fleet.run(10.0)
    assert fleet.get_without_paces(fleet.entries)
    fleet.is_stating = False
    fleet.net.cut_off_halls = set()
    fleet.run(SHARED_S)
    assert not fleet.get_without_paces(fleet.entries)


def test_nothing_is_known_of_an_instance_that_restarts_under_its_id():
    fleet = _PaceFleet()
    fleet.run(SHARED_S)
    listed = [gateway_setting.make_instance(name, started_ms=5) for name in fleet.instances]
    entry = fleet.entries[0]
    entry.apply_list(listed)
    assert not any(upstream.pace.is_known for upstream in entry.registry.get_all())


def test_paces_that_stay_cause_no_traffic_until_they_are_renewed():
    fleet = _PaceFleet(loss=0.0)
    fleet.run(2 * SHARED_S)
    seen = []
    for process in fleet.net.processes.values():
        handle = process.on_datagram

        def _handle(message, sender, handle=handle):
            seen.extend(getattr(message, "paces", ()))
            handle(message, sender)

        process.on_datagram = _handle
    fleet.run(20.0)
    assert seen == []


def test_an_instance_that_states_nothing_costs_nothing():
    fleet = _PaceFleet()
    fleet.percents = dict.fromkeys(fleet.instances)
    fleet.run(SHARED_S)
    entry = fleet.entries[0]
    assert not any(upstream.pace.is_known for upstream in entry.registry.get_all())
    assert entry.paces.known_count == 0


def test_a_batch_is_bounded_and_the_rest_follows():
    registry = pace_registry.PaceRegistry()
    keys = range(100)
    for key in keys:
        registry.record(key, instance_pace.TimedPace(55, 0.0, is_measured=False))
    broadcast = pace_broadcast.PaceBroadcast(registry)
    broadcast.add(keys)
    batches = [broadcast.pop_batch(step * 0.1) for step in range(100)]
    assert max(len(batch) for batch in batches) <= pace_broadcast.MAX_PACES_PER_DATAGRAM
    assert {pace.key for batch in batches for pace in batch} == set(keys)


class _OverruledFleet(_PaceFleet):
    """A fleet in which one instance states to be quicker than one entry's streams show."""

    def __init__(self):
        super().__init__(loss=0.1)
        self.quick = self.instances[0]
        self.percents = dict.fromkeys(self.instances, 100) | {self.quick: 30}
        self.run(SHARED_S)
        for name in self.instances[1:5]:
            self.begin_stream(name, 1.0, for_s=5.0)

    def begin_stream(self, name, factor, *, for_s):
        entry, meter = self.entries[5], block_meter.BlockMeter()
        ends_s = self.clock() + for_s

        def _handle_event():
            if self.clock() < ends_s:
                entry.paces.handle_events(entry.registry.get(name), meter, 1, self.clock())
                self.clock.call_later(0.028 * factor, _handle_event)

        _handle_event()

    def get_factors(self):
        paces = [entry.registry.get(self.quick).pace for entry in self.entries]
        return {round(pace.typical_factor, 1) for pace in paces}


def test_a_measurement_overrules_the_statements_at_all_entries_for_a_time():
    fleet = _OverruledFleet()
    fleet.begin_stream(fleet.quick, 1.2, for_s=5.0)
    fleet.run(SHARED_S)
    assert fleet.get_factors() == {1.2}
    fleet.run(pace_estimate.OVERRULE_TTL_S)
    fleet.run(SHARED_S)
    assert fleet.get_factors() == {0.3}


def test_a_later_measurement_ends_that_at_all_entries():
    fleet = _OverruledFleet()
    fleet.begin_stream(fleet.quick, 1.2, for_s=5.0)
    fleet.run(SHARED_S)
    assert fleet.get_factors() == {1.2}
    fleet.begin_stream(fleet.quick, 0.3, for_s=5.0)
    fleet.run(SHARED_S)
    assert fleet.get_factors() == {0.3}


def test_after_a_measurement_was_corrected_statements_are_shared_again_beside_streams():
    """Guards against corrections that are renewed without end and so stay newer than statements."""
    fleet = _OverruledFleet()
    fleet.begin_stream(fleet.quick, 1.2, for_s=5.0)
    fleet.run(SHARED_S)
    fleet.begin_stream(fleet.quick, 0.3, for_s=60.0)
    fleet.run(pace_estimate.OVERRULE_TTL_S + SHARED_S)
    fleet.percents[fleet.quick] = 50
    fleet.run(SHARED_S)
    assert fleet.get_factors() == {0.5}
