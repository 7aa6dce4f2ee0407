"""The table in the programs: validation, files, wire format, saved copies and typed views."""
