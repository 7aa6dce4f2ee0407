"""``spoolhead held``: lists, holds and releases contents that crash instances."""

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import content_record, settings
from spoolhead._internal.network import messages, peer_call
from spoolhead._internal.policy import quarantine


def run(config: settings.OperatorSettings, *, as_json: bool) -> exit_codes.ExitCode:
    """Print a keeper's records of contents that may crash instances."""
    with peer_call.open_to_any(config.keepers, config) as call:
        answer = call.request(messages.GetContents(request=1), messages.ContentsAnswer)
    _print(answer, as_json=as_json)
    return exit_codes.ExitCode.OK


def set_held(
    config: settings.OperatorSettings, content: str, *, is_held: bool, as_json: bool
) -> exit_codes.ExitCode:
    """Hold or release a content.

    :param content: id of the content in hexadecimal digits, as in logs and in the output of
        ``spoolhead held``.
    """
    try:
        content_id = bytes.fromhex(content)
    except ValueError:
        output.print_error(f"{content} is no content's name")
        return exit_codes.ExitCode.BAD_INPUT
    message = messages.HoldContent(request=1, content_id=content_id, is_held=is_held)
    with peer_call.open_to_any(config.keepers, config) as call:
        answer = call.request(message, messages.ContentsAnswer)
    _print(answer, as_json=as_json)
    return exit_codes.ExitCode.OK


def _print(answer: messages.ContentsAnswer, *, as_json: bool) -> None:
    items = content_record.unpack(answer.items)
    lines = [
        {
            "content": item.record.content_id.hex(),
            "held": quarantine.is_held(item.record),
            "by_hand": item.record.is_by_hand,
            "ends": len(item.record.ends),
            "trials": item.record.trials,
            "changed_ms_ago": item.age_ms,
        }
        for item in items
    ]
    if as_json:
        output.print_json(lines)
        return
    titles = ["content", "held", "by hand", "ends", "trials", "changed ms ago"]
    output.print_table(
        titles, [[output.format_cell(cell) for cell in item.values()] for item in lines]
    )
