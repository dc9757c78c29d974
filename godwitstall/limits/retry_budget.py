"""Bound on the retries of one service at one entry node.

Retries in the current and the last few seconds may be at most a share of the
calls in the same time, or a small floor, whichever is larger. Without the
bound, a failing service gets several times its load from retries alone.

Example: budget = RetryBudget(ratio=0.1, min_per_s=1.0)
"""

# Seconds counted together. A longer window lets a service that had much
# traffic before a failure send all its retries in the first second of it.
WINDOW_S = 5


class RetryBudget:
    """Counts of calls and retries in slots of one second."""

    def __init__(self, ratio: float, min_per_s: float) -> None:
        # Retries allowed for each call, 0 to 1.
        self.ratio = ratio
        # Retries a second that are always allowed.
        self.min_per_s = min_per_s
        self._calls = [0] * WINDOW_S
        self._retries = [0] * WINDOW_S
        # Second that the newest slot stands for.
        self._second = 0

    def on_call(self, now: float) -> None:
        """Count a first send."""
        self._advance(now)
        self._calls[self._second % WINDOW_S] += 1

    def try_retry(self, now: float, part: float = 1.0) -> bool:
        """Return whether one more retry is within the budget; count it.

        part is the share of the budget that may be in use after it.
        """
        self._advance(now)
        allowed = max(self.ratio * sum(self._calls), self.min_per_s * WINDOW_S)
        allowed *= part
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[self._second % WINDOW_S] += 1
        return True

    def _advance(self, now: float) -> None:
        second = int(now)
        for passed in range(
            max(self._second + 1, second - WINDOW_S + 1), second + 1
        ):
            self._calls[passed % WINDOW_S] = 0
            self._retries[passed % WINDOW_S] = 0
        self._second = max(self._second, second)
