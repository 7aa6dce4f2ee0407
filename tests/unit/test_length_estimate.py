"""Expected lengths from guesses that are often far off and from the other answers of the route."""

import math
import random

from spoolhead._internal.gateway import answer_lengths
from spoolhead._internal.models import queue_rows, shared_load
from spoolhead._internal.policy import length_estimate


class _Run:
    def __init__(self, generated_tokens):
        self.generated_tokens = generated_tokens


def _get_rms_error(estimates, lengths):
    errors = [(one - other) ** 2 for one, other in zip(estimates, lengths, strict=True)]
    return math.sqrt(sum(errors) / len(errors))


def test_both_together_are_closer_than_the_guess_or_the_mean_alone():
    """Pattern: lengths spread by a factor of 2.2, and guesses are off by 2.6 (sigma of logs)."""
    rng = random.Random(1)
    lengths = [min(1_768, 380 * math.exp(rng.gauss(0, 0.8))) for _ in range(2_000)]
    guesses = [min(1_768, int(each * math.exp(rng.gauss(0, 0.95)))) + 1 for each in lengths]
    mean = sum(lengths) / len(lengths)
    both = [length_estimate.estimate_tokens(guess, 1_768, mean) for guess in guesses]
    assert _get_rms_error(both, lengths) < 0.8 * _get_rms_error(guesses, lengths)
    assert _get_rms_error(both, lengths) < _get_rms_error([mean] * len(lengths), lengths)


def test_without_other_answers_the_guess_counts_and_without_a_guess_the_limit():
    assert length_estimate.estimate_tokens(100, 1_768, None) == 100
    assert length_estimate.estimate_tokens(0, 1_768, None) == 1_768
    assert length_estimate.estimate_tokens(0, 1_768, 500.0) == 500
    assert length_estimate.estimate_tokens(9_000, 1_768, 9_000.0) == 1_768


def test_running_answers_keep_the_mean_from_being_too_low_at_the_start_of_a_burst():
    """Pattern: a burst begins, and the shortest answers complete first."""
    lengths = answer_lengths.AnswerLengths(lambda key: None)
    short = [_Run(80) for _ in range(length_estimate.MIN_ANSWERS)]
    for run in short:
        lengths.add(run, "r")
        lengths.remove(run, is_complete=True)
    assert lengths.get_mean_tokens("r") == 80
    for _ in range(40):
        lengths.add(_Run(100), "r")
    assert lengths.get_mean_tokens("r") == 80 + 40 * 100 / length_estimate.MIN_ANSWERS


def test_answers_of_all_entries_count():
    key = queue_rows.get_length_key("r")
    other = {key: shared_load.InstanceLoad(8_000, 10)}
    lengths = answer_lengths.AnswerLengths(other.get)
    run = _Run(1_900)
    lengths.add(run, "r")
    lengths.remove(run, is_complete=True)
    assert lengths.get_mean_tokens("r") == 900
    assert lengths.get_rows() == {key: shared_load.InstanceLoad(1_900, 1)}
    other.clear()
    assert lengths.get_mean_tokens("r") is None


def test_a_lost_answer_counts_with_what_it_had():
    lengths = answer_lengths.AnswerLengths(lambda key: None)
    run = _Run(500)
    lengths.add(run, "r")
    lengths.remove(run, is_complete=False)
    lengths.remove(run, is_complete=False)
    key = queue_rows.get_length_key("r")
    assert lengths.get_rows() == {key: shared_load.InstanceLoad(500, 0)}
