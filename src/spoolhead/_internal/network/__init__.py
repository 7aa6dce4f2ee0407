"""Event loop, sockets, HTTP connections and the protocols between processes."""
