"""Seeded runs of many faults at once, with an oracle that reads the wire."""
