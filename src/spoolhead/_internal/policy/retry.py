"""Decides what to do after a failed attempt: resume the generation, retry or give up."""

import enum

from spoolhead._internal.models import codes

BUDGET_PER_REQUEST = 0.1
"""Retries that each new request adds to the budget."""

MAX_BUDGET = 20.0


class NextStep(enum.Enum):
    """Action after a failed attempt."""

    RESUME = "resume"
    RETRY = "retry"
    GIVE_UP = "give-up"


class FailedAttempt:
    """State of a request after a failed attempt.

    :ivar may_have_arrived: whether an upstream may have received a part of the request.
    :ivar refused: whether the upstream answered that it did not run the request.
    :ivar has_delivered: whether the caller has received a part of the answer.
    :ivar can_resume: whether the engine numbers the generation's events.
    :ivar is_once: whether the request must not be repeated.
    :ivar attempts_left: number of attempts that may still be made for this request.
    """

    __slots__ = (
        "attempts_left",
        "can_resume",
        "has_delivered",
        "is_once",
        "may_have_arrived",
        "refused",
    )

    def __init__(
        self,
        *,
        may_have_arrived: bool,
        refused: bool,
        has_delivered: bool,
        can_resume: bool,
        is_once: bool,
        attempts_left: int,
    ) -> None:
        self.may_have_arrived = may_have_arrived
        self.refused = refused
        self.has_delivered = has_delivered
        self.can_resume = can_resume
        self.is_once = is_once
        self.attempts_left = attempts_left


class RetryBudget:
    """Limits retries to a fraction of all requests, so that they do not amplify an overload."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = MAX_BUDGET / 2

    def record_request(self) -> None:
        """Add a new request's fraction of a retry to the budget."""
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_PER_REQUEST)

    def try_acquire(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def decide(failed: FailedAttempt, budget: RetryBudget) -> NextStep:
    """Decide what to do after a failed attempt.

    Tokens of a new generation are never appended to tokens already delivered, and a request that
    must not be repeated is sent again only if no upstream can have received it.

    :param budget: charged for a retry of a request that may have reached an upstream.
    """
    if failed.attempts_left <= 0:
        return NextStep.GIVE_UP
    if failed.has_delivered:
        return NextStep.RESUME if failed.can_resume else NextStep.GIVE_UP
    # An upstream that refused has read the request; only its own answer says that it did not run.
    if failed.is_once and failed.may_have_arrived:
        return NextStep.GIVE_UP
    # An attempt that did not reach its upstream cost it nothing, so a retry does not amplify an
    # overload; the number of attempts limits such retries.
    if not failed.may_have_arrived:
        return NextStep.RETRY
    return NextStep.RETRY if budget.try_acquire() else NextStep.GIVE_UP


def get_ran(failed: FailedAttempt) -> codes.Ran:
    """Return whether the request ran, for the caller, if no further attempt is made."""
    if failed.has_delivered:
        return codes.Ran.YES
    if not failed.may_have_arrived:
        return codes.Ran.NO
    if failed.refused and not failed.is_once:
        return codes.Ran.NO
    return codes.Ran.UNKNOWN
