"""Finding the upstream instances of each service."""
