"""Estimates the length of an answer from its caller's guess and from other answers of its route.

Performs no I/O. A guess is right in the median and often far off, while the lengths of a route's
answers differ by less; the geometric mean of both, weighted by their errors, is closer than either.
"""

import math

GUESS_WEIGHT = 0.4
"""Weight of the guess: about the share that the variance of the route's lengths has in the sum of
that variance and of the guesses' error."""
GROWTH = 1.5
"""Expected length of an answer that exceeds its expected length, relative to what it has."""
MIN_ANSWERS = 8
"""Number of completed answers from which the mean length of a route is used."""


class RouteLengths:
    """Answers of one route.

    :ivar generated_tokens: tokens that all answers have generated so far, running ones included.
    :ivar answers: number of completed answers.
    """

    __slots__ = ("answers", "generated_tokens")

    def __init__(self, generated_tokens: int = 0, answers: int = 0) -> None:
        self.generated_tokens = generated_tokens
        self.answers = answers

    def get_mean_tokens(self) -> float | None:
        """Return the mean length, or None if too few answers are complete.

        The tokens of running answers count too: short answers complete first, so the mean of the
        completed ones alone is too low for as long as the longest answers take.
        """
        if self.answers < MIN_ANSWERS:
            return None
        return self.generated_tokens / self.answers


def estimate_tokens(guess_tokens: int, limit_tokens: int, mean_tokens: float | None) -> int:
    """Return the expected length of an answer.

    :param guess_tokens: guess of its caller; 0 for none.
    :param limit_tokens: maximum length.
    :param mean_tokens: mean length of its route's answers; None if unknown.
    """
    if mean_tokens is None or mean_tokens < 1:
        expected = float(guess_tokens or limit_tokens)
    elif not guess_tokens:
        expected = mean_tokens
    else:
        weighted_log = GUESS_WEIGHT * math.log(guess_tokens)
        expected = math.exp(weighted_log + (1 - GUESS_WEIGHT) * math.log(mean_tokens))
    return min(limit_tokens, math.ceil(expected))


class ExpectedLength:
    """Expected length of one answer.

    :param guess_tokens: guess of its caller; 0 for none.
    :param limit_tokens: maximum length.
    :ivar tokens: the expected length.
    """

    __slots__ = ("_guess_tokens", "_limit_tokens", "tokens")

    def __init__(self, guess_tokens: int, limit_tokens: int) -> None:
        self._guess_tokens = guess_tokens
        self._limit_tokens = limit_tokens
        self.tokens = estimate_tokens(guess_tokens, limit_tokens, None)

    def set_mean(self, mean_tokens: float | None) -> None:
        """Take the mean length of the route's answers into account; None if unknown."""
        self.tokens = estimate_tokens(self._guess_tokens, self._limit_tokens, mean_tokens)

    def record_generated(self, generated_tokens: int) -> bool:
        """Record the length so far; return whether that changed the expected length.

        The engine of an answer that exceeds its expected length otherwise seems to have memory that
        the answer takes, and preempts a run.
        """
        if generated_tokens <= self.tokens or self.tokens >= self._limit_tokens:
            return False
        self.tokens = min(self._limit_tokens, math.ceil(generated_tokens * GROWTH))
        return True
