"""The table as the programs use it: checked rows, following, saved copies."""
