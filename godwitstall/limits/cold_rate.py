"""Limits the rate of requests to one upstream while it is cold.

A cold upstream tolerates few requests per second and fails above that. It says
how long it stays cold; between two reports the state is known by the clock.
After a sign that the process may have been replaced, the state is unknown, and
an unknown upstream counts as cold until a newer report says that it is warm.

A token bucket spaces the requests evenly. It starts empty and is drained by
the requests to a warm upstream too, so that a bucket which continues that of a
process before, or which begins to count, never adds a burst. A count of the
requests in the last second bounds what the bucket lets through when requests
are written later than their tokens were taken.

Example:
    rate = ColdRate.from_config(6.5, 3.0, overrun=1.5, tolerance=8.0, now=now)
    rate.on_report(2.5, reported_at=now, now=now)
    if rate.may_send(now):
        rate.take(now)
"""

import collections
import math

# Window in which the users count the requests, seconds.
WINDOW_S = 1.0

# Share of the accepted requests in one window that are sent. The rest is a
# margin for requests that are underway for different times.
_WINDOW_SHARE = 0.85

# Share of the tolerance that the token bucket may hold. Requests that arrive
# closer together than that come as a burst at the upstream.
_BURST_SHARE = 0.25

# Length of the queue, in seconds at the rate. It lets a request of a higher
# rank take the next token; the others had better try another upstream.
_MAX_QUEUE_S = 0.2


class ColdRate:
    """Token bucket and window of one upstream."""

    def __init__(self, overrun: float, tolerance: float, now: float) -> None:
        # Requests in one second that users accept: per_s * overrun +
        # tolerance.
        self.overrun = overrun
        self.tolerance = tolerance
        # Requests per second that the cold upstream tolerates; 0 without a
        # limit.
        self.per_s = 0.0
        # Time for which an upstream is cold after its start, seconds.
        self.cold_start_s = 0.0
        # End of the cold time by the reports so far, seconds.
        self.cold_until = -math.inf
        # Whether nothing newer than the last sign of a change is known, and
        # the time of that sign, seconds.
        self.is_unknown = True
        self.unknown_since = -math.inf
        # Time of the newest report, seconds.
        self.reported_at = -math.inf
        # Requests that may be sent now, and time of their calculation.
        self._tokens = 0.0
        self._refilled_at = now
        # Times of the newest requests that were written, oldest first.
        self._written_at: collections.deque[float] = collections.deque()
        # Last turn that was assigned to a refused request, seconds.
        self._promised_at = -math.inf

    @classmethod
    def from_config(
        cls,
        per_s: float,
        cold_start_s: float,
        overrun: float,
        tolerance: float,
        now: float,
    ) -> 'ColdRate':
        """Return a limit of an upstream of which nothing is known yet."""
        rate = cls(overrun, tolerance, now)
        rate.set_limit(per_s, cold_start_s)
        return rate

    def set_limit(self, per_s: float, cold_start_s: float) -> None:
        """Set the requests per second while cold; 0 means no limit."""
        self.per_s = per_s
        self.cold_start_s = cold_start_s
        if not per_s:
            self._written_at.clear()

    def is_limited(self) -> bool:
        """Return whether the configuration sets a limit."""
        return self.per_s > 0

    def is_cold(self, now: float) -> bool:
        """Return whether the limit applies now."""
        return self.is_limited() and (self.is_unknown or now < self.cold_until)

    def remaining_s(self, now: float) -> float:
        """Return for how long the limit applies, as far as known, seconds.

        An unknown upstream can be as cold as after a start.
        """
        if not self.is_limited():
            return 0.0
        known_s = max(0.0, self.cold_until - now)
        return max(known_s, self.cold_start_s) if self.is_unknown else known_s

    def on_start(self) -> None:
        """Forget the reports of the process before."""
        self.cold_until = -math.inf
        self.is_unknown = True
        self.unknown_since = -math.inf

    def on_doubt(self, now: float) -> None:
        """Treat the upstream as cold until a report newer than now."""
        self.is_unknown = True
        self.unknown_since = now

    def on_report(self, cold_s: float, reported_at: float, now: float) -> None:
        """Process a report that the upstream stays cold for cold_s.

        reported_at is the earliest time at which the upstream can have written
        the report. A report never shortens a known cold time: reports may
        overtake each other, and a cold time ends by itself.
        """
        if cold_s > 0:
            self.cold_until = max(self.cold_until, now + cold_s)
        if reported_at >= self.unknown_since:
            self.is_unknown = False
            self.reported_at = now

    def rate_per_s(self) -> float:
        """Return the requests per second that are sent while cold."""
        return self.per_s * self.overrun

    def max_in_window(self) -> int:
        """Return the most requests that are written in WINDOW_S while cold."""
        accepted = self.per_s * self.overrun + self.tolerance
        return max(1, math.floor(accepted * _WINDOW_SHARE))

    def _burst(self) -> float:
        return max(1.0, self.tolerance * _BURST_SHARE)

    def _refill(self, now: float) -> None:
        elapsed_s = max(now - self._refilled_at, 0.0)
        self._refilled_at = now
        self._tokens = min(
            self._tokens + elapsed_s * self.rate_per_s(), self._burst()
        )

    def may_send(self, now: float) -> bool:
        """Return whether the limit allows another request now."""
        if not self.is_cold(now):
            return True
        self._refill(now)
        return self._tokens >= 1.0 and self.may_write(now)

    def take(self, now: float) -> None:
        """Take the token of a request that will be sent."""
        if not self.is_limited():
            return
        self._refill(now)
        # Without the bound, the requests to a warm upstream would delay those
        # after its next change by the time that they have lasted.
        self._tokens = max(0.0, self._tokens - 1.0)

    def may_write(self, now: float) -> bool:
        """Return whether the window has room for another request."""
        if not self.is_cold(now):
            return True
        self._trim(now)
        return len(self._written_at) < self.max_in_window()

    def on_write(self, now: float) -> None:
        """Count a request that is written to the upstream."""
        if not self.is_limited():
            return
        self._written_at.append(now)
        self._trim(now)

    def written_in_window(self, now: float) -> int:
        """Return the requests written in the last WINDOW_S."""
        self._trim(now)
        return len(self._written_at)

    def _trim(self, now: float) -> None:
        while self._written_at and self._written_at[0] <= now - WINDOW_S:
            self._written_at.popleft()

    def max_queued(self, now: float) -> int | None:
        """Return how many requests may wait; None while not limited."""
        if not self.is_cold(now):
            return None
        return max(1, math.ceil(self.rate_per_s() * _MAX_QUEUE_S))

    def concurrency(self, duration_s: float, now: float) -> int | None:
        """Return the requests that run at once while cold (Little's law).

        None while not limited. duration_s is the mean time of a request.
        """
        if not self.is_cold(now):
            return None
        return max(1, round(self.rate_per_s() * duration_s))

    def next_turn_s(self, now: float) -> float:
        """Return when the next refused request has room, seconds from now.

        Each refused request is assigned its own turn, until the upstream is
        warm.
        """
        last = max(self._promised_at, now)
        warm_at = now + self.remaining_s(now)
        self._promised_at = min(last + 1 / self.rate_per_s(), warm_at)
        return max(0.0, self._promised_at - now)
