"""Assigns the load report of each upstream to the entry of the hall that fetches it.

Every entry needs the reports of all upstreams. If each entry fetched all of them, an entry's cost
would grow with the number of upstreams, and an upstream's cost with the number of entries. Instead
one entry of the hall fetches each report, chosen by rendezvous hashing over the entries that are
not silent, and sends it to the others. No agreement is needed: entries that see different
neighbours may fetch a report twice, and each entry fetches a report itself if none arrives for some
time, so every entry gets all reports.
"""

from collections.abc import Iterable

import xxhash


def get_fetcher(upstream: str, entries: Iterable[str]) -> str:
    """Return the entry that fetches an upstream's report.

    :param upstream: name of the upstream.
    :param entries: names of the entries that are not silent, at least one.
    """
    return max(entries, key=lambda entry: _get_weight(entry, upstream))


def _get_weight(entry: str, upstream: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{entry}\0{upstream}".encode())
