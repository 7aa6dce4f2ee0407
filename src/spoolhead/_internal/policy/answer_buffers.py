"""Bound on the answers that a process buffers before it delivers them. Performs no I/O.

If memory is short, large answers are not read any further, except for the oldest one: it is always
completed, so that answers that wait for each other's memory cannot stop all.
"""

from collections.abc import Callable

SMALL_BYTES = 65_536
"""Size up to which an answer is small; small ones are always read."""


def _do_nothing() -> None:
    """Default of the callbacks of a buffer."""


class AnswerBuffer:
    """The buffered part of one answer.

    :ivar data: the bytes.
    :ivar is_paused: the answer is not read further for now.
    :ivar on_pause: called when reading must stop.
    :ivar on_resume: called when reading may go on.
    """

    __slots__ = ("data", "is_paused", "on_pause", "on_resume")

    def __init__(
        self,
        on_pause: Callable[[], None] = _do_nothing,
        on_resume: Callable[[], None] = _do_nothing,
    ) -> None:
        # Grows in place. Parts that are joined at the end would take the memory twice.
        self.data = bytearray()
        self.is_paused = False
        self.on_pause = on_pause
        self.on_resume = on_resume


class AnswerBuffers:
    """All buffered answers of a process.

    :param is_exceeded: returns whether the process holds more than it may.
    :ivar total_bytes: size of all buffered answers.
    """

    __slots__ = ("_is_exceeded", "_large", "total_bytes")

    def __init__(self, is_exceeded: Callable[[], bool]) -> None:
        self.total_bytes = 0
        self._is_exceeded = is_exceeded
        self._large: dict[AnswerBuffer, None] = {}

    def add(self, buffer: AnswerBuffer, data: bytes) -> None:
        """Buffer a part of an answer."""
        buffer.data += data
        self.total_bytes += len(data)
        if len(buffer.data) <= SMALL_BYTES:
            return
        self._large[buffer] = None
        if not buffer.is_paused and self._is_exceeded() and not self._is_oldest(buffer):
            buffer.is_paused = True
            buffer.on_pause()

    def take(self, buffer: AnswerBuffer) -> bytearray:
        """Remove and return what is buffered of an answer."""
        data, buffer.data = buffer.data, bytearray()
        self.total_bytes -= len(data)
        buffer.is_paused = False
        if self._large.pop(buffer, buffer) is None:
            self.check()
        return data

    def check(self) -> None:
        """Resume the answers for which there is memory by now, the oldest ones first."""
        for buffer in list(self._large):
            if self._is_exceeded() and not self._is_oldest(buffer):
                return
            if buffer.is_paused:
                buffer.is_paused = False
                buffer.on_resume()

    def _is_oldest(self, buffer: AnswerBuffer) -> bool:
        return next(iter(self._large)) is buffer
