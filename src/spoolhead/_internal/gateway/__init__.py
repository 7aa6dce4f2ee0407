"""The entry program, which routes requests to instances by host and path."""
