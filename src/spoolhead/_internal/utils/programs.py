"""Runs a program and reloads its settings file when it changes."""

from collections.abc import Callable
from typing import Any, Protocol

from spoolhead._internal.network import loop as loops
from spoolhead._internal.utils import logs, settings_watch


class Program(Protocol):
    """A program that runs until it is stopped by a signal."""

    loop: loops.Loop

    def apply_settings(self, config: Any) -> None:
        """Apply changed settings."""

    def run(self) -> None:
        """Serve until stopped."""


def run(path: str, read: Callable[[str], Any], make: Callable[[Any], Program]) -> None:
    """Run a program until it is stopped.

    :param path: path of its settings file.
    :param read: reads and parses that file.
    :param make: creates the program from its settings.
    :raises exceptions.SpoolheadError: if the program cannot start.
    """
    config = read(path)
    logs.set_up(config.log)
    program = make(config)
    settings_watch.SettingsWatch(program.loop, path, read, program.apply_settings)
    program.run()
