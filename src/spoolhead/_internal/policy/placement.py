"""Where a request goes: the choice among the upstreams of its service.

Load reports lag, and several entries choose from the same ones without asking each other. So
an entry looks at a random sample, counts what it has sent itself since a report, and takes for
itself only its part of the room that a report shows.
"""

import random
from collections.abc import Sequence

from spoolhead._internal.models import load_report, rows
from spoolhead._internal.policy import lengths, replicas

SAMPLE_SIZE = 8
"""Upstreams of one hall looked at for one request; the cost does not grow with the fleet."""

QUEUE_FRACTION = 1 / 8
"""Part of an engine's running requests that may wait inside it for its next step."""

MIN_QUEUE = 2
"""Requests that may wait inside an engine however few run."""

SENT_FRACTION = 1 / 2
"""Part of what was sent during the last report that may wait inside the engine."""


class Demand:
    """What a request needs.

    :ivar workspace: who asks.
    :ivar service: for what.
    :ivar prompt_tokens: its prompt, estimated.
    :ivar limit_tokens: longest that its answer may become.
    :ivar excluded: upstreams that have failed for it.
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
    """An upstream that was looked at.

    :ivar name: its name.
    :ivar fill: planned use as a part of what it may be planned to; lower is better.
    :ivar lost_because: why it was not chosen; empty for the chosen one.
    """

    __slots__ = ("fill", "lost_because", "name")

    def __init__(self, name: str, fill: float, lost_because: str) -> None:
        self.name = name
        self.fill = fill
        self.lost_because = lost_because


class Choice:
    """The outcome.

    :ivar replica: the chosen upstream, or None where the request has to wait.
    :ivar planned_tokens: memory that the request is expected to need in the end.
    :ivar candidates: all that were looked at.
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

    :param hall: hall of the entry; its upstreams come first.
    :param length_model: learned lengths.
    :param rng: random numbers.
    :ivar entry_count: entries that share the upstreams, this one included.
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

        :param demand: the request.
        :param service: row of its service.
        :param pool: upstreams of the service.
        :param now_s: monotonic time in seconds.
        """
        planned = self._length_model.get_profile(
            demand.workspace,
            demand.service,
            prompt_tokens=demand.prompt_tokens,
            generated_tokens=0,
            limit_tokens=demand.limit_tokens,
        )
        candidates: list[Candidate] = []
        for hall in pool.get_halls(first=self._hall):
            sample = self._sample(pool.get_hall(hall))
            best = self._choose_in_hall(demand, service, sample, planned, candidates, now_s)
            if best is not None:
                return Choice(best, max(planned), candidates)
        return Choice(None, max(planned), candidates)

    def _sample(self, hall_replicas: Sequence[replicas.Replica]) -> Sequence[replicas.Replica]:
        if len(hall_replicas) <= SAMPLE_SIZE:
            return hall_replicas
        return self._rng.sample(hall_replicas, SAMPLE_SIZE)

    def _choose_in_hall(
        self,
        demand: Demand,
        service: rows.ServiceRow,
        sample: Sequence[replicas.Replica],
        planned: lengths.Profile,
        candidates: list[Candidate],
        now_s: float,
    ) -> replicas.Replica | None:
        best: replicas.Replica | None = None
        best_candidate: Candidate | None = None
        best_key = (0.0, 0.0)
        for replica in sample:
            candidate = self._evaluate(demand, service, replica, planned, now_s)
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
        planned: lengths.Profile,
        now_s: float,
    ) -> Candidate:
        """Tell how full a replica would be, and what speaks against it, if anything."""
        own = len(replica.running)
        if replica.name in demand.excluded:
            return Candidate(replica.name, 0.0, "failed for this request")
        if replica.health.is_ejected(now_s):
            return Candidate(replica.name, 0.0, "ejected")
        capacity_fraction = replica.health.get_capacity_fraction(now_s)
        if own >= max(1, int(service.max_running_per_upstream * capacity_fraction)):
            return Candidate(replica.name, 1.0, "as many running as the service's row allows")
        if service.kind is rows.ServiceKind.PLAIN:
            reported = replica.report.running if replica.report else 0
            fill = max(own, reported) / service.max_running_per_upstream
            return Candidate(replica.name, fill, "")
        return self._evaluate_engine(replica, planned, capacity_fraction, now_s)

    def _evaluate_engine(
        self,
        replica: replicas.Replica,
        planned: lengths.Profile,
        capacity_fraction: float,
        now_s: float,
    ) -> Candidate:
        report = replica.report
        if report is None or not replica.has_fresh_report(now_s):
            # Nothing is known of its memory: one request at a time tells whether it serves.
            return Candidate(replica.name, 1.0, "no fresh report" if replica.running else "")
        capacity = report.kv_capacity_tokens * replica.operating_point.limit * capacity_fraction
        if capacity <= 0:
            return Candidate(replica.name, float(len(replica.running)), "")
        held = replica.get_profile(self._length_model, now_s)
        peak = max(known + more for known, more in zip(held, planned, strict=True))
        fill = peak / capacity
        if not report.running and not replica.running:
            # An idle engine takes any request, even one that plans more than its memory.
            return Candidate(replica.name, fill, "")
        if report.waiting > self._get_allowed_queue(replica, report):
            replica.was_limited = True
            return Candidate(replica.name, fill, "requests wait inside it")
        if fill > 1:
            replica.was_limited = True
            return Candidate(replica.name, fill, "its memory would fill")
        room = capacity - (max(held) - replica.sent_tokens)
        own_room = room / self.entry_count
        if replica.sent_since_report and replica.sent_tokens + max(planned) > own_room:
            reason = "this entry's part of its room is used until the next report"
            return Candidate(replica.name, fill, reason)
        return Candidate(replica.name, fill, "")

    def _get_allowed_queue(
        self, replica: replicas.Replica, report: load_report.LoadReport
    ) -> float:
        # A request waits for the engine's next step in any case, so short answers in quick
        # succession always show some waiting. More than that means that the engine is full,
        # whatever its memory says.
        sent = replica.sent_before_report * self.entry_count * SENT_FRACTION
        return max(MIN_QUEUE, report.running * QUEUE_FRACTION, sent)


class Pool:
    """Upstreams of one service by hall; those leaving are not in it."""

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
        """Remove an upstream, if it is there."""
        replica = self._by_name.pop(name, None)
        if replica is None:
            return
        for hall, members in list(self._by_hall.items()):
            if replica in members:
                members.remove(replica)
                if not members:
                    del self._by_hall[hall]

    def has_available(self, now_s: float) -> bool:
        """Whether any upstream is not ejected."""
        return any(not item.health.is_ejected(now_s) for item in self._by_name.values())

    def get_halls(self, *, first: str) -> list[str]:
        """Return the halls that have upstreams, a given one first."""
        others = [hall for hall in self._by_hall if hall != first]
        return [first, *others] if first in self._by_hall else others

    def get_hall(self, hall: str) -> Sequence[replicas.Replica]:
        """Return the upstreams in a hall."""
        return self._by_hall.get(hall, ())
