"""Randomized fault injection against real processes on one machine.

``python -m soak --seeds 1-50`` (with ``tests`` and ``tools`` on the path, see docs/SOAK.md)
runs one plan per seed. The records of the callers and of the simulated upstreams are checked
against the guarantees in docs/PROMISES.md.
"""
