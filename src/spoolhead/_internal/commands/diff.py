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
        output.print_json([_as_dict(difference) for difference in differences])
    else:
        print_differences(differences)
    return exit_codes.ExitCode.DIFFERENT if differences else exit_codes.ExitCode.OK


def print_differences(differences: list[documents.Difference]) -> None:
    """Print differences in a human-readable form."""
    if not differences:
        print("no differences")
    for difference in differences:
        print(f"{difference.kind} {difference.key}")
        if difference.kind is documents.DifferenceKind.REMOVED:
            continue
        for column in difference.get_changed_columns():
            old = output.format_cell((difference.old or {}).get(column))
            new = output.format_cell((difference.new or {}).get(column))
            print(f"  {column}: {old} -> {new}")


def _as_dict(difference: documents.Difference) -> dict[str, object]:
    return {
        "row": str(difference.key),
        "kind": difference.kind,
        "old": difference.old,
        "new": difference.new,
    }
