"""Ensures that the events of one generation are delivered once and in order.

An engine that can resume numbers its events: the ``id`` of each is ``GENERATION:INDEX``, with
indexes from 0. After a resume it may repeat or skip events; both are detected here, independently
of the connection.
"""

import enum

from spoolhead._internal.relay import event_stream


class Verdict(enum.Enum):
    """The result of checking an event."""

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    GAP = "gap"
    OTHER_GENERATION = "other-generation"
    UNNUMBERED = "unnumbered"


class Sequencer:
    """Checks the order of the events of one answer.

    :ivar generation: id of the generation; empty until the first numbered event.
    :ivar next_index: index of the next event to deliver.
    """

    __slots__ = ("_delivered_unnumbered", "generation", "next_index")

    def __init__(self, generation: bytes = b"", next_index: int = 0) -> None:
        self.generation = generation
        self.next_index = next_index
        self._delivered_unnumbered = False

    @property
    def can_resume(self) -> bool:
        """Whether the generation can resume over another connection."""
        return bool(self.generation) and not self._delivered_unnumbered

    @property
    def has_delivered(self) -> bool:
        """Whether any event was delivered."""
        return self.next_index > 0 or self._delivered_unnumbered

    def evaluate(self, event: event_stream.Event) -> Verdict:
        """Check the next event, and advance the index if it is to be delivered.

        :param event: the event, in the order of arrival on one connection.
        """
        if event.event_id is None:
            return self._evaluate_unnumbered()
        generation, _, digits = event.event_id.rpartition(b":")
        if not generation or not digits.isdigit():
            return self._evaluate_unnumbered()
        if not self.generation:
            self.generation = generation
        elif generation != self.generation:
            return Verdict.OTHER_GENERATION
        index = int(digits)
        if index < self.next_index:
            return Verdict.DUPLICATE
        if index > self.next_index:
            return Verdict.GAP
        self.next_index += 1
        return Verdict.DELIVER

    def _evaluate_unnumbered(self) -> Verdict:
        # After a resume, repeated unnumbered events cannot be detected. They are therefore valid
        # only if the whole answer is unnumbered, and such an answer cannot resume.
        if self.generation:
            return Verdict.UNNUMBERED
        self._delivered_unnumbered = True
        return Verdict.DELIVER
