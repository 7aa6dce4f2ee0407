"""Keepers that replicate the route table by consensus."""
