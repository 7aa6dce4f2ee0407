"""Forecasts when waiting generations start, and refuses those that cannot start in time.

Publishes how much engine memory the runs of this entry have acquired and released, and the places
of the callers that it asked to return, as rows in the reports of the load.
"""

from collections.abc import Callable

from spoolhead._internal.gateway import routed_job
from spoolhead._internal.models import queue_rows, shared_load
from spoolhead._internal.policy import (
    return_places,
    run_admission,
    run_refusal,
    shared_queue,
    start_forecast,
)
from spoolhead._internal.utils import clocks


class _ServiceMemory:
    """Memory that this entry's runs of one service have acquired and released.

    :ivar acquired: tokens acquired so far, by rank.
    :ivar released: tokens released so far.
    :ivar flows: memory that becomes available to each rank.
    """

    __slots__ = ("acquired", "flows", "released")

    def __init__(self) -> None:
        self.acquired = [0] * queue_rows.RANKS
        self.released = 0
        self.flows = [start_forecast.MemoryFlow() for _ in range(queue_rows.RANKS)]


class Forecast:
    """Expected start of a waiting generation.

    :ivar demand: memory that is free and wanted.
    :ivar rate_per_s: memory that becomes available, in tokens a second.
    :ivar wait_ms: expected time until it can start; None if unknown.
    """

    __slots__ = ("demand", "rate_per_s", "wait_ms")

    def __init__(self, demand: start_forecast.Demand, rate_per_s: float) -> None:
        self.demand = demand
        self.rate_per_s = rate_per_s
        self.wait_ms = start_forecast.compute_wait_ms(demand, rate_per_s)

    def get_log_fields(self) -> dict[str, object]:
        """Return the log fields of the forecast."""
        return {
            "expected_wait_ms": self.wait_ms,
            "rate_per_s": round(self.rate_per_s),
            "returning_tokens": self.demand.returning_tokens,
        }


class RoomForecast:
    """Forecasts and refusals of one entry.

    :param get_other_load: returns the load that other entries publish under a key.
    :param clock: monotonic time in seconds.
    """

    def __init__(
        self,
        get_other_load: Callable[[int], shared_load.InstanceLoad | None],
        *,
        clock: clocks.Clock = clocks.get_s,
    ) -> None:
        self._get_known_load = get_other_load
        self._clock = clock
        self._services: dict[str, _ServiceMemory] = {}
        self._places = return_places.ReturnPlaces(self._get_other_load)

    def record_acquired(self, service: str, rank: int, tokens: int) -> None:
        """Record the memory of a run that starts."""
        self._get_service(service).acquired[min(rank, queue_rows.RANKS - 1)] += tokens

    def record_released(self, service: str, tokens: int) -> None:
        """Record the memory of a run that has ended."""
        self._get_service(service).released += tokens

    def claim_place(self, job: routed_job.Job) -> bool:
        """Return whether an arriving generation returns when its caller was asked to."""
        return self._places.claim(job.content_id, self._clock())

    def forecast(
        self,
        request: shared_queue.WaitingRequest,
        decision: shared_queue.Decision,
        running: start_forecast.Running,
    ) -> Forecast:
        """Forecast the start of a request that waits.

        :param running: the runs at the engines that it may use.
        """
        now_s = self._clock()
        memory = self._get_service(request.service)
        self._record_flow(request.service, memory, request.rank, now_s)
        demand = start_forecast.Demand(
            free_tokens=decision.room_tokens,
            ahead_tokens=decision.ahead_tokens,
            need_tokens=request.need_tokens,
            returning_tokens=self._places.get_returning_tokens(request.service, now_s),
        )
        measured_per_s = memory.flows[request.rank].get_rate_per_s(now_s)
        return Forecast(demand, start_forecast.compute_rate_per_s(running, measured_per_s))

    def should_refuse(
        self,
        admission: run_admission.Request,
        forecast: Forecast,
        *,
        timeout_ms: int,
        is_return: bool,
    ) -> bool:
        """Return whether a waiting request is refused.

        :param timeout_ms: time from its arrival to its deadline.
        :param is_return: whether its caller was refused before and returned when asked.
        """
        return run_refusal.should_refuse(
            admission, timeout_ms, forecast.wait_ms, self._clock(), is_return=is_return
        )

    def give_place(self, job: routed_job.Job, forecast: Forecast, *, remaining_ms: int) -> int:
        """Give a refused request a place, and return the time after which it should return."""
        return_ms = start_forecast.compute_return_ms(forecast.demand, forecast.rate_per_s)
        if return_ms is not None and forecast.rate_per_s:
            return_ms = self._places.add(
                job.content_id,
                job.service.name,
                forecast.demand.need_tokens,
                return_ms=return_ms,
                rate_per_s=forecast.rate_per_s,
                now_s=self._clock(),
            )
        return run_refusal.compute_retry_after_ms(remaining_ms, return_ms)

    def get_rows(self) -> shared_load.LoadByInstance:
        """Return the rows of this entry for a report."""
        rows = self._places.get_rows(self._clock())
        for service, memory in self._services.items():
            tokens_by_key = dict(
                zip(queue_rows.get_acquired_keys(service), memory.acquired, strict=True)
            )
            tokens_by_key[queue_rows.get_released_key(service)] = memory.released
            for key, tokens in tokens_by_key.items():
                if tokens:
                    rows[key] = shared_load.InstanceLoad(tokens)
        return rows

    def _record_flow(self, service: str, memory: _ServiceMemory, rank: int, now_s: float) -> None:
        other_released = self._get_other_load(queue_rows.get_released_key(service)).tokens
        urgent_keys = queue_rows.get_acquired_keys(service)[:rank]
        other_acquired = sum(self._get_other_load(key).tokens for key in urgent_keys)
        memory.flows[rank].record(
            other_released + memory.released,
            other_acquired + sum(memory.acquired[:rank]),
            now_s,
        )

    def record_flows(self) -> None:
        """Record the memory flows of all services; due several times a second."""
        now_s = self._clock()
        for service, memory in self._services.items():
            for rank in range(queue_rows.RANKS):
                self._record_flow(service, memory, rank, now_s)

    def _get_service(self, service: str) -> _ServiceMemory:
        memory = self._services.get(service)
        if memory is None:
            memory = self._services[service] = _ServiceMemory()
        return memory

    def _get_other_load(self, key: int) -> shared_load.InstanceLoad:
        return self._get_known_load(key) or shared_load.InstanceLoad()
