"""Policy sets for comparisons: a naive one, and the real one with one mechanism off each."""

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
    """First come, first served, no limits, nothing refused."""

    def offer(self, waiting, now_s):
        """Take everything."""
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
    """Round robin, at once."""

    _turn = 0

    def choose(self, demand, service, pool, now_s):
        """Take the next one that has not failed for this request."""
        members = [
            item for hall in sorted(pool.get_halls(first="")) for item in pool.get_hall(hall)
        ]
        members = [item for item in members if item.name not in demand.excluded] or members
        self._turn += 1
        chosen = members[self._turn % len(members)] if members else None
        return placement.Choice(chosen, 0.0, ())


def decide_naively(failed, budget):
    """Try again on any error, while nothing was delivered."""
    may_retry = failed.attempts_left > 0 and not failed.has_delivered and not failed.is_once
    return retry.NextStep.RETRY if may_retry else retry.NextStep.GIVE_UP


class PatientPace(pace.Pace):
    """Never calls a stream stalled."""

    def is_stalled(self, now_s):
        """Return False."""
        return False


class FixedLengths(lengths.LengthModel):
    """Expects the same length of every answer."""

    def get_profile(self, workspace, service, *, prompt_tokens, generated_tokens, limit_tokens):
        """Return the memory of an answer that ends at the fixed length."""
        rest = max(1.0, min(FIXED_LENGTH_TOKENS, limit_tokens) - generated_tokens)
        held = prompt_tokens + generated_tokens
        return [held + ahead if ahead < rest else 0.0 for ahead in lengths.HORIZONS_TOKENS]


class UnboundPlacement(placement.Placement):
    """Sends at once to the emptiest engine, whatever would fill."""

    def _evaluate_engine(self, replica, planned, capacity_fraction, now_s):
        candidate = super()._evaluate_engine(replica, planned, capacity_fraction, now_s)
        return placement.Candidate(candidate.name, candidate.fill, "")


class FixedLimitPlacement(placement.Placement):
    """Plans with a fixed limit for every engine."""

    limit = 1.0

    def _evaluate_engine(self, replica, planned, capacity_fraction, now_s):
        replica.operating_point.limit = self.limit
        return super()._evaluate_engine(replica, planned, capacity_fraction, now_s)


class HerdingPlacement(placement.Placement):
    """Takes all the room that a report shows for this entry."""

    @property
    def entry_count(self):
        """Always one."""
        return 1

    @entry_count.setter
    def entry_count(self, count):
        pass


class UnfairAdmission(admission.Admission):
    """Keeps limits, but serves in order of arrival."""

    def _get_rank(self, row, name, first, now_s):
        return 0, 0.0, first.arrived_s


class HaltlessAdmission(admission.Admission):
    """Refuses nothing because of its deadline."""

    def _get_expected_wait_s(self, queue, waiting, now_s):
        return 0.0


SETS = {
    "real": policy_set.PolicySet(),
    "naive": policy_set.PolicySet(
        make_admission=NaiveAdmission,
        make_placement=NaivePlacement,
        make_pace=PatientPace,
        decide_retry=decide_naively,
    ),
    "no-holding-back": policy_set.PolicySet(make_placement=UnboundPlacement),
    "fixed-limit": policy_set.PolicySet(make_placement=FixedLimitPlacement),
    "fixed-lengths": policy_set.PolicySet(make_lengths=FixedLengths),
    "herding": policy_set.PolicySet(make_placement=HerdingPlacement),
    "no-fairness": policy_set.PolicySet(make_admission=UnfairAdmission),
    "no-stall-resume": policy_set.PolicySet(make_pace=PatientPace),
    "no-early-refusal": policy_set.PolicySet(make_admission=HaltlessAdmission),
}
