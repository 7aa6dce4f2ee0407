"""Decisions, without I/O: admission, placement, retries, quarantine, permits, load totals."""
