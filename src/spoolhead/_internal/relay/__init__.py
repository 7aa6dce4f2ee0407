"""Processing of streamed answers between upstream and caller. Performs no I/O."""
