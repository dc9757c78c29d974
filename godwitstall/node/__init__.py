"""The node: one process beside each upstream."""
