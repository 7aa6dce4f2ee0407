"""Tokens once, in order, from one generation.

An engine that can resume numbers its events: the ``id`` of each is ``GENERATION:INDEX``,
counted from 0. After a resume it may send again what was already delivered, or skip; both are
caught here, whatever connection the bytes came over.
"""

import enum

from spoolhead._internal.relay import event_stream


class Verdict(enum.Enum):
    """What to do with an event."""

    DELIVER = "deliver"
    DUPLICATE = "duplicate"
    GAP = "gap"
    OTHER_GENERATION = "other-generation"
    UNNUMBERED = "unnumbered"


class Sequencer:
    """Order of the events of one answer.

    :ivar generation: the generation they belong to; empty until the first numbered event.
    :ivar next_index: index of the next event to deliver.
    """

    __slots__ = ("_delivered_unnumbered", "generation", "next_index")

    def __init__(self, generation: bytes = b"", next_index: int = 0) -> None:
        self.generation = generation
        self.next_index = next_index
        self._delivered_unnumbered = False

    @property
    def can_resume(self) -> bool:
        """Whether the generation can be gone on with over another connection."""
        return bool(self.generation) and not self._delivered_unnumbered

    @property
    def has_delivered(self) -> bool:
        """Whether any event was delivered."""
        return self.next_index > 0 or self._delivered_unnumbered

    def evaluate(self, event: event_stream.Event) -> Verdict:
        """Decide on the next event and count it if it is to be delivered.

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
        # Whether an unnumbered event was seen before cannot be told after a resume. So it is
        # taken only while the whole answer is unnumbered, and such an answer never resumes.
        if self.generation:
            return Verdict.UNNUMBERED
        self._delivered_unnumbered = True
        return Verdict.DELIVER
