"""Parses a page of the list of instances, even if some of its entries are not valid JSON."""

import json
import math
import re
from typing import Any

_ENTRY_START = re.compile(r'\{\s*"')
_NEXT_TOKEN = re.compile(r'"next_token"\s*:\s*("(?:[^"\\]|\\.)*"|null)')
_MAX_INTEGER_DIGITS = 20
"""Maximum number of digits of an integer. Longer integers are valid in no field and are read as
infinity."""


def _read_int(text: str) -> float:
    return int(text) if len(text) <= _MAX_INTEGER_DIGITS else math.inf


_DECODER = json.JSONDecoder(parse_int=_read_int)


def parse_page(page: bytes) -> Any:
    """Return the parsed page.

    If the page is not valid JSON, its entries are decoded one by one, so that a broken entry does
    not affect the others. Bytes that are not valid UTF-8 are decoded to lone surrogates, which no
    valid field contains.

    :raises ValueError: if the page is not valid JSON and also lacks the token of the next page at
        its end.
    """
    text = page.decode("utf-8", errors="surrogateescape")
    try:
        return _DECODER.decode(text)
    except ValueError:
        next_tokens = list(_NEXT_TOKEN.finditer(text))
        if not next_tokens:
            raise
    last = next_tokens[-1]
    return {
        "instances": _scan_entries(text[: last.start()]),
        "next_token": json.loads(last[1]),
    }


def _scan_entries(text: str) -> list[object]:
    entries: list[object] = []
    # The first brace belongs to the page itself.
    match = _ENTRY_START.search(text, 1)
    while match is not None:
        try:
            entry, end = _DECODER.raw_decode(text, match.start())
        except ValueError:
            entry, end = text[match.start() : match.end()], match.end()
        entries.append(entry)
        match = _ENTRY_START.search(text, end)
    return entries
