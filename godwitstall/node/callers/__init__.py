"""What a node does for the callers on its own VM."""
