"""Requests that hold a slot although their upstream has probably finished.

An answer that is lost on its way is waited for until the deadline, which is
often a hundred times as long as the request ran. A few lost answers in a
hundred then fill all slots of an upstream that is nearly idle. Requests that
take many times as long as is usual do not count as running, as long as others
are answered meanwhile: an upstream that answers none is stuck, and more work
would only make it worse.

Example:
    watch.on_answer(0.02, now)
    free = limit - (running - watch.count(own_times, limit, now))
"""

import collections.abc

# Times the usual duration, and at least this long, seconds, after which a
# request counts as overdue.
_FACTOR = 8.0
MIN_S = 0.25

# Weight of one answer in the moving average of the duration.
_WEIGHT = 0.05

# Time without an answer after which none is counted, seconds.
_PROGRESS_S = 0.25

# Largest part of the limit that overdue requests may leave free. Those that
# are slow and not lost still use the upstream.
_MAX_SHARE = 0.5


class OverdueWatch:
    """How long requests usually take at one upstream."""

    def __init__(self) -> None:
        # Moving average of the time to an answer, seconds; 0 before the first.
        self.usual_s = 0.0
        # Time of the last answer, seconds.
        self.answered_at = float('-inf')

    def on_answer(self, own_s: float, now: float) -> None:
        """Count an answer that came own_s after its request was sent.

        The time of onward calls is left out.
        """
        self.answered_at = now
        if not self.usual_s:
            self.usual_s = own_s
        self.usual_s += _WEIGHT * (own_s - self.usual_s)

    def count(
        self,
        own_times_s: collections.abc.Iterable[float],
        limit: int,
        now: float,
    ) -> int:
        """Return how many of the running requests hold no slot.

        own_times_s are the times since they were sent, without onward calls.
        """
        if not self._makes_progress(now):
            return 0
        bound_s = self._bound_s()
        overdue = sum(own_s > bound_s for own_s in own_times_s)
        return min(overdue, int(limit * _MAX_SHARE))

    def is_overdue(self, own_s: float, now: float) -> bool:
        """Return whether the answer to one request is probably lost."""
        return self._makes_progress(now) and own_s > self._bound_s()

    def _makes_progress(self, now: float) -> bool:
        return bool(self.usual_s) and now - self.answered_at <= _PROGRESS_S

    def _bound_s(self) -> float:
        return max(self.usual_s * _FACTOR, MIN_S)
