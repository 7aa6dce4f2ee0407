"""Generates ``docs/RESULT_CODES.md`` from the list of result codes in the source."""

import pathlib

from spoolhead._internal.models import codes

PAGE = pathlib.Path(__file__).parents[1] / "docs" / "RESULT_CODES.md"

HEAD = """# Result codes

Written by `tools/write_result_codes.py`; do not edit by hand.

Every answer that is not a plain success carries one of these numbers: in the header
`x-spoolhead-result-code`, in the error object's `result_code`, in the log lines of decisions
and in the output of the operators' program. The thousands tell the area: 1 the request, 2
refused before it ran, 3 the upstream or the run, 4 edits of the table, 5 settings, 6 the
processes themselves. Beside the code, `ran` says whether the request ran: `no`, `yes` or
`unknown`.

| code | name | HTTP status | meaning |
|---|---|---|---|
"""


def make_page() -> str:
    """Return the text of the page."""
    lines = []
    for code, info in codes.CODE_INFO.items():
        status = int(info.status) if info.status is not None else "-"
        lines.append(f"| {int(code)} | {code.name} | {status} | {info.meaning} |")
    return HEAD + "\n".join(lines) + "\n"


if __name__ == "__main__":
    PAGE.write_text(make_page(), encoding="utf-8")
