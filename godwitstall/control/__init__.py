"""Control process: the replicated state machine and its service."""
