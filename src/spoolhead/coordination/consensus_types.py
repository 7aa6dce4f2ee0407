"""What the owner of a member of a replicated log gives to it and gets from it."""

from typing import Protocol

from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import replicated_log as logs


class Timing:
    """Times of the algorithm, in milliseconds.

    :ivar heartbeat_ms: between two broadcasts of a leader.
    :ivar election_ms: shortest silence of the leader before a member stands; the longest is
        twice that. Several heartbeats, and more than a sync of a slow disk.
    :ivar lost_ms: silence of a member before a newcomer may take its place.
    :ivar newcomer_ms: time for which a request to join counts.
    """

    __slots__ = ("election_ms", "heartbeat_ms", "lost_ms", "newcomer_ms")

    def __init__(
        self,
        *,
        heartbeat_ms: int = 100,
        election_ms: int = 500,
        lost_ms: int = 1_500,
        newcomer_ms: int = 1_500,
    ) -> None:
        self.heartbeat_ms = heartbeat_ms
        self.election_ms = election_ms
        self.lost_ms = lost_ms
        self.newcomer_ms = newcomer_ms


class StateMachine(Protocol):
    """What the log's changes act on."""

    def apply(self, data: bytes) -> None:
        """Carry out a committed change."""

    def dump(self) -> bytes:
        """Return the whole state."""

    def load(self, state: bytes) -> None:
        """Replace the whole state."""


class Envelope:
    """A message to send.

    :ivar address: ``IP:PORT`` of the receiver.
    :ivar message: the message.
    :ivar after_record: number of the record that must be synced before; 0 for none.
    """

    __slots__ = ("address", "after_record", "message")

    def __init__(self, address: str, message: messages.Message, after_record: int) -> None:
        self.address = address
        self.message = message
        self.after_record = after_record


class Effects:
    """What the owner has to do.

    :ivar records: records to write in order, numbered on from the last ones.
    :ivar envelopes: messages to send.
    """

    __slots__ = ("envelopes", "records")

    def __init__(self) -> None:
        self.records: list[logs.Record] = []
        self.envelopes: list[Envelope] = []
