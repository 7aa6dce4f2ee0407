"""The part of one streamed request in the queue that all entries share."""

import logging

from spoolhead._internal.gateway import answer_lengths, room_forecast, room_sharing, routed_job
from spoolhead._internal.models import route_table
from spoolhead._internal.policy import (
    run_admission,
    shared_queue,
    start_forecast,
    upstream_choice,
    upstream_registry,
)
from spoolhead._internal.utils import clocks

logger = logging.getLogger(__name__)


class RunRoom:
    """A request that waits for room, and the memory of its run.

    :param room: the shared queue.
    :param job: the request.
    :param need_tokens: memory that it needs.
    :param arrived_s: monotonic time of its arrival.
    :param timeout_ms: time from its arrival to its deadline.
    :ivar waiting: the request in the queue.
    """

    __slots__ = (
        "_acquired_tokens",
        "_decision",
        "_forecast",
        "_is_return",
        "_job",
        "_room",
        "_timeout_ms",
        "waiting",
    )

    def __init__(
        self,
        room: room_sharing.RoomSharing,
        job: routed_job.Job,
        *,
        need_tokens: int,
        arrived_s: float,
        timeout_ms: int,
    ) -> None:
        self._room = room
        self._job = job
        self._timeout_ms = timeout_ms
        self._decision: shared_queue.Decision | None = None
        self._forecast: room_forecast.Forecast | None = None
        self._acquired_tokens = 0
        self._is_return = room.forecast.claim_place(job)
        self.waiting = room.make_request(
            job,
            need_tokens=need_tokens,
            arrived_s=arrived_s,
            deadline_s=arrived_s + timeout_ms / 1000,
        )

    def get_max_prefill_ms(self) -> float:
        """Return how long prefill may take at an engine where the request starts."""
        return run_admission.get_max_prefill_ms(
            self._job.route.objective_ms, self._job.tightest_objective_ms
        )

    def admit(
        self,
        engine: route_table.Engine,
        choice: upstream_choice.Choice,
        request: run_admission.Request,
    ) -> tuple[upstream_choice.Choice, run_admission.Verdict]:
        """Decide on the request; the choice is returned with the engine to use first."""
        self._decision = decision = self._room.decide(
            self.waiting,
            engine,
            [item.upstream for item in choice.candidates],
            has_room=lambda item: run_admission.has_room(engine, item, request),
        )
        if decision.upstream is not None:
            choice = choice.prefer(lambda item: item is decision.upstream)
            return choice, run_admission.Verdict.BEGIN
        verdict = run_admission.decide_queued(
            choice, request, refuse_s=self.waiting.refuse_s, now_s=clocks.get_s()
        )
        self._forecast = forecast = self._make_forecast(choice, decision)
        if verdict is run_admission.Verdict.WAIT and self._room.forecast.should_refuse(
            request, forecast, timeout_ms=self._timeout_ms, is_return=self._is_return
        ):
            verdict = run_admission.Verdict.REFUSE
        return choice, verdict

    def record_start(self, log_fields: dict[str, object]) -> None:
        """Log and count that the request gets room, if others wait."""
        decision = self._decision
        if decision is None or decision.upstream is None:
            return
        if self._room.record_start(self.waiting, decision):
            logger.info("gets room", extra={"fields": {**log_fields, **self.get_log_fields()}})

    def record_refused(self, log_fields: dict[str, object], *, remaining_ms: int) -> int:
        """Log the refusal, and return the time after which the caller should return.

        :param remaining_ms: time until the request's deadline.
        """
        fields = {**log_fields, **self.get_log_fields(), "is_return": self._is_return}
        logger.info("no start in time", extra={"fields": fields})
        self._room.record_refused(is_return=self._is_return)
        if self._forecast is None:
            return run_admission.compute_retry_after_ms(remaining_ms)
        return self._room.forecast.give_place(self._job, self._forecast, remaining_ms=remaining_ms)

    def record_acquired(self, run: answer_lengths.MeasuredRun, tokens: int) -> None:
        """Record the memory of a run that starts; ignored if it had started before."""
        if self._acquired_tokens:
            return
        self._acquired_tokens = tokens
        self._room.lengths.add(run, self._job.route.name)
        self._room.forecast.record_acquired(self._job.service.name, self.waiting.rank, tokens)

    def record_released(
        self,
        run: answer_lengths.MeasuredRun,
        upstream: upstream_registry.Upstream | None,
        *,
        is_complete: bool,
    ) -> None:
        """Record the memory of the run as released, unless its instance leaves.

        :param is_complete: whether its answer is complete.
        """
        if not self._acquired_tokens:
            return
        self._room.lengths.remove(run, is_complete=is_complete)
        if upstream is not None and not upstream.may_be_leaving(clocks.get_s()):
            self._room.forecast.record_released(self._job.service.name, self._acquired_tokens)
        self._acquired_tokens = 0

    def get_log_fields(self) -> dict[str, object]:
        """Return the log fields of the last decision and forecast."""
        if self._decision is None:
            return {}
        fields = self._room.get_log_fields(self._decision)
        if self._forecast is not None:
            fields.update(self._forecast.get_log_fields())
        return fields

    def _make_forecast(
        self, choice: upstream_choice.Choice, decision: shared_queue.Decision
    ) -> room_forecast.Forecast:
        upstreams = [item.upstream for item in choice.candidates]
        running = start_forecast.Running(
            sum(upstream.tokens for upstream in upstreams),
            sum(upstream.answer_tokens for upstream in upstreams),
            sum(upstream.count for upstream in upstreams),
        )
        return self._room.forecast.forecast(self.waiting, decision, running)
