"""The policies of an entry as one object, so that benchmarks and tests can replace single
policies."""

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
    """Factories of an entry's policies.

    :ivar make_admission: creates the request queues.
    :ivar make_lengths: creates the length model.
    :ivar make_placement: creates the placement of requests on upstreams.
    :ivar make_pace: creates the stall detector of one stream.
    :ivar decide_retry: decides what to do after a failed attempt.
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
