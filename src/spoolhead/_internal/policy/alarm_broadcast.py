"""Selects the alarms that a hub still has to send.

Performs no I/O; the current time is passed in.
"""

from collections.abc import Iterable

from spoolhead._internal.models import shared_load
from spoolhead._internal.policy import repeats, standing_alarms

SEND_COUNT = 3
"""Successive datagrams that carry an alarm: at a loss of one in ten, one alarm in a thousand is
lost."""
MAX_REPEATS_PER_DATAGRAM = 8
"""Maximum number of repeated alarms per datagram."""


class _PendingAlarm:
    """An alarm and the number of datagrams that must still carry it."""

    __slots__ = ("alarm", "sends_left")

    def __init__(self, alarm: shared_load.Alarm) -> None:
        self.alarm = alarm
        self.sends_left = SEND_COUNT


class AlarmBroadcast:
    """Alarms to be sent to one group of receivers, for the first time or again.

    :param standing: alarms that stay in force for some time; only these are repeated.
    """

    __slots__ = ("_pending", "_repeats", "_standing")

    def __init__(self, standing: standing_alarms.StandingAlarms) -> None:
        self._standing = standing
        self._pending: list[_PendingAlarm] = []
        self._repeats: repeats.Repeats[standing_alarms.AlarmName] = repeats.Repeats()

    @property
    def has_new(self) -> bool:
        """Whether any alarm has not been sent yet."""
        return any(item.sends_left == SEND_COUNT for item in self._pending)

    @property
    def has_pending(self) -> bool:
        """Whether any alarm is left to send, apart from repetitions, which cause no datagram."""
        return bool(self._pending)

    def add(self, alarm: shared_load.Alarm, now_s: float) -> None:
        """Schedule an alarm to be sent."""
        self._pending.append(_PendingAlarm(alarm))
        if alarm.kind in standing_alarms.STANDING_KINDS:
            self._repeats.add([standing_alarms.get_name(alarm)], now_s)

    def send_again(self, names: Iterable[standing_alarms.AlarmName], now_s: float) -> None:
        """Schedule previously sent alarms to be sent again."""
        self._repeats.add_due(names, now_s)

    def pop_batch(self, now_s: float) -> list[shared_load.Alarm]:
        """Return the alarms to send next, and count them as sent."""
        alarms = [item.alarm for item in self._pending]
        for item in self._pending:
            item.sends_left -= 1
        self._pending = [item for item in self._pending if item.sends_left]
        names = self._repeats.pop_due(MAX_REPEATS_PER_DATAGRAM, now_s)
        return alarms + self._standing.get(names, now_s)

    def clear(self) -> None:
        """Discard pending alarms, as there is no receiver."""
        self._pending.clear()
        self._repeats.clear()
