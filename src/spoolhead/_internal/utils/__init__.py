"""Helpers that are independent of each other: clocks, files, logs, metrics, encodings."""
