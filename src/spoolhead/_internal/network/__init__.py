"""Sockets, the event loop and the protocols between processes."""
