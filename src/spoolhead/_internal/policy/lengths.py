"""How much longer an answer will get, learned from answers that have ended.

Lengths are heavy-tailed, so a mean says little. What counts for an engine's memory is how much
is expected to be held some tokens from now: an answer that goes on needs more by then, one that
ends needs nothing. Each workspace has a distribution for each model, which leans on the model's
distribution while it has few answers of its own.
"""

import bisect
from collections.abc import Sequence

HORIZONS_TOKENS = (0, 16, 64, 128, 256, 512, 1024)
"""Tokens from now for which the memory is foreseen; everything on an engine keeps one pace."""

Profile = Sequence[float]
"""Expected memory in tokens at each of :data:`HORIZONS_TOKENS`."""

DEFAULT_LENGTH_TOKENS = 256
PRIOR_ANSWERS = 8.0
"""Answers that the distribution leaned on counts for."""

HALF_LIFE_ANSWERS = 512
"""Answers after which an older one counts half."""

_CLASS_GROWTH = 1.25
_MAX_LENGTH_TOKENS = 131_072


def _make_bounds() -> list[int]:
    bounds = [1]
    while bounds[-1] < _MAX_LENGTH_TOKENS:
        bounds.append(max(bounds[-1] + 1, int(bounds[-1] * _CLASS_GROWTH)))
    return bounds


_BOUNDS = _make_bounds()
"""Shortest length of each class, ascending."""


class _Distribution:
    """Counts by class of length, and the expected rest for each class."""

    __slots__ = ("_parent", "_stale", "_tails", "answers", "counts")

    def __init__(self, parent: "_Distribution | None") -> None:
        self.counts = [0.0] * len(_BOUNDS)
        self.answers = 0.0
        self._parent = parent
        self._tails: list[float] = []
        self._stale = True

    def observe(self, length: int) -> None:
        keep = 0.5 ** (1 / HALF_LIFE_ANSWERS)
        self.answers = self.answers * keep + 1
        index = _get_class(length)
        for position in range(len(self.counts)):
            self.counts[position] *= keep
        self.counts[index] += 1
        self._stale = True

    def get_probability(self, index: int) -> float:
        """Probability of a class, leaning on the parent."""
        parent_probability = (
            self._parent.get_probability(index) if self._parent else _DEFAULT_PROBABILITIES[index]
        )
        return (self.counts[index] + PRIOR_ANSWERS * parent_probability) / (
            self.answers + PRIOR_ANSWERS
        )

    def get_tail(self, length: float) -> float:
        """Probability that an answer gets longer than a length."""
        if self._stale:
            self._tails = _get_tails([self.get_probability(index) for index in range(len(_BOUNDS))])
            self._stale = False
        index = _get_class(max(1, int(length)))
        if index + 1 >= len(_BOUNDS):
            return self._tails[-1]
        begin, end = _BOUNDS[index], _BOUNDS[index + 1]
        part = max(0.0, length + 1 - begin) / (end - begin)
        return self._tails[index] * (1 - part) + self._tails[index + 1] * part

    def get_mean(self) -> float:
        probabilities = [self.get_probability(index) for index in range(len(_BOUNDS))]
        return sum(
            probability * _get_middle(index) for index, probability in enumerate(probabilities)
        )


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

    def get_profile(
        self,
        workspace: str,
        service: str,
        *,
        prompt_tokens: float,
        generated_tokens: int,
        limit_tokens: int,
    ) -> Profile:
        """Return the memory that an answer is expected to hold at each horizon.

        :param prompt_tokens: its prompt.
        :param generated_tokens: tokens it already has.
        :param limit_tokens: longest that it may become.
        """
        known = self._get(workspace, service)
        held = prompt_tokens + generated_tokens
        alive = known.get_tail(generated_tokens)
        profile = []
        for ahead in HORIZONS_TOKENS:
            length = generated_tokens + ahead
            if length >= limit_tokens and ahead:
                profile.append(0.0)
                continue
            survival = known.get_tail(length) / alive if alive > 0 else 0.0
            profile.append(survival * (held + ahead))
        return profile

    def get_mean_tokens(self, service: str) -> float:
        """Return the mean length of a model's answers."""
        self._get("", service)
        return self._services[service].get_mean()

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
    upper = _BOUNDS[index + 1] if index + 1 < len(_BOUNDS) else _BOUNDS[index] * _CLASS_GROWTH
    return (_BOUNDS[index] + upper - 1) / 2


def _get_tails(probabilities: list[float]) -> list[float]:
    """For each class the probability of a length in it or above."""
    tails = [0.0] * len(probabilities)
    mass = 0.0
    for index in range(len(probabilities) - 1, -1, -1):
        mass += probabilities[index]
        tails[index] = mass
    return tails


def _make_default_probabilities() -> list[float]:
    """Geometric lengths: with nothing known, the rest does not depend on the past."""
    probabilities = []
    for index, bound in enumerate(_BOUNDS):
        upper = _BOUNDS[index + 1] if index + 1 < len(_BOUNDS) else bound * 2
        stay = 1 - 1 / DEFAULT_LENGTH_TOKENS
        probabilities.append(stay ** (bound - 1) - stay ** (upper - 1))
    return probabilities


_DEFAULT_PROBABILITIES = _make_default_probabilities()
