"""What to do when an attempt fails: go on with the generation, try again, or give up."""

import enum

from spoolhead._internal.models import codes

BUDGET_PER_REQUEST = 0.1
MAX_BUDGET = 20.0


class NextStep(enum.Enum):
    """What follows a failed attempt."""

    RESUME = "resume"
    RETRY = "retry"
    GIVE_UP = "give-up"


class FailedAttempt:
    """What is known when an attempt has failed.

    :ivar may_have_arrived: the upstream may have got bytes of the request.
    :ivar refused: the upstream answered that it did not take the request.
    :ivar has_delivered: the caller has got a part of the answer.
    :ivar can_resume: the engine numbers the generation's events.
    :ivar is_once: the request must not be repeated.
    :ivar attempts_left: attempts that may still be made for this request.
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
    """Bounds retries to a part of all requests, so that they never amplify an overload."""

    __slots__ = ("tokens",)

    def __init__(self) -> None:
        self.tokens = MAX_BUDGET / 2

    def record_request(self) -> None:
        """Earn a part of a retry with a new request."""
        self.tokens = min(MAX_BUDGET, self.tokens + BUDGET_PER_REQUEST)

    def try_acquire(self) -> bool:
        """Spend one retry; False if there is none left."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


def decide(failed: FailedAttempt, budget: RetryBudget) -> NextStep:
    """Decide what follows a failed attempt.

    A different generation is never joined to tokens already delivered, and a request that must
    not be repeated is sent again only when no upstream can have seen it.

    :param budget: charged where the answer is to try again.
    """
    if failed.attempts_left <= 0:
        return NextStep.GIVE_UP
    if failed.has_delivered:
        return NextStep.RESUME if failed.can_resume else NextStep.GIVE_UP
    # Whoever answers "refused" has read the request; only its word says that it did not act.
    if failed.is_once and failed.may_have_arrived:
        return NextStep.GIVE_UP
    # An attempt that never reached its upstream cost it nothing, so trying again amplifies
    # nothing; the number of attempts bounds it.
    if not failed.may_have_arrived:
        return NextStep.RETRY
    return NextStep.RETRY if budget.try_acquire() else NextStep.GIVE_UP


def get_ran(failed: FailedAttempt) -> codes.Ran:
    """Tell a caller whether its request ran, when no further attempt is made."""
    if failed.has_delivered:
        return codes.Ran.YES
    if not failed.may_have_arrived:
        return codes.Ran.NO
    if failed.refused and not failed.is_once:
        return codes.Ran.NO
    return codes.Ran.UNKNOWN
