"""What both programs' starts on the platform share."""

import sys
from collections.abc import Callable

from spoolhead._internal import exceptions
from spoolhead.platform import node_file

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2


def start(run: Callable[[str], None]) -> None:
    """Run a program with the settings file that the platform names.

    :param run: the program.
    """
    try:
        run(node_file.get_path())
    except exceptions.SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_BAD_SETTINGS)
    except exceptions.SpoolheadError as error:
        print(f"{error} [{int(error.code)}]", file=sys.stderr)
        sys.exit(EXIT_FAILED)
