"""Main program of an entry on the platform."""

from spoolhead._internal.gateway import program
from spoolhead.platform import dialect, node_file, starting


def main() -> None:
    """Run an entry with the platform's settings file."""
    starting.start(node_file.read_entry, lambda config: program.Gateway(config, dialect.Dialect()))


if __name__ == "__main__":
    main()
