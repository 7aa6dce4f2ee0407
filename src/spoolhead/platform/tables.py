"""Decodes the platform's route tables and its list of instances."""

import json
import math
import urllib.parse
from typing import Any

import expression

from spoolhead._internal.models import codes, dialects, fault, instances, route_table
from spoolhead._internal.utils import endpoints
from spoolhead.platform import names, pages

MAX_NUMBER = 1e14
"""Maximum number in the list: allows Unix times in milliseconds of the next thousand years, and
excludes infinity."""
MAX_TEXT_LENGTH = 256
"""Maximum length of a name in the list, in characters. Names in use have about a dozen."""
MS_PER_S = 1_000
_IS_LEAVING_BY_STATE = {"ready": False, "draining": True}
"""States of an instance, and whether it is leaving."""
_KINDS = {
    "safe": route_table.RequestKind.REPEATABLE,
    "unsafe": route_table.RequestKind.ONCE,
    "streaming": route_table.RequestKind.STREAM,
}


class _FieldError(Exception):
    """Raised for a field that is missing or not valid; the message has its path."""


class _Fields:
    """Typed access to the fields of a JSON object."""

    def __init__(self, value: object, path: str) -> None:
        if not isinstance(value, dict):
            raise _FieldError(f"{path or 'the document'} is not an object")
        self._value: dict[str, Any] = value
        self._path = path

    def has(self, name: str) -> bool:
        return self._value.get(name) is not None

    def names(self, name: str) -> bool:
        """Return whether a field is named, if only with a null."""
        return name in self._value

    def get(self, name: str, kind: type, default: object = None) -> Any:
        value = self._value.get(name)
        if value is None:
            value = default
        if kind is float and isinstance(value, int) and not isinstance(value, bool):
            value = float(value)
        is_bool = isinstance(value, bool) and kind is not bool
        if not isinstance(value, kind) or is_bool:
            raise _FieldError(f"{self._path}{name} is missing or of a wrong type")
        return value

    def get_text(self, name: str) -> str:
        text = self.get(name, str)
        if not 0 < len(text) <= MAX_TEXT_LENGTH or not text.isprintable():
            raise _FieldError(f"{self._path}{name} is empty, too long or not printable")
        return text

    def get_address(self, name: str) -> str:
        address = self.get(name, str)
        if not endpoints.is_address(address):
            raise _FieldError(f"{self._path}{name} is not an IP number and a port")
        return address

    def get_positive_int(self, name: str) -> int:
        number = self.get(name, int)
        if not 0 < number <= MAX_NUMBER:
            raise _FieldError(f"{self._path}{name} is out of range")
        return number

    def get_non_negative_float(self, name: str) -> float:
        number = self.get(name, float)
        if not 0.0 <= number <= MAX_NUMBER:
            raise _FieldError(f"{self._path}{name} is out of range")
        return number

    def get_object(self, name: str) -> "_Fields":
        return _Fields(self.get(name, dict), f"{self._path}{name}.")

    def get_objects(self, name: str) -> list["_Fields"]:
        items = self.get(name, list)
        return [_Fields(item, f"{self._path}{name}.{i}.") for i, item in enumerate(items)]


def decode_table(
    document: bytes,
) -> expression.Result[route_table.RouteTable, list[fault.Fault]]:
    """Decode a route table.

    :returns: the table, or the fault that prevents its decoding.
    """
    try:
        fields = _Fields(json.loads(document), "")
        return expression.Ok(_read_table(fields))
    except _FieldError as error:
        return expression.Error([_make_fault(str(error))])
    except (ValueError, RecursionError) as error:
        return expression.Error([_make_fault(f"not JSON: {error}")])


def _make_fault(text: str) -> fault.Fault:
    return fault.Fault(codes.ResultCode.EDIT_INVALID, text)


def _read_table(fields: _Fields) -> route_table.RouteTable:
    workspaces = None
    if fields.has("tenants"):
        workspaces = [_read_workspace(item) for item in fields.get_objects("tenants")]
    return route_table.RouteTable(
        version=fields.get("version", int),
        routes=[_read_route(item) for item in fields.get_objects("routes")],
        services=[_read_service(item) for item in fields.get_objects("services")],
        workspaces=workspaces,
        bounds=_read_bounds(fields),
    )


def _read_bounds(fields: _Fields) -> route_table.CallerBounds:
    if not fields.has("limits"):
        return route_table.CallerBounds()
    limits = fields.get_object("limits")
    return route_table.CallerBounds(
        head_bytes=limits.get("max_header_bytes", int, 0),
        body_bytes=limits.get("max_body_bytes", int, 0),
        head_ms=limits.get("header_timeout_ms", int, 0),
        idle_ms=limits.get("idle_timeout_ms", int, 0),
    )


