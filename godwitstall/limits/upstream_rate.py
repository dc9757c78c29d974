"""Limits the rate of requests to one upstream to what the upstream names.

An upstream in need names in its answers the requests per second that it
accepts from all nodes together. The limit holds for as long as its answers
name it. An upstream has one owner node, which sends all of its requests, so
the owner alone enforces the limit, with a token bucket.

An owner process that has just started has no answer yet, although the nodes
that send it calls may know the limit from answers before. It adopts the limit
that a call brings along until its upstream answers.

Example:
    rate = UpstreamRate()
    rate.on_answer(24.5, answered_at=now, now=now)
    if rate.may_send(now):
        rate.take(now)
"""

import collections
import math

# Length of the window in which sent requests are counted, seconds.
WINDOW_S = 4.0

# Requests in the window that count as exceeding the limit, relative to the
# limit and in addition to that.
_EXCESS_RATIO = 1.5
_EXCESS_REQUESTS = 5

# Depth of the token bucket, in seconds at the limit, and its minimum in
# requests. It evens out arrivals and late timers.
_BURST_S = 0.5
_MIN_BURST = 2.0

# Lowest rate at which requests are sent, per second. Only answers show that a
# limit of 0 has ended.
_MIN_RATE_PER_S = 0.5

# Time after the last answer with a limit during which an answer without one
# does not end the limit, seconds.
_HOLD_S = 1.0

# Length of the queue, in seconds at the limit. It lets a request of a higher
# priority take the next token; the others had better try another upstream.
_MAX_QUEUE_S = 0.1

# Weight of one request in the moving average of the time that it takes.
_DURATION_WEIGHT = 0.05


class UpstreamRate:
    """Token bucket of one upstream process, unlimited at first."""

    def __init__(self) -> None:
        # Requests per second that the upstream accepts; infinite if it names
        # no limit.
        self.limit = math.inf
        # Time since which there is a limit, seconds.
        self.limited_since = math.inf
        # Time of the newest answer, seconds.
        self.answered_at = -math.inf
        # Time of the newest answer that named a limit, seconds.
        self.named_at = -math.inf
        # Requests that may be sent now, and time of their calculation.
        self._tokens = 0.0
        self._refilled_at = 0.0
        # Times of the requests sent in the last WINDOW_S under a limit.
        self._sent_at: collections.deque[float] = collections.deque()
        # Moving average of the time that a request takes, seconds.
        self.mean_duration_s = 0.0

    def is_limited(self) -> bool:
        """Return whether a limit is in force."""
        return math.isfinite(self.limit)

    def on_answer(self, limit: float, answered_at: float, now: float) -> None:
        """Set the limit that an answer names; infinite if it names none.

        answered_at is the time at which the headers of the answer arrived, in
        seconds. A long body may end after a later answer has changed the
        limit.
        """
        if answered_at < self.answered_at:
            return
        self.answered_at = answered_at
        if math.isfinite(limit):
            self._set_limit(limit, answered_at, now)
        elif answered_at - self.named_at >= _HOLD_S:
            self._remove_limit()

    def is_known(self) -> bool:
        """Return whether the limit is known, or known to be absent."""
        return math.isfinite(self.answered_at) or self.is_limited()

    def adopt(self, limit: float, now: float) -> None:
        """Set a limit that another node knows, until the first answer.

        Nodes may know limits of different age; the lowest is kept.
        """
        if math.isinf(self.answered_at) and limit < self.limit:
            self._set_limit(limit, now, now)

    def _set_limit(self, limit: float, named_at: float, now: float) -> None:
        self._refill(now)
        if not self.is_limited():
            self.limited_since = now
            self._tokens = 1.0
            self._refilled_at = now
        self.limit = limit
        self.named_at = named_at
        self._tokens = min(self._tokens, self._burst())

    def _remove_limit(self) -> None:
        self.limit = math.inf
        self.limited_since = math.inf
        self._sent_at.clear()

    def _rate_per_s(self) -> float:
        return max(self.limit, _MIN_RATE_PER_S)

    def _burst(self) -> float:
        return max(self._rate_per_s() * _BURST_S, _MIN_BURST)

    def _refill(self, now: float) -> None:
        if not self.is_limited():
            return
        elapsed_s = max(now - self._refilled_at, 0.0)
        self._refilled_at = now
        self._tokens = min(
            self._tokens + elapsed_s * self._rate_per_s(), self._burst()
        )

    def may_send(self, now: float) -> bool:
        """Return whether the limit allows another request now."""
        self._refill(now)
        return not self.is_limited() or self._tokens >= 1.0

    def take(self, now: float) -> None:
        """Take the token of a request that will be sent."""
        if self.is_limited():
            self._refill(now)
            self._tokens -= 1.0

    def on_send(self, now: float) -> None:
        """Count a request that is sent to the upstream."""
        if not self.is_limited():
            return
        self._sent_at.append(now)
        while self._sent_at[0] < now - WINDOW_S:
            self._sent_at.popleft()

    def on_end(self, duration_s: float) -> None:
        """Record the time that a request has taken."""
        if not self.mean_duration_s:
            self.mean_duration_s = duration_s
        self.mean_duration_s += _DURATION_WEIGHT * (
            duration_s - self.mean_duration_s
        )

    def sent_in_window(self) -> int:
        """Return the requests sent under a limit within WINDOW_S."""
        return len(self._sent_at)

    def is_exceeded(self) -> bool:
        """Return whether the window holds more requests than the limit."""
        return len(self._sent_at) > (
            self.limit * WINDOW_S * _EXCESS_RATIO + _EXCESS_REQUESTS
        )

    def concurrency(self) -> int | None:
        """Return the requests that run at once at the limit (Little's law).

        None if there is no limit or no request has ended yet.
        """
        if not self.is_limited() or not self.mean_duration_s:
            return None
        return max(1, round(self._rate_per_s() * self.mean_duration_s))

    def max_queued(self) -> int | None:
        """Return how many requests may wait; None if there is no limit."""
        if not self.is_limited():
            return None
        return max(1, math.ceil(self._rate_per_s() * _MAX_QUEUE_S))
