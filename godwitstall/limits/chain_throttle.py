"""Admission of new chains whose onward calls fail.

When a deep service is overloaded, a request that begins here runs, makes its
onward calls, and fails with the first one that is not served. That work is
lost, and it takes room from chains that could end well. The owner of the
first service sees how many of the chains that it let begin ended without a
failed onward call, and lets only somewhat more begin than that. Chains of the
highest priority are not held back: what the others leave is theirs.

When the failures that were usual stay out for a while, the cause is gone, and
the share that may begin doubles again and again. Without this rule the chains
that end well would have to grow by the surplus alone, which takes seconds.

Example: throttle.admits('lookup', point=0.3, now=now)
"""

import dataclasses
import math

# Chains that may begin for each one that ends well: while many fail, and when
# all that begin end well. The surplus finds out when there is room again.
_SURPLUS = 1.1
_FULL_SURPLUS = 2.0

# Share of chains that end well from which the surplus grows.
_FEW_FAIL = 0.8

# Share of the chains that may always begin, so that a service that served
# nothing is found out to work again.
_MIN_SHARE = 0.15

# Time constant with which chains are forgotten, seconds.
_MEMORY_S = 1.5

# Chains without which nothing is known, in the time above.
_MIN_CHAINS = 8.0

# Failures that would have come since the last one at the usual rate; when so
# many stay out, chance is ruled out.
_SURE_FAILURES = 4.0

# Shortest time without a failure that says something, and time in which the
# share then doubles, seconds.
_MIN_QUIET_S = 0.5
_DOUBLING_S = 0.8
_MAX_DOUBLINGS = 10.0


@dataclasses.dataclass(slots=True)
class _Counts:
    """Chains of one route; both decay with time."""

    # Chains that asked to begin.
    asked: float = 0.0
    # Chains that ended without a failed onward call, and the others.
    ended_well: float = 0.0
    ended_badly: float = 0.0
    # Time of the last failure, seconds, and failures per second then.
    failed_at: float = 0.0
    failure_rate: float = 0.0
    # Chains that ended well since then.
    well_since: int = 0
    # Time up to which they have decayed, seconds.
    at: float = 0.0

    def decay(self, now: float) -> None:
        """Forget what is long past."""
        share = math.exp(-max(now - self.at, 0.0) / _MEMORY_S)
        self.asked *= share
        self.ended_well *= share
        self.ended_badly *= share
        self.at = now

    def fail(self, now: float) -> None:
        """Count a chain that ended badly."""
        self.ended_badly += 1
        self.failed_at = now
        self.well_since = 0
        self.failure_rate = self.ended_badly / _MEMORY_S

    def growth(self, now: float) -> float:
        """Return the factor by which the end of the failures raises shares.

        Silence alone says nothing: chains can take seconds to fail.
        """
        if self.well_since < _SURE_FAILURES:
            return 1.0
        quiet_s = max(_SURE_FAILURES / self.failure_rate, _MIN_QUIET_S)
        doublings = (now - self.failed_at - quiet_s) / _DOUBLING_S
        return float(2.0 ** min(max(doublings, 0.0), _MAX_DOUBLINGS))


def _surplus(counts: _Counts) -> float:
    ended = counts.ended_well + counts.ended_badly
    well = counts.ended_well / ended
    growth = max(well - _FEW_FAIL, 0.0) / (1 - _FEW_FAIL)
    return _SURPLUS + growth * (_FULL_SURPLUS - _SURPLUS)


class ChainThrottle:
    """Counts of all routes at one owner."""

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def admits(self, route: str, point: float, now: float) -> bool:
        """Return whether a chain may begin; point is from 0 up to 1."""
        counts = self._decayed(route, now)
        counts.asked += 1
        if counts.asked < _MIN_CHAINS or counts.ended_badly < 1:
            return True
        share = _surplus(counts) * counts.ended_well / counts.asked
        return point < max(share, _MIN_SHARE) * counts.growth(now)

    def on_end(self, route: str, is_well: bool, now: float) -> None:
        """Count a chain that was let begin and has ended."""
        counts = self._decayed(route, now)
        if is_well:
            counts.ended_well += 1
            counts.well_since += 1
        else:
            counts.fail(now)

    def _decayed(self, route: str, now: float) -> _Counts:
        counts = self._counts.get(route)
        if counts is None:
            counts = self._counts[route] = _Counts(at=now)
        counts.decay(now)
        return counts
