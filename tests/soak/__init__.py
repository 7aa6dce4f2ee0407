"""A randomized fault soak: real processes on one machine, faults from outside them.

``python -m soak --seeds 1-50`` (with ``tests`` and ``tools`` on the path, see docs/SOAK.md)
plays one plan a seed. What callers and the stand-ins of upstreams saw is checked against what
docs/PROMISES.md says.
"""
