"""Bounds what may arrive of an answer without bringing it forward. Performs no I/O.

The parser buffers an unfinished line, header or trailer and skips interim answers and chunk
extensions. Bytes of these kinds that never end would fill the memory, or be read until the deadline
of the request.
"""

MAX_IDLE_BYTES = 65_536
"""Maximum number of bytes in a row that are neither the end of the head nor a part of the body."""
MAX_OVERHEAD_RATIO = 8
"""Maximum ratio of the framing to the body, beyond that: a body in chunks of one byte has 5."""


class AnswerProgress:
    """Counts the bytes of one answer.

    :param max_body_bytes: maximum size of the body; None for no maximum.
    """

    __slots__ = ("_body_bytes", "_idle_bytes", "_max_body_bytes", "_read_bytes")

    def __init__(self, max_body_bytes: int | None) -> None:
        self._max_body_bytes = max_body_bytes
        self._read_bytes = 0
        self._body_bytes = 0
        self._idle_bytes = 0

    def record_read(self, count: int) -> None:
        """Count received bytes, before they are parsed."""
        self._read_bytes += count
        self._idle_bytes += count

    def record_head(self) -> None:
        """Record that the head is complete; not called for interim answers."""
        self._idle_bytes = 0

    def record_body(self, count: int) -> None:
        """Count bytes of the body."""
        self._body_bytes += count
        self._idle_bytes = 0

    def find_problem(self) -> str:
        """Return why the received bytes cannot be an answer; empty if they can."""
        if self._idle_bytes > MAX_IDLE_BYTES:
            return f"{self._idle_bytes} bytes without progress of the answer"
        overhead_bytes = self._read_bytes - self._body_bytes
        if overhead_bytes > 2 * MAX_IDLE_BYTES + MAX_OVERHEAD_RATIO * self._body_bytes:
            return f"{overhead_bytes} bytes of framing for {self._body_bytes} of the body"
        if self._max_body_bytes is not None and self._body_bytes > self._max_body_bytes:
            return f"the body has over {self._max_body_bytes} bytes"
        return ""
