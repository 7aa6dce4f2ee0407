"""Estimates the pace of one instance from the figures that it states and from measurements.

Performs no I/O; the current time is passed in. A factor is the time that work takes relative to
the usual time: 1.0 as usual, 0.5 in half the time.
"""

import collections
import enum

from spoolhead._internal.models import instance_pace
from spoolhead._internal.policy import slow_periods as slow_periods_module

USUAL_FACTOR = 1.0
MIN_FACTOR = 0.25
"""Quickest pace that is used, whatever an instance states."""
MAX_FACTOR = 10.0
"""Slowest pace that is used, whatever an instance states."""
WINDOW_S = 5.0
"""Age up to which stated figures count for the typical pace, if there are enough of them."""
MAX_WINDOW_S = 30.0
"""Age up to which they count if there are too few."""
MIN_FIGURE_INTERVAL_S = 0.1
"""Minimum interval between two figures that count; of those closer together the first counts."""
MAX_FIGURES = 50
"""Maximum number of figures stored per instance."""
MIN_FIGURES = 10
"""Figures from which the typical pace is settled, so that it is preferred to a reported one."""
TYPICAL_QUANTILE = 0.25
"""Quantile of the figures that is the typical pace."""
FIGURE_TTL_S = 0.6
"""Age from which a figure no longer counts for the current pace; its weight falls linearly."""
RETENTION_S = 600.0
"""Time after which a pace that was not confirmed expires."""
OVERRULE_RATIO = 2.0
"""Ratio of the measured to the stated pace from which the measured one is used."""
OVERRULE_TTL_S = 20.0
"""Time for which a measurement overrules the statements of an instance."""


class Source(enum.Enum):
    """Where the typical pace in use comes from."""

    UNKNOWN = "unknown"
    STATED = "stated"
    """The instance stated it in answers to this entry."""
    MEASURED = "measured"
    """This entry measured it in its own streams."""
    REPORTED = "reported"
    """Another entry reported it."""


class _Pace:
    """A typical pace and the monotonic time at which it was determined."""

    __slots__ = ("at_s", "factor", "source")

    def __init__(self, factor: float, at_s: float, source: Source) -> None:
        self.factor = factor
        self.at_s = at_s
        self.source = source


_UNKNOWN = _Pace(USUAL_FACTOR, 0.0, Source.UNKNOWN)


