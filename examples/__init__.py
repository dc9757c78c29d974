"""Example settings and release notes of two sites."""
