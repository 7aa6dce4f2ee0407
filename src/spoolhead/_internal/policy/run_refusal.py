"""Decides whether a waiting generation is refused, and when its caller should return.

Performs no I/O; the current time is passed in.

A queue that is longer than its callers' patience makes every answer late, so a generation that is
not expected to start within its objective is refused when it arrives. One that was expected to
start in time and has waited keeps its place until a later bound.
"""

from spoolhead._internal.policy import run_admission

EARLY_FRACTION = 1 / 8
"""Share of the objective after the arrival within which a generation is refused if it is not
expected to start in time: its caller has nearly all of its time left."""
MIN_START_FRACTION = 0.5
"""Share of the objective within which any generation may start, whatever its prefill takes."""
MAX_WAIT_OBJECTIVES = 2.0
"""Latest start after the arrival, as a multiple of the objective."""
MAX_WAIT_FRACTION = 0.5
"""Latest start as a fraction of the time until the deadline; the answer needs the rest."""


def get_in_time_ms(request: run_admission.Request) -> int:
    """Return how long after its arrival a generation may start to meet its objective."""
    prefill_ms = request.prompt_tokens / run_admission.PREFILL_TOKENS_PER_MS
    earliest_ms = request.objective_ms * MIN_START_FRACTION
    return int(max(earliest_ms, request.objective_ms - prefill_ms))


def get_max_wait_ms(request: run_admission.Request, timeout_ms: int) -> int:
    """Return how long after its arrival a generation may start at the latest.

    :param timeout_ms: time from its arrival to its deadline.
    """
    return int(min(request.objective_ms * MAX_WAIT_OBJECTIVES, timeout_ms * MAX_WAIT_FRACTION))


def should_refuse(
    request: run_admission.Request,
    timeout_ms: int,
    wait_ms: int | None,
    now_s: float,
    *,
    is_return: bool = False,
) -> bool:
    """Return whether a waiting generation is refused.

    :param timeout_ms: time from its arrival to its deadline.
    :param wait_ms: expected time until it can start; None if unknown.
    :param is_return: whether its caller was refused before and returns when asked; it is late
        already, and another refusal would make its wait useless.
    """
    waited_ms = (now_s - request.arrived_s) * 1000
    max_wait_ms = get_max_wait_ms(request, timeout_ms)
    if waited_ms >= max_wait_ms:
        return True
    if wait_ms is None:
        return False
    is_early = waited_ms <= request.objective_ms * EARLY_FRACTION
    if is_early and not is_return:
        max_wait_ms = min(max_wait_ms, get_in_time_ms(request))
    return waited_ms + wait_ms > max_wait_ms


def compute_retry_after_ms(remaining_ms: int, return_ms: int | None) -> int:
    """Return the time after which a refused caller should return.

    :param remaining_ms: time for which the caller still waits for the answer.
    :param return_ms: expected time until there is room for it; None if unknown.
    """
    if return_ms is None:
        return run_admission.compute_retry_after_ms(remaining_ms)
    return max(run_admission.MIN_RETRY_AFTER_MS, return_ms)
