"""Applies the limit of a cold upstream at its node.

The limit comes from the configuration of the service, and the state from the
announcements and health answers of the upstream. The node that owns an
upstream sends all of its requests, so that it alone enforces the limit.

Example: limit.on_announcement(2500, now); limit.check_write()
"""

import collections.abc
import random

from godwitstall import clock
from godwitstall import decisions
from godwitstall import errors
from godwitstall.limits import cold_rate
from godwitstall import messages
from godwitstall import metrics
from godwitstall import settings

_COLD_SECONDS = metrics.gauge(
    'upstream_cold_seconds',
    'Time for which the upstream stays cold; 0 if it is warm.',
)
_WRITTEN = metrics.gauge(
    'upstream_cold_requests_in_last_second',
    'Requests sent to the upstream in the last second while it was cold.',
)
_REFUSED = metrics.counter(
    'cold_refused_total', 'Requests refused because the upstream is cold.'
)
_DOUBTS = metrics.counter(
    'upstream_cold_doubts_total',
    'Signs by reason after which the upstream may have become cold.',
)

# Longest time for which an announcement is underway, seconds. Its sender gives
# it up after that.
_MAX_ANNOUNCEMENT_DELAY_S = 1.0

# Largest additional wait of a refused request, relative to the wait to its
# turn. It spreads the requests that return at the end of the cold
# time.
_RETRY_JITTER = 0.25
_MIN_RETRY_AFTER_S = 0.05


class ColdLimit:
    """The limit of the node's own upstream."""

    def __init__(
        self,
        options: settings.NodeOptions,
        describe: collections.abc.Callable[[], dict[str, object]],
    ) -> None:
        # Returns the fields that name the upstream in log lines.
        self.describe = describe
        self.rate = cold_rate.ColdRate(
            options.cold_overrun, options.cold_tolerance, clock.now()
        )
        self.random = random.Random()

    def set_rule(self, rule: messages.ServiceRule | None) -> None:
        """Apply the rule of the service; None if it has none."""
        per_s = rule.cold_per_s if rule else 0.0
        cold_start_s = rule.cold_start_ms / 1000 if rule else 0.0
        self.rate.set_limit(per_s, cold_start_s)

    def on_start(self, cold_ms: int, now: float) -> None:
        """Process the first announcement of an upstream process."""
        self.rate.on_start()
        self._report(cold_ms, now, now)

    def on_announcement(self, cold_ms: int, now: float) -> None:
        """Process a further announcement of the upstream process."""
        self._report(cold_ms, now - _MAX_ANNOUNCEMENT_DELAY_S, now)

    def on_health_answer(self, cold_ms: int, asked_at: float) -> None:
        """Process a health answer to a probe that was sent at asked_at."""
        self._report(cold_ms, asked_at, clock.recent())

    def _report(self, cold_ms: int, reported_at: float, now: float) -> None:
        was_cold = self.rate.is_cold(now)
        self.rate.on_report(cold_ms / 1000, reported_at, now)
        if not self.rate.is_limited():
            return
        _COLD_SECONDS.set(self.rate.remaining_s(now))
        if self.rate.is_cold(now) and (cold_ms or not was_cold):
            decisions.write(
                'upstream',
                'cold',
                **self.describe(),
                cold_ms=cold_ms,
                rate_limit=self.rate.rate_per_s(),
            )

    def on_doubt(self, reason: str, now: float) -> None:
        """Treat the upstream as cold until a newer report."""
        if not self.rate.is_limited():
            return
        _DOUBTS.inc(reason=reason)
        if not self.rate.is_unknown:
            decisions.write(
                'upstream',
                'cold_unknown',
                **self.describe(),
                reason=reason,
                reported_ago_ms=self._report_age_ms(now),
            )
        self.rate.on_doubt(now)

    def needs_report(self) -> bool:
        """Return whether a probe would show what the node does not know."""
        return self.rate.is_limited() and self.rate.is_unknown

    def check_write(self) -> None:
        """Count a request that is about to be written to the upstream.

        Errors: RequestError of kind OVERLOADED if it would exceed the limit.
        """
        if not self.rate.is_limited():
            return
        # The cached time would count a request earlier than it is written.
        now = clock.now()
        if not self.rate.may_write(now):
            raise errors.RequestError(
                errors.ErrorKind.OVERLOADED,
                'The upstream is cold.',
                retry_after_ms=self.refuse(b'', '', now),
            )
        self.rate.on_write(now)
        if self.rate.is_cold(now):
            _WRITTEN.set(self.rate.written_in_window(now))

    def refuse(self, request_id: bytes, workspace: str, now: float) -> int:
        """Record a refused request; return its retry time, milliseconds."""
        wait_s = self.rate.next_turn_s(now)
        wait_s *= 1 + _RETRY_JITTER * self.random.random()
        retry_after_ms = round(max(_MIN_RETRY_AFTER_S, wait_s) * 1000)
        _REFUSED.inc()
        decisions.write(
            'owner',
            'cold_refused',
            **self.describe(),
            request=request_id.decode('latin-1'),
            workspace=workspace,
            cold_ms=round(self.rate.remaining_s(now) * 1000),
            is_known=not self.rate.is_unknown,
            reported_ago_ms=self._report_age_ms(now),
            rate_limit=self.rate.rate_per_s(),
            sent=self.rate.written_in_window(now),
            window_s=cold_rate.WINDOW_S,
            retry_after_ms=retry_after_ms,
        )
        return retry_after_ms

    def _report_age_ms(self, now: float) -> int | None:
        age_s = now - self.rate.reported_at
        return round(age_s * 1000) if age_s < float('inf') else None

    def dump(self) -> dict[str, object]:
        """Return the state for the admin listener."""
        now = clock.now()
        return {
            'is_limited': self.rate.is_limited(),
            'is_cold': self.rate.is_cold(now),
            'is_unknown': self.rate.is_unknown,
            'cold_ms': round(self.rate.remaining_s(now) * 1000),
            'sent_in_last_second': self.rate.written_in_window(now),
        }
