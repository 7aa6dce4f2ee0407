"""``spoolhead show``: prints the table."""

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.commands import keepers
from spoolhead._internal.models import rows, settings
from spoolhead._internal.table import documents

_COLUMNS = {
    rows.Sheet.WORKSPACES: (
        "weight",
        "priority",
        "max_running",
        "max_waiting",
        "max_tokens_per_s",
        "max_output_tokens",
        "deadline_ms",
        "models",
        "services",
    ),
    rows.Sheet.SERVICES: ("kind", "once_methods", "max_running_per_upstream", "silence_ms"),
    rows.Sheet.UPSTREAMS: ("service", "hall", "address", "state"),
    rows.Sheet.HALLS: ("evacuated",),
}
_KEYS_TITLE = "keys"


def run(
    config: settings.OperatorSettings, *, sheet: rows.Sheet | None, name: str, as_json: bool
) -> exit_codes.ExitCode:
    """Print the table, one of its sheets, or one row.

    :param sheet: sheet to print; None for all.
    :param name: name of the row to print; empty for all.
    """
    answer = keepers.get_table(config)
    table_rows = {
        key: row
        for key, row in keepers.unpack_rows(answer).items()
        if (sheet is None or key.sheet == sheet) and (not name or key.name == name)
    }
    if name and not table_rows:
        output.print_error(f"there is no row {name}")
        return exit_codes.ExitCode.NOT_FOUND
    if as_json:
        versions = {str(key): row.version for key, row in sorted(table_rows.items(), key=str)}
        document = documents.make_document(table_rows)
        output.print_json({"version": answer.version, "table": document, "rows": versions})
        return exit_codes.ExitCode.OK
    print(f"version {answer.version}")
    for shown in rows.Sheet if sheet is None else [sheet]:
        _print_sheet(shown, table_rows)
    return exit_codes.ExitCode.OK


def _print_sheet(sheet: rows.Sheet, table_rows: dict) -> None:
    columns = _COLUMNS[sheet]
    lines = []
    for key in sorted(table_rows, key=str):
        if key.sheet != sheet:
            continue
        row = table_rows[key]
        typed = rows.parse_row(sheet, key.name, row.value).ok
        cells = [output.format_cell(getattr(typed, column)) for column in columns]
        if sheet is rows.Sheet.WORKSPACES:
            cells.append(str(len(typed.key_sha256)))
        lines.append([key.name, str(row.version), *cells])
    titles = ["name", "version", *columns]
    if sheet is rows.Sheet.WORKSPACES:
        titles.append(_KEYS_TITLE)
    print(f"\n{sheet}")
    output.print_table(titles, lines)
