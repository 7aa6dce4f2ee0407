"""Route table: routes by host and path, services, workspaces and limits on requests.

Operators replace the whole table and choose its version; the highest version is in force.
"""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """How often the requests of a route may run, and the kind of their answers.

    :cvar REPEATABLE: a request may run more than once.
    :cvar ONCE: a request runs at most once.
    :cvar STREAM: a request runs at most once, and its answer is a stream of events.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Share:
    """A service's share of a route.

    :ivar service: name of the service.
    :ivar weight: weight relative to the other services of the route.
    """

    service: str
    weight: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Route for the requests to one host below one path.

    :ivar name: name of the route.
    :ivar host: value of the Host header.
    :ivar path_prefix: prefix of the path; begins and ends with a slash.
    :ivar kind: kind of its requests.
    :ivar timeout_ms: deadline of a request, counted from its arrival; a caller may state an earlier
        one.
    :ivar objective_ms: target latency: time within which an answer is worth most.
    :ivar priority: rank; 0 is the most urgent.
    :ivar shares: services that its requests are sent to.
    :ivar attempts: maximum number of upstreams that one request is sent to.
    :ivar is_public: whether requests need no API key.
    :ivar pause_ms: longest acceptable pause between two events of a stream; 0 if not stated.
    """

    name: str
    host: str
    path_prefix: str
    kind: RequestKind
    timeout_ms: int
    objective_ms: int
    priority: int
    shares: tuple[Share, ...]
    attempts: int
    is_public: bool
    pause_ms: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Engine:
    """Properties of the model engine of a service.

    :ivar slots: number of requests in one batch.
    :ivar memory_tokens: memory of one instance, in tokens.
    :ivar token_bytes: bytes that are transferred for each token when a run is migrated.
    :ivar link_mbps: bandwidth of an instance's link for migrations.
    :ivar can_move: whether the memory of a run can be copied to another instance.
    :ivar tokens_per_event: tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    can_move: bool
    tokens_per_event: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A group of equivalent upstream instances.

    :ivar name: name of the service.
    :ivar health_path: path of the health check.
    :ivar max_connections: connections that an instance accepts from all entries together.
    :ivar engine: properties of its model engine; None for a plain service.
    :ivar cold_start_ms: time for which an instance is cold after a start.
    :ivar cold_per_s: requests a second that a cold instance can serve from all entries together; 0
        if not stated.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Workspace:
    """Owner of API keys.

    :ivar name: name of the workspace.
    :ivar api_keys: its API keys.
    :ivar priority: rank that overrides the priority of the route; None for no override.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CallerBounds:
    """Limits on callers; 0 stands for the value in an entry's settings.

    :ivar head_bytes: maximum size of the head of a request.
    :ivar body_bytes: maximum size of the body.
    :ivar head_ms: maximum time for a head to arrive.
    :ivar idle_ms: maximum time that a connection may be idle.
    """

    head_bytes: int = 0
    body_bytes: int = 0
    head_ms: int = 0
    idle_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteTable:
    """A version of the route table.

    :ivar version: version chosen by the operator.
    :ivar routes: all routes.
    :ivar services: all services.
    :ivar workspaces: all workspaces; None if requests need no API key.
    :ivar bounds: limits on callers.
    """

    version: int
    routes: list[Route]
    services: list[Service]
    workspaces: list[Workspace] | None
    bounds: CallerBounds