class PaceEstimate:
    """The pace of one instance, as this entry knows it.

    :ivar slow_periods: slow periods of the instances of its service.
    """

    __slots__ = (
        "_current",
        "_figures",
        "_measured",
        "_newest_factor",
        "_newest_s",
        "_reported",
        "_stated",
        "slow_periods",
    )

    def __init__(self) -> None:
        self.slow_periods = slow_periods_module.SlowPeriods()
        # Created on first use, since most instances state nothing.
        self._figures: collections.deque[tuple[float, float]] | None = None
        self._newest_factor = USUAL_FACTOR
        self._newest_s = 0.0
        self._stated: _Pace | None = None
        self._reported: _Pace | None = None
        self._measured: _Pace | None = None
        self._current = _UNKNOWN

    @property
    def is_known(self) -> bool:
        """Whether the instance's pace was stated or measured by any entry."""
        return self._current.source is not Source.UNKNOWN

    @property
    def source(self) -> Source:
        """Where the typical pace comes from."""
        return self._current.source

    @property
    def is_settled(self) -> bool:
        """Whether this entry has read enough figures to report the typical pace to others."""
        figures = self._figures
        if figures is None or len(figures) < MIN_FIGURES:
            return False
        return figures[-1][0] - figures[-MIN_FIGURES][0] <= WINDOW_S

    @property
    def is_overruled(self) -> bool:
        """Whether a measurement overrules what the instance states."""
        return self._current is self._measured and self._choose_stated() is not None

    @property
    def typical_factor(self) -> float:
        """The pace outside of short slow periods; :data:`USUAL_FACTOR` if unknown."""
        return self._current.factor

    @property
    def own_stated_factor(self) -> float | None:
        """The typical pace by this entry's figures alone; None without figures."""
        return self._stated.factor if self._stated is not None else None

    @property
    def stated_factor(self) -> float | None:
        """The typical pace by all entries' figures; None without figures."""
        stated = self._choose_stated()
        return stated.factor if stated is not None else None

    @property
    def slow_factor(self) -> float:
        """The pace in the instance's slow periods; at least the typical factor."""
        return self._current.factor * self.slow_periods.ratio

    def get_age_s(self, now_s: float) -> float:
        """Return the time since the typical pace was determined."""
        return now_s - self._current.at_s

    def get_current_factor(self, now_s: float) -> float:
        """Return the pace expected for work that begins now."""
        typical = self._current.factor
        if self._stated is None or self.is_overruled:
            return typical
        weight = max(0.0, 1.0 - max(0.0, now_s - self._newest_s) / FIGURE_TTL_S)
        return weight * self._newest_factor + (1.0 - weight) * typical

    def record_stated(self, percent: int, now_s: float) -> None:
        """Record a figure that the instance stated."""
        factor = _clamp(percent / instance_pace.USUAL_PERCENT)
        self._newest_factor = factor
        self._newest_s = now_s
        self.slow_periods.is_used = True
        if self._figures is None:
            self._figures = collections.deque(maxlen=MAX_FIGURES)
        self._expire_figures(now_s)
        if not self._figures or now_s - self._figures[-1][0] >= MIN_FIGURE_INTERVAL_S:
            self._figures.append((now_s, factor))
            self._stated = _Pace(self._compute_typical(), now_s, Source.STATED)
        self.update(now_s)
        if self.is_settled or self._current is not self._stated:
            self.slow_periods.record(self, factor / self._current.factor, now_s)

    def record_reported(
        self, percent: int, determined_s: float, now_s: float, *, is_measured: bool
    ) -> None:
        """Record the typical pace that another entry reported.

        :param determined_s: monotonic time at which that entry determined it.
        :param is_measured: whether it measured the pace, instead of reading it from answers.
        """
        pace = _Pace(_clamp(percent / instance_pace.USUAL_PERCENT), determined_s, Source.REPORTED)
        if not is_measured:
            self._reported = pace
            self.slow_periods.is_used = True
        elif self._measured is None or self._measured.at_s < determined_s:
            self._measured = pace
        self.update(now_s)

    def record_measured(self, factor: float, now_s: float) -> None:
        """Record the pace that this entry measured in its own streams."""
        self._measured = _Pace(_clamp(factor), now_s, Source.MEASURED)
        self.update(now_s)

    def update(self, now_s: float) -> None:
        """Determine the typical pace in use, without what has expired."""
        self._stated = _drop_old(self._stated, now_s)
        self._reported = _drop_old(self._reported, now_s)
        self._measured = _drop_old(self._measured, now_s)
        stated = self._choose_stated()
        measured = self._measured
        if measured is not None and _is_overruling(measured, stated, now_s):
            self._current = measured
        else:
            self._current = stated or _UNKNOWN

    def _choose_stated(self) -> _Pace | None:
        """Return the newer of the own and the reported pace; the own one only if it is settled."""
        own, reported = self._stated, self._reported
        if own is None or reported is None:
            return own or reported
        return own if self.is_settled and own.at_s >= reported.at_s else reported

    def _expire_figures(self, now_s: float) -> None:
        assert self._figures is not None
        while self._figures:
            has_enough = len(self._figures) >= MIN_FIGURES
            if now_s - self._figures[0][0] <= (WINDOW_S if has_enough else MAX_WINDOW_S):
                break
            self._figures.popleft()

    def _compute_typical(self) -> float:
        assert self._figures is not None
        factors = sorted(factor for _, factor in self._figures)
        return factors[int((len(factors) - 1) * TYPICAL_QUANTILE)]


def is_contradicting(measured_factor: float, stated_factor: float) -> bool:
    """Return whether a measured pace clearly contradicts a stated one."""
    return measured_factor >= stated_factor * OVERRULE_RATIO


def _is_overruling(measured: _Pace, stated: _Pace | None, now_s: float) -> bool:
    if stated is None:
        return True
    is_recent = now_s - measured.at_s <= OVERRULE_TTL_S
    return is_recent and is_contradicting(measured.factor, stated.factor)


def _drop_old(pace: _Pace | None, now_s: float) -> _Pace | None:
    return pace if pace is not None and now_s - pace.at_s <= RETENTION_S else None


def _clamp(factor: float) -> float:
    return min(max(factor, MIN_FACTOR), MAX_FACTOR)
