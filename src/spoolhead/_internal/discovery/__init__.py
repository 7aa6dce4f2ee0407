"""Discovery of the upstream instances of each service."""
