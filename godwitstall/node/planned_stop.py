"""Decides which requests a node still accepts during its planned stop.

At first a stopping node accepts all requests, because callers and other nodes
cannot know of the stop yet. After that, it accepts a request only if its
deadline is before the end of the stop. A request that has been accepted is
therefore answered, and one that could be cut is rejected before it runs.

Example:
    stop = PlannedStop()
    stop.set_end(clock.now() + 6.5)
    stop.check(deadline)
"""

import math

from godwitstall import clock
from godwitstall import errors

# The response to a request is sent at most this long after its deadline,
# seconds.
_RESPONSE_DELAY_S = 0.3

# Time that onward calls leave until the end of the stop, seconds. Their
# deadlines are checked once more by the owner, after rounding.
_MIN_LEFT_S = _RESPONSE_DELAY_S + 0.01

# Time from the end of a stop until the next process accepts requests, seconds.
_RESTART_S = 0.5

# Delay before a request returns on another connection, milliseconds.
_RECONNECT_MS = 10


class PlannedStop:
    """The end of a planned stop; a node that is not stopping has none."""

    def __init__(self) -> None:
        # Time at which the node cuts what is left, seconds of clock.now().
        self.end = math.inf
        # Whether the node accepts connections.
        self.is_accepting = True

    def set_end(self, end: float) -> None:
        """Accept only requests whose deadlines are before this time."""
        self.end = end

    def limit(self, deadline: float) -> float:
        """Return the deadline of an onward call, which is before the end.

        Its parent has been accepted, and fails if the call is rejected.
        """
        return min(deadline, self.end - _MIN_LEFT_S)

    def check(self, deadline: float) -> None:
        """Accept a request with a deadline in seconds of clock.now().

        Errors: RequestError of kind STOPPING, with the time until the next
        process of the node is there.
        """
        if deadline + _RESPONSE_DELAY_S <= self.end:
            return
        raise errors.RequestError(
            errors.ErrorKind.STOPPING,
            'The node stops before the deadline of the request.',
            self.retry_after_ms(),
        )

    def error(self, kind: errors.ErrorKind) -> errors.RequestError:
        """Return the error of a request that reaches no handler.

        One that is refused because its connection is about to close may return
        at once, as long as the node accepts connections; check() then decides
        by its deadline. After that the next process has to start first.
        """
        if kind is not errors.ErrorKind.STOPPING:
            return errors.RequestError(kind)
        retry_after_ms = (
            _RECONNECT_MS if self.is_accepting else self.retry_after_ms()
        )
        return errors.RequestError(kind, retry_after_ms=retry_after_ms)

    def retry_after_ms(self) -> int:
        """Return the time until the next process; 0 without an end."""
        if math.isinf(self.end):
            return 0
        left_s = max(0.0, self.end - clock.recent())
        return round((left_s + _RESTART_S) * 1000)
