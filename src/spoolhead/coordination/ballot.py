"""The votes that a candidate has received; performs no I/O."""

from collections.abc import Set


class Ballot:
    """Votes for one member, in a trial election (Raft's pre-vote) or in a real election.

    :ivar is_open: whether the member is a candidate.
    :ivar is_trial: whether the election is a trial.
    :ivar record_number: number of the record that holds the member's own vote; it must be synced
        before the member may lead.
    """

    __slots__ = ("_voters", "is_open", "is_trial", "record_number")

    def __init__(self) -> None:
        self.is_open = False
        self.is_trial = False
        self.record_number = 0
        self._voters: set[str] = set()

    def begin(self, candidate: str, *, is_trial: bool) -> None:
        """Start an election with the candidate's own vote."""
        self.is_open = True
        self.is_trial = is_trial
        self._voters = {candidate}

    def close(self) -> None:
        """End the candidacy."""
        self.is_open = False

    def add(self, voter: str) -> None:
        """Count a vote; repeated votes of one member count once."""
        self._voters.add(voter)

    def get_voters(self) -> Set[str]:
        """Return the ids of the members that have voted for the candidate."""
        return self._voters
