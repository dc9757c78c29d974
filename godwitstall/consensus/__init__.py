"""Replicated log of the control processes."""
