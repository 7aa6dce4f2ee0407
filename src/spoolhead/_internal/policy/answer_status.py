"""Decides what a status code makes of an answer. Performs no I/O.

Status codes are defined in RFC 9110, section 15.
"""

import enum
import http

FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = frozenset(
    {http.HTTPStatus.CONTINUE, http.HTTPStatus.PROCESSING, http.HTTPStatus.EARLY_HINTS}
)
"""Interim answers that a server may send without a request for them."""


class StatusKind(enum.Enum):
    """What an answer with a status is."""

    INTERIM = "interim"
    """Another answer follows."""
    FINAL = "final"
    INVALID = "invalid"
    """No answer: handled as bytes that cannot be parsed."""


def classify(status: int) -> StatusKind:
    """Return what an answer with a status is."""
    if status in FINAL_STATUSES:
        return StatusKind.FINAL
    if status in INTERIM_STATUSES:
        return StatusKind.INTERIM
    return StatusKind.INVALID
