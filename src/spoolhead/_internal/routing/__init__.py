"""Lookups in the route table, and its validation."""
