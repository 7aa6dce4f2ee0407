"""Adds up the load that entries report. Performs no I/O; the current time is passed in.

Each entry reports to one hub. A hub sends its totals to the other hubs, and the totals of the whole
fleet to its own reporters, in datagrams of bounded size. What an entry sends and receives therefore
depends neither on the number of entries nor on the number of instances.
"""

import math
from collections.abc import Iterable

from spoolhead._internal.models import rate_limit, shared_load
from spoolhead._internal.policy import (
    alarm_broadcast,
    changed_rows,
    content_registry,
    datagram_order,
    limit_broadcast,
    limit_registry,
    pace_broadcast,
    standing_alarms,
)
from spoolhead._internal.utils import endpoints

REPORTER_EXPIRY_S = 1.6
"""Silence of a reporter after which its load no longer counts: six lost reports in a row."""
HUB_EXPIRY_S = 1.0
"""Silence of a hub after which its totals no longer count. Its reporters look for another hub after
a third of that time and are counted twice until then; with a shorter expiry, load behind a
partition between hubs would seem to have ended."""
MIN_SNAPSHOT_INTERVAL_S = 0.05
"""Minimum interval between two snapshots for one reporter; the previous one may be in transit."""
SEEN_ALARM_TTL_S = 10.0
"""Time for which a received alarm is stored as seen, longer than reports and hubs together repeat
an alarm."""


class Reporter:
    """An entry that reports to this hub.

    :ivar address: where its updates are sent.
    :ivar counted: sequence number of the report from it that the totals include.
    :ivar heard_s: monotonic time of its last report.
    :ivar rows: load in its last report.
    :ivar wants_snapshot: whether it lacks a snapshot.
    :ivar snapshot_sent_s: monotonic time at which a snapshot was last sent to it.
    """

    __slots__ = ("address", "counted", "heard_s", "rows", "snapshot_sent_s", "wants_snapshot")

    def __init__(self, address: endpoints.Endpoint) -> None:
        self.address = address
        self.counted = 0
        self.heard_s = 0.0
        self.rows: shared_load.LoadByInstance = {}
        self.wants_snapshot = True
        self.snapshot_sent_s = -math.inf


class _Row:
    """Load received from another hub, and the sequence number of the datagram."""

    __slots__ = ("load", "sequence")

    def __init__(self, load: shared_load.InstanceLoad, sequence: int) -> None:
        self.load = load
        self.sequence = sequence


class _PeerHub:
    """Another hub.

    :ivar address: where its datagrams come from.
    :ivar newest_sequence: highest sequence number of its datagrams.
    """

    __slots__ = ("address", "heard_s", "newest_sequence", "rows")

    def __init__(self, address: endpoints.Endpoint) -> None:
        self.address = address
        self.newest_sequence = 0
        self.heard_s = 0.0
        self.rows: dict[int, _Row] = {}


