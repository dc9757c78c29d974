"""Rate of requests to one upstream, and the limit that it names.

An upstream in need names in its answers the requests per second that it
accepts from all nodes together. The limit holds for as long as its answers
name it. An upstream has one owner node, which sends all of its requests, so
the owner alone can count them.

Example:
    rate = UpstreamRate()
    rate.on_answer(24.5, answered_at=now, now=now)
    rate.on_send(now)
"""

import collections
import math

# Length of the window in which sent requests are counted, seconds.
WINDOW_S = 4.0

# Requests in the window that a limit tolerates, relative to the limit, and in
# addition to that. Requests do not arrive evenly.
_TOLERATED_RATIO = 1.5
_TOLERATED_REQUESTS = 5


class UpstreamRate:
    """Requests sent to one upstream process, and the limit that it names."""

    def __init__(self) -> None:
        # Requests per second that the upstream accepts; infinite if it names
        # no limit.
        self.limit = math.inf
        # Time of the first answer since the limit was named, seconds.
        self.limited_since = math.inf
        # Time of the answer that set the limit, seconds.
        self.answered_at = -math.inf
        # Times of the requests sent in the last WINDOW_S under a limit.
        self._sent_at: collections.deque[float] = collections.deque()

    def on_answer(self, limit: float, answered_at: float) -> None:
        """Set the limit that an answer names; infinite if it names none.

        answered_at is the time at which the headers of the answer arrived, in
        seconds. A long body may end after a later answer has changed the
        limit.
        """
        if answered_at < self.answered_at:
            return
        self.answered_at = answered_at
        if math.isinf(limit):
            self.limited_since = math.inf
            self._sent_at.clear()
        elif math.isinf(self.limit):
            self.limited_since = answered_at
        self.limit = limit

    def on_send(self, now: float) -> None:
        """Count a request that is sent to the upstream."""
        if math.isinf(self.limit):
            return
        self._sent_at.append(now)
        while self._sent_at[0] < now - WINDOW_S:
            self._sent_at.popleft()

    def sent_in_window(self) -> int:
        """Return the requests sent under a limit within WINDOW_S."""
        return len(self._sent_at)

    def is_exceeded(self) -> bool:
        """Return whether more requests were sent than the limit tolerates."""
        return len(self._sent_at) > (
            self.limit * WINDOW_S * _TOLERATED_RATIO + _TOLERATED_REQUESTS
        )
