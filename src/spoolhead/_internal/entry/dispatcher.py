"""Assigns requests to upstreams: queueing, placement and the flows in progress."""

import itertools
import random
from collections.abc import Callable

from spoolhead._internal.entry import (
    answers,
    decision_history,
    flow,
    flow_context,
    held_contents,
    upstream_pools,
)
from spoolhead._internal.models import (
    codes,
    fault,
    load_report,
    request_keys,
    requests,
    settings,
)
from spoolhead._internal.network import caller_front, upstream_calls
from spoolhead._internal.network import loop as loops
from spoolhead._internal.policy import (
    admission,
    placement,
    policy_set,
    quarantine,
    replicas,
    request_content,
)
from spoolhead._internal.table import view
from spoolhead._internal.utils import clocks, metrics

CHECK_INTERVAL_S = 0.1
MAX_WORKSPACES_TRIED = 4
"""Maximum number of workspaces whose next request is tried, in turn, while no upstream has room for
the request tried before."""

NO_UPSTREAM_TIMEOUT_S = 3.0
"""Time without an available upstream after which a service's waiting requests are refused."""


class _QueuedRequest:
    """A waiting request with its caller, and its flow if an earlier attempt was made."""

    __slots__ = ("caller", "request", "existing_flow")

    def __init__(
        self,
        request: requests.CallerRequest,
        caller: caller_front.Caller,
        existing_flow: flow.Flow | None = None,
    ) -> None:
        self.request = request
        self.caller = caller
        self.existing_flow = existing_flow

    @property
    def ran(self) -> codes.Ran:
        """Whether an earlier attempt of the waiting request ran."""
        return (
            self.existing_flow.get_ran_while_waiting()
            if self.existing_flow is not None
            else codes.Ran.NO
        )


