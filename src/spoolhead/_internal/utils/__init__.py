"""Small modules with a single purpose."""
