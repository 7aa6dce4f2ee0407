"""Admission and queueing: which requests wait, which is next and which are refused.

Each service has its own queue, so that a full engine does not delay requests for other services.
Within a service, requests are ordered by priority, which rises with waiting time so that no request
starves, and then by the tokens that their workspace has consumed relative to its weight.
Consumption is charged as tokens are generated, because the length of an answer is not known when
it starts. Performs no I/O; the current time is passed in.
"""

import collections
from collections.abc import Iterator, Mapping

import expression

from spoolhead._internal.models import codes, fault, rows

AGING_MS_PER_PRIORITY = 4_000
"""Waiting time that raises a request by one priority level."""

START_CHARGE_TOKENS = 16.0
"""Tokens charged when a request starts, so that a burst of starts is not free until the first
tokens are generated."""

RATE_SMOOTHING = 0.95
"""Weight of the previous average in the moving average of the gap between starts."""

IDLE_GAP_FRACTION = 1 / 4
"""Fraction of the time since the last start that the estimated gap between starts is at least."""

MAX_BYPASS_S = 1.0
"""Time for which other requests may bypass the next one while no upstream has room for it."""

MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 60_000


class WaitingRequest:
    """A request that waits for an upstream.

    :ivar request_id: id of the request.
    :ivar workspace: workspace that sent it.
    :ivar service: requested service.
    :ivar arrived_s: monotonic time of its arrival, in seconds.
    :ivar deadline_s: monotonic time by which its answer must be complete, in seconds.
    :ivar owner: the dispatcher's object for the request; not used here.
    :ivar bypassed_since_s: monotonic time at which it was first next in order while no upstream
        had room, in seconds; None if that has not happened.
    """

    __slots__ = (
        "arrived_s",
        "deadline_s",
        "owner",
        "bypassed_since_s",
        "request_id",
        "service",
        "workspace",
    )

    def __init__(
        self,
        *,
        request_id: str,
        workspace: str,
        service: str,
        arrived_s: float,
        deadline_s: float,
        owner: object,
    ) -> None:
        self.request_id = request_id
        self.workspace = workspace
        self.service = service
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self.owner = owner
        self.bypassed_since_s: float | None = None

    def may_be_bypassed(self, now_s: float) -> bool:
        """Return whether other requests may go first while no upstream has room for this one.

        Blocking all others would leave capacity unused. Letting them bypass it without limit would
        starve it, as there is always a smaller request.
        """
        if self.bypassed_since_s is None:
            self.bypassed_since_s = now_s
        return now_s - self.bypassed_since_s < MAX_BYPASS_S


class Refusal:
    """Refusal of a request.

    :ivar fault: the reason.
    :ivar retry_after_ms: value of ``Retry-After`` in milliseconds; None omits the header.
    """

    __slots__ = ("fault", "retry_after_ms")

    def __init__(self, item: fault.Fault, retry_after_ms: int | None) -> None:
        self.fault = item
        self.retry_after_ms = retry_after_ms


class _Account:
    """Requests and consumption of one workspace at this entry."""

    __slots__ = ("balance_tokens", "consumed", "refilled_s", "running", "waiting")

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.waiting = 0
        self.consumed = 0.0
        self.balance_tokens = 0.0
        self.refilled_s = now_s


class _Queue:
    """Waiting requests of one service, by workspace, and the average gap between their starts."""

    __slots__ = ("by_workspace", "last_start_s", "start_gap_s", "total")

    def __init__(self) -> None:
        self.by_workspace: dict[str, collections.deque[WaitingRequest]] = {}
        self.total = 0
        self.last_start_s: float | None = None
        self.start_gap_s: float | None = None


