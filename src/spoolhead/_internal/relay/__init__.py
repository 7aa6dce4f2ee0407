"""The path of an answer from an upstream to its caller, without I/O."""
