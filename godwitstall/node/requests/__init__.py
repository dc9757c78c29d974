"""Headers, digests and contexts of the requests that a node handles."""
