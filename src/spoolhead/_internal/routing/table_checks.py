"""Validates a route table. Performs no I/O."""

import collections

from spoolhead._internal.models import codes, fault, route_table


def check(table: route_table.RouteTable) -> list[fault.Fault]:
    """Return all faults of a table; an empty list if it may be put in force."""
    faults: list[fault.Fault] = []
    services = {service.name for service in table.services}
    if table.version < 1:
        faults.append(_make_fault("version", "must be at least 1"))
    if len(services) < len(table.services):
        faults.append(_make_fault("services", "two services have the same name"))
    route_counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for route in table.routes:
        route_counts[route.host, route.path_prefix] += 1
        faults.extend(_check_route(route, services))
    for (host, prefix), count in route_counts.items():
        if count > 1:
            faults.append(_make_fault("routes", f"{count} routes stand at {host}{prefix}"))
    faults.extend(_check_keys(table))
    return faults


def _check_route(route: route_table.Route, services: set[str]) -> list[fault.Fault]:
    faults: list[fault.Fault] = []
    path = f"routes.{route.name}"
    for share in route.shares:
        if share.service not in services:
            faults.append(_make_fault(path, f"names the unknown service {share.service}"))
        if share.weight < 0:
            faults.append(_make_fault(path, f"has the weight {share.weight}"))
    if sum(share.weight for share in route.shares) <= 0:
        faults.append(_make_fault(path, "its weights add up to 0"))
    if route.timeout_ms <= 0:
        faults.append(_make_fault(path, "its time limit must be above 0"))
    if not (route.path_prefix.startswith("/") and route.path_prefix.endswith("/")):
        faults.append(_make_fault(path, "its path prefix must begin and end with a slash"))
    return faults


def _check_keys(table: route_table.RouteTable) -> list[fault.Fault]:
    owners: dict[str, str] = {}
    faults: list[fault.Fault] = []
    for workspace in table.workspaces or ():
        for api_key in workspace.api_keys:
            owner = owners.setdefault(api_key, workspace.name)
            if owner != workspace.name:
                text = f"shares an API key with {owner}"
                faults.append(_make_fault(f"workspaces.{workspace.name}", text))
    return faults


def _make_fault(path: str, text: str) -> fault.Fault:
    return fault.Fault(codes.ResultCode.EDIT_INVALID, text, path=path)
