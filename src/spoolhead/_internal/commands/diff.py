"""``spoolhead diff``: prints the changes that applying a table file would make."""

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.commands import keepers
from spoolhead._internal.models import settings
from spoolhead._internal.table import documents


def run(config: settings.OperatorSettings, path: str, *, as_json: bool) -> exit_codes.ExitCode:
    """Print the differences between the table and a file.

    :returns: ``DIFFERENT`` if there are any, so that scripts can detect them.
    """
    document = documents.read_document(path)
    answer = keepers.get_table(config)
    differences = documents.get_differences(keepers.unpack_rows(answer), document)
    if as_json:
        output.print_json([_make_item(item) for item in differences])
    else:
        print_differences(differences)
    return exit_codes.ExitCode.DIFFERENT if differences else exit_codes.ExitCode.OK


def print_differences(differences: list[documents.Difference]) -> None:
    """Print differences in a human-readable form."""
    if not differences:
        print("no differences")
    for item in differences:
        print(f"{item.kind} {item.key}")
        if item.kind is documents.DifferenceKind.REMOVED:
            continue
        for column in item.get_changed_columns():
            old = output.format_cell((item.old or {}).get(column))
            new = output.format_cell((item.new or {}).get(column))
            print(f"  {column}: {old} -> {new}")


def _make_item(item: documents.Difference) -> dict[str, object]:
    return {"row": str(item.key), "kind": item.kind, "old": item.old, "new": item.new}
