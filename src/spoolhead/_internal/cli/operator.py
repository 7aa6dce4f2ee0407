"""Entry point of ``spoolhead``, the operators' program."""

import functools
from collections.abc import Callable
from typing import Annotated

import typer

from spoolhead._internal import exceptions
from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.commands import (
    apply,
    check,
    diff,
    edit,
    evacuate,
    explain,
    explain_logs,
    held,
    history,
    keepers,
    losses,
    make_key,
    show,
    status,
)
from spoolhead._internal.models import rows, settings

app = typer.Typer(
    name="spoolhead",
    help="Read and edit the table, and show the state of the fleet.",
    no_args_is_help=True,
    add_completion=False,
)

SettingsOption = Annotated[
    str,
    typer.Option(
        "--settings", envvar="SPOOLHEAD_SETTINGS", help="Settings file, JSON with comments."
    ),
]
OptionalSettingsOption = Annotated[
    str,
    typer.Option(
        "--settings", envvar="SPOOLHEAD_SETTINGS", help="Settings file; not required with --log."
    ),
]
LogOption = Annotated[
    list[str] | None,
    typer.Option("--log", help="File with log lines, or - for standard input; may be repeated."),
]
RequiredLogOption = Annotated[
    list[str],
    typer.Option("--log", help="File with log lines, or - for standard input; may be repeated."),
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print JSON.")]
AuthorOption = Annotated[str, typer.Option("--author", help="Author of the edit.")]
EditIdOption = Annotated[
    str,
    typer.Option(
        "--edit-id", help="Id of an earlier edit, to send it again after its answer was lost."
    ),
]
WaitOption = Annotated[
    int, typer.Option("--wait-ms", min=0, help="Longest wait until the edit is in force.")
]


def _exit_with(
    run: Callable[..., exit_codes.ExitCode],
) -> Callable[..., None]:
    """Convert a command's result or exception into an exit code and an error line."""

    @functools.wraps(run)
    def _run(*args: object, **kwargs: object) -> None:
        try:
            code = run(*args, **kwargs)
        except exceptions.SpoolheadError as error:
            output.print_error(f"{error} [{int(error.code)}]")
            raise typer.Exit(exit_codes.get_exit_code(error.code)) from error
        raise typer.Exit(int(code))

    return _run


def _read(path: str) -> settings.OperatorSettings:
    return settings.read_settings(settings.OperatorSettings, path)


@app.command("show")
@_exit_with
def _show(
    settings_file: SettingsOption,
    sheet: Annotated[rows.Sheet | None, typer.Argument(help="Print only this sheet.")] = None,
    name: Annotated[str, typer.Argument(help="Print only this row.")] = "",
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Print the table."""
    return show.run(_read(settings_file), sheet=sheet, name=name, as_json=as_json)


@app.command("diff")
@_exit_with
def _diff(
    settings_file: SettingsOption,
    path: Annotated[str, typer.Argument(help="Table file, JSON with comments.")],
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Print the changes that applying a table file would make."""
    return diff.run(_read(settings_file), path, as_json=as_json)


@app.command("apply")
@_exit_with
def _apply(
    settings_file: SettingsOption,
    path: Annotated[str, typer.Argument(help="Table file, JSON with comments.")],
    author: AuthorOption = "",
    edit_id: EditIdOption = "",
    wait_ms: WaitOption = 5_000,
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Make the table equal to a file, as one edit."""
    options = keepers.EditOptions(author=author, edit_id=edit_id, wait_ms=wait_ms, as_json=as_json)
    return apply.run(_read(settings_file), path, options)


@app.command("edit")
@_exit_with
def _edit(
    settings_file: SettingsOption,
    sheet: Annotated[rows.Sheet, typer.Argument(help="Sheet of the row.")],
    name: Annotated[str, typer.Argument(help="Name of the row.")],
    assignments: Annotated[list[str] | None, typer.Argument(help="COLUMN=VALUE ...")] = None,
    remove: Annotated[bool, typer.Option("--remove", help="Remove the row.")] = False,
    expected_version: Annotated[
        int | None, typer.Option("--expected-version", help="Version that the row must have.")
    ] = None,
    author: AuthorOption = "",
    edit_id: EditIdOption = "",
    wait_ms: WaitOption = 5_000,
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Change, add or remove one row."""
    change = edit.RowChange(
        sheet=sheet,
        name=name,
        assignments=assignments or [],
        is_removal=remove,
        expected_version=expected_version,
    )
    options = keepers.EditOptions(author=author, edit_id=edit_id, wait_ms=wait_ms, as_json=as_json)
    return edit.run(_read(settings_file), change, options)


@app.command("evacuate")
@_exit_with
def _evacuate(
    settings_file: SettingsOption,
    hall: Annotated[str, typer.Argument(help="Name of the hall.")],
    withdraw: Annotated[
        bool, typer.Option("--withdraw", help="Withdraw an earlier order.")
    ] = False,
    author: AuthorOption = "",
    edit_id: EditIdOption = "",
    wait_ms: WaitOption = 5_000,
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Stop new requests to the upstreams of a hall; requests that are running there finish."""
    options = keepers.EditOptions(author=author, edit_id=edit_id, wait_ms=wait_ms, as_json=as_json)
    return evacuate.run(_read(settings_file), hall, is_withdrawal=withdraw, options=options)


@app.command("held")
@_exit_with
def _held(
    settings_file: SettingsOption,
    hold: Annotated[str, typer.Option("--hold", help="Hold the content with this id.")] = "",
    release: Annotated[
        str, typer.Option("--release", help="Release the content with this id.")
    ] = "",
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """List contents that are held because they crash instances, or hold or release one."""
    config = _read(settings_file)
    if hold or release:
        content = hold or release
        return held.set_held(config, content, is_held=bool(hold), as_json=as_json)
    return held.run(config, as_json=as_json)


@app.command("history")
@_exit_with
def _history(
    settings_file: SettingsOption,
    limit: Annotated[int, typer.Option("--limit", min=1, help="Maximum number of changes.")] = 20,
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Print the latest changes, newest first."""
    return history.run(_read(settings_file), limit=limit, as_json=as_json)


@app.command("status")
@_exit_with
def _status(settings_file: SettingsOption, as_json: JsonOption = False) -> exit_codes.ExitCode:
    """Print the state of keepers, entries and upstreams."""
    return status.run(_read(settings_file), as_json=as_json)


@app.command("explain")
@_exit_with
def _explain(
    request_id: Annotated[str, typer.Argument(help="The request's X-Request-Id.")],
    settings_file: OptionalSettingsOption = "",
    log: LogOption = None,
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Print the decisions on a request with their reasons, from the entries or saved log lines."""
    if log:
        return explain_logs.run(request_id, log, as_json=as_json)
    return explain.run(_read(settings_file), request_id, as_json=as_json)


@app.command("losses")
@_exit_with
def _losses(log: RequiredLogOption, as_json: JsonOption = False) -> exit_codes.ExitCode:
    """Count outcomes of requests, and causes of losses and delays, in saved log lines."""
    return losses.run(log, as_json=as_json)


@app.command("check")
@_exit_with
def _check(
    kind: Annotated[check.FileKind, typer.Argument(help="Kind of the file.")],
    path: Annotated[str, typer.Argument(help="Path of the file.")],
    as_json: JsonOption = False,
) -> exit_codes.ExitCode:
    """Check a settings or table file without using it."""
    return check.run(kind, path, as_json=as_json)


@app.command("make-key")
@_exit_with
def _make_key(as_json: JsonOption = False) -> exit_codes.ExitCode:
    """Generate an API key for a workspace."""
    return make_key.run(as_json=as_json)


def main() -> None:
    """Run the operators' program."""
    app()


if __name__ == "__main__":
    main()
