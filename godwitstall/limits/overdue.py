"""Requests that hold a slot although their upstream has probably finished.

An answer that is lost on its way is waited for until the deadline, which is
often a hundred times as long as the request ran. A few lost answers in a
hundred then fill all slots of an upstream that is nearly idle. Requests that
take many times as long as is usual on their route do not count as running, as
long as others are answered meanwhile: an upstream that answers none is stuck,
and more work would only make it worse.

Example:
    watch.on_answer(Waited('r', 0.02), now)
    free = limit - (running - watch.count(waited, limit, now))
"""

import collections.abc
import typing

# Times the usual duration, and at least this long, seconds, after which a
# request counts as overdue.
_FACTOR = 8.0
_MIN_S = 0.25

# Weight of one answer in the moving average of the duration.
_WEIGHT = 0.05

# Time without an answer after which none is counted, seconds.
_PROGRESS_S = 0.25

# Largest part of the limit that overdue requests may leave free. Those that
# are slow and not lost still use the upstream.
_MAX_SHARE = 0.5


class Waited(typing.NamedTuple):
    """A request and the time for which its upstream has had it."""

    # Name of the route; the kinds of request of one upstream differ in length.
    route: str
    # Time since it was sent, without that of onward calls, seconds.
    own_s: float


class OverdueWatch:
    """How long requests usually take at one upstream."""

    def __init__(self) -> None:
        # Moving averages of the time to an answer by route, seconds.
        self.usual_s: dict[str, float] = {}
        # Time of the last answer, seconds.
        self.answered_at = float('-inf')

    def on_answer(self, waited: Waited, now: float) -> None:
        """Count an answer that has come."""
        self.answered_at = now
        usual_s = self.usual_s.get(waited.route, waited.own_s)
        usual_s += _WEIGHT * (waited.own_s - usual_s)
        self.usual_s[waited.route] = usual_s

    def count(
        self, running: collections.abc.Iterable[Waited], limit: int, now: float
    ) -> int:
        """Return how many of the running requests hold no slot."""
        overdue = sum(self.is_overdue(waited, now) for waited in running)
        return min(overdue, int(limit * _MAX_SHARE))

    def is_overdue(self, waited: Waited, now: float) -> bool:
        """Return whether the answer to one request is probably lost."""
        usual_s = self.usual_s.get(waited.route)
        if usual_s is None or now - self.answered_at > _PROGRESS_S:
            return False
        return waited.own_s > max(usual_s * _FACTOR, _MIN_S)
