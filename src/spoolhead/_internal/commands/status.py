"""``spoolhead status``: prints the state of keepers, entries and upstreams."""

from spoolhead._internal import exceptions
from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import settings
from spoolhead._internal.network import messages, peer_call


def run(config: settings.OperatorSettings, *, as_json: bool) -> exit_codes.ExitCode:
    """Query all processes named in the settings for their status and print it.

    :returns: ``UNREACHABLE`` if any of them did not answer.
    """
    addresses = [*config.keepers, *config.entries]
    statuses = [_get_status(address, config) for address in addresses]
    if as_json:
        output.print_json(statuses)
    else:
        _print_processes(statuses)
        _print_followers(statuses)
        _print_upstreams(statuses)
    if all(status["reachable"] for status in statuses):
        return exit_codes.ExitCode.OK
    return exit_codes.ExitCode.UNREACHABLE


def _get_status(address: str, config: settings.OperatorSettings) -> dict:
    try:
        with peer_call.PeerCall(address, config) as call:
            answer = call.request(messages.GetStatus(request=1), messages.StatusAnswer)
    except exceptions.PeerError as error:
        return {"address": address, "reachable": False, "error": str(error)}
    return {"address": address, "reachable": True, **answer.status}


def _print_processes(statuses: list[dict]) -> None:
    titles = ["process", "address", "name", "hall", "version", "ready", "running", "waiting"]
    lines = []
    for status in statuses:
        if not status["reachable"]:
            lines.append(["UNREACHABLE", status["address"], *["-"] * 6])
            continue
        names = ("role", "address", "name", "hall", "version", "ready", "running", "waiting")
        lines.append([output.format_cell(status.get(name)) for name in names])
    output.print_table(titles, lines)


def _print_followers(statuses: list[dict]) -> None:
    titles = ["keeper", "entry", "connected", "in force", "current", "heard of ms ago"]
    names = ("name", "connected", "version_in_force", "is_current", "seen_ms_ago")
    lines = [
        [status["name"], *(output.format_cell(entry[name]) for name in names)]
        for status in statuses
        for entry in status.get("entries", [])
    ]
    print("\ntable")
    output.print_table(titles, lines)


def _print_upstreams(statuses: list[dict]) -> None:
    titles = ["entry", "upstream", "service", "hall", "state", "ejected", "here", "running"]
    titles += ["waiting", "kv used", "kv size", "preempted", "limit"]
    names = ("name", "service", "hall", "state", "ejected", "running_here", "running")
    names += ("waiting", "kv_used_tokens", "kv_capacity_tokens", "preemptions", "planning_limit")
    lines = [
        [status["name"], *(output.format_cell(upstream[name]) for name in names)]
        for status in statuses
        for upstream in status.get("upstreams", [])
    ]
    print("\nupstreams")
    output.print_table(titles, lines)