class Dispatcher:
    """Decides for each request whether it runs, waits or is refused, and on which upstream.

    :param loop: the program's event loop.
    :param config: the entry's settings.
    :param table: typed view of the table.
    :param calls: sends requests to upstreams.
    :param collector: receives metrics.
    :param policies: admission, placement and retry policies.
    :param decisions: records every decision.
    :param contents: request contents that may crash upstreams.
    """

    def __init__(
        self,
        loop: loops.Loop,
        config: settings.EntrySettings,
        table: view.TableView,
        calls: upstream_calls.UpstreamCalls,
        collector: metrics.Metrics,
        policies: policy_set.PolicySet,
        decisions: decision_history.DecisionHistory,
        contents: held_contents.HeldContents,
    ) -> None:
        self._contents = contents
        self._config = config
        self._table = table
        self._metrics = collector
        self._calls = calls
        self._admission = policies.make_admission(table.workspaces)
        self._lengths = policies.make_lengths()
        self._placement = policies.make_placement(config.hall, self._lengths, random.Random())
        self._pools = upstream_pools.UpstreamPools(calls.close_idle_to)
        self._flows: set[flow.Flow] = set()
        self._decisions = decisions
        self._end_callbacks: dict[str, Callable[[flow_context.FlowResult], None]] = {}
        self._last_available_s: dict[str, float] = {}
        self._started_s = clocks.get_s()
        self._context = flow_context.FlowContext(
            calls=calls,
            host=self,
            contents=contents,
            collector=collector,
            clock=clocks.get_s,
            shared_key=config.shared_key,
            attempts=config.upstreams.attempts,
            answer_bytes=config.upstreams.answer_bytes,
            unread_bytes=config.callers.unread_bytes,
            policies=policies,
        )
        loop.scheduler.call_every(CHECK_INTERVAL_S, self._check_timeouts)

    @property
    def request_count(self) -> int:
        """Number of requests that wait or run."""
        return len(self._flows) + self._admission.waiting_count

    @property
    def running_count(self) -> int:
        """Number of requests that run."""
        return len(self._flows)

    @property
    def upstreams(self) -> list[replicas.Replica]:
        """All upstreams in the table, including leaving ones."""
        return self._pools.get_all()

    def get_upstream(self, name: str) -> replicas.Replica | None:
        """Return the upstream with the given name, or None."""
        return self._pools.get(name)

    def set_entry_count(self, count: int) -> None:
        """Set the number of entries that share the upstreams."""
        self._placement.entry_count = max(1, count)

    def update_upstreams(self) -> None:
        """Apply the table's current upstreams; leaving upstreams receive no new requests."""
        now_s = clocks.get_s()
        is_new = now_s - self._started_s > replicas.REPORT_STALE_S
        self._pools.update(self._table.upstreams, self._table.halls, now_s, is_new=is_new)
        self._start_waiting()

    def submit(
        self,
        request: requests.CallerRequest,
        caller: caller_front.Caller,
        on_end: Callable[[flow_context.FlowResult], None] | None = None,
    ) -> None:
        """Run a request, queue it or refuse it.

        :param on_end: called with the result once the request has ended or was refused.
        """
        if on_end is not None:
            self._end_callbacks[request.request_id] = on_end
        now_s = request.arrived_s
        self._context.budget.record_request()
        if request.resume is not None:
            self._resume(request, caller)
            return
        content_id = request_content.get_content_id(request, "", request.workspace)
        # A service is a model here.
        parts = request_content.get_part_keys(request.service_name, "", request.part_ids)
        request.keys = request_keys.RequestKeys(content_id, parts)
        match self._contents.evaluate(request.keys):
            case quarantine.Verdict.REFUSE:
                self._refuse(_QueuedRequest(request, caller), _make_held_refusal())
            case quarantine.Verdict.CLAIM:
                self._claim_trial(request, caller)
            case _:
                self._admit(request, caller, now_s)

    def _claim_trial(self, request: requests.CallerRequest, caller: caller_front.Caller) -> None:
        """Run a held request as a single trial, unless another entry runs the trial."""

        def _on_settled(is_own: bool) -> None:
            if is_own and not caller.is_disconnected:
                request.is_trial = True
                self._admit(request, caller, clocks.get_s())
            else:
                self._refuse(_QueuedRequest(request, caller), _make_held_refusal())

        self._contents.claim_trial(request.keys, _on_settled)

    def reject_held(self, key: bytes) -> None:
        """Abort running requests that are now held because of one of their keys, except trials."""
        for running_flow in list(self._flows):
            if key in running_flow.request.keys.all and self._is_held(running_flow.request):
                running_flow.reject_held()

    def _admit(
        self, request: requests.CallerRequest, caller: caller_front.Caller, now_s: float
    ) -> None:
        refusal = self._get_early_refusal(request)
        if refusal is None:
            refusal = self._offer(request, caller, now_s)
        if refusal is not None:
            self._refuse(_QueuedRequest(request, caller), refusal)
            return
        self._start_waiting_of(request.service_name)

    def choose_upstream(
        self, running_flow: flow.Flow, excluded: frozenset[str]
    ) -> placement.Choice:
        """Choose an upstream for a flow's next attempt."""
        return self._choose(running_flow.request, excluded)

    def record_attempt(
        self,
        running_flow: flow.Flow,
        action: str,
        choice: placement.Choice,
        code: codes.ResultCode,
    ) -> None:
        """Record a flow's next attempt."""
        self._decisions.record(running_flow.request, action, code, choice=choice)

    def requeue(self, running_flow: flow.Flow, code: codes.ResultCode) -> bool:
        """Put a flow whose attempt failed back at the head of its queue.

        :returns: False if the service has no available upstream.
        """
        request = running_flow.request
        pool = self._pools.get_pool(request.service_name)
        if pool is None or not pool.has_available(clocks.get_s()):
            return False
        self._flows.discard(running_flow)
        self._admission.finish(request.workspace)
        self._decisions.record(
            request, "wait", code, text="no upstream has room for another attempt"
        )
        waiting = self._make_waiting(_QueuedRequest(request, running_flow.caller, running_flow))
        self._admission.put_back(waiting, clocks.get_s())
        running_flow.caller.on_disconnect = lambda: self._withdraw(waiting)
        return True

    def charge(self, running_flow: flow.Flow, tokens: int) -> None:
        """Charge generated tokens to a flow's workspace."""
        self._metrics.increment(metrics.Metric.TOKENS, tokens)
        self._admission.charge(running_flow.request.workspace, tokens, clocks.get_s())

    def handle_flow_end(self, running_flow: flow.Flow, result: flow_context.FlowResult) -> None:
        """Remove a flow that has ended, and record its length, stall time and result."""
        request = running_flow.request
        self._flows.discard(running_flow)
        self._admission.finish(request.workspace)
        if result.is_natural_end and 0 < result.tokens < request.limit_tokens:
            self._lengths.observe(request.workspace, request.service_name, result.tokens)
        if request.wants_stream:
            self._metrics.record_duration(metrics.Metric.STALL_MS, running_flow.stalled_s * 1000)
        text = f"ran: {result.ran.value}, tokens: {result.tokens}"
        self._decisions.record(request, "end", result.code, text=text)
        self._call_on_end(request, result)
        self._start_waiting_of(request.service_name)

    def _get_early_refusal(self, request: requests.CallerRequest) -> admission.Refusal | None:
        if self.request_count >= self._config.max_requests:
            return _make_refusal(
                codes.ResultCode.ENTRY_FULL, f"this entry holds {self.request_count} requests"
            )
        pool = self._pools.get_pool(request.service_name)
        if pool is None or not pool.has_available(request.arrived_s):
            text = f"no upstream of {request.service_name} is in use"
            return _make_refusal(codes.ResultCode.NO_UPSTREAM, text)
        return None

    def _offer(
        self, request: requests.CallerRequest, caller: caller_front.Caller, now_s: float
    ) -> admission.Refusal | None:
        waiting = self._make_waiting(_QueuedRequest(request, caller))
        offered = self._admission.offer(waiting, now_s)
        if offered.is_error():
            return offered.error
        caller.on_disconnect = lambda: self._withdraw(waiting)
        return None

    @staticmethod
    def _make_waiting(queued: _QueuedRequest) -> admission.WaitingRequest:
        request = queued.request
        return admission.WaitingRequest(
            request_id=request.request_id,
            workspace=request.workspace,
            service=request.service_name,
            arrived_s=request.arrived_s,
            deadline_s=request.deadline_s,
            owner=queued,
        )

    def _withdraw(self, waiting: admission.WaitingRequest) -> None:
        request = waiting.owner.request
        self._admission.withdraw(waiting)
        self._decisions.record(request, "withdraw", codes.ResultCode.OK, text="the caller left")
        self._call_on_end(
            request, flow_context.FlowResult(codes.ResultCode.OK, waiting.owner.ran, 0)
        )

    def _resume(self, request: requests.CallerRequest, caller: caller_front.Caller) -> None:
        point = request.resume
        replica = self._pools.get(point.upstream)
        if replica is None:
            cause = fault.Fault(codes.ResultCode.GENERATION_LOST, "its upstream is gone")
            self._decisions.record(request, "refuse", cause.code, text=cause.text)
            answers.send_error(caller, cause, ran=codes.Ran.YES, request_id=request.request_id)
            return
        self._admission.start_unqueued(request.workspace, request.arrived_s)
        running_flow = flow.Flow(request, caller, self._context)
        self._flows.add(running_flow)
        self._decisions.record(
            request, "resume", codes.ResultCode.OK, choice=_make_forced_choice(replica)
        )
        running_flow.resume(replica, point.generation)

    def handle_report(self, replica: replicas.Replica, report: load_report.LoadReport) -> None:
        """Apply an upstream's load report and start waiting requests that now fit."""
        replica.handle_report(report)
        if self._admission.waiting_count:
            self._start_waiting_of(replica.row.service)

    def _start_waiting(self) -> None:
        for service in self._admission.waiting_services:
            self._start_waiting_of(service)

    def _start_waiting_of(self, service: str) -> None:
        while self._start_next(service):
            pass

    def _start_next(self, service: str) -> bool:
        """Start the next request of a service; return False if none can start."""
        now_s = clocks.get_s()
        for waiting in itertools.islice(
            self._admission.iterate(service, now_s), MAX_WORKSPACES_TRIED
        ):
            if self._is_held(waiting.owner.request):
                self._admission.withdraw(waiting)
                self._refuse(waiting.owner, _make_held_refusal())
                return True
            choice = self._choose(waiting.owner.request, frozenset())
            if choice.replica is not None:
                self._start(waiting, choice, now_s)
                return True
            if not waiting.may_be_bypassed(now_s):
                return False
        return False

    def _is_held(self, request: requests.CallerRequest) -> bool:
        return not request.is_trial and self._contents.is_held(request.keys)

    def _start(
        self, waiting: admission.WaitingRequest, choice: placement.Choice, now_s: float
    ) -> None:
        queued: _QueuedRequest = waiting.owner
        request = queued.request
        self._admission.start(waiting, now_s)
        wait_ms = (now_s - request.arrived_s) * 1000
        self._metrics.record_duration(metrics.Metric.QUEUE_WAIT_MS, wait_ms)
        self._decisions.record(request, "run", codes.ResultCode.OK, choice=choice)
        running_flow = queued.existing_flow or flow.Flow(request, queued.caller, self._context)
        self._flows.add(running_flow)
        running_flow.start(choice)

    def _choose(
        self, request: requests.CallerRequest, excluded: frozenset[str]
    ) -> placement.Choice:
        pool = self._pools.get_pool(request.service_name)
        service = self._table.services.get(request.service_name)
        if pool is None or service is None:
            return placement.Choice(None, 0.0, ())
        now_s = clocks.get_s()
        demand = placement.Demand(
            workspace=request.workspace,
            service=request.service_name,
            prompt_tokens=request.prompt_tokens,
            limit_tokens=request.limit_tokens,
            excluded=excluded,
        )
        return self._placement.choose(demand, service, pool, now_s)

    def _check_timeouts(self) -> None:
        for running_flow in list(self._flows):
            running_flow.check_timeouts()
        now_s = clocks.get_s()
        for waiting in self._admission.pop_overdue(now_s):
            queued: _QueuedRequest = waiting.owner
            text = "the deadline passed while the request was waiting"
            cause = fault.Fault(codes.ResultCode.DEADLINE_BEFORE_START, text)
            retry_after_ms = self._admission.get_retry_after_ms(waiting.service, now_s)
            self._refuse(queued, admission.Refusal(cause, retry_after_ms))
        self._refuse_without_upstream(now_s)
        self._start_waiting()

    def _refuse_without_upstream(self, now_s: float) -> None:
        """Refuse requests for services that have had no available upstream for too long."""
        for service in self._admission.waiting_services:
            pool = self._pools.get_pool(service)
            if pool is not None and pool.has_available(now_s):
                self._last_available_s[service] = now_s
                continue
            if now_s - self._last_available_s.setdefault(service, now_s) < NO_UPSTREAM_TIMEOUT_S:
                continue
            refusal = _make_refusal(
                codes.ResultCode.NO_UPSTREAM, f"no upstream of {service} answers"
            )
            for waiting in self._admission.pop_all(service):
                self._refuse(waiting.owner, refusal)

    def _refuse(self, queued: _QueuedRequest, refused: admission.Refusal) -> None:
        request = queued.request
        self._decisions.record(request, "refuse", refused.fault.code, text=refused.fault.text)
        self._call_on_end(request, flow_context.FlowResult(refused.fault.code, queued.ran, 0))
        answers.send_error(
            queued.caller,
            refused.fault,
            ran=queued.ran,
            request_id=request.request_id,
            retry_after_ms=refused.retry_after_ms,
        )

    def _call_on_end(
        self, request: requests.CallerRequest, result: flow_context.FlowResult
    ) -> None:
        on_end = self._end_callbacks.pop(request.request_id, None)
        if on_end is not None:
            on_end(result)


def _make_refusal(code: codes.ResultCode, text: str) -> admission.Refusal:
    return admission.Refusal(fault.Fault(code, text), flow.RETRY_AFTER_MS)


def _make_held_refusal() -> admission.Refusal:
    """Return a refusal without ``Retry-After``: another run would crash another upstream."""
    return admission.Refusal(fault.make_held_fault(), None)


def _make_forced_choice(replica: replicas.Replica) -> placement.Choice:
    return placement.Choice(replica, 0.0, [placement.Candidate(replica.name, 0.0, "")])
