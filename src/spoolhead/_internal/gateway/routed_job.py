"""A request that was matched to a route."""

from spoolhead._internal.models import codes, dialects, request_keys, route_table
from spoolhead._internal.policy import upstream_gate
from spoolhead._internal.utils import clocks

RANKS_PER_WORKSPACE = 10
"""Multiplier of the workspace's rank, so that it takes precedence over the route's."""
MAX_ENGINE_RANK = 9
"""Least urgent rank that engines support."""


class Job:
    """A request that was matched to a route.

    :ivar head: head of the request.
    :ivar route: the matching route.
    :ivar service: service that receives the request.
    :ivar workspace: owner of the API key; None on a route without keys.
    :ivar version: version of the route table that was used.
    :ivar keys: keys of what may crash the instance that runs the request.
    :ivar tightest_objective_ms: shortest objective of the streams that the service gets.
    :ivar arrived_s: monotonic time at which this entry received the request.
    :ivar forwarded_by: name of the entry that forwarded the request; empty for a caller's own.
    :ivar attempts: attempts at instances that count against the route's limit, made before the
        request was handed over to this entry or to another one.
    :ivar ran: whether an instance may have run the request before it was handed over.
    :ivar is_counted: whether the request was counted for a retry allowance.
    :ivar has_arrived: whether an earlier attempt at this entry may have reached an instance.
    :ivar granted_repeats: repeated attempts that were acquired from the allowance and not sent yet.
    """

    __slots__ = (
        "arrived_s",
        "attempts",
        "forwarded_by",
        "granted_repeats",
        "has_arrived",
        "head",
        "is_counted",
        "keys",
        "ran",
        "route",
        "service",
        "tightest_objective_ms",
        "version",
        "workspace",
    )

    def __init__(
        self,
        head: dialects.RequestHead,
        route: route_table.Route,
        service: route_table.Service,
        workspace: route_table.Workspace | None,
        version: int,
        keys: request_keys.RequestKeys,
        tightest_objective_ms: int | None = None,
    ) -> None:
        self.head = head
        self.route = route
        self.service = service
        self.workspace = workspace
        self.version = version
        self.keys = keys
        self.tightest_objective_ms = tightest_objective_ms or route.objective_ms
        self.arrived_s = clocks.get_s()
        self.forwarded_by = ""
        self.attempts = 0
        self.ran = codes.Ran.NO
        self.is_counted = False
        self.has_arrived = False
        self.granted_repeats = 0

    @property
    def content_id(self) -> bytes:
        """Key of the request's content; equal for repeated requests."""
        return self.keys.content

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty without one."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def urgency(self) -> int:
        """Rank of the request at a model engine; 0 is the most urgent.

        An engine that receives ranks preempts less urgent runs, which wastes their prefill and
        stalls their streams. Therefore only the route's rank is sent there; the workspace's rank
        orders this entry's own requests.
        """
        return min(MAX_ENGINE_RANK, self.route.priority)

    @property
    def workspace_rank(self) -> int:
        """Rank of the workspace, or of the route if it has none; 0 is the most urgent."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def request_priority(self) -> upstream_gate.RequestPriority:
        """Rank and workspace for sharing out scarce capacity."""
        rank = self.workspace_rank * RANKS_PER_WORKSPACE + min(self.route.priority, MAX_ENGINE_RANK)
        return upstream_gate.RequestPriority(rank, self.workspace_name)
