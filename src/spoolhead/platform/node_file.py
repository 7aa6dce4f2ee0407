"""Reads the platform's settings file and translates it to the settings of the programs."""

import os
import pathlib
import tomllib
from typing import Any

from spoolhead._internal import exceptions
from spoolhead._internal.models import codes, fault, settings
from spoolhead._internal.utils import endpoints
from spoolhead.platform import names

SHARED_KEY = "spoolhead-on-the-platform"
"""Not a secret, since the platform provides none. The key only prevents processes of other systems
from connecting by mistake."""
CONNECT_MS = 400
"""Timeout for connecting to an instance: a hundred round trips between halls, and less than half of
the shortest objective, so that after an unreachable instance there is time for another."""
METRICS_PORT = 9_464
"""Port of the metrics, as stated in deploy/system.toml; the settings file has no such field."""
HUB_LINK_FRACTION = 0.1
"""Fraction of a process's link bandwidth that may be used for sending loads to other processes."""
DEFAULT_LINK_MBPS = 5.0
"""Link bandwidth of a process whose settings state none."""
BYTES_PER_MBIT = 125_000
UNREAD_FRACTION = 0.2
"""Fraction of an entry's memory limit that may be buffered for callers that read slowly."""
HELD_FRACTION = 0.4
"""Fraction of an entry's memory limit that the bodies of requests and answers may take."""
BYTES_PER_MB = 1_000_000
PRESSURE_CONTRACT = "pressure"
"""Name in the file's ``contracts`` where callers compete for too few engines."""
_LOG = settings.LogSettings(output="stdout")


def get_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(names.SETTINGS_VARIABLE, "/etc/spoolhead/boot.toml")


def read_entry(path: str) -> settings.GatewaySettings:
    """Read the settings of an entry.

    :raises exceptions.SettingsError: if the file cannot be used.
    """
    return _translate(path, _make_entry)


def read_keeper(path: str) -> settings.QuorumKeeperSettings:
    """Read the settings of a keeper.

    :raises exceptions.SettingsError: if the file cannot be used.
    """
    return _translate(path, _make_keeper)


def _translate(path: str, make: Any) -> Any:
    try:
        fields = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        item = fault.Fault(codes.ResultCode.SETTINGS_UNREADABLE, str(error))
        raise exceptions.SettingsError(path, [item]) from error
    try:
        return make(fields)
    except KeyError as error:
        item = fault.Fault(codes.ResultCode.SETTINGS_INVALID, "is missing", path=str(error))
        raise exceptions.SettingsError(path, [item]) from error
    except (ValueError, TypeError) as error:
        item = fault.Fault(codes.ResultCode.SETTINGS_INVALID, str(error))
        raise exceptions.SettingsError(path, [item]) from error


def _make_entry(fields: dict[str, Any]) -> settings.GatewaySettings:
    host, port = endpoints.split(fields["listen"]["front"])
    ready_host, ready_port = endpoints.split(fields["listen"]["ready"])
    bounds = fields["bounds"]
    return settings.GatewaySettings(
        name=fields["node_name"],
        hall=fields["zone"],
        host=host,
        port=port,
        ready_host=ready_host,
        ready_port=ready_port,
        peer_port=fields["internal_ports"][0],
        keepers=_get_keepers(fields),
        shared_key=SHARED_KEY,
        instance_list=_make_list_settings(fields),
        metrics_port=METRICS_PORT,
        hub_bytes_per_s=_get_hub_bytes_per_s(fields),
        unread_bytes=_get_unread_bytes(fields),
        stop_ms=int(bounds.get("grace_period_s", 8) * 1000),
        retry_ratio=float(bounds.get("retry_budget_ratio", 0.0)),
        retry_slack=int(bounds.get("retry_slack", 0)),
        measures_pace=PRESSURE_CONTRACT in fields.get("contracts", ()),
        retry_window_ms=int(bounds.get("retry_window_s", 10) * 1000),
        shares_room=PRESSURE_CONTRACT in fields.get("contracts", ()),
        callers=_get_caller_limits(fields),
        upstreams=settings.UpstreamSettings(connect_ms=CONNECT_MS),
        log=_LOG,
    )


def _make_keeper(fields: dict[str, Any]) -> settings.QuorumKeeperSettings:
    host, port = endpoints.split(fields["listen"]["control"])
    return settings.QuorumKeeperSettings(
        name=fields["node_name"],
        hall=fields["zone"],
        host=host,
        port=port,
        peer_port=fields["internal_ports"][0],
        keepers=_get_keepers(fields),
        data_dir=fields["data_dir"],
        is_first_start=fields["bootstrap"],
        shared_key=SHARED_KEY,
        instance_list=_make_list_settings(fields),
        metrics_port=METRICS_PORT,
        hub_bytes_per_s=_get_hub_bytes_per_s(fields),
        log=_LOG,
    )


def _get_hub_bytes_per_s(fields: dict[str, Any]) -> int:
    link_mbps = fields.get("limits", {}).get("link_mbps", DEFAULT_LINK_MBPS)
    return int(link_mbps * BYTES_PER_MBIT * HUB_LINK_FRACTION)


def _get_unread_bytes(fields: dict[str, Any]) -> int:
    memory_mb = fields.get("limits", {}).get("memory_mb", 0)
    return int(memory_mb * BYTES_PER_MB * UNREAD_FRACTION)


def _get_caller_limits(fields: dict[str, Any]) -> settings.CallerLimits:
    memory_mb = fields.get("limits", {}).get("memory_mb", 0)
    if not memory_mb:
        return settings.CallerLimits()
    return settings.CallerLimits(held_bytes=int(memory_mb * BYTES_PER_MB * HELD_FRACTION))


def _make_list_settings(fields: dict[str, Any]) -> settings.InstanceListSettings:
    return settings.InstanceListSettings(address=fields["cloud"]["address"])


def _get_keepers(fields: dict[str, Any]) -> list[str]:
    # Seeds are the addresses for operators; keepers connect to each other on the first internal
    # port.
    port = fields["internal_ports"][0]
    return [f"{endpoints.split(seed)[0]}:{port}" for seed in fields["seeds"]]
