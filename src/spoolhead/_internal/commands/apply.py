"""``spoolhead apply``: makes the table equal to a file."""

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.commands import diff, keepers
from spoolhead._internal.models import settings
from spoolhead._internal.table import documents


def run(
    config: settings.OperatorSettings, path: str, options: keepers.EditOptions
) -> exit_codes.ExitCode:
    """Send all differences between the table and a file as one edit."""
    document = documents.read_document(path)
    table_rows = keepers.unpack_rows(keepers.get_table(config))
    differences = documents.get_differences(table_rows, document)
    if not differences:
        if options.as_json:
            output.print_json({"result_code": 0, "result": "OK", "faults": [], "conflicts": []})
        else:
            print("no differences, nothing to do")
        return exit_codes.ExitCode.OK
    if not options.as_json:
        diff.print_differences(differences)
    edits = documents.make_edits(table_rows, differences)
    return keepers.send_edit(config, edits, options)
