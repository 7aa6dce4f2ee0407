"""Which entry of a hall fetches the load report of which upstream.

Every entry needs every report of its hall, but if each fetched them all, the cost of an entry
would grow with the upstreams and that of an upstream with the entries. So each report is fetched
by one entry of the hall, by rendezvous hashing over those that are heard of, and sent to the
others. Nobody has to agree: entries that see different neighbours fetch a report twice or, after
a moment without one, all of them, but never go without.
"""

from collections.abc import Iterable

import xxhash


def get_fetcher(upstream: str, entries: Iterable[str]) -> str:
    """Return the entry that fetches an upstream's report.

    :param upstream: name of the upstream.
    :param entries: names of the entries heard of, at least one.
    """
    return max(entries, key=lambda entry: _get_weight_of(entry, upstream))


def _get_weight_of(entry: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry}\0{upstream}".encode())
