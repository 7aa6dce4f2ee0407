"""The decisions of an entry, bundled, so that benches and tests can exchange one of them."""

import random
from collections.abc import Callable, Mapping

from spoolhead._internal.models import rows
from spoolhead._internal.policy import admission, lengths, pace, placement, retry

MakeAdmission = Callable[[Mapping[str, rows.WorkspaceRow]], admission.Admission]
MakeLengths = Callable[[], lengths.LengthModel]
MakePlacement = Callable[[str, lengths.LengthModel, random.Random], placement.Placement]
MakePace = Callable[[float], pace.Pace]
DecideRetry = Callable[[retry.FailedAttempt, retry.RetryBudget], retry.NextStep]


class PolicySet:
    """What decides.

    :ivar make_admission: makes the queues and limits.
    :ivar make_lengths: makes the model of lengths.
    :ivar make_placement: makes the chooser of upstreams.
    :ivar make_pace: makes the judge of one stream's pace.
    :ivar decide_retry: decides what follows a failed attempt.
    """

    __slots__ = ("decide_retry", "make_admission", "make_lengths", "make_pace", "make_placement")

    def __init__(
        self,
        *,
        make_admission: MakeAdmission = admission.Admission,
        make_lengths: MakeLengths = lengths.LengthModel,
        make_placement: MakePlacement = placement.Placement,
        make_pace: MakePace = pace.Pace,
        decide_retry: DecideRetry = retry.decide,
    ) -> None:
        self.make_admission = make_admission
        self.make_lengths = make_lengths
        self.make_placement = make_placement
        self.make_pace = make_pace
        self.decide_retry = decide_retry
