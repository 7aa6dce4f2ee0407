"""Lengths of the answers of each route, which all entries share by rows in their reports."""

import collections
from collections.abc import Callable
from typing import Protocol

from spoolhead._internal.models import queue_rows, shared_load
from spoolhead._internal.policy import length_estimate


class MeasuredRun(Protocol):
    """A run whose answer is counted."""

    @property
    def generated_tokens(self) -> int:
        """Tokens that it has generated so far."""


class AnswerLengths:
    """Answers that this entry forwards, and those that other entries report.

    :param get_other_load: returns the load that other entries publish under a key.
    """

    def __init__(self, get_other_load: Callable[[int], shared_load.InstanceLoad | None]) -> None:
        self._get_other_load = get_other_load
        self._ended: dict[str, length_estimate.RouteLengths] = collections.defaultdict(
            length_estimate.RouteLengths
        )
        self._running: dict[MeasuredRun, str] = {}

    def add(self, run: MeasuredRun, route: str) -> None:
        """Record a run that starts."""
        self._running[run] = route

    def remove(self, run: MeasuredRun, *, is_complete: bool) -> None:
        """Record the end of a run.

        :param is_complete: whether its answer is complete; the tokens of others count as well.
        """
        route = self._running.pop(run, None)
        if route is None:
            return
        ended = self._ended[route]
        ended.generated_tokens += run.generated_tokens
        ended.answers += is_complete

    def get_mean_tokens(self, route: str) -> float | None:
        """Return the mean length of a route's answers at all entries, or None if unknown."""
        own = self._get_own(route)
        other = self._get_other_load(queue_rows.get_length_key(route))
        if other is not None:
            own.generated_tokens += other.tokens
            own.answers += other.count
        return own.get_mean_tokens()

    def get_rows(self) -> shared_load.LoadByInstance:
        """Return the rows of this entry for a report."""
        rows: shared_load.LoadByInstance = {}
        for route in {*self._ended, *self._running.values()}:
            own = self._get_own(route)
            key = queue_rows.get_length_key(route)
            rows[key] = shared_load.InstanceLoad(own.generated_tokens, own.answers)
        return rows

    def _get_own(self, route: str) -> length_estimate.RouteLengths:
        ended = self._ended.get(route, length_estimate.RouteLengths())
        running_tokens = sum(
            run.generated_tokens for run, name in self._running.items() if name == route
        )
        return length_estimate.RouteLengths(ended.generated_tokens + running_tokens, ended.answers)
