"""Adaptive concurrency limit of one upstream.

The owner node reports each finished request; the limit is set anew after
each window of samples. Three policies exist:

FIXED     the announced slots.
AIMD      one more for each window without drops, a tenth less for each
          window with drops (timeouts, shed or lost requests).
GRADIENT  compares the latency of the window with the lowest latency of the
          last seconds and shrinks when requests queue inside the upstream.

Example: limit = ConcurrencyLimit.from_config(LimitPolicy.GRADIENT, 230)
         limit.on_sample(0.012, in_flight=40, is_dropped=False, now=now)
"""

import math

from godwitstall import settings

# Shortest window, seconds, and fewest samples in it. With 10 samples, the
# noise of the percentile took 8% more of the goodput during a slowdown.
_WINDOW_S = 0.1
_MIN_SAMPLES = {
    settings.LimitPolicy.GRADIENT: 40,
    settings.LimitPolicy.AIMD: 10,
}
# A window ends after this time even with fewer samples, seconds.
_MAX_WINDOW_S = 1.0

# Percentile of a window that stands for its latency. The slow kinds of a mix
# of requests are in the upper part, so that a low one does not see them.
_PERCENTILE = 0.25

# Latency above baseline x tolerance counts as queueing in the upstream.
_TOLERANCE = 1.5

# Share of dropped samples above which GRADIENT shrinks: a few timeouts are
# the caller's short deadline, not an overload.
_DROP_SHARE = 0.1

# Lowest limit as a share of the slots. From one slot alone the limit would
# need seconds to return, and the samples become too few to learn from.
_FLOOR_SHARE = 0.05

# Time for which the lowest latency is remembered, seconds. After a slowdown
# of the service itself this is how long the limit stays too low.
_BASELINE_S = 2.0


class ConcurrencyLimit:
    """Requests that may run at one upstream at once."""

    def __init__(self, policy: settings.LimitPolicy, max_slots: int) -> None:
        # How the limit is found.
        self.policy = policy
        # Upper bound, requests.
        self.max_slots = max(max_slots, 1)
        # Limit in force, requests.
        self.limit = self.max_slots
        self._value = float(self.max_slots)
        self._latencies: list[float] = []
        self._dropped = 0
        self._peak = 0
        self._started_at = -math.inf
        # Lowest window latency of the current and the former period, seconds.
        self._lowest = math.inf
        self._lowest_before = math.inf
        self._period_at = -math.inf

    @classmethod
    def from_config(
        cls, policy: settings.LimitPolicy, max_slots: int
    ) -> 'ConcurrencyLimit':
        """Return a limit that starts at max_slots."""
        return cls(policy, max_slots)

    def set_max_slots(self, max_slots: int) -> None:
        """Change the upper bound; a limit that stood at it stays there."""
        max_slots = max(max_slots, 1)
        was_at_bound = self.limit >= self.max_slots
        self.max_slots = max_slots
        self._set(max_slots if was_at_bound else self._value)

    def on_sample(
        self, latency_s: float, in_flight: int, is_dropped: bool, now: float
    ) -> None:
        """Count one finished request.

        latency_s is the time at the upstream, in_flight the number of
        requests there when this one ended, itself included; is_dropped means
        that it timed out, was shed or was lost.
        """
        if self.policy is settings.LimitPolicy.FIXED:
            return
        if not self._latencies and not self._dropped:
            self._started_at = now
        if is_dropped:
            self._dropped += 1
        else:
            self._latencies.append(latency_s)
        self._peak = max(self._peak, in_flight)
        age = now - self._started_at
        count = len(self._latencies) + self._dropped
        if age >= _MAX_WINDOW_S or (
            age >= _WINDOW_S and count >= _MIN_SAMPLES[self.policy]
        ):
            self._end_window(now)

    def _end_window(self, now: float) -> None:
        is_busy = self._peak >= self.limit * 0.8
        match self.policy:
            case settings.LimitPolicy.AIMD:
                self._end_aimd_window(is_busy)
            case settings.LimitPolicy.GRADIENT:
                self._end_gradient_window(is_busy, now)
            case settings.LimitPolicy.FIXED:
                pass
        self._latencies.clear()
        self._dropped = 0
        self._peak = 0

    def _end_aimd_window(self, is_busy: bool) -> None:
        if self._dropped:
            self._set(self._value * 0.9)
        elif is_busy:
            self._set(self._value + 1)

    def _end_gradient_window(self, is_busy: bool, now: float) -> None:
        count = len(self._latencies) + self._dropped
        if self._dropped > count * _DROP_SHARE:
            self._set(self._value * 0.9)
            return
        if not self._latencies:
            return
        self._latencies.sort()
        latency = self._latencies[int(len(self._latencies) * _PERCENTILE)]
        if now - self._period_at >= _BASELINE_S:
            self._lowest_before = self._lowest
            self._lowest = math.inf
            self._period_at = now
        self._lowest = min(self._lowest, latency)
        baseline = min(self._lowest, self._lowest_before)
        gradient = baseline * _TOLERANCE / max(latency, 1e-9)
        if gradient < 1:
            self._set(self._value * max(gradient, 0.8))
        elif is_busy:
            self._set(self._value + math.sqrt(self._value))

    def _set(self, value: float) -> None:
        floor = max(1.0, self.max_slots * _FLOOR_SHARE)
        self._value = min(max(value, floor), float(self.max_slots))
        self.limit = max(int(self._value), 1)
