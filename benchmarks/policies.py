"""Policy sets for comparisons: a naive one, and the real one with a single mechanism disabled."""

import expression

from spoolhead._internal.policy import (
    admission,
    lengths,
    pace,
    placement,
    policy_set,
    retry,
)

FIXED_LENGTH_TOKENS = 256.0


class NaiveAdmission(admission.Admission):
    """First come, first served; without limits or refusals."""

    def offer(self, waiting, now_s):
        """Accept every request."""
        queue = self._queues.setdefault(waiting.service, admission._Queue())
        self._append(queue, self._get_account(waiting.workspace, now_s), waiting)
        return expression.Ok(None)

    def iterate(self, service, now_s):
        """Yield in order of arrival."""
        queue = self._queues.get(service)
        if queue is None:
            return iter(())
        waiting = [item for own in queue.by_workspace.values() for item in own]
        return iter(sorted(waiting, key=lambda item: item.arrived_s))


class NaivePlacement(placement.Placement):
    """Round robin; requests never wait."""

    _next_index = 0

    def choose(self, demand, service, pool, now_s):
        """Return the next upstream that has not failed for this request."""
        members = [
            item for hall in sorted(pool.get_halls(first="")) for item in pool.get_hall(hall)
        ]
        members = [item for item in members if item.name not in demand.excluded] or members
        self._next_index += 1
        chosen = members[self._next_index % len(members)] if members else None
        return placement.Choice(chosen, 0.0, ())


def decide_naively(failed, budget):
    """Retry after any error, as long as nothing was delivered."""
    may_retry = failed.attempts_left > 0 and not failed.has_delivered and not failed.is_once
    return retry.NextStep.RETRY if may_retry else retry.NextStep.GIVE_UP


class NoStallPace(pace.Pace):
    """Never considers a stream stalled."""

    def is_stalled(self, now_s):
        """Return False."""
        return False


class FixedLengths(lengths.LengthModel):
    """Predicts the same length for every answer."""

    def get_profile(self, workspace, service, *, prompt_tokens, generated_tokens, limit_tokens):
        """Return the predicted memory of an answer that ends at the fixed length."""
        rest = max(1.0, min(FIXED_LENGTH_TOKENS, limit_tokens) - generated_tokens)
        held = prompt_tokens + generated_tokens
        return [held + ahead if ahead < rest else 0.0 for ahead in lengths.HORIZONS_TOKENS]


class UnboundedPlacement(placement.Placement):
    """Sends immediately to the least loaded engine, even if its memory would overflow."""

    def _evaluate_engine(self, replica, planned, capacity_fraction, now_s):
        candidate = super()._evaluate_engine(replica, planned, capacity_fraction, now_s)
        return placement.Candidate(candidate.name, candidate.fill, "")


class FixedLimitPlacement(placement.Placement):
    """Plans with the same fixed limit for every engine."""

    limit = 1.0

    def _evaluate_engine(self, replica, planned, capacity_fraction, now_s):
        replica.operating_point.limit = self.limit
        return super()._evaluate_engine(replica, planned, capacity_fraction, now_s)


class HerdingPlacement(placement.Placement):
    """Plans as if this entry were the only one that uses the free memory in a report."""

    @property
    def entry_count(self):
        """Return 1."""
        return 1

    @entry_count.setter
    def entry_count(self, count):
        pass


class UnfairAdmission(admission.Admission):
    """Enforces limits, but serves in order of arrival."""

    def _get_rank(self, row, name, first, now_s):
        return 0, 0.0, first.arrived_s


class NoEarlyRefusalAdmission(admission.Admission):
    """Never refuses a request because its deadline would be missed."""

    def _get_expected_wait_s(self, queue, waiting, now_s):
        return 0.0


SETS = {
    "real": policy_set.PolicySet(),
    "naive": policy_set.PolicySet(
        make_admission=NaiveAdmission,
        make_placement=NaivePlacement,
        make_pace=NoStallPace,
        decide_retry=decide_naively,
    ),
    "no-holding-back": policy_set.PolicySet(make_placement=UnboundedPlacement),
    "fixed-limit": policy_set.PolicySet(make_placement=FixedLimitPlacement),
    "fixed-lengths": policy_set.PolicySet(make_lengths=FixedLengths),
    "herding": policy_set.PolicySet(make_placement=HerdingPlacement),
    "no-fairness": policy_set.PolicySet(make_admission=UnfairAdmission),
    "no-stall-resume": policy_set.PolicySet(make_pace=NoStallPace),
    "no-early-refusal": policy_set.PolicySet(make_admission=NoEarlyRefusalAdmission),
}
