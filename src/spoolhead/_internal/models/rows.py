"""Rows of the table: the columns of each sheet, and the validation of rows.

The table has four sheets: ``workspaces`` (permissions and quotas), ``services`` (model pools and
plain services), ``upstreams`` (replicas of the services) and ``halls`` (evacuated halls). Values
arrive as parsed JSON and are validated by pydantic; unknown columns are refused.
"""

import enum
import json
import re
from collections.abc import Collection, Mapping
from typing import Annotated, Any

import expression
import pydantic
import pydantic.dataclasses

from spoolhead._internal.models import codes, fault
from spoolhead._internal.utils import endpoints

_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True)

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._:/-]{0,127}$"
SERVICE_PATTERN = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")
RESERVED_SERVICES = frozenset({"v1", "livez", "readyz"})

Name = Annotated[str, pydantic.StringConstraints(pattern=NAME_PATTERN)]
KeyHash = Annotated[str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, pydantic.StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
Method = Annotated[str, pydantic.StringConstraints(pattern=r"^[A-Z]{1,20}$")]
Positive = Annotated[int, pydantic.Field(gt=0)]


class Sheet(enum.StrEnum):
    """The sheets of the table."""

    WORKSPACES = "workspaces"
    SERVICES = "services"
    UPSTREAMS = "upstreams"
    HALLS = "halls"


class ServiceKind(enum.StrEnum):
    """Kind of a service: a pool of model engines, or a plain HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


class UpstreamState(enum.StrEnum):
    """Whether an upstream may get new requests."""

    LIVE = "live"
    LEAVING = "leaving"


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class WorkspaceRow:
    """Row of a workspace.

    :ivar key_sha256: SHA-256 of each API key, as hexadecimal digits.
    :ivar weight: share of the capacity relative to other workspaces.
    :ivar priority: 0 to 9; requests with a higher priority go first.
    :ivar max_running: maximum number of running requests.
    :ivar max_waiting: maximum number of waiting requests; further requests are refused.
    :ivar max_tokens_per_s: sustained rate of output tokens a second; None for no limit.
    :ivar max_output_tokens: maximum number of output tokens of one request.
    :ivar deadline_ms: maximum time from the arrival of a request to the end of its answer.
    :ivar models: model services that the workspace may use.
    :ivar services: plain services that the workspace may use.
    """

    key_sha256: list[KeyHash]
    weight: Annotated[float, pydantic.Field(gt=0, le=1000)] = 1.0
    priority: Annotated[int, pydantic.Field(ge=0, le=9)] = 5
    max_running: Positive = 16
    max_waiting: Annotated[int, pydantic.Field(ge=0)] = 64
    max_tokens_per_s: Positive | None = None
    max_output_tokens: Positive = 4096
    deadline_ms: Positive = 120_000
    models: list[Name] = pydantic.Field(default_factory=list)
    services: list[Name] = pydantic.Field(default_factory=list)


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class ServiceRow:
    """Row of a service: a model pool or a plain service.

    :ivar kind: ``model`` or ``plain``.
    :ivar once_methods: HTTP methods of a plain service whose requests must not be repeated.
    :ivar max_running_per_upstream: maximum number of concurrent requests from one entry to one
        upstream.
    :ivar silence_ms: time without data from an upstream after which the attempt is aborted.
    """

    kind: ServiceKind
    once_methods: list[Method] = pydantic.Field(default_factory=list)
    max_running_per_upstream: Positive = 256
    silence_ms: Positive = 30_000


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class UpstreamRow:
    """Row of an upstream: a replica of a service.

    :ivar address: ``IP:PORT`` of its HTTP interface.
    :ivar hall: hall of the upstream.
    :ivar service: service of the replica.
    :ivar state: ``leaving`` if the upstream must get no new requests.
    """

    address: Address
    hall: Name
    service: Name
    state: UpstreamState = UpstreamState.LIVE


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class HallRow:
    """Row of a hall; a hall without a row is not evacuated.

    :ivar evacuated: no new requests are sent to its upstreams, regardless of their own state.
    """

    evacuated: bool = False


Row = WorkspaceRow | ServiceRow | UpstreamRow | HallRow

_ADAPTERS: dict[Sheet, pydantic.TypeAdapter[Any]] = {
    Sheet.WORKSPACES: pydantic.TypeAdapter(WorkspaceRow),
    Sheet.SERVICES: pydantic.TypeAdapter(ServiceRow),
    Sheet.UPSTREAMS: pydantic.TypeAdapter(UpstreamRow),
    Sheet.HALLS: pydantic.TypeAdapter(HallRow),
}


def parse_row(sheet: Sheet, name: str, value: object) -> expression.Result[Row, list[fault.Fault]]:
    """Validate a row.

    :param sheet: sheet of the row.
    :param name: name of the row.
    :param value: columns as parsed JSON.
    :returns: the typed row, or all faults (``EDIT_INVALID``) with their paths.
    """
    place = f"{sheet}.{name}"
    faults = []
    if not re.match(NAME_PATTERN, name):
        faults.append(_make_fault(place, "the row's name has characters that are not allowed"))
    if sheet is Sheet.SERVICES and name in RESERVED_SERVICES:
        faults.append(_make_fault(place, "the name is reserved for the entry's own paths"))
    try:
        # In strict mode, pydantic accepts an object for a row only from JSON text, not from a dict.
        row = _ADAPTERS[sheet].validate_json(json.dumps(value))
    except pydantic.ValidationError as error:
        faults.extend(get_faults(error, place, codes.ResultCode.EDIT_INVALID))
        return expression.Error(faults)
    faults.extend(_check_row(sheet, name, row))
    return expression.Error(faults) if faults else expression.Ok(row)


def get_faults(
    error: pydantic.ValidationError, place: str, code: codes.ResultCode
) -> list[fault.Fault]:
    """Return the faults that a pydantic error describes.

    :param error: error raised by pydantic.
    :param place: path of the validated value, prepended to each path; may be empty.
    :param code: result code of the faults.
    """
    faults = []
    for item in error.errors(include_url=False, include_input=False):
        parts = [place, *(str(part) for part in item["loc"])]
        path = ".".join(part for part in parts if part)
        text = item["msg"]
        if item["type"] in ("unexpected_keyword_argument", "extra_forbidden"):
            text = "unknown name"
        faults.append(fault.Fault(code, text, path=path))
    return faults


def check_references(
    parsed: Mapping[Sheet, Mapping[str, Row]],
    changed: Collection[tuple[Sheet, str]],
) -> list[fault.Fault]:
    """Check references between rows.

    :param parsed: all rows of the table by sheet and name.
    :param changed: sheets and names of the rows to check; the other rows are known to be valid.
        Must include all rows if a service was changed or removed.
    :returns: a fault (``EDIT_INVALID``) for each reference to a missing row or to a service of the
        wrong kind, and for each API key that belongs to two workspaces.
    """
    services = parsed[Sheet.SERVICES]
    faults = []
    for sheet, name in changed:
        row = parsed[sheet].get(name)
        place = f"{sheet}.{name}"
        if isinstance(row, WorkspaceRow):
            faults.extend(_check_names(f"{place}.models", row.models, services, ServiceKind.MODEL))
            plain = ServiceKind.PLAIN
            faults.extend(_check_names(f"{place}.services", row.services, services, plain))
        elif isinstance(row, UpstreamRow) and row.service not in services:
            text = f"no service is named {row.service}"
            faults.append(_make_fault(f"{place}.service", text))
    return faults + _check_keys(parsed[Sheet.WORKSPACES])


def _check_keys(workspaces: Mapping[str, WorkspaceRow]) -> list[fault.Fault]:
    faults = []
    owners: dict[str, str] = {}
    for name, row in workspaces.items():
        for digest in row.key_sha256:
            owner = owners.setdefault(digest, name)
            if owner != name:
                text = f"the key already belongs to workspace {owner}"
                place = f"{Sheet.WORKSPACES}.{name}.key_sha256"
                faults.append(_make_fault(place, text))
    return faults


def _check_row(sheet: Sheet, name: str, row: Row) -> list[fault.Fault]:
    place = f"{sheet}.{name}"
    if isinstance(row, UpstreamRow) and not endpoints.is_address(row.address):
        return [_make_fault(f"{place}.address", "not an IP number and a port")]
    if isinstance(row, ServiceRow) and row.kind is ServiceKind.PLAIN:
        if not SERVICE_PATTERN.match(name):
            return [_make_fault(place, "a plain service's name must fit one part of a path")]
    elif isinstance(row, ServiceRow) and row.once_methods:
        return [_make_fault(f"{place}.once_methods", "only plain services have it")]
    return []


def _check_names(
    place: str, names: list[str], services: Mapping[str, Row], kind: ServiceKind
) -> list[fault.Fault]:
    faults = []
    for name in names:
        row = services.get(name)
        if row is None:
            faults.append(_make_fault(place, f"no service is named {name}"))
        elif row.kind is not kind:
            faults.append(_make_fault(place, f"service {name} is of kind {row.kind}"))
    return faults


def _make_fault(path: str, text: str) -> fault.Fault:
    return fault.Fault(codes.ResultCode.EDIT_INVALID, text, path=path)
