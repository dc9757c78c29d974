"""Bound on the retries of one service at one entry node.

Retries in the current and the last few seconds may be at most a share of the
calls in the same time, or a small floor, whichever is larger. Without the
bound, a failing service gets several times its load from retries alone.

The floor is that of all nodes together. A node of a large fleet has a part of
a retry in its floor, and few calls; what it may send is rounded up or down by
a draw, so that all nodes together send what is allowed.

Example: budget = RetryBudget(ratio=0.1, min_per_s=1.0)
"""

import random as random_module

# Seconds counted together. A longer window lets a service that had much
# traffic before a failure send all its retries in the first second of it.
WINDOW_S = 5


class RetryBudget:
    """Counts of calls and retries in slots of one second."""

    def __init__(
        self,
        ratio: float,
        min_per_s: float,
        random: random_module.Random | None = None,
    ) -> None:
        # Draws how parts of a retry are rounded; None rounds down.
        self.random = random
        # Nodes that share the floor.
        self.nodes = 1
        # Retries allowed for each call, 0 to 1.
        self.ratio = ratio
        # Retries a second that all nodes together may always send.
        self.min_per_s = min_per_s
        self._calls = [0] * WINDOW_S
        self._retries = [0] * WINDOW_S
        # Second that the newest slot stands for.
        self._second = 0
        # What is added before rounding down, and the window it is for.
        self._rounding = 0.0
        self._rounding_window = 0

    def on_call(self, now: float) -> None:
        """Count a first send."""
        self._advance(now)
        self._calls[self._second % WINDOW_S] += 1

    def try_retry(self, now: float, part: float = 1.0) -> bool:
        """Return whether one more retry is within the budget; count it.

        part is the share of the budget that may be in use after it.
        """
        self._advance(now)
        floor = self.min_per_s * WINDOW_S / self.nodes
        allowed = max(self.ratio * sum(self._calls), floor) * part
        allowed += self._draw()
        if sum(self._retries) + 1 > allowed:
            return False
        self._retries[self._second % WINDOW_S] += 1
        return True

    def _draw(self) -> float:
        window = self._second // WINDOW_S
        if self.random is not None and window != self._rounding_window:
            self._rounding_window = window
            self._rounding = self.random.random()
        return self._rounding

    def _advance(self, now: float) -> None:
        second = int(now)
        for passed in range(
            max(self._second + 1, second - WINDOW_S + 1), second + 1
        ):
            self._calls[passed % WINDOW_S] = 0
            self._retries[passed % WINDOW_S] = 0
        self._second = max(self._second, second)
