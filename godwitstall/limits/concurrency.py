"""Adaptive concurrency limit of one upstream.

The owner node reports each finished request; the limit is updated at the end
of each window of samples. There are three policies:

FIXED     the announced slots.
AIMD      adds one after each window without drops and subtracts a tenth
          after each window with drops (timeouts, shed or lost requests).
GRADIENT  compares the latency of the window with the lowest latency of the
          last seconds and lowers the limit when requests queue inside the
          upstream.

AIMD and GRADIENT raise the limit only after a window in which the requests in
flight nearly reached it.

Example: limit = ConcurrencyLimit.from_config(LimitPolicy.GRADIENT, 230)
         limit.on_sample(0.012, in_flight=40, is_dropped=False, now=now)
"""

import math

from godwitstall import settings

# Shortest window, seconds, and fewest samples in a window. With 10 samples,
# GRADIENT lost 8% more goodput during a slowdown to the noise of the quantile.
_MIN_WINDOW_S = 0.1
_MIN_SAMPLES = {
    settings.LimitPolicy.GRADIENT: 40,
    settings.LimitPolicy.AIMD: 10,
}
# Length after which a window ends even with fewer samples, seconds.
_MAX_WINDOW_S = 1.0

# Quantile of the latencies that represents a window. The slow request types of
# a mix are in the upper part, so a low quantile excludes them.
_LATENCY_QUANTILE = 0.25

# Latency above this multiple of the baseline indicates queueing in the
# upstream.
_LATENCY_TOLERANCE = 1.5

# Share of dropped samples above which GRADIENT lowers the limit. A few
# timeouts are due to short deadlines of callers and not to overload.
_MAX_DROPPED_SHARE = 0.1

# Lowest limit as a share of the slots. From a single slot the limit would take
# seconds to recover, with too few samples to adapt to.
_MIN_LIMIT_SHARE = 0.05

# Time for which the lowest latency is retained, seconds. After a slowdown of
# the service itself, the limit stays too low for this long.
_BASELINE_PERIOD_S = 2.0


class ConcurrencyLimit:
    """Number of requests that may run concurrently at one upstream."""

    def __init__(self, policy: settings.LimitPolicy, max_slots: int) -> None:
        # Policy that adjusts the limit.
        self.policy = policy
        # Upper bound, requests.
        self.max_slots = max(max_slots, 1)
        # Limit in force, requests.
        self.limit = self.max_slots
        self._exact_limit = float(self.max_slots)
        self._latencies: list[float] = []
        self._dropped = 0
        self._peak_in_flight = 0
        self._window_started_at = -math.inf
        # Lowest window latency of the current and the previous period,
        # seconds.
        self._min_latency = math.inf
        self._previous_min_latency = math.inf
        self._period_started_at = -math.inf

    @classmethod
    def from_config(
        cls, policy: settings.LimitPolicy, max_slots: int
    ) -> 'ConcurrencyLimit':
        """Return a limit that starts at max_slots."""
        return cls(policy, max_slots)

    def set_max_slots(self, max_slots: int) -> None:
        """Change the upper bound; a limit at the old bound follows it."""
        max_slots = max(max_slots, 1)
        was_at_bound = self.limit >= self.max_slots
        self.max_slots = max_slots
        self._set_limit(max_slots if was_at_bound else self._exact_limit)

    def on_sample(
        self, latency_s: float, in_flight: int, is_dropped: bool, now: float
    ) -> None:
        """Add the sample of one finished request.

        latency_s is the time at the upstream, in_flight the number of requests
        there when this one ended, including it. is_dropped means that the
        request timed out, was shed or was lost.
        """
        if self.policy is settings.LimitPolicy.FIXED:
            return
        if not self._latencies and not self._dropped:
            self._window_started_at = now
        if is_dropped:
            self._dropped += 1
        else:
            self._latencies.append(latency_s)
        self._peak_in_flight = max(self._peak_in_flight, in_flight)
        elapsed_s = now - self._window_started_at
        count = len(self._latencies) + self._dropped
        if elapsed_s >= _MAX_WINDOW_S or (
            elapsed_s >= _MIN_WINDOW_S and count >= _MIN_SAMPLES[self.policy]
        ):
            self._end_window(now)

    def _end_window(self, now: float) -> None:
        is_near_limit = self._peak_in_flight >= self.limit * 0.8
        match self.policy:
            case settings.LimitPolicy.AIMD:
                self._end_aimd_window(is_near_limit)
            case settings.LimitPolicy.GRADIENT:
                self._end_gradient_window(is_near_limit, now)
            case settings.LimitPolicy.FIXED:
                pass
        self._latencies.clear()
        self._dropped = 0
        self._peak_in_flight = 0

    def _end_aimd_window(self, is_near_limit: bool) -> None:
        if self._dropped:
            self._set_limit(self._exact_limit * 0.9)
        elif is_near_limit:
            self._set_limit(self._exact_limit + 1)

    def _end_gradient_window(self, is_near_limit: bool, now: float) -> None:
        count = len(self._latencies) + self._dropped
        if self._dropped > count * _MAX_DROPPED_SHARE:
            self._set_limit(self._exact_limit * 0.9)
            return
        if not self._latencies:
            return
        self._latencies.sort()
        latency = self._latencies[
            int(len(self._latencies) * _LATENCY_QUANTILE)
        ]
        if now - self._period_started_at >= _BASELINE_PERIOD_S:
            self._previous_min_latency = self._min_latency
            self._min_latency = math.inf
            self._period_started_at = now
        self._min_latency = min(self._min_latency, latency)
        baseline = min(self._min_latency, self._previous_min_latency)
        gradient = baseline * _LATENCY_TOLERANCE / max(latency, 1e-9)
        if gradient < 1:
            self._set_limit(self._exact_limit * max(gradient, 0.8))
        elif is_near_limit:
            self._set_limit(self._exact_limit + math.sqrt(self._exact_limit))

    def _set_limit(self, value: float) -> None:
        floor = max(1.0, self.max_slots * _MIN_LIMIT_SHARE)
        self._exact_limit = min(max(value, floor), float(self.max_slots))
        self.limit = max(int(self._exact_limit), 1)
