"""Runs an entry with a given policy set. Usage: policy_entry.py POLICIES --settings FILE."""

import sys

import policies
from spoolhead._internal.cli import start
from spoolhead._internal.entry import program
from spoolhead._internal.models import settings


def main() -> None:
    """Run an entry with the policy set named by the first argument."""
    chosen = policies.SETS[sys.argv.pop(1)]
    start.start(
        settings.EntrySettings,
        lambda config: program.Entry(config, chosen).run(),
        "Run an entry with a policy set for comparison.",
    )


if __name__ == "__main__":
    main()
