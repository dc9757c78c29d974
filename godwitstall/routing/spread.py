"""Spread of the work that this node sends over the members of a service.

The work of a member is the time that its upstream spent on calls of this node,
for each of its slots. The spread is the work of the busiest member as a
multiple of the mean over the members that this node has used: 1 is even.

Example: spread.add('depotboard', 'n1', own_time_ms=40.0, slots=12, now=now)
"""

import collections

from godwitstall import messages
from godwitstall import metrics

_SPREAD = metrics.gauge(
    'member_spread',
    'Busiest member used by this node against the mean, by service.',
)

# Length of the periods that are compared, seconds. In a shorter one, chance
# alone would make some member the busiest.
PERIOD_S = 10.0


class Spread:
    """Work sent to each member in the current period, by service."""

    def __init__(self) -> None:
        # Spread of each service in the last period with calls.
        self.last: dict[messages.ServiceName, float] = {}
        self._work: dict[
            messages.ServiceName, collections.Counter[messages.NodeId]
        ] = {}
        self._started_at = float('-inf')

    def add(
        self,
        service: messages.ServiceName,
        node_id: messages.NodeId,
        own_time_ms: float,
        slots: int,
        now: float,
    ) -> None:
        """Add the time that the upstream of a member spent on a call."""
        if now - self._started_at >= PERIOD_S:
            self._end_period(now)
        work = self._work.get(service)
        if work is None:
            work = self._work[service] = collections.Counter()
        # The counter holds whole units, microseconds of one slot.
        work[node_id] += int(own_time_ms * 1000 / max(slots, 1))

    def _end_period(self, now: float) -> None:
        for service, work in self._work.items():
            total = work.total()
            if not total:
                continue
            spread = max(work.values()) * len(work) / total
            self.last[service] = spread
            _SPREAD.set(round(spread, 3), service=service)
        self._work.clear()
        self._started_at = now
