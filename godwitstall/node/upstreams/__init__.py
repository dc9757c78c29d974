"""A node's own upstream: its connections, its state and its slots."""
