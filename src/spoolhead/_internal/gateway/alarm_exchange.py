"""Sends this entry's alarms about instances in its reports and applies those of other entries."""

import logging
from collections.abc import Callable, Iterable

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import standing_alarms, upstream_registry

logger = logging.getLogger(__name__)

ALARM_RETENTION_S = 0.5
"""Time for which each report repeats an alarm, so that it survives a lost datagram or the loss of
the hub at the same time."""
STANDING_ALARM_RETENTION_S = 4.0
"""The same for alarms that stay in force for some time, which must also survive a short network
partition."""
FAILURE_REPORT_INTERVAL_S = 0.3
"""Minimum interval between two alarms about lost requests at one instance. The first ejection of an
instance lasts 0.5 s."""
MAX_REPORTED_FAILURES = 1_000
"""Maximum number of instances for which the time of the last such alarm is stored."""
HANDLED_ALARM_TTL_S = 10.0
"""Time for which repetitions of a handled alarm are ignored; longer than reports and hubs together
repeat it."""

_TERMINATION_KINDS = (shared_load.AlarmKind.ENDED, shared_load.AlarmKind.REPLACED)


class _RaisedAlarm:
    """An alarm that this entry raised.

    :ivar until_s: monotonic time until which reports carry the alarm.
    """

    __slots__ = ("_alarm", "_raised_s", "until_s")

    def __init__(self, alarm: shared_load.Alarm, raised_s: float) -> None:
        self._alarm = alarm
        self._raised_s = raised_s
        self.until_s = raised_s + _get_retention_s(alarm)

    def make_current(self, now_s: float) -> shared_load.Alarm:
        """Return the alarm with the remaining time for which it is in force."""
        alarm = self._alarm
        if not alarm.for_ms:
            return alarm
        remaining_ms = alarm.for_ms - int((now_s - self._raised_s) * 1000)
        return shared_load.Alarm(
            alarm.incarnation_id,
            alarm.kind,
            reporter=alarm.reporter,
            sequence=alarm.sequence,
            for_ms=max(0, remaining_ms),
        )


def _get_retention_s(alarm: shared_load.Alarm) -> float:
    """Return the time for which reports carry an alarm; never longer than it is in force."""
    if alarm.kind not in standing_alarms.STANDING_KINDS:
        return ALARM_RETENTION_S
    return (
        min(STANDING_ALARM_RETENTION_S, alarm.for_ms / 1000)
        if alarm.for_ms
        else STANDING_ALARM_RETENTION_S
    )


