"""Limit on the rate of a log line that peers can cause.

Example:
    if _bad_requests.allows():
        _LOG.info('Bad request: %s.%s', e, _bad_requests.suffix())
"""

from godwitstall import clock

# Shortest time between two lines, seconds.
_INTERVAL_S = 1.0


class LogLimit:
    """Allows one line in each interval, and counts those left out."""

    def __init__(self, interval_s: float = _INTERVAL_S) -> None:
        self.interval_s = interval_s
        # Time from which the next line is allowed, seconds.
        self.next_at = 0.0
        # Lines left out since the last one that was allowed.
        self.omitted = 0
        # The same before that line.
        self.omitted_before = 0

    def allows(self) -> bool:
        """Return whether to write a line now; count it otherwise."""
        now = clock.recent()
        if now < self.next_at:
            self.omitted += 1
            return False
        self.next_at = now + self.interval_s
        self.omitted_before, self.omitted = self.omitted, 0
        return True

    def suffix(self) -> str:
        """Return the end of an allowed line, which counts those left out."""
        if not self.omitted_before:
            return ''
        return f' ({self.omitted_before} similar lines left out)'
