"""Rows of the table: the columns of each sheet and how a row is checked.

The table has four sheets. ``workspaces`` says who may send what and how much; ``services``
names what is served, model pools and plain services alike; ``upstreams`` lists the replicas
of the services; ``halls`` says which halls are evacuated. Values arrive as parsed JSON and are
checked by pydantic; unknown columns are refused.
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
    """What a service is: a pool of model engines, or a plain HTTP service."""

    MODEL = "model"
    PLAIN = "plain"


class UpstreamState(enum.StrEnum):
    """Whether an upstream may get new work."""

    LIVE = "live"
    LEAVING = "leaving"


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class WorkspaceRow:
    """One workspace.

    :ivar key_sha256: SHA-256 of each API key, as hexadecimal digits.
    :ivar weight: share of the capacity relative to other workspaces.
    :ivar priority: higher goes first; 0 to 9.
    :ivar max_running: requests running at once.
    :ivar max_waiting: requests waiting at once; one more is refused.
    :ivar max_tokens_per_s: output tokens a second over time; None for no limit.
    :ivar max_output_tokens: longest answer of one request.
    :ivar deadline_ms: longest time from arrival to the end of the answer.
    :ivar models: model services the workspace may use.
    :ivar services: plain services the workspace may use.
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
    """One service: a model pool or a plain service.

    :ivar kind: ``model`` or ``plain``.
    :ivar once_methods: methods of a plain service whose requests are not to be repeated.
    :ivar max_running_per_upstream: requests one entry sends to one upstream at once.
    :ivar silence_ms: longest silence of an upstream before the attempt is given up.
    """

    kind: ServiceKind
    once_methods: list[Method] = pydantic.Field(default_factory=list)
    max_running_per_upstream: Positive = 256
    silence_ms: Positive = 30_000


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class UpstreamRow:
    """One upstream: a replica of a service.

    :ivar address: ``IP:PORT`` of its HTTP interface.
    :ivar hall: hall it stands in.
    :ivar service: service it is a replica of.
    :ivar state: ``leaving`` for one that must get nothing new.
    """

    address: Address
    hall: Name
    service: Name
    state: UpstreamState = UpstreamState.LIVE


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class HallRow:
    """One hall; one without a row is not evacuated.

    :ivar evacuated: nothing new is sent to its upstreams, whatever their own state.
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
    """Check one row.

    :param sheet: sheet the row belongs to.
    :param name: the row's name.
    :param value: columns as parsed JSON.
    :returns: the typed row, or every fault found (``EDIT_INVALID``), each with its path.
    """
    place = f"{sheet}.{name}"
    faults = []
    if not re.match(NAME_PATTERN, name):
        faults.append(_make_fault(place, "the row's name has characters that are not allowed"))
    if sheet is Sheet.SERVICES and name in RESERVED_SERVICES:
        faults.append(_make_fault(place, "the name is reserved for the entry's own paths"))
    try:
        # Strict checking takes an object for a row only from JSON text, not from a dict.
        row = _ADAPTERS[sheet].validate_json(json.dumps(value))
    except pydantic.ValidationError as error:
        faults.extend(get_faults(error, place, codes.ResultCode.EDIT_INVALID))
        return expression.Error(faults)
    faults.extend(_check_row(sheet, name, row))
    return expression.Error(faults) if faults else expression.Ok(row)


def get_faults(
    error: pydantic.ValidationError, place: str, code: codes.ResultCode
) -> list[fault.Fault]:
    """Turn a pydantic error into faults.

    :param error: what pydantic raised.
    :param place: path of the checked value, put before each path; may be empty.
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
    """Check what rows say of others.

    :param parsed: every row of the table by sheet and name.
    :param changed: sheet and name of the rows to look at; the others are known to be right. All
        rows must be among them where a service was changed or removed.
    :returns: a fault (``EDIT_INVALID``) for each name that no row has, each model or service
        of the wrong kind, and each API key that two workspaces have.
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
