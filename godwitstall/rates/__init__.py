"""Rate tokens: the ledger at the leader and the allowance at a node."""
