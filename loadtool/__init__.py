"""Open-loop load generation and measurement."""
