"""Which alarms a hub still has to pass on; no I/O, time passed in."""

from collections.abc import Iterable

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import repeats, standing_alarms

SEND_COUNT = 3
"""Datagrams in a row that carry an alarm: at one lost in ten, one alarm in a thousand is lost."""
MAX_REPEATS_PER_DATAGRAM = 8
"""Most alarms that one datagram repeats."""


class _PendingAlarm:
    """An alarm and how often it is still to be sent."""

    __slots__ = ("alarm", "sends_left")

    def __init__(self, alarm: shared_load.Alarm) -> None:
        self.alarm = alarm
        self.sends_left = SEND_COUNT


class AlarmBroadcast:
    """The alarms that one side of a hub has not been sent yet, or is sent again.

    :param standing: alarms that hold for a time; only these are repeated.
    """

    __slots__ = ("_pending", "_repeats", "_standing")

    def __init__(self, standing: standing_alarms.StandingAlarms) -> None:
        self._standing = standing
        self._pending: list[_PendingAlarm] = []
        self._repeats: repeats.Repeats[standing_alarms.AlarmName] = repeats.Repeats()

    @property
    def has_new(self) -> bool:
        """Whether an alarm has not been sent at all."""
        return any(item.sends_left == SEND_COUNT for item in self._pending)

    @property
    def has_pending(self) -> bool:
        """Whether anything is left to send that must not wait for the next datagram."""
        return bool(self._pending)

    def add(self, alarm: shared_load.Alarm, now_s: float) -> None:
        """Have an alarm sent."""
        self._pending.append(_PendingAlarm(alarm))
        if alarm.kind in standing_alarms.KEPT_KINDS:
            self._repeats.add([standing_alarms.get_name(alarm)], now_s)

    def send_again(self, names: Iterable[standing_alarms.AlarmName], now_s: float) -> None:
        """Have alarms that were sent before sent again."""
        self._repeats.add_due(names, now_s)

    def pop_batch(self, now_s: float) -> list[shared_load.Alarm]:
        """Return what is sent next, and count it as sent."""
        alarms = [item.alarm for item in self._pending]
        for item in self._pending:
            item.sends_left -= 1
        self._pending = [item for item in self._pending if item.sends_left]
        names = self._repeats.pop_due(MAX_REPEATS_PER_DATAGRAM, now_s)
        return alarms + self._standing.get(names, now_s)

    def clear(self) -> None:
        """Forget what was to be sent: nobody is there to get it."""
        self._pending.clear()
        self._repeats.clear()
