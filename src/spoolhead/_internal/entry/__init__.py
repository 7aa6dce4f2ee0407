"""The entry program: accepts callers' requests and runs them on upstreams."""
