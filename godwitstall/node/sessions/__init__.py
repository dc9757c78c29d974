"""What a node agrees on with control."""
