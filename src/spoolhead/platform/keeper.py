"""Main program of a keeper on the platform."""

from spoolhead._internal.quorum import keeper
from spoolhead.platform import dialect, node_file, starting


def main() -> None:
    """Run a keeper with the platform's settings file."""
    starting.start(node_file.read_keeper, lambda config: keeper.Keeper(config, dialect.Dialect()))


if __name__ == "__main__":
    main()
