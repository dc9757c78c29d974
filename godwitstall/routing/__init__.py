"""What a node knows of routes and members, and its choice of owner."""
