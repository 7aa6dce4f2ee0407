"""Repeats that the other entries have acquired, as one entry knows them. Performs no I/O."""

import collections

from spoolhead._internal.models import shared_load


class OtherRepeats:
    """The sum of the rows of the other entries, and how it grew within a window.

    The sum of what the entries state for the window lacks what ended entries have acquired, and its
    recorded growth lacks what was acquired while entries joined or left. The larger one counts.

    :param window_s: length of the window.
    """

    __slots__ = ("_increases", "_recorded_count", "_row", "_window_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._row: shared_load.InstanceLoad | None = None
        self._increases: collections.deque[tuple[float, int]] = collections.deque()
        self._recorded_count = 0

    @property
    def is_known(self) -> bool:
        """Whether current data of the other entries is known."""
        return self._row is not None

    @property
    def requests(self) -> int:
        """Requests of the other entries in their windows; 0 if unknown."""
        return max(0, self._row.prefill_tokens) if self._row is not None else 0

    @property
    def total(self) -> int:
        """Repeats that the other entries have acquired since their starts; 0 if unknown."""
        return self._row.tokens if self._row is not None else 0

    @property
    def weight(self) -> int:
        """Sum of the weights of the other entries; 0 if unknown."""
        return max(0, self._row.count) if self._row is not None else 0

    def update(self, row: shared_load.InstanceLoad | None, now_s: float) -> None:
        """Set the sum of the rows of the other entries.

        :param row: the sum; None if no current data is known.
        """
        previous, self._row = self._row, row
        self._expire(now_s)
        if row is None:
            return
        if previous is None:
            self._record(row.answer_tokens - self._recorded_count, now_s)
        elif previous.count == row.count:
            # After entries have joined or left, the sums before and after cannot be compared.
            self._record(row.tokens - previous.tokens, now_s)

    def count_acquired(self, now_s: float) -> int:
        """Return the repeats of the other entries in the window; 0 if unknown."""
        if self._row is None:
            return 0
        self._expire(now_s)
        return max(self._recorded_count, self._row.answer_tokens)

    def _record(self, count: int, now_s: float) -> None:
        if count > 0:
            self._increases.append((now_s, count))
            self._recorded_count += count

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._window_s
        while self._increases and self._increases[0][0] < oldest_s:
            self._recorded_count -= self._increases.popleft()[1]