class Admission:
    """Queues requests and enforces the limits of workspaces at one entry.

    :param table_rows: workspace rows by name; the live mapping of the table, so that edits apply
        to requests that already wait.
    """

    def __init__(self, table_rows: Mapping[str, rows.WorkspaceRow]) -> None:
        self._rows = table_rows
        self._accounts: dict[str, _Account] = {}
        self._queues: dict[str, _Queue] = {}

    @property
    def waiting_count(self) -> int:
        """Number of requests that wait in all queues."""
        return sum(queue.total for queue in self._queues.values())

    @property
    def waiting_services(self) -> list[str]:
        """Services that have waiting requests."""
        return [name for name, queue in self._queues.items() if queue.total]

    def get_running(self, workspace: str) -> int:
        """Return the number of running requests of a workspace."""
        account = self._accounts.get(workspace)
        return account.running if account else 0

    def offer(self, waiting: WaitingRequest, now_s: float) -> expression.Result[None, Refusal]:
        """Queue a request, or refuse it at once.

        :returns: None, or a refusal if the queue is full or the expected wait exceeds the deadline.
        """
        row = self._rows[waiting.workspace]
        account = self._get_account(waiting.workspace, now_s)
        queue = self._queues.setdefault(waiting.service, _Queue())
        # A request that could start at once does not count as waiting, so that a row with
        # max_waiting = 0 still admits requests.
        allowed = row.max_waiting + max(0, row.max_running - account.running)
        if account.waiting >= allowed:
            text = f"workspace {waiting.workspace} has {account.waiting} requests waiting"
            return self._refuse(codes.ResultCode.QUEUE_FULL, text, queue, now_s)
        wait_s = self._get_expected_wait_s(queue, waiting, now_s)
        if now_s + wait_s > waiting.deadline_s:
            text = f"the expected wait of {wait_s:.1f} s is longer than the deadline"
            return self._refuse(codes.ResultCode.DEADLINE_UNREACHABLE, text, queue, now_s)
        self._append(queue, account, waiting)
        return expression.Ok(None)

    def put_back(self, waiting: WaitingRequest, now_s: float) -> None:
        """Put a request whose attempt failed back at the head of its queue."""
        account = self._get_account(waiting.workspace, now_s)
        queue = self._queues.setdefault(waiting.service, _Queue())
        own = queue.by_workspace.setdefault(waiting.workspace, collections.deque())
        own.appendleft(waiting)
        queue.total += 1
        account.waiting += 1

    def iterate(self, service: str, now_s: float) -> Iterator[WaitingRequest]:
        """Yield the first request of each workspace that may start one, in order of rank.

        Stop iterating after a call of :meth:`start`: the order is not computed again.
        """
        queue = self._queues.get(service)
        if queue is None:
            return
        order = []
        for name, waiting in queue.by_workspace.items():
            row = self._rows.get(name)
            if row is not None and self._may_start(row, name, now_s):
                order.append((self._get_rank(row, name, waiting[0], now_s), waiting[0]))
        order.sort(key=lambda item: item[0])
        for _, item in order:
            yield item

    def start(self, waiting: WaitingRequest, now_s: float) -> None:
        """Remove a request from its queue and count it as running."""
        self._remove(waiting)
        self.start_unqueued(waiting.workspace, now_s)
        queue = self._queues[waiting.service]
        if queue.last_start_s is not None:
            gap_s = now_s - queue.last_start_s
            average_s = queue.start_gap_s if queue.start_gap_s is not None else gap_s
            queue.start_gap_s = RATE_SMOOTHING * average_s + (1 - RATE_SMOOTHING) * gap_s
        queue.last_start_s = now_s if queue.total else None

    def start_unqueued(self, workspace: str, now_s: float) -> None:
        """Count a request as running that was not queued."""
        account = self._get_account(workspace, now_s)
        account.running += 1
        self.charge(workspace, START_CHARGE_TOKENS, now_s)

    def charge(self, workspace: str, tokens: float, now_s: float) -> None:
        """Charge generated tokens to a workspace."""
        account = self._get_account(workspace, now_s)
        row = self._rows.get(workspace)
        account.consumed += tokens / (row.weight if row else 1.0)
        account.balance_tokens -= tokens

    def finish(self, workspace: str) -> None:
        """Count a running request as ended."""
        account = self._accounts[workspace]
        account.running -= 1
        self._remove_if_idle(workspace)

    def withdraw(self, waiting: WaitingRequest) -> None:
        """Remove a request from its queue because its caller left."""
        self._remove(waiting)
        self._remove_if_idle(waiting.workspace)

    def pop_overdue(self, now_s: float) -> list[WaitingRequest]:
        """Remove and return all requests that can no longer be served.

        These are past their deadline, or their workspace was removed from the table.
        """
        overdue = [
            item
            for queue in self._queues.values()
            for waiting in queue.by_workspace.values()
            for item in waiting
            if item.deadline_s <= now_s or item.workspace not in self._rows
        ]
        for item in overdue:
            self.withdraw(item)
        return overdue

    def pop_all(self, service: str) -> list[WaitingRequest]:
        """Remove and return all waiting requests of a service."""
        queue = self._queues.get(service)
        if queue is None:
            return []
        waiting = [item for own in queue.by_workspace.values() for item in own]
        for item in waiting:
            self.withdraw(item)
        return waiting

    def get_retry_after_ms(self, service: str, now_s: float) -> int:
        """Return a ``Retry-After`` value: about the time until the current queue has started."""
        queue = self._queues.get(service)
        gap_s = self._get_gap_s(queue, now_s) if queue is not None else None
        if queue is None or gap_s is None:
            return MIN_RETRY_AFTER_MS * 2
        wait_ms = int(gap_s * (queue.total + 1) * 1000)
        return min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))

    def _refuse(
        self, code: codes.ResultCode, text: str, queue: _Queue, now_s: float
    ) -> expression.Result[None, Refusal]:
        gap_s = self._get_gap_s(queue, now_s) or MIN_RETRY_AFTER_MS / 1000
        wait_ms = int(gap_s * max(1, queue.total) * 1000)
        retry_after_ms = min(MAX_RETRY_AFTER_MS, max(MIN_RETRY_AFTER_MS, wait_ms))
        return expression.Error(Refusal(fault.Fault(code, text), retry_after_ms))

    def _may_start(self, row: rows.WorkspaceRow, name: str, now_s: float) -> bool:
        account = self._get_account(name, now_s)
        if account.running >= row.max_running:
            return False
        elapsed_s = now_s - account.refilled_s
        account.refilled_s = now_s
        if row.max_tokens_per_s is None:
            account.balance_tokens = 0.0
            return True
        refilled = account.balance_tokens + elapsed_s * row.max_tokens_per_s
        account.balance_tokens = min(float(row.max_tokens_per_s), refilled)
        return account.balance_tokens >= 0

    def _get_rank(
        self, row: rows.WorkspaceRow, name: str, first: WaitingRequest, now_s: float
    ) -> "_Rank":
        waited_ms = (now_s - first.arrived_s) * 1000
        level = row.priority + int(waited_ms / AGING_MS_PER_PRIORITY)
        return -level, self._accounts[name].consumed, first.arrived_s

    def _get_expected_wait_s(self, queue: _Queue, waiting: WaitingRequest, now_s: float) -> float:
        gap_s = self._get_gap_s(queue, now_s)
        if gap_s is None or not queue.total:
            return 0.0
        own = queue.by_workspace.get(waiting.workspace, ())
        # Workspaces take turns, so a request waits for its own workspace's queue times the number
        # of waiting workspaces, or for the whole queue if that is shorter.
        ahead = min(queue.total, (len(own) + 1) * max(1, len(queue.by_workspace)))
        return gap_s * ahead

    @staticmethod
    def _get_gap_s(queue: _Queue, now_s: float) -> float | None:
        if queue.start_gap_s is None or queue.last_start_s is None:
            return queue.start_gap_s
        return max(queue.start_gap_s, IDLE_GAP_FRACTION * (now_s - queue.last_start_s))

    def _append(self, queue: _Queue, account: _Account, waiting: WaitingRequest) -> None:
        if account.running == 0 and account.waiting == 0:
            self._level_consumption(account)
        queue.by_workspace.setdefault(waiting.workspace, collections.deque()).append(waiting)
        queue.total += 1
        account.waiting += 1

    def _level_consumption(self, account: _Account) -> None:
        # An idle workspace must not accumulate unused turns, or it would delay all others for as
        # long as it was idle.
        active = [
            other.consumed
            for other in self._accounts.values()
            if other is not account and (other.running or other.waiting)
        ]
        if active:
            account.consumed = max(account.consumed, min(active))

    def _remove(self, waiting: WaitingRequest) -> None:
        queue = self._queues[waiting.service]
        own = queue.by_workspace[waiting.workspace]
        own.remove(waiting)
        if not own:
            del queue.by_workspace[waiting.workspace]
        queue.total -= 1
        self._accounts[waiting.workspace].waiting -= 1

    def _get_account(self, workspace: str, now_s: float) -> _Account:
        account = self._accounts.get(workspace)
        if account is None:
            account = self._accounts[workspace] = _Account(now_s)
        return account

    def _remove_if_idle(self, workspace: str) -> None:
        account = self._accounts[workspace]
        is_removed = workspace not in self._rows
        if is_removed and not account.running and not account.waiting:
            del self._accounts[workspace]


_Rank = tuple[int, float, float]
