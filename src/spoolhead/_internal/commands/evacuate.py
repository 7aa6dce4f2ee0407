"""``spoolhead evacuate``: send nothing new to the upstreams of a hall, or take that back."""

from spoolhead._internal.cli import exit_codes
from spoolhead._internal.commands import keepers
from spoolhead._internal.models import rows, settings
from spoolhead.coordination import versioned_table


def run(
    config: settings.OperatorSettings,
    hall: str,
    *,
    is_withdrawal: bool,
    options: keepers.EditOptions,
) -> exit_codes.ExitCode:
    """Have a hall evacuated.

    :param hall: name of the hall.
    :param withdraws: take an earlier order back.
    """
    key = versioned_table.RowKey(rows.Sheet.HALLS, hall)
    known = keepers.unpack_rows(keepers.get_table(config)).get(key)
    version = known.version if known is not None else versioned_table.ABSENT_VERSION
    edit = versioned_table.RowEdit(key, version, {"evacuated": not is_withdrawal})
    return keepers.send_edit(config, [edit], options)
