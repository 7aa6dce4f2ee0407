"""The newest rate limit of each instance: which statement wins, is broadcast, and expires."""

import hypothesis
from hypothesis import strategies

from spoolhead._internal.models import rate_limit
from spoolhead._internal.policy import limit_registry

KEY = 7


def test_an_answer_without_a_limit_lifts_it():
    registry = limit_registry.LimitRegistry()
    assert registry.record(KEY, 2.0, 1.0)
    assert registry.get_limit_per_s(KEY) == 2.0
    assert registry.record(KEY, None, 2.0)
    assert registry.get_limit_per_s(KEY) is None


def test_that_there_is_no_limit_is_passed_on_only_where_it_lifts_one():
    registry = limit_registry.LimitRegistry()
    assert not registry.record(KEY, None, 1.0)
    assert not registry.record(KEY, None, 9.0)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.one_of(strategies.none(), strategies.floats(0, 100)),
            strategies.integers(0, 1000),
        ),
        min_size=1,
        unique_by=lambda item: item[1],
    ),
    strategies.randoms(),
)
def test_the_newest_statement_wins_in_any_order(statements, rng):
    shuffled = list(statements)
    rng.shuffle(shuffled)
    first, second = limit_registry.LimitRegistry(), limit_registry.LimitRegistry()
    for limit_per_s, stated_s in statements:
        first.record(KEY, limit_per_s, stated_s)
    for limit_per_s, stated_s in shuffled:
        second.merge([rate_limit.AgedLimit(KEY, limit_per_s, (1000 - stated_s) * 1000)], 1000.0)
    newest = max(statements, key=lambda item: item[1])[0]
    assert first.get_limit_per_s(KEY) == second.get_limit_per_s(KEY) == newest


def test_a_limit_of_zero_is_a_limit_and_one_beyond_all_load_is_none():
    registry = limit_registry.LimitRegistry()
    registry.record(KEY, 0.0, 1.0)
    assert registry.get_limit_per_s(KEY) == 0.0
    registry.record(KEY, 1e9, 2.0)
    assert registry.get_limit_per_s(KEY) is None


def test_the_same_limit_is_passed_on_again_once_the_last_report_is_old():
    registry = limit_registry.LimitRegistry()
    registry.record(KEY, 2.0, 1.0)
    assert not registry.record(KEY, 2.0, 1.1)
    assert registry.record(KEY, 2.0, 1.1 + limit_registry.RENEWAL_AGE_S)


def test_old_statements_are_forgotten():
    registry = limit_registry.LimitRegistry()
    registry.record(1, 2.0, 0.0)
    registry.record(2, None, 1.0)
    registry.expire(limit_registry.RETENTION_S - 0.1)
    assert len(registry) == 2
    registry.expire(limit_registry.RETENTION_S + 0.1)
    assert (registry.get(1), len(registry)) == (None, 1)
    registry.expire(limit_registry.RETENTION_S + 1.1)
    assert len(registry) == 0


@hypothesis.given(
    strategies.floats(0, 1000), strategies.floats(0.001, 100), strategies.floats(0, 1000)
)
def test_a_lifted_limit_never_comes_back_from_a_process_that_missed_its_end(age_s, later_s, gap_s):
    """Guards against a removed limit that is in force again after a cut without a statement."""
    registry, other = limit_registry.LimitRegistry(), limit_registry.LimitRegistry()
    other.record(KEY, 2.0, 0.0)
    registry.record(KEY, 2.0, 0.0)
    registry.record(KEY, None, later_s)
    for now_s in (later_s + gap_s, later_s + gap_s + age_s):
        registry.expire(now_s)
        other.expire(now_s)
        registry.merge(other.get_all_aged(now_s), now_s)
        assert registry.get_limit_per_s(KEY) is None


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 2**32 - 1),
            strategies.one_of(strategies.none(), strategies.floats(0, 1e9)),
            strategies.integers(0, 10**6),
        )
    )
)
def test_limits_are_read_from_datagrams_as_they_were_written(values):
    limits = [rate_limit.AgedLimit(*item) for item in values]
    read = rate_limit.unpack(rate_limit.pack(limits))
    assert [(item.key, item.limit_per_s, item.age_ms) for item in read] == values
