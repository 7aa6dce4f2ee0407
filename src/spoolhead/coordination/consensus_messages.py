"""Messages between the members of a replicated log.

A member id consists of an address and a mark that is drawn anew whenever a member starts with empty
storage. A member that has lost its storage therefore has a new id and is never mistaken for the
previous member at its address.
"""

import dataclasses

ID_SEPARATOR = "#"


def make_member_id(address: str, mark: str) -> str:
    """Return the id of a member.

    :param address: ``IP:PORT`` of the member.
    :param mark: distinguishes successive members at one address.
    """
    return f"{address}{ID_SEPARATOR}{mark}"


def get_address(member_id: str) -> str:
    """Return the address part of a member id."""
    return member_id.partition(ID_SEPARATOR)[0]


def _message(cls: type) -> type:
    return dataclasses.dataclass(slots=True, kw_only=True)(cls)


@_message
class VoteRequest:
    """A candidate requests a vote.

    :ivar term: term in which the candidate wants to lead.
    :ivar candidate: id of the candidate.
    :ivar last_index: index of the candidate's last log entry.
    :ivar last_term: term of the candidate's last log entry.
    :ivar is_trial: whether this is a trial vote (Raft's pre-vote), which is not binding and only
        shows whether a real election could be won.
    """

    term: int
    candidate: str
    last_index: int
    last_term: int
    is_trial: bool


@_message
class VoteReply:
    """Reply to a vote request.

    :ivar term: the voter's term; for a granted trial vote, the requested term.
    :ivar voter: id of the voter.
    :ivar granted: whether the vote is given to the candidate.
    :ivar is_trial: whether this is a reply to a trial vote.
    """

    term: int
    voter: str
    granted: bool
    is_trial: bool


@_message
class AppendRequest:
    """Log entries from the leader; without entries it is a heartbeat.

    :ivar term: term of the leader.
    :ivar leader: id of the leader.
    :ivar previous_index: index of the entry before the first one sent.
    :ivar previous_term: term of that entry.
    :ivar entries: term, kind and data of each entry.
    :ivar commit_index: index up to which the leader knows entries to be committed.
    :ivar round_number: number of the broadcast, echoed in the reply.
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
    """Reply to log entries or to a snapshot.

    :ivar term: term of the follower.
    :ivar follower: id of the follower.
    :ivar accepted: whether the follower's log matches the leader's up to ``match_index``.
    :ivar match_index: index up to which the logs match; in a refusal, a hint at the follower's last
        index that may match.
    :ivar round_number: number of the broadcast that is answered.
    """

    term: int
    follower: str
    accepted: bool
    match_index: int
    round_number: int


@_message
class SnapshotOffer:
    """The leader's whole state, for a follower whose log is too far behind.

    :ivar term: term of the leader.
    :ivar leader: id of the leader.
    :ivar index: index of the last entry that the state includes.
    :ivar entry_term: term of that entry.
    :ivar members: ids of the members at that index.
    :ivar target_size: intended number of members.
    :ivar state: the serialized state.
    :ivar former: ids of the former members if a change of members was in progress at that index.
    :ivar round_number: number of the broadcast, echoed in the reply.
    """

    term: int
    leader: str
    index: int
    entry_term: int
    members: list
    target_size: int
    state: bytes
    former: list
    round_number: int


@_message
class JoinRequest:
    """A process requests to become a member.

    :ivar member: id of the process.
    :ivar is_first_start: whether the whole system starts for the first time, so that the process is
        an additional member and not the replacement of a lost one.
    :ivar is_forwarded: whether a follower forwarded the request. A forwarded request is not
        forwarded again, so that two followers that take each other for the leader do not send it
        back and forth.
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
"""Message classes by their tag on the wire."""
