"""Entry point of ``spoolhead-keeper``."""

from spoolhead._internal.cli import start
from spoolhead._internal.keeper import program
from spoolhead._internal.models import settings


def main() -> None:
    """Run the keeper program."""
    start.start(
        settings.KeeperSettings, program.run, "Store the table on disk and push it to the entries."
    )


if __name__ == "__main__":
    main()
