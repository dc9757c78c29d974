"""Decisions about how much work an upstream gets, and when to retry."""
