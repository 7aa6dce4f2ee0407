"""A request that was matched to a route."""

from spoolhead._internal.models import dialects, route_table
from spoolhead._internal.policy import upstream_gate

RANKS_PER_WORKSPACE = 10
"""The workspace's rank goes before the route's."""
MAX_ENGINE_RANK = 9
"""Lowest rank that engines know."""


class Job:
    """A request that was matched to a route.

    :ivar head: its head.
    :ivar route: its route.
    :ivar service: service that it goes to.
    :ivar workspace: whose it is; None on a route without keys.
    :ivar version: version of the table that decided this.
    :ivar content_id: name of what it asks, the same for each repeat of it.
    """

    __slots__ = ("content_id", "head", "route", "service", "version", "workspace")

    def __init__(
        self,
        head: dialects.RequestHead,
        route: route_table.Route,
        service: route_table.Service,
        workspace: route_table.Workspace | None,
        version: int,
        content_id: bytes,
    ) -> None:
        self.head = head
        self.route = route
        self.service = service
        self.workspace = workspace
        self.version = version
        self.content_id = content_id

    @property
    def workspace_name(self) -> str:
        """Name of the workspace; empty for none."""
        return self.workspace.name if self.workspace is not None else ""

    @property
    def urgency(self) -> int:
        """Rank of the request at a model engine, 0 for the most urgent.

        An engine that is told ranks preempts what is less urgent, which wastes what that has
        read and stops its stream. So only the routes' ranks go there; the workspaces' decide
        among this entry's own requests.
        """
        return min(MAX_ENGINE_RANK, self.route.priority)

    @property
    def workspace_rank(self) -> int:
        """Rank of the workspace, 0 for the most urgent; the route's where it has none."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority

    @property
    def request_priority(self) -> upstream_gate.RequestPriority:
        """What the request may claim where not all get something."""
        rank = self.workspace_rank * RANKS_PER_WORKSPACE + min(self.route.priority, MAX_ENGINE_RANK)
        return upstream_gate.RequestPriority(rank, self.workspace_name)