class LoadHub:
    """The hub of one process. Without reporters it sends nothing, but it still handles totals.

    :param name: the process's name.
    :param first_sequence: above every sequence number used before a restart.
    :param contents: the content records of the process; None to start without records.
    """

    def __init__(
        self,
        name: str,
        first_sequence: int,
        contents: content_registry.ContentRegistry | None = None,
    ) -> None:
        self._name = name
        self._sequence = first_sequence
        self._reporters: dict[str, Reporter] = {}
        self._hubs: dict[str, _PeerHub] = {}
        self._halls_heard_s: dict[str, float] = {}
        self._halls_reported_s: dict[str, float] = {}
        self._reporter_totals = changed_rows.ChangedRows()
        self._fleet_totals = changed_rows.ChangedRows()
        self._alarms_seen_s: dict[tuple[str, int], float] = {}
        self._standing_alarms = standing_alarms.StandingAlarms()
        self._alarms_to_hubs = alarm_broadcast.AlarmBroadcast(self._standing_alarms)
        self._alarms_to_reporters = alarm_broadcast.AlarmBroadcast(self._standing_alarms)
        self._contents = contents if contents is not None else content_registry.ContentRegistry()
        self._contents_to_hubs = content_registry.ContentBroadcast(self._contents)
        self._contents_to_reporters = content_registry.ContentBroadcast(self._contents)
        self._limits = limit_registry.LimitRegistry()
        self._limits_to_hubs = limit_broadcast.LimitBroadcast(self._limits)
        self._limits_to_reporters = limit_broadcast.LimitBroadcast(self._limits)
        self._paces = pace_broadcast.HubPaces()

    @property
    def reporters(self) -> Iterable[Reporter]:
        """The entries that receive updates."""
        return self._reporters.values()

    @property
    def is_idle(self) -> bool:
        """Whether there are no reporters to send updates to."""
        return not self._reporters

    @property
    def has_unsent_totals(self) -> bool:
        """Whether any data is left to send to the other hubs."""
        has_rows = self._reporter_totals.has_changes or self._alarms_to_hubs.has_pending
        return has_rows or self._contents_to_hubs.has_pending or self._limits_to_hubs.has_pending

    @property
    def has_unsent_updates(self) -> bool:
        """Whether any data is left to send to the reporters."""
        has_rows = self._fleet_totals.has_changes or self._alarms_to_reporters.has_pending
        return (
            has_rows
            or self._contents_to_reporters.has_pending
            or self._limits_to_reporters.has_pending
        )

    @property
    def has_urgent_updates(self) -> bool:
        """Whether an alarm, content record or limit is unsent, which must be sent at once."""
        has_alarms = self._alarms_to_reporters.has_new
        has_limits = self._limits_to_reporters.has_new
        return has_alarms or has_limits or self._contents_to_reporters.has_new

    def get_hub_addresses(self) -> list[endpoints.Endpoint]:
        """Return the addresses of the other hubs that are not silent."""
        return [hub.address for hub in self._hubs.values()]

    def handle_report(
        self, report: shared_load.Report, address: endpoints.Endpoint, now_s: float
    ) -> bool:
        """Handle a report of an entry.

        :param address: where it came from.
        :returns: whether the entry is new here or has restarted.
        """
        self._halls_heard_s[report.hall] = now_s
        known = self._reporters.get(report.sender)
        if known is not None and datagram_order.is_late(report.sequence, known.counted):
            return False
        if not report.is_reporter:
            self._remove_reporter(report.sender)
            return False
        is_new = known is None or datagram_order.is_restarted(report.sequence, known.counted)
        reporter = known
        if reporter is None:
            reporter = self._reporters[report.sender] = Reporter(address)
        reporter.address = address
        reporter.heard_s = now_s
        reporter.counted = report.sequence
        reporter.wants_snapshot = is_new or report.wants_snapshot
        self._replace_rows(reporter.rows, report.rows)
        reporter.rows = report.rows
        for alarm in self._handle_alarms(report.alarms, now_s):
            self._alarms_to_hubs.add(alarm, now_s)
        for content_id in self._handle_contents(report.contents, now_s):
            self._contents_to_hubs.record_changed(content_id)
        self._contents_to_reporters.record_digest(report.sender, report.contents.digest, now_s)
        changed_limits = self._limits.merge(report.limits, now_s)
        self._limits_to_hubs.add(changed_limits, now_s)
        self._limits_to_reporters.add(changed_limits, now_s)
        self._paces.handle_report(report.paces, now_s)
        return is_new

    def handle_totals(
        self, totals: shared_load.Totals, address: endpoints.Endpoint, now_s: float
    ) -> None:
        """Handle the totals of another hub."""
        if totals.hub == self._name:
            return
        hub = self._hubs.get(totals.hub)
        if hub is None or datagram_order.is_restarted(totals.sequence, hub.newest_sequence):
            self._resend_to_new_hub(now_s)
        if hub is None:
            hub = self._hubs[totals.hub] = _PeerHub(address)
        if datagram_order.is_sequence_reset(totals.sequence, hub.newest_sequence):
            self._remove_rows(hub)
            hub.newest_sequence = 0
        hub.newest_sequence = max(hub.newest_sequence, totals.sequence)
        hub.address = address
        hub.heard_s = now_s
        for key, load in totals.rows.items():
            self._handle_row(hub, key, load, totals.sequence)
        for age in totals.ages:
            heard_s = now_s - age.age_ms / 1000
            self._halls_reported_s[age.hall] = max(
                self._halls_reported_s.get(age.hall, heard_s), heard_s
            )
        self._handle_alarms(totals.alarms, now_s)
        self._handle_contents(totals.contents, now_s)
        self._contents_to_hubs.record_digest(totals.hub, totals.contents.digest, now_s)
        changed_limits = self._limits.merge(totals.limits, now_s)
        self._limits_to_reporters.add(changed_limits, now_s)
        self._paces.handle_totals(totals.paces, now_s)

    def expire_silent(self, now_s: float) -> None:
        """Remove silent reporters and hubs, and expired limits, paces and alarms."""
        self._limits.expire(now_s)
        self._paces.expire(now_s)
        self._standing_alarms.expire(now_s)
        for name, reporter in list(self._reporters.items()):
            if now_s - reporter.heard_s > REPORTER_EXPIRY_S:
                self._remove_reporter(name)
        for name, hub in list(self._hubs.items()):
            if now_s - hub.heard_s > HUB_EXPIRY_S:
                del self._hubs[name]
                self._contents_to_hubs.remove_peer(name)
                self._remove_rows(hub)
        self._alarms_seen_s = {
            alarm: seen_s
            for alarm, seen_s in self._alarms_seen_s.items()
            if now_s - seen_s <= SEEN_ALARM_TTL_S
        }

    def discard_pending(self, now_s: float) -> None:
        """Expire old state and discard everything pending, as there are no reporters."""
        self.expire_silent(now_s)
        self._reporter_totals.pop_batch()
        self._fleet_totals.pop_batch()
        self._alarms_to_hubs.clear()
        self._alarms_to_reporters.clear()
        self._contents_to_hubs.clear()
        self._contents_to_reporters.clear()
        self._limits_to_hubs.clear()
        self._limits_to_reporters.clear()
        self._paces.clear_pending()

    def make_totals(self, now_s: float) -> shared_load.Totals:
        """Return the next datagram for the other hubs."""
        self._sequence += 1
        return shared_load.Totals(
            hub=self._name,
            sequence=self._sequence,
            rows=self._reporter_totals.pop_batch(),
            ages=_get_ages(self._halls_heard_s, now_s),
            alarms=self._alarms_to_hubs.pop_batch(now_s),
            contents=self._make_contents(self._contents_to_hubs, now_s),
            limits=self._limits_to_hubs.pop_batch(now_s),
            paces=self._paces.to_hubs.pop_batch(now_s),
        )

    def make_update(self, now_s: float) -> shared_load.Update:
        """Return the next datagram for the reporters."""
        rows = self._fleet_totals.pop_batch()
        contents = self._make_contents(self._contents_to_reporters, now_s)
        alarms = self._alarms_to_reporters.pop_batch(now_s)
        limits = self._limits_to_reporters.pop_batch(now_s)
        update = self._make_update(rows, alarms, contents, limits, now_s)
        update.paces = self._paces.to_reporters.pop_batch(now_s)
        return update

    def make_due_snapshot(self, name: str, now_s: float) -> shared_load.Update | None:
        """Return the snapshot for a reporter that lacks one, or None if none is due."""
        reporter = self._reporters.get(name)
        if reporter is None or not reporter.wants_snapshot:
            return None
        if now_s - reporter.snapshot_sent_s < MIN_SNAPSHOT_INTERVAL_S:
            return None
        reporter.snapshot_sent_s = now_s
        update = self.make_snapshot(now_s)
        update.counted = reporter.counted
        return update

    def make_snapshot(self, now_s: float) -> shared_load.Update:
        """Return the load of the whole fleet, all standing alarms, known limits and paces.

        It includes only the most severe content records, since the entry may serve requests at
        once; the others follow with the next full sync for all reporters. So do the paces for
        which a datagram has no room, at the rate of other paces.
        """
        content_ids = self._contents.get_most_severe(content_registry.MAX_RECORDS_PER_DATAGRAM)
        records = self._contents.get_all_aged(content_ids, now_s)
        contents = shared_load.ContentUpdate(records, self._contents.digest)
        limits = self._limits.get_all_aged(now_s)
        alarms = self._standing_alarms.get_all(now_s)
        update = self._make_update(self._fleet_totals.get_all(), alarms, contents, limits, now_s)
        update.is_snapshot = True
        free_bytes = shared_load.MAX_DATAGRAM_BYTES - len(shared_load.encode_update(update))
        update.paces = self._paces.get_for_snapshot(free_bytes, now_s)
        return update

    def _make_update(
        self,
        rows: shared_load.LoadByInstance,
        alarms: list[shared_load.Alarm],
        contents: shared_load.ContentUpdate,
        limits: list[rate_limit.AgedLimit],
        now_s: float,
    ) -> shared_load.Update:
        self._sequence += 1
        heard_s = dict(self._halls_reported_s)
        for hall, direct_s in self._halls_heard_s.items():
            heard_s[hall] = max(direct_s, heard_s.get(hall, direct_s))
        return shared_load.Update(
            hub=self._name,
            sequence=self._sequence,
            rows=rows,
            ages=_get_ages(heard_s, now_s),
            alarms=alarms,
            contents=contents,
            limits=limits,
        )

    def _make_contents(
        self, broadcast: content_registry.ContentBroadcast, now_s: float
    ) -> shared_load.ContentUpdate:
        return shared_load.ContentUpdate(broadcast.pop_batch(now_s), self._contents.digest)

    def _handle_contents(self, contents: shared_load.ContentUpdate, now_s: float) -> list[bytes]:
        """Merge the content records of a process; return the ids of the changed contents."""
        changed = self._contents.merge(contents.records, now_s)
        changed_ids = [record.content_id for record in changed]
        for content_id in changed_ids:
            self._contents_to_reporters.record_changed(content_id)
        return changed_ids

    def _resend_to_new_hub(self, now_s: float) -> None:
        """Schedule limits, paces and standing alarms for the hubs: a new hub may know none."""
        self._paces.resend_to_hubs()
        self._limits_to_hubs.add(self._limits.get_keys(), now_s)
        self._alarms_to_hubs.send_again(self._standing_alarms.get_names(), now_s)

    def _handle_row(
        self, hub: _PeerHub, key: int, load: shared_load.InstanceLoad, sequence: int
    ) -> None:
        row = hub.rows.get(key)
        if row is not None and sequence <= row.sequence:
            return
        self._fleet_totals.replace(key, row.load if row is not None else None, load)
        if load:
            hub.rows[key] = _Row(load, sequence)
        else:
            hub.rows.pop(key, None)

    def _replace_rows(
        self, old: shared_load.LoadByInstance, new: shared_load.LoadByInstance
    ) -> None:
        for key in old.keys() | new.keys():
            before = old.get(key)
            after = new.get(key) or shared_load.InstanceLoad()
            self._reporter_totals.replace(key, before, after)
            self._fleet_totals.replace(key, before, after)

    def _remove_rows(self, hub: _PeerHub) -> None:
        for key, row in hub.rows.items():
            self._fleet_totals.add(key, row.load, -1)
        hub.rows.clear()

    def _remove_reporter(self, name: str) -> None:
        reporter = self._reporters.pop(name, None)
        self._contents_to_reporters.remove_peer(name)
        if reporter is not None:
            self._replace_rows(reporter.rows, {})

    def _handle_alarms(
        self, alarms: Iterable[shared_load.Alarm], now_s: float
    ) -> list[shared_load.Alarm]:
        """Schedule new alarms for the reporters, and return them; known alarms are ignored."""
        new = []
        for alarm in alarms:
            name = (alarm.reporter, alarm.sequence)
            if name in self._alarms_seen_s or self._standing_alarms.has(alarm):
                continue
            self._alarms_seen_s[name] = now_s
            self._standing_alarms.record(alarm, now_s)
            self._alarms_to_reporters.add(alarm, now_s)
            new.append(alarm)
        return new


def _get_ages(heard_s: dict[str, float], now_s: float) -> list[shared_load.HallAge]:
    return [
        shared_load.HallAge(hall, int((now_s - heard) * 1000))
        for hall, heard in sorted(heard_s.items())
    ]
