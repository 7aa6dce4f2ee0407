"""Everything that is not public; no stability is promised below this package."""
