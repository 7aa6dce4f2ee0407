"""Entry program for traffic that is routed by host and path."""
