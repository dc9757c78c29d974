"""Simulated upstream for demos, tests and benchmarks."""
