"""Coordination components without I/O, for embedding; the package's public interface."""
