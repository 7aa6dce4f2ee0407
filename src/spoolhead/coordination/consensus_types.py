"""Types that a member of a replicated log exchanges with its owner."""

from typing import Protocol

from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import replicated_log as logs


class Timing:
    """Intervals and timeouts of the algorithm, in milliseconds.

    :ivar heartbeat_ms: interval between two broadcasts of a leader.
    :ivar election_ms: shortest election timeout; the longest is twice that. It must exceed several
        heartbeat intervals and the sync time of a slow disk.
    :ivar lost_ms: time without a reply after which a member may be replaced by a newcomer.
    :ivar newcomer_ms: time for which a request to join is valid.
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
    """The state that the log's changes modify."""

    def apply(self, data: bytes) -> None:
        """Apply a committed change."""

    def dump(self) -> bytes:
        """Return the serialized state."""

    def load(self, state: bytes) -> None:
        """Replace the whole state."""


class Envelope:
    """A message to send.

    :ivar address: ``IP:PORT`` of the recipient.
    :ivar message: the message.
    :ivar after_record: number of the record that must be synced before the message is sent; 0 for
        none.
    """

    __slots__ = ("address", "after_record", "message")

    def __init__(self, address: str, message: messages.Message, after_record: int) -> None:
        self.address = address
        self.message = message
        self.after_record = after_record


class Effects:
    """Actions that the owner must carry out.

    :ivar records: records to write, in order; their numbers continue from those of earlier records.
    :ivar envelopes: messages to send.
    """

    __slots__ = ("envelopes", "records")

    def __init__(self) -> None:
        self.records: list[logs.Record] = []
        self.envelopes: list[Envelope] = []


class Conflict:
    """Two committed entries that differ; the member that has one of them has stopped taking part.

    :ivar index: index of the entries.
    :ivar term: term of this member's entry.
    :ivar leader: id of the leader that sent the other entry.
    :ivar leader_term: term of the leader's entry.
    """

    __slots__ = ("index", "leader", "leader_term", "term")

    def __init__(self, index: int, term: int, leader: str, leader_term: int) -> None:
        self.index = index
        self.term = term
        self.leader = leader
        self.leader_term = leader_term
