"""Coordination parts for others to embed; sans-I/O, the package's public interface."""
