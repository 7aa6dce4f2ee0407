"""Start-up shared by the daemons: arguments, settings, logging and exit codes."""

import sys
from collections.abc import Callable
from typing import Annotated, TypeVar

import typer

from spoolhead._internal import exceptions
from spoolhead._internal.models import settings
from spoolhead._internal.utils import logs

EXIT_FAILED = 1
EXIT_BAD_SETTINGS = 2

_SettingsT = TypeVar("_SettingsT", settings.EntrySettings, settings.KeeperSettings)


def start(
    settings_class: type[_SettingsT], run: Callable[[_SettingsT], None], summary: str
) -> None:
    """Run a daemon with the settings file named on its command line.

    :param settings_class: settings class of the program.
    :param run: runs the program; returns when it has stopped.
    :param summary: description of the program for ``--help``.
    """

    def _command(
        settings_file: Annotated[
            str, typer.Option("--settings", help="Settings file, JSON with comments.")
        ],
        check: Annotated[bool, typer.Option(help="Check the settings and exit.")] = False,
    ) -> None:
        try:
            config = settings.read_settings(settings_class, settings_file)
            if check:
                return
            logs.set_up(config.log)
            run(config)
        except exceptions.SettingsError as error:
            print(error, file=sys.stderr)
            raise typer.Exit(EXIT_BAD_SETTINGS) from error
        except exceptions.SpoolheadError as error:
            print(f"{error} [{int(error.code)}]", file=sys.stderr)
            raise typer.Exit(EXIT_FAILED) from error
        except OSError as error:
            print(f"the program cannot start: {error}", file=sys.stderr)
            raise typer.Exit(EXIT_FAILED) from error

    _command.__doc__ = summary
    typer.run(_command)
