"""``spoolhead check``: checks a settings or table file without using it."""

import enum

from spoolhead._internal.cli import exit_codes, output
from spoolhead._internal.models import settings
from spoolhead._internal.table import documents


class FileKind(enum.StrEnum):
    """Kind of a file to check."""

    ENTRY = "entry"
    KEEPER = "keeper"
    OPERATOR = "operator"
    TABLE = "table"


_SETTINGS_CLASSES = {
    FileKind.ENTRY: settings.EntrySettings,
    FileKind.KEEPER: settings.KeeperSettings,
    FileKind.OPERATOR: settings.OperatorSettings,
}


def run(kind: FileKind, path: str, *, as_json: bool) -> exit_codes.ExitCode:
    """Check a file.

    :raises exceptions.SettingsError: with all faults, if the file is invalid.
    """
    if kind is FileKind.TABLE:
        documents.read_document(path)
    else:
        settings.read_settings(_SETTINGS_CLASSES[kind], path)
    if as_json:
        output.print_json({"path": path, "faults": []})
    else:
        print(f"{path}: no faults")
    return exit_codes.ExitCode.OK
