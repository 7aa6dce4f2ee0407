"""Settings of the programs: fields, defaults and units, and the parsing of settings files.

A settings file is JSON with comments. All faults in it are reported at once with their paths;
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
NotNegative = Annotated[int, pydantic.Field(ge=0)]
IpNumber = Annotated[str, pydantic.StringConstraints(pattern=r"^\d{1,3}(\.\d{1,3}){3}$")]
SharedKey = Annotated[str, pydantic.StringConstraints(min_length=16)]
LogFormat = Annotated[str, pydantic.StringConstraints(pattern="^(json|text)$")]
LogLevel = Annotated[str, pydantic.StringConstraints(pattern="^(DEBUG|INFO|WARNING|ERROR)$")]


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class LogSettings:
    """Logging of a program.

    :ivar format: ``json`` for one JSON object a line, ``text`` for plain text.
    :ivar level: lowest level that is logged.
    :ivar output: ``stderr`` or ``stdout``.
    """

    format: LogFormat = "json"
    output: Annotated[str, pydantic.StringConstraints(pattern="^(stderr|stdout)$")] = "stderr"
    level: LogLevel = "INFO"


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class StatsdSettings:
    """Statsd server that metrics are sent to, over UDP.

    :ivar host: IP address of the server.
    :ivar port: UDP port of the server.
    :ivar prefix: prefix of the metrics' names.
    :ivar interval_ms: interval at which metrics are sent.
    """

    host: IpNumber
    port: Port = 8125
    prefix: str = "spoolhead"
    interval_ms: Positive = 1000


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class CallerLimits:
    """Limits on what a caller may send and how slowly it may read.

    :ivar head_bytes: maximum size of the request line and headers of one request.
    :ivar body_bytes: maximum size of the body of one request.
    :ivar head_ms: maximum time from the first byte of a request to the end of its head.
    :ivar body_ms: maximum time from the end of the head to the end of the body.
    :ivar idle_ms: maximum time that a connection stays open between requests.
    :ivar connections: maximum number of open connections; further ones are closed immediately.
    :ivar pipelined: maximum number of pipelined requests on one connection.
    :ivar unread_bytes: maximum number of bytes buffered for a caller that reads slowly.
    :ivar held_bytes: maximum number of bytes that the bodies of all requests, and the answers
        buffered for their callers, take together; 0 for no bound.
    """

    head_bytes: Positive = 16_384
    body_bytes: Positive = 4_194_304
    head_ms: Positive = 5_000
    body_ms: Positive = 30_000
    idle_ms: Positive = 120_000
    connections: Positive = 4_096
    pipelined: Positive = 8
    unread_bytes: Positive = 1_048_576
    held_bytes: NotNegative = 67_108_864


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class UpstreamSettings:
    """Connections and requests of an entry to upstreams.

    :ivar connect_ms: timeout for connecting.
    :ivar idle_connections: maximum number of idle connections to each upstream.
    :ivar idle_ms: time after which an idle connection is closed.
    :ivar answer_bytes: maximum size of an answer that is buffered as a whole.
    :ivar report_interval_ms: interval at which the load report of an upstream is fetched.
    :ivar attempts: maximum number of attempts for one request, including the first.
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

    :ivar name: name of this entry, unique in the fleet.
    :ivar hall: hall of this entry.
    :ivar host: IP address to listen on for callers.
    :ivar port: port for callers; 0 for any free port.
    :ivar control_host: IP address to listen on for operators and for the other entries of the
        hall, which must be able to reach it.
    :ivar control_port: port for operators; 0 for any free port.
    :ivar keepers: ``IP:PORT`` of each keeper.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar data_dir: folder for the last table; None for an entry without a disk.
    :ivar max_requests: maximum number of waiting and running requests together.
    :ivar remembered_decisions: number of requests whose decisions ``spoolhead explain`` can print.
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

    :ivar name: name of this keeper, unique in the fleet.
    :ivar hall: hall of this keeper.
    :ivar host: IP address to listen on for entries and operators.
    :ivar port: port to listen on; 0 for any free port.
    :ivar data_dir: folder for the log; must be on a disk.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar kept_changes: number of changes kept in memory for followers that reconnect.
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
    """The platform's list of upstream instances.

    :ivar address: ``IP:PORT`` of the server of the list.
    :ivar interval_ms: interval at which one keeper reads the list for the whole fleet.
    :ivar fallback_ms: age of the newest received list above which an entry reads the list itself.
    """

    address: rows.Address
    interval_ms: Positive = 500
    fallback_ms: Positive = 2_000


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class QuorumKeeperSettings:
    """Settings of a keeper that replicates the route table with other keepers.

    :ivar name: name of this keeper, unique in the fleet.
    :ivar hall: hall of this keeper.
    :ivar host: IP address to listen on.
    :ivar port: port for operators.
    :ivar peer_port: port for keepers and entries; the same at every keeper.
    :ivar keepers: ``IP:PORT`` of the peer ports of some keepers, which may include this one.
    :ivar data_dir: folder for the log; must be on a disk.
    :ivar is_first_start: the whole system starts for the first time, and the listed keepers are
        its initial members.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar instance_list: the platform's list of upstream instances.
    :ivar metrics_port: port that serves counters and histograms; None for none.
    :ivar hub_bytes_per_s: maximum rate at which this keeper, as a hub, sends the entries' loads to
        other processes.
    :ivar answer_ms: maximum wait for the other keepers before an operator receives the
        answer that the outcome is unknown.
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

    :ivar name: name of this entry, unique in the fleet.
    :ivar hall: hall of this entry.
    :ivar host: IP address to listen on.
    :ivar port: port for callers.
    :ivar ready_host: IP address for the load balancer's readiness probe.
    :ivar ready_port: port for that probe.
    :ivar peer_port: UDP port for the loads of the fleet's entries, and TCP port for requests that
        other entries forward.
    :ivar hub_bytes_per_s: maximum rate at which this entry, as a hub, sends the entries' loads to
        other processes; an entry acts as a hub only if no keeper can be reached.
    :ivar keepers: ``IP:PORT`` of the peer ports of some keepers.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar instance_list: the platform's list of upstream instances.
    :ivar metrics_port: port that serves counters and histograms; None for none.
    :ivar stop_ms: maximum duration of a planned stop; requests that still run then are aborted.
    :ivar retry_ratio: number of second attempts allowed for each request, over all entries.
    :ivar retry_slack: number of additional second attempts allowed in one window, over all
        entries.
    :ivar retry_window_ms: length of the window.
    :ivar health_interval_ms: interval between health checks of a model engine.
    :ivar unread_bytes: maximum number of bytes buffered for all callers that read slowly; 0 for no
        bound other than that of each caller.
    :ivar moves_runs: a run is migrated when its instance leaves.
    :ivar ranks_runs: the rank of each run is sent to the engine.
    :ivar measures_pace: the paces of instances are measured by streams also where none is stated.
    :ivar shares_room: generations that wait for an engine are queued in one order over all entries.
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
    unread_bytes: NotNegative = 0
    moves_runs: bool = True
    ranks_runs: bool = True
    measures_pace: bool = False
    shares_room: bool = False
    callers: CallerLimits = pydantic.Field(default_factory=CallerLimits)
    upstreams: UpstreamSettings = pydantic.Field(default_factory=UpstreamSettings)
    log: LogSettings = pydantic.Field(default_factory=LogSettings)


@pydantic.dataclasses.dataclass(slots=True, kw_only=True, config=_CONFIG)
class OperatorSettings:
    """Settings of ``spoolhead``, the operators' command line.

    :ivar keepers: ``IP:PORT`` of each keeper.
    :ivar entries: ``IP:PORT`` of the operators' port of each entry.
    :ivar shared_key: secret that the fleet's processes share.
    :ivar timeout_ms: timeout for one answer.
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
    """Parse and validate the text of a settings file.

    :param kind: settings class of the program.
    :param text: text of the file, JSON with comments.
    :returns: the settings, or all faults.
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
    """Read and validate a settings file.

    :param kind: settings class of the program.
    :param path: path of the file.
    :raises exceptions.SettingsError: with all faults, if the file cannot be read or is not valid.
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
