"""How much longer an answer will get, learned from answers that have ended.

Lengths are heavy-tailed, so the mean says little: what counts is the expected rest of an
answer given that it has come this far. Each workspace has a distribution for each model,
which leans on the model's distribution while it has few answers of its own.
"""

import bisect

DEFAULT_LENGTH_TOKENS = 256
PRIOR_ANSWERS = 8.0
"""Answers that the distribution leaned on counts for."""

HALF_LIFE_ANSWERS = 512
"""Answers after which an older one counts half."""

_GROWTH = 1.25
_LONGEST_TOKENS = 131_072


def _make_bounds() -> list[int]:
    bounds = [1]
    while bounds[-1] < _LONGEST_TOKENS:
        bounds.append(max(bounds[-1] + 1, int(bounds[-1] * _GROWTH)))
    return bounds


_BOUNDS = _make_bounds()
"""Shortest length of each class, ascending."""


class _Distribution:
    """Counts by class of length, and the expected rest for each class."""

    __slots__ = ("_parent", "_rest", "_stale", "answers", "counts")

    def __init__(self, parent: "_Distribution | None") -> None:
        self.counts = [0.0] * len(_BOUNDS)
        self.answers = 0.0
        self._parent = parent
        self._rest: list[float] = []
        self._stale = True

    def observe(self, length: int) -> None:
        keep = 0.5 ** (1 / HALF_LIFE_ANSWERS)
        self.answers = self.answers * keep + 1
        index = _get_class(length)
        for position in range(len(self.counts)):
            self.counts[position] *= keep
        self.counts[index] += 1
        self._stale = True

    def get_share(self, index: int) -> float:
        """Probability of a class, leaning on the parent."""
        parent_share = self._parent.get_share(index) if self._parent else _DEFAULT_SHARES[index]
        return (self.counts[index] + PRIOR_ANSWERS * parent_share) / (self.answers + PRIOR_ANSWERS)

    def get_rest(self, generated: int) -> float:
        if self._stale:
            self._rest = _get_rests([self.get_share(index) for index in range(len(_BOUNDS))])
            self._stale = False
        return self._rest[_get_class(max(1, generated))]


class LengthModel:
    """Distributions of all workspaces and models that this entry has seen."""

    def __init__(self) -> None:
        self._services: dict[str, _Distribution] = {}
        self._workspaces: dict[str, dict[str, _Distribution]] = {}

    def observe(self, workspace: str, service: str, length_tokens: int) -> None:
        """Learn from an answer that has ended by itself.

        :param length_tokens: its output tokens.
        """
        if length_tokens <= 0:
            return
        self._get(workspace, service).observe(length_tokens)
        self._services[service].observe(length_tokens)

    def get_rest_tokens(
        self, workspace: str, service: str, *, generated_tokens: int, limit_tokens: int
    ) -> float:
        """Return how many more tokens an answer is expected to get.

        :param generated_tokens: tokens it already has.
        :param limit_tokens: longest that it may become.
        """
        rest = self._get(workspace, service).get_rest(generated_tokens)
        return max(0.0, min(rest, limit_tokens - generated_tokens))

    def _get(self, workspace: str, service: str) -> _Distribution:
        parent = self._services.get(service)
        if parent is None:
            parent = self._services[service] = _Distribution(None)
        by_workspace = self._workspaces.setdefault(service, {})
        own = by_workspace.get(workspace)
        if own is None:
            own = by_workspace[workspace] = _Distribution(parent)
        return own


def _get_class(length: int) -> int:
    return bisect.bisect_right(_BOUNDS, length) - 1


def _get_middle(index: int) -> float:
    upper = _BOUNDS[index + 1] if index + 1 < len(_BOUNDS) else _BOUNDS[index] * _GROWTH
    return (_BOUNDS[index] + upper - 1) / 2


def _get_rests(shares: list[float]) -> list[float]:
    """For each class the mean length of what lies in it or above, less the class's middle."""
    rests = [0.0] * len(shares)
    mass = 0.0
    total = 0.0
    for index in range(len(shares) - 1, -1, -1):
        mass += shares[index]
        total += shares[index] * _get_middle(index)
        rests[index] = max(1.0, total / mass - _get_middle(index)) if mass > 0 else 1.0
    return rests


def _make_default_shares() -> list[float]:
    """Geometric lengths: with nothing known, the rest does not depend on the past."""
    shares = []
    for index, bound in enumerate(_BOUNDS):
        upper = _BOUNDS[index + 1] if index + 1 < len(_BOUNDS) else bound * 2
        stay = 1 - 1 / DEFAULT_LENGTH_TOKENS
        shares.append(stay ** (bound - 1) - stay ** (upper - 1))
    return shares


_DEFAULT_SHARES = _make_default_shares()
