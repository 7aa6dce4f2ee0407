"""Which waiting request goes next, and which is refused; no clock, no I/O.

Each service has its own queue, so that a full engine holds up nobody who asks for another.
Within a service the order is by priority, raised by waiting so that nobody starves, and then
by what each workspace has consumed relative to its weight. Consumption is counted in tokens
really produced, because the length of an answer is not known when it starts.
"""

import collections
from collections.abc import Iterator, Mapping

import expression

from spoolhead._internal.models import codes, fault, rows

AGING_MS_PER_PRIORITY = 4_000
"""Waiting that counts as much as one step of priority."""

START_CHARGE_TOKENS = 16.0
"""Charged when a request starts, so that a burst of starts is not free until tokens come."""

RATE_SMOOTHING = 0.95
"""Weight of the past in the rate of starts."""

IDLE_GAP_FRACTION = 1 / 4
"""Part of a pause in the starts that counts as their rate, before the next start ends it."""

MAX_BYPASS_S = 1.0
"""Time for which smaller requests may pass one that fits nowhere."""

MIN_RETRY_AFTER_MS = 500
MAX_RETRY_AFTER_MS = 60_000


class WaitingRequest:
    """One request on its way to an upstream.

    :ivar request_id: its id.
    :ivar workspace: who asked.
    :ivar service: for what.
    :ivar arrived_s: monotonic time of its arrival, in seconds.
    :ivar deadline_s: monotonic time by which its answer must be complete.
    :ivar owner: what the user of this module keeps with it.
    :ivar bypassed_since_s: monotonic time since when it was next and fitted nowhere; None where
        that is not so.
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
        """Tell whether others may go first, now that this one is next and fits nowhere.

        Keeping everybody else waiting for it would leave room unused; letting them pass for
        ever would starve it, as there is always something smaller.
        """
        if self.bypassed_since_s is None:
            self.bypassed_since_s = now_s
        return now_s - self.bypassed_since_s < MAX_BYPASS_S


class Refusal:
    """A refusal.

    :ivar fault: why.
    :ivar retry_after_ms: when to come back; None to say nothing of it.
    """

    __slots__ = ("fault", "retry_after_ms")

    def __init__(self, item: fault.Fault, retry_after_ms: int | None) -> None:
        self.fault = item
        self.retry_after_ms = retry_after_ms


class _Account:
    """What one workspace does at this entry."""

    __slots__ = ("balance_tokens", "consumed", "refilled_s", "running", "waiting")

    def __init__(self, now_s: float) -> None:
        self.running = 0
        self.waiting = 0
        self.consumed = 0.0
        self.balance_tokens = 0.0
        self.refilled_s = now_s


class _Queue:
    """Waiting requests of one service, by workspace, and how fast they start."""

    __slots__ = ("by_workspace", "last_start_s", "start_gap_s", "total")

    def __init__(self) -> None:
        self.by_workspace: dict[str, collections.deque[WaitingRequest]] = {}
        self.total = 0
        self.last_start_s: float | None = None
        self.start_gap_s: float | None = None


class Admission:
    """Queues and limits of one entry.

    :param table_rows: rows of the workspaces by name; the live mapping, so that an edit counts
        for what already waits.
    """

    def __init__(self, table_rows: Mapping[str, rows.WorkspaceRow]) -> None:
        self._rows = table_rows
        self._accounts: dict[str, _Account] = {}
        self._queues: dict[str, _Queue] = {}

    @property
    def waiting_count(self) -> int:
        """Requests waiting in all queues."""
        return sum(queue.total for queue in self._queues.values())

    @property
    def waiting_services(self) -> list[str]:
        """Services that have requests waiting."""
        return [name for name, queue in self._queues.items() if queue.total]

    def get_running(self, workspace: str) -> int:
        """Requests of a workspace that run."""
        account = self._accounts.get(workspace)
        return account.running if account else 0

    def offer(self, waiting: WaitingRequest, now_s: float) -> expression.Result[None, Refusal]:
        """Take a request into its queue, or refuse it at once.

        :returns: nothing, or the refusal: the queue is full, or the wait would be too long.
        """
        row = self._rows[waiting.workspace]
        account = self._get_account(waiting.workspace, now_s)
        queue = self._queues.setdefault(waiting.service, _Queue())
        # One that could start at once is not waiting, so a row may allow no waiting at all.
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
        """Take a request that could not run after all back to the head of its queue."""
        account = self._get_account(waiting.workspace, now_s)
        queue = self._queues.setdefault(waiting.service, _Queue())
        own = queue.by_workspace.setdefault(waiting.workspace, collections.deque())
        own.appendleft(waiting)
        queue.total += 1
        account.waiting += 1

    def iterate(self, service: str, now_s: float) -> Iterator[WaitingRequest]:
        """Yield the requests that may start, the next one first, one for each workspace.

        Stop iterating after :meth:`start`: what follows was computed before.
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
        """Move a request from its queue to those that run."""
        self._remove(waiting)
        self.start_unqueued(waiting.workspace, now_s)
        queue = self._queues[waiting.service]
        if queue.last_start_s is not None:
            gap_s = now_s - queue.last_start_s
            known_s = queue.start_gap_s if queue.start_gap_s is not None else gap_s
            queue.start_gap_s = RATE_SMOOTHING * known_s + (1 - RATE_SMOOTHING) * gap_s
        queue.last_start_s = now_s if queue.total else None

    def start_unqueued(self, workspace: str, now_s: float) -> None:
        """Count a request as running that did not wait here."""
        account = self._get_account(workspace, now_s)
        account.running += 1
        self.charge(workspace, START_CHARGE_TOKENS, now_s)

    def charge(self, workspace: str, tokens: float, now_s: float) -> None:
        """Charge tokens really produced."""
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
        """Take a request out of its queue, because its caller left."""
        self._remove(waiting)
        self._remove_if_idle(waiting.workspace)

    def pop_overdue(self, now_s: float) -> list[WaitingRequest]:
        """Take out every request that can no longer be served: past its deadline, or its
        workspace was removed from the table.
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
        """Take out everything that waits for a service."""
        queue = self._queues.get(service)
        if queue is None:
            return []
        waiting = [item for own in queue.by_workspace.values() for item in own]
        for item in waiting:
            self.withdraw(item)
        return waiting

    def get_retry_after_ms(self, service: str, now_s: float) -> int:
        """Return when a caller should come back: about when the queue has moved on."""
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
        # Turns are shared, so a request waits for its own workspace's queue times the number
        # of workspaces that take turns with it, or for everybody if that is less.
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
        # A workspace that was away must not claim the turns it did not use, or it would hold
        # everybody else up for as long as it was away.
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
        gone = workspace not in self._rows
        if gone and not account.running and not account.waiting:
            del self._accounts[workspace]


_Rank = tuple[int, float, float]
