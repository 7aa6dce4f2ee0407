"""The entry program: callers on one side, upstreams on the other."""
