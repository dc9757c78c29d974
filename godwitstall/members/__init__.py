"""Nodes of the fleet: replicated registry and liveness at the leader."""
