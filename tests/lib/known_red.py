"""Tests that are known to fail for a real fault, as KNOWN-RED.txt at the root lists them."""

import pathlib

PATH = pathlib.Path(__file__).parents[2] / "KNOWN-RED.txt"
MOST = 3
SEPARATOR = " | "


class KnownRed:
    """One listed test.

    :ivar test: its node id.
    :ivar line: the whole line.
    """

    __slots__ = ("line", "test")

    def __init__(self, line):
        self.line = line
        self.test, _cause, _issue = line.split(SEPARATOR)


def read():
    """Return the listed tests; none without the file."""
    if not PATH.exists():
        return []
    lines = PATH.read_text().splitlines()
    return [KnownRed(line) for line in lines if line and not line.startswith("#")]
