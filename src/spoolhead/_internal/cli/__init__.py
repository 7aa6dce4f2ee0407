"""Entry points of the programs: command-line arguments, settings and logging."""
