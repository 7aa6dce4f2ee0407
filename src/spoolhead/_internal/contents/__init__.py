"""Requests that end the instances which run them: what an entry finds out and hears of them."""
