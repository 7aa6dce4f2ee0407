"""Finds the route and the workspace of a request. Performs no I/O."""

import collections
import random
from collections.abc import Iterable, Sequence

from spoolhead._internal.models import route_table


class _HostRoutes:
    """Routes of one host.

    :ivar by_prefix: each route by its prefix.
    :ivar max_prefix_length: length of the longest prefix.
    """

    __slots__ = ("by_prefix", "max_prefix_length")

    def __init__(self) -> None:
        self.by_prefix: dict[str, route_table.Route] = {}
        self.max_prefix_length = 0

    def add(self, route: route_table.Route) -> None:
        self.by_prefix[route.path_prefix] = route
        self.max_prefix_length = max(self.max_prefix_length, len(route.path_prefix))

    def find(self, path: str) -> route_table.Route | None:
        # Prefixes end with a slash, so the part up to each slash in the path is looked up, the
        # longest first; a lookup costs the same with ten routes as with thousands.
        end = path.rfind("/", 0, self.max_prefix_length)
        while end >= 0:
            route = self.by_prefix.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


class Matcher:
    """One version of the route table, indexed for lookups.

    :param table: the table, already validated.
    :ivar version: version of the table.
    :ivar bounds: limits for callers' requests.
    """

    def __init__(self, table: route_table.RouteTable) -> None:
        self.version = table.version
        self.bounds = table.bounds
        self._services = {service.name: service for service in table.services}
        self._hosts: dict[str, _HostRoutes] = collections.defaultdict(_HostRoutes)
        for route in table.routes:
            self._hosts[route.host.lower()].add(route)
        self._stream_objectives_ms = _get_stream_objectives_ms(table.routes)
        self._needs_key = table.workspaces is not None
        self._owners = {
            api_key: workspace
            for workspace in table.workspaces or ()
            for api_key in workspace.api_keys
        }

    @property
    def services(self) -> Sequence[route_table.Service]:
        """Services of the table."""
        return list(self._services.values())

    def get_service(self, name: str) -> route_table.Service | None:
        """Return a service, or None if the table has no service of that name."""
        return self._services.get(name)

    def find_route(self, host: str, path: str) -> route_table.Route | None:
        """Return the route of a host with the longest matching path prefix.

        :param host: Host header; a port in it is ignored.
        :param path: path without the query.
        """
        routes = self._hosts.get(host.partition(":")[0].lower())
        return routes.find(path) if routes is not None else None

    def get_tightest_objective_ms(self, service: str) -> int | None:
        """Return the shortest objective of the streams that a service gets; None for no streams."""
        return self._stream_objectives_ms.get(service)

    def needs_key(self, route: route_table.Route) -> bool:
        """Return whether a route's requests need an API key."""
        return self._needs_key and not route.is_public

    def get_owner(self, api_key: str) -> route_table.Workspace | None:
        """Return the workspace that owns an API key."""
        return self._owners.get(api_key)


def _get_stream_objectives_ms(routes: Iterable[route_table.Route]) -> dict[str, int]:
    objectives_ms: dict[str, int] = {}
    for route in routes:
        if route.kind is not route_table.RequestKind.STREAM:
            continue
        for share in route.shares:
            known_ms = objectives_ms.get(share.service, route.objective_ms)
            objectives_ms[share.service] = min(known_ms, route.objective_ms)
    return objectives_ms


def choose_service(route: route_table.Route, rng: random.Random) -> str:
    """Return the service for a route's next request, chosen at random by weight."""
    if len(route.shares) == 1:
        return route.shares[0].service
    weights = [share.weight for share in route.shares]
    return rng.choices(route.shares, weights)[0].service
