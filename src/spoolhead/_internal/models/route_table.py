"""The route table: routes by host and path, their services, the workspaces and limits.

Operators send it whole under a version of theirs; the highest version is in force.
"""

import dataclasses
import enum


class RequestKind(enum.Enum):
    """What may be done with a route's requests.

    :cvar REPEATABLE: a request may run more than once.
    :cvar ONCE: a request runs at most once.
    :cvar STREAM: the same, and the answer is a stream of events.
    """

    REPEATABLE = "repeatable"
    ONCE = "once"
    STREAM = "stream"


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Share:
    """A service's share of a route.

    :ivar service: name of the service.
    :ivar weight: its weight against the route's other services.
    """

    service: str
    weight: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Route:
    """Requests of one host below one path.

    :ivar name: its name.
    :ivar host: value of the Host header.
    :ivar path_prefix: beginning of the path, from slash to slash.
    :ivar kind: what may be done with its requests.
    :ivar timeout_ms: longest time that a request may be held.
    :ivar objective_ms: time within which an answer is worth most.
    :ivar priority: rank; 0 is the most urgent.
    :ivar shares: services that its requests go to.
    :ivar attempts: upstreams that one request may be sent to.
    :ivar is_public: requests need no API key.
    :ivar pause_ms: longest pause between two events of a stream that counts as good; 0 where
        none is stated.
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
    """Model engine of a service's instances.

    :ivar slots: requests that one batch holds.
    :ivar memory_tokens: memory of one instance, in tokens.
    :ivar token_bytes: memory of a token that is moved between instances.
    :ivar link_mbps: speed of an instance's link for such moves.
    :ivar can_move: a run's memory can be moved to another instance.
    :ivar tokens_per_event: tokens that one event of a stream holds.
    """

    slots: int
    memory_tokens: int
    token_bytes: int
    link_mbps: float
    can_move: bool
    tokens_per_event: int


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Service:
    """A group of equal upstream instances.

    :ivar name: its name.
    :ivar health_path: path of its health check.
    :ivar max_connections: connections that an instance accepts from all entries together.
    :ivar engine: its model engine; None for a plain service.
    :ivar cold_start_ms: how long an instance is cold after a start.
    :ivar cold_per_s: requests a second that a cold instance bears from all entries together; 0
        where none is stated.
    """

    name: str
    health_path: str
    max_connections: int
    engine: Engine | None
    cold_start_ms: int = 0
    cold_per_s: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class Workspace:
    """Who holds API keys.

    :ivar name: its name.
    :ivar api_keys: its keys.
    :ivar priority: rank that goes before the route's; None where the route's counts.
    """

    name: str
    api_keys: tuple[str, ...]
    priority: int | None


@dataclasses.dataclass(slots=True, kw_only=True, frozen=True)
class CallerBounds:
    """What callers may send; 0 leaves an entry's own setting.

    :ivar head_bytes: largest head of a request.
    :ivar body_bytes: largest body.
    :ivar head_ms: longest time for a head to arrive.
    :ivar idle_ms: longest time that a connection may rest.
    """

    head_bytes: int = 0
    body_bytes: int = 0
    head_ms: int = 0
    idle_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class RouteTable:
    """One version of the table.

    :ivar version: the operator's version.
    :ivar routes: its routes.
    :ivar services: its services.
    :ivar workspaces: its workspaces; None where requests need no key.
    :ivar bounds: what callers may send.
    """

    version: int
    routes: list[Route]
    services: list[Service]
    workspaces: list[Workspace] | None
    bounds: CallerBounds
