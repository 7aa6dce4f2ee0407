"""Takes a page of the list of instances apart into its entries, also where one spoils the page."""

import json
import math
import re
from typing import Any

_ENTRY = re.compile(r'\{\s*"')
_NEXT = re.compile(r'"next_token"\s*:\s*("(?:[^"\\]|\\.)*"|null)')
_MAX_INTEGER_DIGITS = 20
"""Digits up to which a whole number is read; longer ones make no sense in any field."""


def _read_int(text: str) -> float:
    return int(text) if len(text) <= _MAX_INTEGER_DIGITS else math.inf


_DECODER = json.JSONDecoder(parse_int=_read_int)


def parse_page(page: bytes) -> Any:
    """Return what a page says.

    An entry whose bytes are not JSON costs the others nothing: they are found one by one. Bytes
    that are no text stay in the texts as lone surrogates, which no good field holds.

    :raises ValueError: if the page is not JSON and its end, which names the next one, is not
        there either.
    """
    text = page.decode("utf-8", errors="surrogateescape")
    try:
        return _DECODER.decode(text)
    except ValueError:
        ends = list(_NEXT.finditer(text))
        if not ends:
            raise
    last = ends[-1]
    return {
        "instances": _scan_entries(text[: last.start()]),
        "next_token": json.loads(last[1]),
    }


def _scan_entries(text: str) -> list[object]:
    entries: list[object] = []
    # The first brace is the page's own.
    match = _ENTRY.search(text, 1)
    while match is not None:
        try:
            entry, end = _DECODER.raw_decode(text, match.start())
        except ValueError:
            entry, end = text[match.start() : match.end()], match.end()
        entries.append(entry)
        match = _ENTRY.search(text, end)
    return entries
