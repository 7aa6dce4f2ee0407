"""Which entry of a hall fetches the load report of an upstream."""

import hypothesis
from hypothesis import strategies

from spoolhead._internal.policy import reporting

NAMES = strategies.sets(strategies.text("abc0", min_size=1, max_size=4), min_size=2, max_size=6)


@hypothesis.given(NAMES, strategies.lists(strategies.text("xyz", min_size=1), max_size=20))
def test_only_the_reports_of_a_lost_entry_move(entries, upstreams):
    lost = sorted(entries)[0]
    for upstream in upstreams:
        before = reporting.get_fetcher(upstream, sorted(entries))
        assert before == reporting.get_fetcher(upstream, sorted(entries, reverse=True))
        after = reporting.get_fetcher(upstream, entries - {lost})
        assert after == before or before == lost


def test_reports_are_spread():
    entries = [f"entry-{number}" for number in range(23)]
    counts = dict.fromkeys(entries, 0)
    for number in range(1_070):
        counts[reporting.get_fetcher(f"upstream-{number}", entries)] += 1
    assert max(counts.values()) < 2 * 1_070 / 23
