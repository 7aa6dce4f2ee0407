"""Stores which keys of requests are known not to crash the instances that run them.

Performs no I/O; the current time is passed in.

A run shows that a key is harmless if its instance answered anything some time after the answer of
the run began. The end of that answer alone shows nothing: a short one may be complete before its
instance crashes.

Instances crash for other reasons, too, with many keys in flight. A key that was harmless until
shortly before is presumed to be harmless for some time, until newer runs show whether it still is.
The presumption ends, since a part of a prompt may begin to crash instances, for example after an
update of the model.
"""

import collections
import math

SETTLE_S = 0.5
"""Time after the beginning of an answer by which its request has crashed the instance, if it does
so because of a part of its prompt or soon after its beginning."""
PROOF_TTL_S = 60.0
"""Age up to which a run shows that a key is harmless."""
PRESUMED_S = 2.0
"""Time after the first crash of a series for which older runs still count."""
PRESUMED_CRASHES = 2
"""Crashes of a series for which older runs count at any time: in a series of crashes for other
reasons, a key in little use may be in flight at two of them without a newer run."""
PROOF_WAIT_S = 2.0
"""Time for which a run is not replaced by newer ones while an answer of its instance is awaited. If
each run replaced the one before, a key that is always in use would never be proved."""
SERIES_GAP_S = 60.0
"""Time without a crash after which the next one begins a new series."""
MAX_KEYS = 10_000
"""Maximum number of keys for which runs are stored."""
MAX_INSTANCES = 5_000
"""Maximum number of incarnations for which the time of the latest answer is stored."""


class _KnownRun:
    """The latest run of a key, or one whose instance is about to answer again.

    :ivar incarnation_id: incarnation of its instance.
    :ivar begun_s: time at which its answer began.
    :ivar proved_s: time at which the answer of the latest run began that showed the key to be
        harmless; minus infinity without one.
    """

    __slots__ = ("begun_s", "incarnation_id", "proved_s")

    def __init__(self, incarnation_id: str, begun_s: float, proved_s: float) -> None:
        self.incarnation_id = incarnation_id
        self.begun_s = begun_s
        self.proved_s = proved_s


class UnprovedRun:
    """A run whose instance has not answered since.

    :ivar incarnation_id: incarnation of its instance.
    :ivar due_s: time from which an answer of the instance shows that the run did not crash it.
    """

    __slots__ = ("due_s", "incarnation_id")

    def __init__(self, incarnation_id: str, due_s: float) -> None:
        self.incarnation_id = incarnation_id
        self.due_s = due_s


class _Series:
    """Successive crashes with a key in flight."""

    __slots__ = ("first_s", "last_s")

    def __init__(self, first_s: float) -> None:
        self.first_s = first_s
        self.last_s = first_s


class SoundRuns:
    """The runs of one entry, by key."""

    def __init__(self) -> None:
        self._runs: collections.OrderedDict[bytes, _KnownRun] = collections.OrderedDict()
        self._last_answer_s: collections.OrderedDict[str, float] = collections.OrderedDict()
        self._series: collections.OrderedDict[bytes, _Series] = collections.OrderedDict()

    def record_run(self, key: bytes, incarnation_id: str, begun_s: float) -> None:
        """Record a run whose answer was complete or has gone on.

        :param begun_s: time at which the answer began.
        """
        proved_s = self._get_proved_s(key)
        known = self._runs.get(key)
        is_proved = self._last_answer_s.get(incarnation_id, -math.inf) >= begun_s + SETTLE_S
        is_awaited = known is not None and known.begun_s > max(proved_s, begun_s - PROOF_WAIT_S)
        if is_proved or not is_awaited:
            self._runs[key] = _KnownRun(incarnation_id, begun_s, proved_s)
        self._runs.move_to_end(key)
        if len(self._runs) > MAX_KEYS:
            self._runs.popitem(last=False)

    def record_instance_answer(self, incarnation_id: str, now_s: float) -> None:
        """Record that an incarnation of an instance has answered."""
        self._last_answer_s[incarnation_id] = now_s
        if len(self._last_answer_s) > MAX_INSTANCES:
            self._last_answer_s.popitem(last=False)

    def record_crash(self, key: bytes, now_s: float) -> None:
        """Record that an instance has crashed with a key in flight."""
        series = self._series.get(key)
        is_over = series is not None and (
            now_s - series.last_s > SERIES_GAP_S or self._get_proved_s(key) >= series.first_s
        )
        if series is None or is_over:
            self._series[key] = _Series(now_s)
            self._series.move_to_end(key)
        else:
            series.last_s = now_s
        if len(self._series) > MAX_KEYS:
            self._series.popitem(last=False)

    def end_series(self, key: bytes) -> None:
        """Record that a key was shown to be harmless; its next crash begins a new series."""
        self._series.pop(key, None)

    def is_harmless(self, key: bytes, now_s: float) -> bool:
        """Return whether a run shows that a key is harmless: one since the first crash, if any."""
        proved_s = self._get_proved_s(key)
        series = self._series.get(key)
        if series is None:
            return now_s - proved_s <= PROOF_TTL_S
        return proved_s >= series.first_s

    def is_presumed_harmless(self, key: bytes, now_s: float, *, crashes: int) -> bool:
        """Return whether a key is not held yet, since it was harmless shortly before.

        :param crashes: number of crashes of its series.
        """
        series = self._series.get(key)
        if series is None or not self._was_harmless_before(key, series):
            return False
        return crashes <= PRESUMED_CRASHES or now_s - series.first_s <= PRESUMED_S

    def was_harmless(self, key: bytes) -> bool:
        """Return whether a key was harmless shortly before the first crash of its series."""
        series = self._series.get(key)
        return series is not None and self._was_harmless_before(key, series)

    def get_unproved(self, key: bytes) -> UnprovedRun | None:
        """Return the run of a key that may yet show the key to be harmless."""
        known = self._runs.get(key)
        if known is None or self._get_proved_s(key) >= known.begun_s:
            return None
        return UnprovedRun(known.incarnation_id, known.begun_s + SETTLE_S)

    def _was_harmless_before(self, key: bytes, series: _Series) -> bool:
        return series.first_s - self._get_proved_s(key) <= PROOF_TTL_S

    def _get_proved_s(self, key: bytes) -> float:
        known = self._runs.get(key)
        if known is None:
            return -math.inf
        last_answer_s = self._last_answer_s.get(known.incarnation_id, -math.inf)
        if last_answer_s >= known.begun_s + SETTLE_S:
            known.proved_s = known.begun_s
        return known.proved_s
