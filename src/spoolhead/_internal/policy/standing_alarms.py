"""Stores alarms that stay in force for some time.

Performs no I/O; the current time is passed in.

An alarm is sent when it is raised. Entries that start later or missed it are sent the stored alarm.
"""

import math
from collections.abc import Iterable

from spoolhead._internal.models import shared_load

LEAVING_TTL_S = 30.0
"""Time for which an instance is reported as leaving, far longer than the instance list lags."""
MAX_ALARMS = 64
"""Maximum number of stored alarms, the newest ones; a new reporter gets all in one datagram."""
STANDING_KINDS = frozenset(
    {shared_load.AlarmKind.COLD, shared_load.AlarmKind.RESTING, shared_load.AlarmKind.LEAVING}
)
"""Kinds that stay in force for a time stated by the instance, or until it terminates."""

AlarmName = tuple[str, shared_load.AlarmKind, str]
"""Identifies the alarms of one kind that one entry raised about one instance."""


class _StandingAlarm:
    """An alarm and the time until which it is in force."""

    __slots__ = ("alarm", "until_s")

    def __init__(self, alarm: shared_load.Alarm, until_s: float) -> None:
        self.alarm = alarm
        self.until_s = until_s


class StandingAlarms:
    """The newest alarm in force of each kind, instance and reporting entry."""

    __slots__ = ("_standing",)

    def __init__(self) -> None:
        self._standing: dict[AlarmName, _StandingAlarm] = {}

    def record(self, alarm: shared_load.Alarm, now_s: float) -> None:
        """Store an alarm if its kind stays in force for some time."""
        if alarm.kind not in STANDING_KINDS:
            return
        name = get_name(alarm)
        known = self._standing.pop(name, None)
        if known is not None and known.alarm.sequence > alarm.sequence:
            self._standing[name] = known
            return
        self._standing[name] = _StandingAlarm(alarm, now_s + _get_ttl_s(alarm))
        if len(self._standing) > MAX_ALARMS:
            del self._standing[next(iter(self._standing))]

    def remove(self, alarm: shared_load.Alarm) -> None:
        """Remove an alarm."""
        self._standing.pop(get_name(alarm), None)

    def has(self, alarm: shared_load.Alarm) -> bool:
        """Return whether exactly this alarm is stored, not an earlier or later one of its name."""
        known = self._standing.get(get_name(alarm))
        return known is not None and known.alarm.sequence == alarm.sequence

    def get_names(self) -> list[AlarmName]:
        """Return the names of all alarms."""
        return list(self._standing)

    def get(self, names: Iterable[AlarmName], now_s: float) -> list[shared_load.Alarm]:
        """Return the named alarms that are still in force, each with its remaining time."""
        standing = [self._standing[name] for name in names if name in self._standing]
        return [_make_remaining(item, now_s) for item in standing if now_s < item.until_s]

    def get_all(self, now_s: float) -> list[shared_load.Alarm]:
        """Return the alarms that are still in force, each with their remaining time."""
        return self.get(self._standing, now_s)

    def expire(self, now_s: float) -> None:
        """Remove the alarms that are no longer in force."""
        for name, item in list(self._standing.items()):
            if now_s >= item.until_s:
                del self._standing[name]


def get_name(alarm: shared_load.Alarm) -> AlarmName:
    """Return the name under which an alarm is stored; a newer one of the same name replaces it."""
    return alarm.incarnation_id, alarm.kind, alarm.reporter


def _get_ttl_s(alarm: shared_load.Alarm) -> float:
    if alarm.kind is shared_load.AlarmKind.LEAVING:
        return LEAVING_TTL_S
    return alarm.for_ms / 1000


def _make_remaining(item: _StandingAlarm, now_s: float) -> shared_load.Alarm:
    alarm = item.alarm
    remaining_ms = 0 if alarm.for_ms == 0 else math.ceil((item.until_s - now_s) * 1000)
    return shared_load.Alarm(
        alarm.incarnation_id,
        alarm.kind,
        reporter=alarm.reporter,
        sequence=alarm.sequence,
        for_ms=remaining_ms,
    )
