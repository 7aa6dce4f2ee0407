"""Value types shared by the other packages, with their encodings."""
