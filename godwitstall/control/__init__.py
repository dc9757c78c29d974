"""Control: the replicated state machine and its service."""
