"""A member's own candidacy; no I/O."""

from collections.abc import Iterable


class Ballot:
    """Votes for one member, in a trial that binds nobody or in a real election.

    :ivar is_open: the member is a candidate.
    :ivar is_trial: what it stands in is a trial.
    :ivar record_number: record that must be synced before the member may lead: its own vote.
    """

    __slots__ = ("_voters", "is_open", "is_trial", "record_number")

    def __init__(self) -> None:
        self.is_open = False
        self.is_trial = False
        self.record_number = 0
        self._voters: set[str] = set()

    def begin(self, candidate: str, *, is_trial: bool) -> None:
        """Stand, with the candidate's own vote."""
        self.is_open = True
        self.is_trial = is_trial
        self._voters = {candidate}

    def close(self) -> None:
        """Be no candidate any more."""
        self.is_open = False

    def add(self, voter: str) -> None:
        """Count a vote; one that comes twice counts once."""
        self._voters.add(voter)

    def count(self, members: Iterable[str]) -> int:
        """Return the votes of some members."""
        return len(self._voters.intersection(members))
