"""Output of the operators' program: tables for people, JSON for scripts."""

import json
import sys
from collections.abc import Sequence

Cells = Sequence[str]


def print_json(value: object) -> None:
    """Print a value as JSON."""
    print(json.dumps(value, indent=2, ensure_ascii=False, default=str))


def print_table(titles: Cells, lines: Sequence[Cells]) -> None:
    """Print rows in aligned columns under titles; without rows, only the titles."""
    widths = [max(len(row[column]) for row in [titles, *lines]) for column in range(len(titles))]
    for row in [titles, *lines]:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print("  ".join(cells).rstrip())


def print_error(text: str) -> None:
    """Print a line to standard error."""
    print(text, file=sys.stderr)


def format_cell(value: object) -> str:
    """Return a value as the text of a table cell."""
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list):
        return ",".join(str(item) for item in value) or "-"
    return str(value)
