"""Small value types shared by the other packages; no I/O."""
