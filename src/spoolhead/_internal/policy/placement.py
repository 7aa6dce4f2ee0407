"""Chooses an upstream of the requested service for each request.

Load reports lag, and several entries choose from the same reports without coordination. An entry
therefore evaluates a random sample, counts the requests that it has sent since a report, and uses
only its share of the free memory that a report shows.
"""

import random
from collections.abc import Sequence

from spoolhead._internal.models import load_report, rows
from spoolhead._internal.policy import lengths, replicas

SAMPLE_SIZE = 8
"""Upstreams of one hall evaluated for one request, so that the cost is independent of the fleet's
size."""

QUEUE_FRACTION = 1 / 8
"""Requests that may wait inside an engine for its next step, as a fraction of its running
requests."""

MIN_QUEUE = 2
"""Requests that may always wait inside an engine, even if few run."""

SENT_FRACTION = 1 / 2
"""Requests that may wait inside an engine, as a fraction of those sent between the last two
reports."""


class Demand:
    """A request's demand on an upstream.

    :ivar workspace: workspace that sent the request.
    :ivar service: requested service.
    :ivar prompt_tokens: estimated length of the prompt.
    :ivar limit_tokens: maximum length of the answer.
    :ivar excluded: names of upstreams that failed for this request.
    """

    __slots__ = (
        "excluded",
        "limit_tokens",
        "prompt_tokens",
        "service",
        "workspace",
    )

    def __init__(
        self,
        *,
        workspace: str,
        service: str,
        prompt_tokens: int,
        limit_tokens: int,
        excluded: frozenset[str] = frozenset(),
    ) -> None:
        self.workspace = workspace
        self.service = service
        self.prompt_tokens = prompt_tokens
        self.limit_tokens = limit_tokens
        self.excluded = excluded


class Candidate:
    """An upstream that was evaluated.

    :ivar name: name of the upstream.
    :ivar fill: planned use as a fraction of its planning limit; lower is better.
    :ivar lost_because: why it was not chosen; empty for the chosen upstream.
    """

    __slots__ = ("fill", "lost_because", "name")

    def __init__(self, name: str, fill: float, lost_because: str) -> None:
        self.name = name
        self.fill = fill
        self.lost_because = lost_because


class Choice:
    """Result of a placement.

    :ivar replica: the chosen upstream, or None if the request has to wait.
    :ivar planned_tokens: maximum expected memory of the request over all horizons.
    :ivar candidates: all upstreams that were evaluated.
    """

    __slots__ = ("candidates", "planned_tokens", "replica")

    def __init__(
        self,
        replica: replicas.Replica | None,
        planned_tokens: float,
        candidates: Sequence[Candidate],
    ) -> None:
        self.replica = replica
        self.planned_tokens = planned_tokens
        self.candidates = list(candidates)


