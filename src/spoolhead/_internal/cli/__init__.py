"""Entry points of the programs: arguments, settings and logging, nothing else."""
