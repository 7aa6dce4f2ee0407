"""Keepers that agree on the route table."""
