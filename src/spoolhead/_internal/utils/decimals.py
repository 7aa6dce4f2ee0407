"""Parses decimal numbers in headers."""

import re

_DECIMAL = re.compile(r"\d{1,12}(\.\d{1,12})?([eE]\+?\d{1,2})?", re.ASCII)


def parse(text: str) -> float | None:
    """Return a text as a number; None if it is not a non-negative decimal number."""
    value = text.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None