class Placement:
    """Chooses upstreams for one entry.

    :param hall: hall of the entry; its upstreams are preferred.
    :param length_model: predicts the memory of answers.
    :param rng: random generator for samples and ties.
    :ivar entry_count: number of entries that share the upstreams, including this one.
    """

    def __init__(self, hall: str, length_model: lengths.LengthModel, rng: random.Random) -> None:
        self._hall = hall
        self._length_model = length_model
        self._rng = rng
        self.entry_count = 1

    def choose(
        self,
        demand: Demand,
        service: rows.ServiceRow,
        pool: "Pool",
        now_s: float,
    ) -> Choice:
        """Choose an upstream for a request.

        :param demand: the request's demand.
        :param service: row of the requested service.
        :param pool: upstreams of the service.
        :param now_s: monotonic time in seconds.
        """
        planned_profile = self._length_model.get_profile(
            demand.workspace,
            demand.service,
            prompt_tokens=demand.prompt_tokens,
            generated_tokens=0,
            limit_tokens=demand.limit_tokens,
        )
        candidates: list[Candidate] = []
        for hall in pool.get_halls(first=self._hall):
            sample = self._sample(pool.get_hall(hall))
            best = self._choose_in_hall(demand, service, sample, planned_profile, candidates, now_s)
            if best is not None:
                return Choice(best, max(planned_profile), candidates)
        return Choice(None, max(planned_profile), candidates)

    def _sample(self, hall_replicas: Sequence[replicas.Replica]) -> Sequence[replicas.Replica]:
        if len(hall_replicas) <= SAMPLE_SIZE:
            return hall_replicas
        return self._rng.sample(hall_replicas, SAMPLE_SIZE)

    def _choose_in_hall(
        self,
        demand: Demand,
        service: rows.ServiceRow,
        sample: Sequence[replicas.Replica],
        planned_profile: lengths.Profile,
        candidates: list[Candidate],
        now_s: float,
    ) -> replicas.Replica | None:
        best: replicas.Replica | None = None
        best_candidate: Candidate | None = None
        best_key = (0.0, 0.0)
        for replica in sample:
            candidate = self._evaluate(demand, service, replica, planned_profile, now_s)
            candidates.append(candidate)
            if candidate.lost_because:
                continue
            key = (round(candidate.fill, 2), self._rng.random())
            if best_candidate is None or key < best_key:
                if best_candidate is not None:
                    best_candidate.lost_because = "fuller"
                best, best_candidate, best_key = replica, candidate, key
            else:
                candidate.lost_because = "fuller"
        return best

    def _evaluate(
        self,
        demand: Demand,
        service: rows.ServiceRow,
        replica: replicas.Replica,
        planned_profile: lengths.Profile,
        now_s: float,
    ) -> Candidate:
        """Return a replica's fill with the request, and the reason if it cannot be chosen."""
        running_count = len(replica.running)
        if replica.name in demand.excluded:
            return Candidate(replica.name, 0.0, "failed for this request")
        if replica.health.is_ejected(now_s):
            return Candidate(replica.name, 0.0, "ejected")
        capacity_fraction = replica.health.get_capacity_fraction(now_s)
        if running_count >= max(1, int(service.max_running_per_upstream * capacity_fraction)):
            return Candidate(replica.name, 1.0, "as many running as the service's row allows")
        if service.kind is rows.ServiceKind.PLAIN:
            reported_count = replica.report.running if replica.report else 0
            fill = max(running_count, reported_count) / service.max_running_per_upstream
            return Candidate(replica.name, fill, "")
        return self._evaluate_engine(replica, planned_profile, capacity_fraction, now_s)

    def _evaluate_engine(
        self,
        replica: replicas.Replica,
        planned_profile: lengths.Profile,
        capacity_fraction: float,
        now_s: float,
    ) -> Candidate:
        report = replica.report
        if report is None or not replica.has_fresh_report(now_s):
            # Its memory is unknown, so it gets one request at a time, to find out whether it works.
            return Candidate(replica.name, 1.0, "no fresh report" if replica.running else "")
        capacity = report.kv_capacity_tokens * replica.operating_point.limit * capacity_fraction
        if capacity <= 0:
            return Candidate(replica.name, float(len(replica.running)), "")
        held_profile = replica.get_profile(self._length_model, now_s)
        peak = max(
            known + added for known, added in zip(held_profile, planned_profile, strict=True)
        )
        fill = peak / capacity
        if not report.running and not replica.running:
            # An idle engine accepts any request, even one expected to exceed its memory.
            return Candidate(replica.name, fill, "")
        if report.waiting > self._get_allowed_queue(replica, report):
            replica.was_limited = True
            return Candidate(replica.name, fill, "requests wait inside it")
        if fill > 1:
            replica.was_limited = True
            return Candidate(replica.name, fill, "its memory would fill")
        free_tokens = capacity - (max(held_profile) - replica.sent_tokens)
        own_free_tokens = free_tokens / self.entry_count
        if (
            replica.sent_since_report
            and replica.sent_tokens + max(planned_profile) > own_free_tokens
        ):
            reason = "this entry's part of its room is used until the next report"
            return Candidate(replica.name, fill, reason)
        return Candidate(replica.name, fill, "")

    def _get_allowed_queue(
        self, replica: replicas.Replica, report: load_report.LoadReport
    ) -> float:
        # Every request waits for the engine's next step, so short answers in quick succession
        # always show some waiting requests. More than that means that the engine is full, even if
        # its memory is not.
        sent_count = replica.sent_before_report * self.entry_count * SENT_FRACTION
        return max(MIN_QUEUE, report.running * QUEUE_FRACTION, sent_count)


class Pool:
    """Usable upstreams of one service, by hall."""

    __slots__ = ("_by_hall", "_by_name")

    def __init__(self) -> None:
        self._by_name: dict[str, replicas.Replica] = {}
        self._by_hall: dict[str, list[replicas.Replica]] = {}

    def __len__(self) -> int:
        return len(self._by_name)

    def put(self, replica: replicas.Replica) -> None:
        """Add or replace an upstream."""
        self.remove(replica.name)
        self._by_name[replica.name] = replica
        self._by_hall.setdefault(replica.row.hall, []).append(replica)

    def remove(self, name: str) -> None:
        """Remove an upstream if it is in the pool."""
        replica = self._by_name.pop(name, None)
        if replica is None:
            return
        for hall, members in list(self._by_hall.items()):
            if replica in members:
                members.remove(replica)
                if not members:
                    del self._by_hall[hall]

    def has_available(self, now_s: float) -> bool:
        """Return whether any upstream is not ejected."""
        return any(not item.health.is_ejected(now_s) for item in self._by_name.values())

    def get_halls(self, *, first: str) -> list[str]:
        """Return the halls that have upstreams.

        :param first: hall that is put first if it has upstreams.
        """
        others = [hall for hall in self._by_hall if hall != first]
        return [first, *others] if first in self._by_hall else others

    def get_hall(self, hall: str) -> Sequence[replicas.Replica]:
        """Return the upstreams in a hall."""
        return self._by_hall.get(hall, ())
