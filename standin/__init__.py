"""Upstream stand-in for demos, tests and measurements."""
