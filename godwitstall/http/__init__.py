"""HTTP/1.1 of the processes: listeners, messages, and their limits."""
