"""Routing: the route tables, the replicated state and owner selection."""