def _read_route(fields: _Fields) -> route_table.Route:
    kind = _KINDS.get(fields.get("kind", str, "unsafe"))
    if kind is None:
        raise _FieldError("a route is of an unknown kind")
    timeout_ms = fields.get("timeout_ms", int)
    return route_table.Route(
        name=fields.get("name", str),
        host=fields.get("host", str),
        path_prefix=fields.get("path_prefix", str),
        kind=kind,
        timeout_ms=timeout_ms,
        objective_ms=fields.get("target_latency_ms", int, timeout_ms),
        priority=fields.get("priority", int, 0),
        shares=_read_shares(fields),
        attempts=fields.get("max_attempts", int, 1),
        is_public=fields.get("public", bool, False),
        pause_ms=fields.get("gap_aim_ms", int, 0),
    )


def _read_shares(fields: _Fields) -> tuple[route_table.Share, ...]:
    if not fields.has("traffic_split"):
        return (route_table.Share(service=fields.get("service", str), weight=1),)
    return tuple(
        route_table.Share(service=item.get("service", str), weight=item.get("weight", int))
        for item in fields.get_objects("traffic_split")
    )


def _read_service(fields: _Fields) -> route_table.Service:
    engine = None
    if fields.has("engine"):
        engine = _read_engine(fields.get_object("engine"))
    return route_table.Service(
        name=fields.get("name", str),
        health_path=fields.get("health_path", str, ""),
        max_connections=fields.get("max_connections", int, 0),
        engine=engine,
        cold_start_ms=int(fields.get("cold_start_s", float, 0.0) * MS_PER_S),
        cold_per_s=fields.get("cold_per_s", float, 0.0),
    )


def _read_engine(fields: _Fields) -> route_table.Engine:
    return route_table.Engine(
        slots=fields.get("slots", int),
        memory_tokens=fields.get("kv_capacity", int),
        token_bytes=fields.get("kv_token_bytes", int, 0),
        link_mbps=fields.get("link_mbps", float, 0.0),
        can_move=fields.get("moves", bool, False),
        tokens_per_event=fields.get("stride", int, 1),
    )


def _read_workspace(fields: _Fields) -> route_table.Workspace:
    api_keys = fields.get("api_keys", list)
    if not all(isinstance(api_key, str) for api_key in api_keys):
        raise _FieldError("an API key is no text")
    return route_table.Workspace(
        name=fields.get("name", str),
        api_keys=tuple(api_keys),
        priority=fields.get("priority", int) if fields.has("priority") else None,
    )


def decode_instances(document: bytes) -> expression.Result[dialects.InstancePage, fault.Fault]:
    """Decode a page of the list of instances."""
    try:
        fields = _Fields(pages.parse_page(document), "")
        page = _read_entries(fields.get("instances", list))
    except (_FieldError, ValueError, RecursionError) as error:
        return expression.Error(fault.Fault(codes.ResultCode.PEER_PROTOCOL, str(error)))
    try:
        page.is_end_unknown = not fields.names("next_token")
        if fields.has("next_token"):
            token = urllib.parse.quote(fields.get("next_token", str))
            page.next_target = f"{names.LIST_PATH}?page_token={token}"
    except (_FieldError, ValueError):
        page.is_end_unknown = True
    return expression.Ok(page)


def _read_entries(entries: list[object]) -> dialects.InstancePage:
    """Decode the entries of a page; entries that are not valid are returned as faults."""
    page = dialects.InstancePage([], "")
    for number, entry in enumerate(entries):
        try:
            page.instances.append(_read_instance(_Fields(entry, f"instances.{number}.")))
        except _FieldError as error:
            page.faults.append(_make_fault(str(error)))
    return page


def _read_instance(fields: _Fields) -> instances.Instance:
    return instances.Instance(
        instance_id=fields.get_text("id"),
        service=fields.get_text("service"),
        address=fields.get_address("address"),
        hall=fields.get_text("zone"),
        slots=fields.get_positive_int("slots"),
        is_leaving=_read_is_leaving(fields),
        cold_ms=math.ceil(fields.get_non_negative_float("cold_remaining_ms")),
        started_ms=fields.get_positive_int("born") if fields.has("born") else 0,
    )


def _read_is_leaving(fields: _Fields) -> bool:
    """Return whether an instance is leaving; an entry with an unknown state is not valid."""
    is_leaving = _IS_LEAVING_BY_STATE.get(fields.get("state", str))
    if is_leaving is None:
        raise _FieldError("an instance is in an unknown state")
    return is_leaving
