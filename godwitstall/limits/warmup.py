"""Share of its slots that a newly started upstream gets.

A cold process (empty caches, no connections) that gets its full share at
once answers slowly and sheds; the share rises linearly instead.

Example: WarmUp(10.0, started_at=100.0).share(105.0) == 0.55
"""

_FIRST_SHARE = 0.1


class WarmUp:
    """Linear rise from 0.1 to 1.0 after the start of an incarnation."""

    def __init__(self, warmup_s: float, started_at: float) -> None:
        # Length of the rise, seconds; 0 means none.
        self.warmup_s = warmup_s
        # Start of the incarnation, seconds.
        self.started_at = started_at

    def share(self, now: float) -> float:
        """Return the share of slots to use, 0.1 to 1.0."""
        age = now - self.started_at
        if age >= self.warmup_s:
            return 1.0
        return _FIRST_SHARE + (1 - _FIRST_SHARE) * max(age, 0) / self.warmup_s
