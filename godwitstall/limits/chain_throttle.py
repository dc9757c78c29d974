"""Throttling of new chains whose onward calls are likely to fail.

When a service deep in the call graph is overloaded, a request that starts a
chain runs, makes its onward calls, and fails with the first call that is
rejected. Its work is lost and takes capacity from chains that could succeed.
The owner of the first service therefore tracks how many of the chains that it
admitted ended without a failed onward call, and admits only slightly more than
that. Chains of the highest priority are neither throttled nor counted, and use
the capacity that the throttled chains leave.

When no failure has occurred for several times the usual interval between
failures, the cause is assumed to be gone, and the admitted share doubles
repeatedly. Without this rule, the share would grow only by the admit ratio,
which takes seconds.

Example: throttle.admits('lookup', draw=0.3, now=now)
"""

import dataclasses
import math

# Chains admitted per chain that succeeds: while many chains fail, and when all
# admitted chains succeed. Both are above 1, so that the throttle detects
# recovered capacity.
_MIN_ADMIT_RATIO = 1.1
_MAX_ADMIT_RATIO = 2.0

# Success rate above which the admit ratio grows.
_HIGH_SUCCESS_RATE = 0.8

# Share of the chains that is always admitted, so that the recovery of a
# service that failed every call is detected.
_MIN_ADMITTED_SHARE = 0.15

# Time constant of the exponential decay of the counts, seconds.
_DECAY_TIME_S = 1.5

# Fewest arrivals within the decay time for which the throttle acts.
_MIN_ARRIVALS = 8.0

# Failures that the usual rate predicts since the last one. When this many are
# missing, chance is ruled out as the reason. As many chains must have
# succeeded since then.
_MISSING_FAILURES = 4.0

# Shortest time without a failure that indicates recovery, and time in which
# the admitted share doubles after it, seconds.
_MIN_QUIET_S = 0.5
_DOUBLING_TIME_S = 0.8
_MAX_DOUBLINGS = 10.0


@dataclasses.dataclass(slots=True)
class _RouteStats:
    """Chains of one route; the counts decay exponentially."""

    # Chains that requested admission.
    arrivals: float = 0.0
    # Admitted chains that ended without and with a failed onward call.
    succeeded: float = 0.0
    failed: float = 0.0
    # Time of the last failure, seconds, and failures per second at that time.
    last_failure_at: float = 0.0
    failure_rate: float = 0.0
    # Chains that succeeded since the last failure; does not decay.
    succeeded_since_failure: int = 0
    # Time up to which the counts have decayed, seconds.
    decayed_at: float = 0.0

    def decay(self, now: float) -> None:
        """Decay the counts up to now."""
        factor = math.exp(-max(now - self.decayed_at, 0.0) / _DECAY_TIME_S)
        self.arrivals *= factor
        self.succeeded *= factor
        self.failed *= factor
        self.decayed_at = now

    def record_failure(self, now: float) -> None:
        """Count a chain that failed."""
        self.failed += 1
        self.last_failure_at = now
        self.succeeded_since_failure = 0
        self.failure_rate = self.failed / _DECAY_TIME_S

    def recovery_factor(self, now: float) -> float:
        """Return the factor that raises the admitted share after failures.

        A pause without completed chains is no evidence of recovery, because
        chains can take seconds to fail.
        """
        if self.succeeded_since_failure < _MISSING_FAILURES:
            return 1.0
        quiet_s = max(_MISSING_FAILURES / self.failure_rate, _MIN_QUIET_S)
        doublings = (now - self.last_failure_at - quiet_s) / _DOUBLING_TIME_S
        return float(2.0 ** min(max(doublings, 0.0), _MAX_DOUBLINGS))


def _admit_ratio(stats: _RouteStats) -> float:
    completed = stats.succeeded + stats.failed
    success_rate = stats.succeeded / completed
    progress = max(success_rate - _HIGH_SUCCESS_RATE, 0.0) / (
        1 - _HIGH_SUCCESS_RATE
    )
    return _MIN_ADMIT_RATIO + progress * (_MAX_ADMIT_RATIO - _MIN_ADMIT_RATIO)


class ChainThrottle:
    """Admits or rejects new chains by the success rate of their route."""

    def __init__(self) -> None:
        self._stats: dict[str, _RouteStats] = {}

    def admits(self, route: str, draw: float, now: float) -> bool:
        """Return whether to admit a chain, and count the request.

        draw is a uniform random number from 0 up to 1.
        """
        stats = self._decayed_stats(route, now)
        stats.arrivals += 1
        if stats.arrivals < _MIN_ARRIVALS or stats.failed < 1:
            return True
        share = _admit_ratio(stats) * stats.succeeded / stats.arrivals
        return draw < max(share, _MIN_ADMITTED_SHARE) * stats.recovery_factor(
            now
        )

    def on_end(self, route: str, is_successful: bool, now: float) -> None:
        """Count an admitted chain that has ended."""
        stats = self._decayed_stats(route, now)
        if is_successful:
            stats.succeeded += 1
            stats.succeeded_since_failure += 1
        else:
            stats.record_failure(now)

    def _decayed_stats(self, route: str, now: float) -> _RouteStats:
        stats = self._stats.get(route)
        if stats is None:
            stats = self._stats[route] = _RouteStats(decayed_at=now)
        stats.decay(now)
        return stats
