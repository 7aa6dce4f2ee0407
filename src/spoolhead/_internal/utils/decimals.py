"""Decimal numbers in headers."""

import re

_DECIMAL = re.compile(r"\d{1,12}(\.\d{1,12})?([eE]\+?\d{1,2})?", re.ASCII)


def parse(text: str) -> float | None:
    """Return a number that is not negative; None for any other text."""
    value = text.strip()
    return float(value) if _DECIMAL.fullmatch(value) else None
