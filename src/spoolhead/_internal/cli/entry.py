"""Entry point of ``spoolhead-entry``."""

from spoolhead._internal.cli import start
from spoolhead._internal.entry import program
from spoolhead._internal.models import settings


def main() -> None:
    """Run the entry program."""
    start.start(
        settings.EntrySettings,
        program.run,
        "Take callers' requests, decide what runs, and relay the answers.",
    )


if __name__ == "__main__":
    main()
