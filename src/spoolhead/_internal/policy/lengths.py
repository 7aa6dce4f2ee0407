"""Predicts the remaining length of answers from the lengths of completed ones.

Lengths are heavy-tailed, so a mean is a poor predictor. Planning an engine's memory needs the
expected memory some tokens from now: an answer that continues needs more by then, a finished answer
needs none. Each workspace has a length distribution for each model, with the model's overall
distribution as its prior while it has few answers of its own.
"""

import bisect
from collections.abc import Sequence

HORIZONS_TOKENS = (0, 16, 64, 128, 256, 512, 1024)
"""Numbers of tokens from now for which memory is predicted; all requests on an engine generate at
the same pace."""

Profile = Sequence[float]
"""Expected memory in tokens at each of :data:`HORIZONS_TOKENS`."""

DEFAULT_LENGTH_TOKENS = 256
PRIOR_ANSWERS = 8.0
"""Number of answers that the prior distribution counts as."""

HALF_LIFE_ANSWERS = 512
"""Number of newer answers after which an older one counts half."""

_CLASS_GROWTH = 1.25
_MAX_LENGTH_TOKENS = 131_072


def _make_bounds() -> list[int]:
    bounds = [1]
    while bounds[-1] < _MAX_LENGTH_TOKENS:
        bounds.append(max(bounds[-1] + 1, int(bounds[-1] * _CLASS_GROWTH)))
    return bounds


_BOUNDS = _make_bounds()
"""Lower bound of each length class, ascending."""


class _Distribution:
    """Histogram of lengths with exponentially decaying counts, and its survival function."""

    __slots__ = ("_parent", "_is_stale", "_tails", "answers", "counts")

    def __init__(self, parent: "_Distribution | None") -> None:
        self.counts = [0.0] * len(_BOUNDS)
        self.answers = 0.0
        self._parent = parent
        self._tails: list[float] = []
        self._is_stale = True

    def observe(self, length: int) -> None:
        decay = 0.5 ** (1 / HALF_LIFE_ANSWERS)
        self.answers = self.answers * decay + 1
        index = _get_class(length)
        for position in range(len(self.counts)):
            self.counts[position] *= decay
        self.counts[index] += 1
        self._is_stale = True

    def get_probability(self, index: int) -> float:
        """Return the probability of a class, with the parent distribution as the prior."""
        parent_probability = (
            self._parent.get_probability(index) if self._parent else _DEFAULT_PROBABILITIES[index]
        )
        return (self.counts[index] + PRIOR_ANSWERS * parent_probability) / (
            self.answers + PRIOR_ANSWERS
        )

    def get_tail(self, length: float) -> float:
        """Return the probability that an answer becomes longer than a length."""
        if self._is_stale:
            self._tails = _get_tails([self.get_probability(index) for index in range(len(_BOUNDS))])
            self._is_stale = False
        index = _get_class(max(1, int(length)))
        if index + 1 >= len(_BOUNDS):
            return self._tails[-1]
        begin, end = _BOUNDS[index], _BOUNDS[index + 1]
        fraction = max(0.0, length + 1 - begin) / (end - begin)
        return self._tails[index] * (1 - fraction) + self._tails[index + 1] * fraction

    def get_mean(self) -> float:
        probabilities = [self.get_probability(index) for index in range(len(_BOUNDS))]
        return sum(
            probability * _get_middle(index) for index, probability in enumerate(probabilities)
        )


class LengthModel:
    """Length distributions of all workspaces and models at this entry."""

    def __init__(self) -> None:
        self._services: dict[str, _Distribution] = {}
        self._workspaces: dict[str, dict[str, _Distribution]] = {}

    def observe(self, workspace: str, service: str, length_tokens: int) -> None:
        """Add the length of an answer that the engine ended by itself.

        :param length_tokens: output tokens of the answer.
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
        """Return the expected memory of an answer at each horizon, in tokens.

        :param prompt_tokens: length of its prompt.
        :param generated_tokens: tokens generated so far.
        :param limit_tokens: maximum length of the answer.
        """
        distribution = self._get(workspace, service)
        held_tokens = prompt_tokens + generated_tokens
        reach_probability = distribution.get_tail(generated_tokens)
        profile = []
        for ahead in HORIZONS_TOKENS:
            length = generated_tokens + ahead
            if length >= limit_tokens and ahead:
                profile.append(0.0)
                continue
            survival = (
                distribution.get_tail(length) / reach_probability if reach_probability > 0 else 0.0
            )
            profile.append(survival * (held_tokens + ahead))
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
    """Return for each class the probability of a length in it or in a higher class."""
    tails = [0.0] * len(probabilities)
    mass = 0.0
    for index in range(len(probabilities) - 1, -1, -1):
        mass += probabilities[index]
        tails[index] = mass
    return tails


def _make_default_probabilities() -> list[float]:
    """Return a geometric distribution: without observations, the remaining length is memoryless."""
    probabilities = []
    for index, bound in enumerate(_BOUNDS):
        upper = _BOUNDS[index + 1] if index + 1 < len(_BOUNDS) else bound * 2
        continue_probability = 1 - 1 / DEFAULT_LENGTH_TOKENS
        probabilities.append(
            continue_probability ** (bound - 1) - continue_probability ** (upper - 1)
        )
    return probabilities


_DEFAULT_PROBABILITIES = _make_default_probabilities()
