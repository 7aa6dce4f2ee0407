"""Common startup of both programs on the platform."""

import sys
from collections.abc import Callable
from typing import Any

from spoolhead._internal import exceptions
from spoolhead._internal.utils import programs
from spoolhead.platform import node_file

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2
CHECK_OPTION = "--check"


def start(read: Callable[[str], Any], make: Callable[[Any], programs.Program]) -> None:
    """Run a program with the platform's settings file.

    With ``--check``, the settings are only read, and faults in them are printed.

    :param read: reads the settings.
    :param make: creates the program from its settings.
    """
    path = node_file.get_path()
    try:
        if CHECK_OPTION in sys.argv[1:]:
            read(path)
            print(f"{path}: settings are good")
            return
        programs.run(path, read, make)
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except exceptions.SpoolheadError as error:
        print(f"{error} [{int(error.code)}]", file=sys.stderr)
        sys.exit(EXIT_FAILED)
