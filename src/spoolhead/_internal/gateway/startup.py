"""When an entry that has just started may serve, and by which table; no I/O.

It waits for what would otherwise be got wrong by each that starts: a route that is new, an instance
that is not listed yet, a request that has ended instances before, an instance that asks for less.
"""

import enum

CONFIRMED_WAIT_S = 1.0
"""Longest wait at the start for more than half of the keepers to confirm the table, for a list of
instances and for what is held; an entry that can reach only a few keepers then serves with the
newest that they confirm. A start with an election takes less than a second."""
UNCONFIRMED_WAIT_S = 4.0
"""Wait after which an entry that reaches no more than half of the keepers takes a table that none
of them can confirm. It may be old, so callers are better off at the entries of other halls for as
long as the keepers may still be starting: they were seen to need 0.3 to 2 s."""


class StartupState:
    """What a starting entry knows.

    :ivar age_s: time since its start, in seconds.
    :ivar has_table: a table is in force.
    :ivar has_contents: the hub has told all that it knows of contents that may end instances.
    :ivar has_limits: the hub has told all rate limits that instances state.
    :ivar has_instances: a list of instances is here.
    :ivar is_sure: more than half of the keepers confirm the table that is in force.
    :ivar reaches_majority: more than half of the keepers that it follows can be reached.
    """

    __slots__ = (
        "age_s",
        "has_contents",
        "has_instances",
        "has_limits",
        "has_table",
        "is_sure",
        "reaches_majority",
    )

    def __init__(
        self,
        *,
        age_s: float,
        has_table: bool,
        has_contents: bool,
        has_limits: bool,
        has_instances: bool,
        is_sure: bool,
        reaches_majority: bool,
    ) -> None:
        self.age_s = age_s
        self.has_table = has_table
        self.has_contents = has_contents
        self.has_limits = has_limits
        self.has_instances = has_instances
        self.is_sure = is_sure
        self.reaches_majority = reaches_majority


class Step(enum.Enum):
    """What a starting entry does next."""

    WAIT = "wait"
    TAKE_UNCONFIRMED = "take-unconfirmed"
    SERVE = "serve"


def decide(known: StartupState) -> Step:
    """Return what a starting entry does next.

    Where most keepers can be reached, one of them will lead and confirm a table soon. Where they
    cannot, the hall is cut off and serves what it can.
    """
    if known.has_table:
        has_new = known.has_contents and known.has_limits
        is_complete = known.is_sure and known.has_instances and has_new
        return Step.SERVE if is_complete or known.age_s > CONFIRMED_WAIT_S else Step.WAIT
    if known.age_s > UNCONFIRMED_WAIT_S and not known.reaches_majority:
        return Step.TAKE_UNCONFIRMED
    return Step.WAIT
