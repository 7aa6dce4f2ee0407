"""Decides when a starting entry may serve requests, and with which route table.

An entry that served before its data is complete would refuse requests on new routes, miss
instances, run contents that have crashed instances and exceed rate limits. Performs no I/O; the
current time is passed in.
"""

import enum

CONFIRMED_WAIT_S = 1.0
"""Maximum wait for a majority of the keepers to confirm the table, and for the instance list, the
held contents and the rate limits. After it, an entry that reaches only a minority of the keepers
serves with the newest table that they confirm. A start that includes an election takes less than a
second."""
UNCONFIRMED_WAIT_S = 4.0
"""Wait after which an entry that reaches no majority of the keepers accepts a table that none of
them can confirm. Such a table may be outdated, so callers should use the entries of other halls
as long as the keepers may still be starting, which takes 0.3 to 2 s."""


class StartupState:
    """The state of a starting entry.

    :ivar age_s: time since its start, in seconds.
    :ivar has_table: whether a table is in force.
    :ivar has_contents: whether a hub has sent all known contents that may crash instances.
    :ivar has_limits: whether a hub has sent all known rate limits of instances.
    :ivar has_instances: whether an instance list has arrived.
    :ivar is_sure: whether a majority of the keepers confirms the table in force.
    :ivar reaches_majority: whether a majority of the followed keepers is reachable.
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
    """The next action of a starting entry."""

    WAIT = "wait"
    TAKE_UNCONFIRMED = "take-unconfirmed"
    SERVE = "serve"


def decide(state: StartupState) -> Step:
    """Return the next action of a starting entry.

    If a majority of the keepers is reachable, one of them will become leader and confirm a table
    soon. Otherwise the hall is cut off, and serving with an unconfirmed table is the best option.
    """
    if state.has_table:
        has_hub_data = state.has_contents and state.has_limits
        is_complete = state.is_sure and state.has_instances and has_hub_data
        return Step.SERVE if is_complete or state.age_s > CONFIRMED_WAIT_S else Step.WAIT
    if state.age_s > UNCONFIRMED_WAIT_S and not state.reaches_majority:
        return Step.TAKE_UNCONFIRMED
    return Step.WAIT
