"""``spoolhead history``: prints who made which changes, and when."""

import datetime

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import settings
from spoolhead._internal.network import messages, peer_call
from spoolhead.coordination import versioned_table


def run(config: settings.OperatorSettings, *, limit: int, as_json: bool) -> exit_codes.ExitCode:
    """Print the latest changes, newest first."""
    with peer_call.open_to_any(config.keepers, config) as call:
        question = messages.GetHistory(request=1, limit=limit)
        answer = call.request(question, messages.HistoryAnswer)
    changes = [versioned_table.Change.unpack(packed) for packed in answer.changes]
    if as_json:
        output.print_json([_as_dict(change) for change in changes])
        return exit_codes.ExitCode.OK
    lines = [
        [
            str(change.version),
            _format_time(change.proposal.time_ms),
            change.proposal.author,
            change.proposal.edit_id,
            ", ".join(_describe(edit) for edit in change.proposal.edits),
        ]
        for change in changes
    ]
    output.print_table(["version", "time", "author", "edit id", "rows"], lines)
    return exit_codes.ExitCode.OK


def _as_dict(change: versioned_table.Change) -> dict[str, object]:
    proposal = change.proposal
    return {
        "version": change.version,
        "time_ms": proposal.time_ms,
        "author": proposal.author,
        "edit_id": proposal.edit_id,
        "rows": [{"row": str(edit.key), "value": edit.value} for edit in proposal.edits],
    }


def _describe(edit: versioned_table.RowEdit) -> str:
    return f"-{edit.key}" if edit.value is None else str(edit.key)


def _format_time(time_ms: int) -> str:
    moment = datetime.datetime.fromtimestamp(time_ms / 1000, tz=datetime.UTC)
    return moment.isoformat(timespec="milliseconds")