class AlarmExchange:
    """Raises the alarms of one entry and handles those of all others.

    :param name: the entry's name.
    :param first_sequence: greater than every sequence number that a previous incarnation of the
        entry used.
    :param registry: the known instances.
    :param on_alarm: called with an instance that another entry reported unhealthy or leaving.
    :param on_terminated: called with the incarnation id of an instance that another entry reported
        as terminated, and with the evidence for it.
    """

    def __init__(
        self,
        name: str,
        first_sequence: int,
        registry: upstream_registry.UpstreamRegistry,
        on_alarm: Callable[[upstream_registry.Upstream], None],
        on_terminated: Callable[[str, str], None],
    ) -> None:
        self._name = name
        self._first_sequence = first_sequence
        self._sequence = first_sequence
        self._registry = registry
        self._on_alarm = on_alarm
        self._on_terminated = on_terminated
        self._raised: list[_RaisedAlarm] = []
        self._reported_failure_s: dict[str, float] = {}
        self._unlisted = standing_alarms.StandingAlarms()
        self._handled_s: dict[tuple[str, int], float] = {}

    def raise_alarm(
        self, incarnation_id: str, kind: shared_load.AlarmKind, now_s: float, *, for_ms: int = 0
    ) -> None:
        """Include an alarm in the next reports, which reach all other entries.

        :param for_ms: time for which the alarm is in force; 0 if it has no such time.
        """
        self._sequence += 1
        alarm = shared_load.Alarm(
            incarnation_id, kind, reporter=self._name, sequence=self._sequence, for_ms=for_ms
        )
        self._raised.append(_RaisedAlarm(alarm, now_s))

    def is_failure_due(self, incarnation_id: str, now_s: float) -> bool:
        """Return whether an alarm about a lost request is due, and record its time if so."""
        if now_s - self._reported_failure_s.get(incarnation_id, 0.0) < FAILURE_REPORT_INTERVAL_S:
            return False
        if len(self._reported_failure_s) > MAX_REPORTED_FAILURES:
            self._reported_failure_s.clear()
        self._reported_failure_s[incarnation_id] = now_s
        return True

    def get_raised(self, now_s: float) -> list[shared_load.Alarm]:
        """Return the alarms that a report sent now must carry."""
        self._raised = [item for item in self._raised if now_s <= item.until_s]
        return [item.make_current(now_s) for item in self._raised]

    def handle_alarms(self, alarms: Iterable[shared_load.Alarm], now_s: float) -> None:
        """Apply alarms of other entries; each alarm counts once, however often it arrives."""
        for alarm in alarms:
            alarm_id = (alarm.reporter, alarm.sequence)
            if self._is_from_this_incarnation(alarm) or alarm_id in self._handled_s:
                continue
            self._handled_s[alarm_id] = now_s
            self._handle_new(alarm, now_s)

    def handle_list_change(self, now_s: float) -> None:
        """Apply alarms that arrived before their instances were listed, and expire old records."""
        self._handled_s = {
            alarm_id: handled_s
            for alarm_id, handled_s in self._handled_s.items()
            if now_s - handled_s <= HANDLED_ALARM_TTL_S
        }
        for alarm in self._unlisted.get_all(now_s):
            if self._registry.get(alarm.incarnation_id) is not None:
                self._unlisted.remove(alarm)
                self._handle_new(alarm, now_s)

    def _handle_new(self, alarm: shared_load.Alarm, now_s: float) -> None:
        if alarm.kind in _TERMINATION_KINDS:
            self._on_terminated(alarm.incarnation_id, f"reported by {alarm.reporter}")
        if alarm.kind is shared_load.AlarmKind.ENDED:
            return
        upstream = self._registry.get(alarm.incarnation_id)
        if upstream is None:
            self._unlisted.record(alarm, now_s)
        elif not upstream.is_leaving:
            self._apply_alarm(alarm, upstream, now_s)

    def _is_from_this_incarnation(self, alarm: shared_load.Alarm) -> bool:
        """Return whether this incarnation of the entry raised an alarm.

        Alarms of a previous incarnation under the same name are handled like those of others.
        """
        return alarm.reporter == self._name and alarm.sequence > self._first_sequence

    def _apply_alarm(
        self, alarm: shared_load.Alarm, upstream: upstream_registry.Upstream, now_s: float
    ) -> None:
        fields = {"upstream": alarm.incarnation_id, "told_by": alarm.reporter}
        match alarm.kind:
            case shared_load.AlarmKind.LOST_REQUEST:
                if upstream.record_peer_failure(alarm.reporter, now_s):
                    fields = {
                        "upstream": alarm.incarnation_id,
                        "reason": f"reported by {alarm.reporter}",
                    }
                    logger.warning("upstream ejected", extra={"fields": fields})
            case shared_load.AlarmKind.COLD:
                if upstream.record_cold(alarm.for_ms, now_s):
                    cold_fields = {**fields, "for_ms": alarm.for_ms}
                    logger.info("upstream is cold", extra={"fields": cold_fields})
            case shared_load.AlarmKind.LEAVING:
                if upstream.record_announced_leaving():
                    leaving_fields = {
                        "upstream": alarm.incarnation_id,
                        "reported_by": alarm.reporter,
                    }
                    logger.info(
                        "upstream announced that it leaves", extra={"fields": leaving_fields}
                    )
                    self._on_alarm(upstream)
            case shared_load.AlarmKind.RESTING:
                self._handle_rest(alarm, upstream, now_s)
                rest_fields = {"upstream": alarm.incarnation_id, "for_ms": alarm.for_ms}
                rest_fields["reported_by"] = alarm.reporter
                logger.info("upstream asked for rest", extra={"fields": rest_fields})
            case shared_load.AlarmKind.REPLACED:
                if upstream.record_replaced(now_s):
                    logger.info("peer reported upstream replaced", extra={"fields": fields})
            case _:
                if upstream.raise_alarm(now_s, alarm.kind):
                    alarm_fields = {**fields, "kind": alarm.kind.name.lower()}
                    logger.info("peer reported upstream unhealthy", extra={"fields": alarm_fields})
                    self._on_alarm(upstream)

    def _handle_rest(
        self, alarm: shared_load.Alarm, upstream: upstream_registry.Upstream, now_s: float
    ) -> None:
        if alarm.reporter == self._name:
            upstream.rest.record(alarm.for_ms, now_s)
        else:
            upstream.rest.record_report(alarm.reporter, alarm.for_ms, now_s)
