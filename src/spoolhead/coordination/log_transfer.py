"""Conversion between parts of a log and messages; performs no I/O."""

from spoolhead.coordination import consensus_messages as messages
from spoolhead.coordination import replicated_log as logs

APPEND_LIMIT_BYTES = 262_144
"""Limit for the entries in one message: a few of the largest tables seen (100 KiB)."""


def make_append(
    log: logs.ReplicatedLog, leader: str, next_index: int, *, commit_index: int, round_number: int
) -> messages.AppendRequest | None:
    """Return a message with the entries from an index on; without entries at the log's end.

    :param leader: id of the member that sends the message.
    :param next_index: index of the first entry to send.
    :returns: None if the term of the entry before that index is no longer known.
    """
    previous_term = log.get_term(next_index - 1)
    if previous_term is None:
        return None
    entries: list[logs.Entry] = []
    if next_index <= log.last_index:
        entries = log.get_entries(next_index, APPEND_LIMIT_BYTES)
    return messages.AppendRequest(
        term=log.vote.term,
        leader=leader,
        previous_index=next_index - 1,
        previous_term=previous_term,
        entries=[[entry.term, int(entry.kind), entry.data] for entry in entries],
        commit_index=commit_index,
        round_number=round_number,
    )


def read_entries(request: messages.AppendRequest) -> list[logs.Entry]:
    """Return the entries in a message."""
    return [logs.Entry(term, logs.EntryKind(kind), data) for term, kind, data in request.entries]


def make_offer(
    log: logs.ReplicatedLog, leader: str, *, round_number: int
) -> messages.SnapshotOffer:
    """Return a message with the whole state."""
    snapshot = log.snapshot
    return messages.SnapshotOffer(
        term=log.vote.term,
        leader=leader,
        index=snapshot.index,
        entry_term=snapshot.term,
        members=list(snapshot.members),
        target_size=snapshot.target_size,
        state=snapshot.state,
        former=list(snapshot.former),
        round_number=round_number,
    )


def read_snapshot(offer: messages.SnapshotOffer) -> logs.Snapshot:
    """Return the snapshot in a message."""
    return logs.Snapshot(
        offer.index,
        offer.entry_term,
        offer.members,
        offer.target_size,
        offer.state,
        offer.former,
    )
