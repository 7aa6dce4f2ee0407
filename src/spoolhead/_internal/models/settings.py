"""Settings of each program: their fields, defaults and units, and how a file is read.

A settings file is JSON with comments. Every fault in it is reported at once with its path;
unknown names are refused.
"""

import json
import pathlib
from typing import Annotated, Any, TypeVar

import expression
import pydantic
import pydantic.dataclasses

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, fault, rows
from spoolhead._internal.utils import jsonc

_CONFIG = pydantic.ConfigDict(extra="forbid", strict=True)

Port = Annotated[int, pydantic.Field(ge=0, le=65535)]
Positive = Annotated[int, pydantic.Field(gt=0)]
IpNumber = Annotated[str, pydantic.StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
SharedKey = Annotated[str, pydantic.StringConstraints(min_length=16)]
LogFormat = Annotated[str, pydantic.StringConstraints(pattern="^(json|text)$")]
LogLevel = Annotated[str, pydantic.StringConstraints(pattern="^(DEBUG|INFO|WARNING|ERROR)$")]


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class LogSettings:
    """Logging of a program.

    :ivar format: ``json`` for a JSON object a line, ``text`` for people.
    :ivar level: lowest level written.
    :ivar output: ``stderr`` or ``stdout``.
    """

    format: LogFormat = "json"
    output: Annotated[str, pydantic.StringConstraints(pattern="^(stderr|stdout)$")] = "stderr"
    level: LogLevel = "INFO"


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class StatsdSettings:
    """Where metrics go; UDP to a statsd server.

    :ivar host: IP number of the server.
    :ivar port: its UDP port.
    :ivar prefix: put before each metric's name.
    :ivar interval_ms: time between two sendings.
    """

    host: IpNumber
    port: Port = 8125
    prefix: str = "spoolhead"
    interval_ms: Positive = 1000


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class CallerLimits:
    """Bounds on what a caller may send and how slowly it may read.

    :ivar head_bytes: request line and headers of one request.
    :ivar body_bytes: body of one request.
    :ivar head_ms: time from a request's first byte to the end of its head.
    :ivar body_ms: time from the end of the head to the end of the body.
    :ivar idle_ms: time a connection may stay open between requests.
    :ivar connections: open connections; one more is closed at once.
    :ivar pipelined: requests sent ahead on one connection.
    :ivar unread_bytes: bytes kept for a caller that reads slowly.
    """

    head_bytes: Positive = 16_384
    body_bytes: Positive = 4_194_304
    head_ms: Positive = 5_000
    body_ms: Positive = 30_000
    idle_ms: Positive = 120_000
    connections: Positive = 4_096
    pipelined: Positive = 8
    unread_bytes: Positive = 1_048_576


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class UpstreamSettings:
    """How an entry deals with upstreams.

    :ivar connect_ms: time for a connection to be made.
    :ivar idle_connections: idle connections kept to each upstream.
    :ivar idle_ms: time an idle connection is kept.
    :ivar answer_bytes: largest answer that is held whole.
    :ivar report_interval_ms: time between two fetches of an upstream's load report.
    :ivar attempts: attempts for one request, the first included.
    """

    connect_ms: Positive = 1_000
    idle_connections: Positive = 32
    idle_ms: Positive = 10_000
    answer_bytes: Positive = 16_777_216
    report_interval_ms: Positive = 250
    attempts: Positive = 3


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class EntrySettings:
    """Settings of ``spoolhead-entry``.

    :ivar name: this entry's name, unique in the fleet.
    :ivar hall: hall it stands in.
    :ivar host: IP number it listens on for callers.
    :ivar port: port for callers; 0 lets the system choose.
    :ivar control_host: IP number it listens on for operators and for the hall's other entries,
        which must be able to reach it there.
    :ivar control_port: port for operators; 0 lets the system choose.
    :ivar keepers: ``IP:PORT`` of each keeper.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar data_dir: folder for the last table, or None without a disk.
    :ivar max_requests: requests held at once, waiting and running.
    :ivar remembered_decisions: decisions kept for ``spoolhead explain``.
    """

    name: rows.Name
    hall: rows.Name
    host: IpNumber
    port: Port
    control_host: IpNumber
    control_port: Port
    keepers: Annotated[list[rows.Address], pydantic.Field(min_length=1)]
    shared_key: SharedKey
    data_dir: str | None = None
    max_requests: Positive = 2_048
    remembered_decisions: Positive = 10_000
    callers: CallerLimits = pydantic.Field(default_factory=CallerLimits)
    upstreams: UpstreamSettings = pydantic.Field(default_factory=UpstreamSettings)
    log: LogSettings = pydantic.Field(default_factory=LogSettings)
    statsd: StatsdSettings | None = None


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class KeeperSettings:
    """Settings of ``spoolhead-keeper``.

    :ivar name: this keeper's name, unique in the fleet.
    :ivar hall: hall it stands in.
    :ivar host: IP number it listens on for entries and operators.
    :ivar port: its port; 0 lets the system choose.
    :ivar data_dir: folder for the log; lives on a disk.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar kept_changes: changes held in memory for followers that come back.
    """

    name: rows.Name
    hall: rows.Name
    host: IpNumber
    port: Port
    data_dir: str
    shared_key: SharedKey
    kept_changes: Positive = 2_500
    log: LogSettings = pydantic.Field(default_factory=LogSettings)
    statsd: StatsdSettings | None = None


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class InstanceListSettings:
    """Where the platform lists upstream instances.

    :ivar address: ``IP:PORT`` of the list.
    :ivar interval_ms: time between two readings by the one keeper that reads for all.
    :ivar fallback_ms: age of the newest reading from which an entry reads for itself.
    """

    address: rows.Address
    interval_ms: Positive = 500
    fallback_ms: Positive = 2_000


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class QuorumKeeperSettings:
    """Settings of a keeper that agrees with others on the route table.

    :ivar name: this keeper's name, unique in the fleet.
    :ivar hall: hall it stands in.
    :ivar host: IP number it listens on.
    :ivar port: port for operators.
    :ivar peer_port: port for keepers and entries, the same at every keeper.
    :ivar keepers: ``IP:PORT`` of some keepers' peer ports, this one's perhaps among them.
    :ivar data_dir: folder for the log; lives on a disk.
    :ivar is_first_start: the whole system starts for the first time, and the keepers named are
        its first members.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar instance_list: where upstream instances are listed.
    :ivar metrics_port: port that serves counters and histograms; None for none.
    :ivar hub_bytes_per_s: what this keeper may send to tell entries of each other's work.
    :ivar answer_ms: longest wait for the other keepers before an operator is told that nothing
        is sure.
    """

    name: str
    hall: str
    host: IpNumber
    port: Port
    peer_port: Port
    keepers: Annotated[list[rows.Address], pydantic.Field(min_length=1)]
    data_dir: str
    is_first_start: bool
    shared_key: SharedKey
    instance_list: InstanceListSettings
    metrics_port: Port | None = None
    hub_bytes_per_s: Positive = 2_000_000
    answer_ms: Positive = 2_500
    callers: CallerLimits = pydantic.Field(default_factory=CallerLimits)
    upstreams: UpstreamSettings = pydantic.Field(default_factory=UpstreamSettings)
    log: LogSettings = pydantic.Field(default_factory=LogSettings)


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class GatewaySettings:
    """Settings of an entry that routes by host and path.

    :ivar name: this entry's name, unique in the fleet.
    :ivar hall: hall it stands in.
    :ivar host: IP number it listens on.
    :ivar port: port for callers.
    :ivar ready_host: IP number for the balancer's readiness probe.
    :ivar ready_port: port for that probe.
    :ivar peer_port: UDP port for the loads of the fleet's entries.
    :ivar hub_bytes_per_s: what this entry may send to tell others of each other's work, where no
        keeper can be reached to do it.
    :ivar keepers: ``IP:PORT`` of some keepers' peer ports.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar instance_list: where upstream instances are listed.
    :ivar metrics_port: port that serves counters and histograms; None for none.
    :ivar stop_ms: time that a planned stop may take; what still runs then is cut.
    :ivar retry_ratio: second attempts allowed for each request, over all entries.
    :ivar retry_slack: second attempts allowed besides, over all entries and one window.
    :ivar retry_window_ms: length of the window.
    :ivar health_interval_ms: time between two questions for a model engine's health.
    :ivar moves_runs: a run is moved when its instance leaves.
    :ivar ranks_runs: engines are told the rank of each run.
    """

    name: str
    hall: str
    host: IpNumber
    port: Port
    ready_host: IpNumber
    ready_port: Port
    peer_port: Port
    keepers: Annotated[list[rows.Address], pydantic.Field(min_length=1)]
    shared_key: SharedKey
    instance_list: InstanceListSettings
    metrics_port: Port | None = None
    hub_bytes_per_s: Positive = 60_000
    stop_ms: Positive = 8_000
    retry_ratio: float = 0.2
    retry_slack: int = 0
    retry_window_ms: Positive = 10_000
    health_interval_ms: Positive = 200
    moves_runs: bool = True
    ranks_runs: bool = True
    callers: CallerLimits = pydantic.Field(default_factory=CallerLimits)
    upstreams: UpstreamSettings = pydantic.Field(default_factory=UpstreamSettings)
    log: LogSettings = pydantic.Field(default_factory=LogSettings)


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class OperatorSettings:
    """Settings of ``spoolhead``, the operators' command line.

    :ivar keepers: ``IP:PORT`` of each keeper.
    :ivar entries: ``IP:PORT`` of each entry's operators' port.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar timeout_ms: longest wait for one answer.
    """

    keepers: Annotated[list[rows.Address], pydantic.Field(min_length=1)]
    entries: list[rows.Address] = pydantic.Field(default_factory=list)
    shared_key: SharedKey
    timeout_ms: Positive = 5_000


Settings = EntrySettings | KeeperSettings | OperatorSettings
_SettingsT = TypeVar("_SettingsT", EntrySettings, KeeperSettings, OperatorSettings)


def parse_settings(
    kind: type[_SettingsT], text: str
) -> expression.Result[_SettingsT, list[fault.Fault]]:
    """Check the text of a settings file.

    :param kind: settings class of the program.
    :param text: the file's text, JSON with comments.
    :returns: the settings, or every fault found.
    """
    parsed = jsonc.parse_with_comments(text)
    if parsed.is_error():
        return expression.Error([parsed.error])
    try:
        adapter: pydantic.TypeAdapter[Any] = pydantic.TypeAdapter(kind)
        return expression.Ok(adapter.validate_json(json.dumps(parsed.ok)))
    except pydantic.ValidationError as error:
        return expression.Error(rows.get_faults(error, "", codes.ResultCode.SETTINGS_INVALID))


def read_settings(kind: type[_SettingsT], path: str) -> _SettingsT:
    """Read a settings file.

    :param kind: settings class of the program.
    :param path: the file.
    :raises exceptions.SettingsError: with every fault, if the file cannot be used.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        item = fault.Fault(codes.ResultCode.SETTINGS_UNREADABLE, str(error))
        raise exceptions.SettingsError(path, [item]) from error
    result = parse_settings(kind, text)
    if result.is_error():
        raise exceptions.SettingsError(path, result.error)
    return result.ok
