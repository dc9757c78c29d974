"""Requests and tokens that nodes pass to each other."""
