"""What both programs' starts on the platform share."""

import sys
from collections.abc import Callable
from typing import TypeVar

from spoolhead._internal import exceptions
from spoolhead._internal.models import settings
from spoolhead._internal.utils import logs
from spoolhead.platform import node_file

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

_SettingsT = TypeVar("_SettingsT", settings.GatewaySettings, settings.QuorumKeeperSettings)


def start(read: Callable[[str], _SettingsT], run: Callable[[_SettingsT], None]) -> None:
    """Run a program with the settings file that the platform names.

    :param read: reads the file.
    :param run: the program.
    """
    try:
        config = read(node_file.get_path())
        logs.set_up(config.log)
        run(config)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except exceptions.SpoolheadError as error:
        print(f"{error} [{int(error.code)}]", file=sys.stderr)
        sys.exit(EXIT_FAILED)
