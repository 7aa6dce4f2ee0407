"""Functions shared by commands: reading the table from a keeper and sending it an edit."""

import getpass
import secrets
import time
from collections.abc import Sequence

from spoolhead._internal import exceptions
from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import codes, settings
from spoolhead._internal.network import messages, peer_call
from spoolhead._internal.table import packing
from spoolhead._internal.utils import clocks
from spoolhead.coordination import versioned_table

MAX_SEND_ATTEMPTS = 3
POLL_INTERVAL_S = 0.1


class EditOptions:
    """Options for sending an edit.

    :ivar author: author of the edit; the user's name by default.
    :ivar edit_id: id of the edit; a resend gives the id of the first attempt, a new edit gets a
        random one.
    :ivar wait_ms: longest wait until the edit is in force at all entries; 0 for no wait.
    :ivar as_json: whether to print JSON.
    """

    __slots__ = ("as_json", "author", "edit_id", "wait_ms")

    def __init__(self, *, author: str, edit_id: str, wait_ms: int, as_json: bool) -> None:
        self.author = author or getpass.getuser()
        self.edit_id = edit_id or secrets.token_hex(8)
        self.wait_ms = wait_ms
        self.as_json = as_json


def get_table(config: settings.OperatorSettings) -> messages.TableAnswer:
    """Return the table from the first keeper that answers."""
    with peer_call.open_to_any(config.keepers, config) as call:
        return call.request(messages.GetTable(request=1), messages.TableAnswer)


def get_keeper_status(config: settings.OperatorSettings) -> dict:
    """Return the status of the first keeper that answers."""
    with peer_call.open_to_any(config.keepers, config) as call:
        return call.request(messages.GetStatus(request=1), messages.StatusAnswer).status


def send_edit(
    config: settings.OperatorSettings,
    edits: Sequence[versioned_table.RowEdit],
    options: EditOptions,
) -> exit_codes.ExitCode:
    """Send an edit, print its result and, if requested, wait until it is in force."""
    answer = _propose(config, edits, options)
    code = messages.get_code(answer.code)
    report: dict[str, object] = {
        "result_code": int(code),
        "result": code.name,
        "edit_id": options.edit_id,
        "version": answer.version,
        "faults": [{"path": path, "text": text} for path, text in answer.faults],
        "conflicts": [
            {"row": f"{sheet}.{name}", "version": version, "value": value}
            for sheet, name, version, value in answer.conflicts
        ],
    }
    result = exit_codes.get_exit_code(code)
    if code is codes.ResultCode.OK and options.wait_ms:
        report["entries"] = _wait_until_in_force(config, answer.version, options.wait_ms)
        if not all(entry["is_in_force"] for entry in report["entries"]):
            result = exit_codes.ExitCode.NOT_IN_FORCE
    _print_report(report, code, as_json=options.as_json)
    return result


def _propose(
    config: settings.OperatorSettings,
    edits: Sequence[versioned_table.RowEdit],
    options: EditOptions,
) -> messages.ProposeAnswer:
    message = messages.Propose(
        request=1,
        edit_id=options.edit_id,
        author=options.author,
        time_ms=time.time_ns() // 1_000_000,
        edits=[edit.pack() for edit in edits],
    )
    # The edit id makes resends idempotent, so the edit is sent again if the answer is lost.
    for attempts_left in range(MAX_SEND_ATTEMPTS - 1, -1, -1):
        try:
            with peer_call.open_to_any(config.keepers, config) as call:
                return call.request(message, messages.ProposeAnswer)
        except exceptions.PeerError as error:
            if error.code is not codes.ResultCode.PEER_UNREACHABLE:
                raise
            if not attempts_left:
                text = f"{error}; send it again with --edit-id {options.edit_id}"
                raise exceptions.PeerError(codes.ResultCode.EDIT_OUTCOME_UNKNOWN, text) from error
            time.sleep(POLL_INTERVAL_S)
    raise AssertionError("unreachable")


def _wait_until_in_force(
    config: settings.OperatorSettings, version: int, wait_ms: int
) -> list[dict[str, object]]:
    deadline_s = clocks.get_s() + wait_ms / 1000
    while True:
        entries = [
            {**entry, "is_in_force": entry["version_in_force"] >= version}
            for entry in get_keeper_status(config)["entries"]
        ]
        if all(entry["is_in_force"] for entry in entries):
            return entries
        if clocks.get_s() >= deadline_s:
            return entries
        time.sleep(POLL_INTERVAL_S)


def _print_report(report: dict[str, object], code: codes.ResultCode, *, as_json: bool) -> None:
    if as_json:
        output.print_json(report)
        return
    if code is not codes.ResultCode.OK:
        output.print_error(
            f"refused, nothing changed: {codes.CODE_INFO[code].meaning} [{int(code)}]"
        )
        for fault in report["faults"]:
            output.print_error(f"  {fault['path']}: {fault['text']}")
        for row in report["conflicts"]:
            output.print_error(f"  {row['row']} is now version {row['version']}: {row['value']}")
        return
    print(f"accepted as version {report['version']}, edit id {report['edit_id']}")
    for entry in report.get("entries", []):
        if entry["is_in_force"]:
            print(f"  in force at {entry['name']}")
        else:
            state = "connected" if entry["connected"] else "not connected"
            seen = f"heard of {entry['seen_ms_ago']} ms ago"
            print(f"  NOT in force at {entry['name']}: {state}, {seen}")


def unpack_rows(answer: messages.TableAnswer) -> dict:
    """Return the rows of a keeper's answer by key."""
    return packing.unpack_rows(answer.rows)
