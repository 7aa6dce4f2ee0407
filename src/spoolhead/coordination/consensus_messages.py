"""Messages between the members of a replicated log.

A member's id is its address with a mark behind it that is drawn anew whenever its storage
begins empty, so a member that has lost its memory never counts as its former self.
"""

import dataclasses

ID_SEPARATOR = "#"


def make_member_id(address: str, mark: str) -> str:
    """Return the id of a member.

    :param address: ``IP:PORT`` of the member.
    :param mark: tells apart the lives of one address.
    """
    return f"{address}{ID_SEPARATOR}{mark}"


def get_address(member_id: str) -> str:
    """Return the address that a member's id begins with."""
    return member_id.partition(ID_SEPARATOR)[0]


def _message(cls: type) -> type:
    return dataclasses.dataclass(slots=True, kw_only=True)(cls)


@_message
class VoteRequest:
    """A member asks for a vote.

    :ivar term: term that it wants to lead.
    :ivar candidate: its id.
    :ivar last_index: index of its last log entry.
    :ivar last_term: term of its last log entry.
    :ivar is_trial: the vote binds nobody; it asks whether a real one could be won.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_trial: bool


@_message
class VoteReply:
    """Answer to a request for a vote.

    :ivar term: the voter's term, or for a trial that was granted the term asked for.
    :ivar voter: the voter's id.
    :ivar granted: whether it votes for the candidate.
    :ivar is_trial: answers a trial.
    """

    term: int
    voter: str
    granted: bool
    is_trial: bool


@_message
class AppendRequest:
    """The leader sends log entries; without any it is a heartbeat.

    :ivar term: the leader's term.
    :ivar leader: the leader's id.
    :ivar previous_index: index of the entry before the first one sent.
    :ivar previous_term: term of that entry.
    :ivar entries: for each entry its term, kind and data.
    :ivar commit_index: index up to which the leader knows entries to be committed.
    :ivar round_number: number of the broadcast, echoed in the answer.
    """

    term: int
    leader: str
    previous_index: int
    previous_term: int
    entries: list
    commit_index: int
    round_number: int


@_message
class AppendReply:
    """Answer to log entries or a snapshot.

    :ivar term: the follower's term.
    :ivar follower: its id.
    :ivar accepted: its log agrees with the leader's up to ``match_index``.
    :ivar match_index: index up to which it agrees; of a refusal, its last index.
    :ivar round_number: number of the broadcast it answers.
    """

    term: int
    follower: str
    accepted: bool
    match_index: int
    round_number: int


@_message
class SnapshotOffer:
    """The leader sends its whole state to a follower whose log is too far behind.

    :ivar term: the leader's term.
    :ivar leader: the leader's id.
    :ivar index: index of the last entry that the state includes.
    :ivar entry_term: term of that entry.
    :ivar members: ids of the members at that index.
    :ivar target_size: members wanted.
    :ivar state: the state.
    :ivar round_number: number of the broadcast, echoed in the answer.
    """

    term: int
    leader: str
    index: int
    entry_term: int
    members: list
    target_size: int
    state: bytes
    round_number: int


@_message
class JoinRequest:
    """A process asks to become a member.

    :ivar member: its id.
    :ivar is_first_start: the whole system starts for the first time, so this is an additional
        member and not the successor of a lost one.
    :ivar is_forwarded: a member that does not lead passed it on; it is not passed on again, so
        two members that take each other for the leader do not send it to and fro.
    """

    member: str
    is_first_start: bool
    is_forwarded: bool = False


Message = VoteRequest | VoteReply | AppendRequest | AppendReply | SnapshotOffer | JoinRequest
CLASSES: dict[int, type] = {
    60: VoteRequest,
    61: VoteReply,
    62: AppendRequest,
    63: AppendReply,
    64: SnapshotOffer,
    65: JoinRequest,
}
"""Tags of the messages on the wire."""
