"""``spoolhead evacuate``: stops new requests to the upstreams of a hall, or allows them again."""

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
    """Evacuate a hall or end its evacuation.

    :param hall: name of the hall.
    :param is_withdrawal: whether to withdraw an earlier order.
    """
    key = versioned_table.RowKey(rows.Sheet.HALLS, hall)
    row = keepers.unpack_rows(keepers.get_table(config)).get(key)
    version = row.version if row is not None else versioned_table.ABSENT_VERSION
    edit = versioned_table.RowEdit(key, version, {"evacuated": not is_withdrawal})
    return keepers.send_edit(config, [edit], options)
