"""Decisions without I/O: who runs, who waits, who is refused, and where."""
