"""The keeper program: stores the table on disk and pushes it to the entries."""
