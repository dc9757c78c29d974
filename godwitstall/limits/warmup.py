"""Share of the slots that a newly started upstream may use.

A cold process (empty caches, no connections) responds slowly and sheds
requests under full load, so the share rises linearly.

Example: WarmUp(10.0, started_at=100.0).share(105.0) == 0.55
"""

_INITIAL_SHARE = 0.1


class WarmUp:
    """Linear rise of the share from 0.1 to 1.0 after a start."""

    def __init__(self, warmup_s: float, started_at: float) -> None:
        # Duration of the rise, seconds; 0 disables the warm-up.
        self.warmup_s = warmup_s
        # Start of the incarnation, seconds.
        self.started_at = started_at

    def share(self, now: float) -> float:
        """Return the share of the slots to use, 0.1 to 1.0."""
        age = now - self.started_at
        if age >= self.warmup_s:
            return 1.0
        return (
            _INITIAL_SHARE + (1 - _INITIAL_SHARE) * max(age, 0) / self.warmup_s
        )
