"""The keeper program: the table on a disk, pushed to the entries."""
