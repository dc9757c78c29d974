"""Rate limits: the token ledger at the leader and allowances at nodes."""
