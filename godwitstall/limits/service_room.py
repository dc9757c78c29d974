"""Room that one upstream has for requests, by level.

The level of a request follows from the rank of its workspace and the priority
of its chain; lower levels are admitted first. The owner of the upstream adds
up the slots that each level would occupy if no chain had been refused: a call
counts with the reciprocal of the share of chains that the first node admitted
at that time. The room is then divided in the order of the levels. The result
is a mark: levels below its whole part are admitted whole, and the level of the
whole part by the fraction.

Because refused chains are part of the demand, the mark does not depend on
earlier marks. Late or lost marks therefore delay it, but cause no oscillation.

Example:
    meter.on_arrival('lookup', level=2, admitted_share=0.5, now=now)
    meter.on_end('lookup', held_s=0.02)
    mark = meter.mark(capacity=12, now=now)
"""

import math

from godwitstall.limits import fair_queue
from godwitstall import messages

# Number of levels; as a mark it means that every level is admitted whole.
LEVEL_COUNT = fair_queue.ORDER_COUNT * len(messages.Priority)

# Share of each level that is always admitted, so that the demand of a refused
# level is still measured and its recovery is detected.
MIN_SHARE = 0.1

# Smallest admitted share with which a call is counted. It bounds the weight of
# one call whose share is unknown or wrong.
_MIN_COUNTED_SHARE = 0.05

# Share of the slots that is filled. Arrivals are random, so that calls wait
# for most of their deadline when the demand equals the slots.
_FILLED_SHARE = 0.95

# Part of a call that was refused for lack of slots which stays in the demand.
# The sender tries another owner, which counts the call again.
_REFUSED_PART = 0.5

# Runs that are assumed to have been accepted, so that a few rejections by the
# upstream do not count as a lack of room.
_ASSUMED_RUNS = 5.0

# Time constant of the exponential decay of the demand, seconds.
_DECAY_TIME_S = 1.0

# Weight of one request in the moving average of the hold time of a slot.
_HOLD_TIME_WEIGHT = 0.05

# Largest number of routes whose hold time is kept.
_MAX_ROUTES = 1024


def level_of(order: int, priority: messages.Priority) -> int:
    """Return the level of a chain from workspace rank and priority."""
    order = min(max(order, 0), fair_queue.ORDER_COUNT - 1)
    return order * len(messages.Priority) + priority.value


def fractions(mark: float) -> list[float]:
    """Return the part of each level that a mark admits beyond MIN_SHARE."""
    return [min(max(mark - level, 0.0), 1.0) for level in range(LEVEL_COUNT)]


def share_of_fraction(fraction: float) -> float:
    """Return the admitted share of a level, MIN_SHARE to 1."""
    return MIN_SHARE + (1 - MIN_SHARE) * fraction


class RoomMeter:
    """Demand for the slots of one upstream, by level."""

    def __init__(self) -> None:
        # Slots that each level would occupy, times the decay time.
        self.demand = [0.0] * LEVEL_COUNT
        # Moving average of the time that a request holds a slot, by route,
        # seconds.
        self.mean_held_s: dict[str, float] = {}
        # Runs that the upstream accepted, and that it rejected or lost, with
        # exponential decay.
        self.accepted = 0.0
        self.rejected = 0.0
        # Time up to which the demand has decayed, seconds.
        self.decayed_at = 0.0

    def on_arrival(
        self, route: str, level: int, admitted_share: float, now: float
    ) -> None:
        """Count a call that needs a slot."""
        self._decay(now)
        weight = 1 / min(max(admitted_share, _MIN_COUNTED_SHARE), 1.0)
        self.demand[level] += weight * self.mean_held_s.get(route, 0.0)

    def on_refused(
        self, route: str, level: int, admitted_share: float
    ) -> None:
        """Take back a part of a call that got no slot."""
        weight = 1 / min(max(admitted_share, _MIN_COUNTED_SHARE), 1.0)
        demand = weight * self.mean_held_s.get(route, 0.0)
        self.demand[level] = max(
            self.demand[level] - (1 - _REFUSED_PART) * demand, 0.0
        )

    def on_run(self, is_accepted: bool, now: float) -> None:
        """Count whether the upstream accepted a request.

        An upstream that rejects a part of its requests has that much less
        room, whatever number of slots it announces.
        """
        self._decay(now)
        if is_accepted:
            self.accepted += 1
        else:
            self.rejected += 1

    def accepted_share(self) -> float:
        """Return the share of the last runs that the upstream accepted."""
        accepted = self.accepted + _ASSUMED_RUNS
        return accepted / (accepted + self.rejected)

    def on_end(self, route: str, held_s: float) -> None:
        """Record that a request released its slot after held_s seconds."""
        mean = self.mean_held_s.get(route)
        if mean is None:
            if len(self.mean_held_s) >= _MAX_ROUTES:
                self.mean_held_s.clear()
            mean = held_s
        self.mean_held_s[route] = mean + _HOLD_TIME_WEIGHT * (held_s - mean)

    def mark(self, capacity: float, now: float) -> float:
        """Return the mark for an upstream with capacity slots.

        MIN_SHARE of every level is set aside first. The rest of the room is
        divided in the order of the levels.
        """
        self._decay(now)
        room = capacity * _FILLED_SHARE * _DECAY_TIME_S
        room *= self.accepted_share()
        room -= MIN_SHARE * sum(self.demand)
        for level, demand in enumerate(self.demand):
            wanted = (1 - MIN_SHARE) * demand
            if wanted > room:
                return level + max(room, 0.0) / wanted
            room -= wanted
        return float(LEVEL_COUNT)

    def _decay(self, now: float) -> None:
        elapsed_s = max(now - self.decayed_at, 0.0)
        if not elapsed_s:
            return
        factor = math.exp(-elapsed_s / _DECAY_TIME_S)
        self.demand = [demand * factor for demand in self.demand]
        self.accepted *= factor
        self.rejected *= factor
        self.decayed_at = now

    def dump(self) -> dict[str, float]:
        """Return the demand in slots by level, for /state."""
        return {
            str(level): round(demand / _DECAY_TIME_S, 2)
            for level, demand in enumerate(self.demand)
            if demand >= _DECAY_TIME_S / 100
        }
