"""The commands of the operators' program, one module each."""
