"""Retry budget of one service at one entry node.

In the current and the last few seconds together, the retries may be at most a
share of the calls, or a small floor, whichever is larger. Without the budget,
retries alone multiply the load of a failing service several times.

The floor applies to all nodes together. In a large fleet, the floor of one
node is a fraction of a retry and a node has few calls. The number of retries
is therefore rounded up or down at random, so that the total over all nodes
matches the allowed number.

Example: budget = RetryBudget(ratio=0.1, min_per_s=1.0)
"""

import random as random_module

# Length of the sliding window, seconds. With a longer window, a service with
# much traffic before a failure sends all its retries in the first second of
# the failure.
WINDOW_S = 5


class RetryBudget:
    """Counts of calls and retries in buckets of one second."""

    def __init__(
        self,
        ratio: float,
        min_per_s: float,
        random: random_module.Random | None = None,
    ) -> None:
        # Source of the random rounding; None rounds down.
        self.random = random
        # Number of nodes that share the floor.
        self.node_count = 1
        # Retries allowed per call, 0 to 1.
        self.ratio = ratio
        # Retries per second that are always allowed over all nodes together.
        self.min_per_s = min_per_s
        self._calls_per_second = [0] * WINDOW_S
        self._retries_per_second = [0] * WINDOW_S
        # Second of the newest bucket.
        self._newest_second = 0
        # Offset added before rounding down, and the window that it applies to.
        self._rounding_offset = 0.0
        self._rounding_window = 0

    def on_call(self, now: float) -> None:
        """Count the first attempt of a call."""
        self._advance(now)
        self._calls_per_second[self._newest_second % WINDOW_S] += 1

    def try_retry(self, now: float, usable_share: float = 1.0) -> bool:
        """Return whether the budget allows another retry, and count it.

        usable_share is the share of the budget that may be used up after it.
        """
        self._advance(now)
        floor = self.min_per_s * WINDOW_S / self.node_count
        allowed = (
            max(self.ratio * sum(self._calls_per_second), floor) * usable_share
        )
        allowed += self._current_rounding_offset()
        if sum(self._retries_per_second) + 1 > allowed:
            return False
        self._retries_per_second[self._newest_second % WINDOW_S] += 1
        return True

    def _current_rounding_offset(self) -> float:
        window = self._newest_second // WINDOW_S
        if self.random is not None and window != self._rounding_window:
            self._rounding_window = window
            self._rounding_offset = self.random.random()
        return self._rounding_offset

    def _advance(self, now: float) -> None:
        second = int(now)
        for skipped in range(
            max(self._newest_second + 1, second - WINDOW_S + 1), second + 1
        ):
            self._calls_per_second[skipped % WINDOW_S] = 0
            self._retries_per_second[skipped % WINDOW_S] = 0
        self._newest_second = max(self._newest_second, second)
