"""Runs a program with the settings of a file that may change while it runs."""

from collections.abc import Callable
from typing import Any, Protocol

from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import logs, settings_watch


class Program(Protocol):
    """A program that runs until it is told to stop."""

    loop: loops.Loop

    def apply_settings(self, config: Any) -> None:
        """Take over changed settings."""

    def run(self) -> None:
        """Serve until told to stop."""


def run(path: str, read: Callable[[str], Any], make: Callable[[Any], Program]) -> None:
    """Run a program until it is told to stop.

    :param path: its settings file.
    :param read: reads that file.
    :param make: makes the program from its settings.
    :raises exceptions.SpoolheadError: if it cannot start.
    """
    config = read(path)
    logs.set_up(config.log)
    program = make(config)
    settings_watch.SettingsWatch(program.loop, path, read, program.apply_settings)
    program.run()
