"""Speed of the members of a service, learned from the times of answers.

The times of a route are compared with the average of that route over all
members, so that what a route costs cancels out. The ratio of a member is the
logarithmic average of these comparisons: 1 is average, 2 takes twice as long.
It starts at 1, moves with the number of answers and returns to 1 as they age.
No single time counts as more than MAX_RATIO or less than its inverse, so a
member that reports false times changes little and not for long.

Example: speeds.add_time('n1', 'stock-lookup', 45.0, now)
         ratio = speeds.ratio('n1', now)
"""

import dataclasses
import math
import typing

from godwitstall import messages

# Limits of a ratio. Upstreams of one service differ by up to three times; a
# larger ratio is a fault or a false report.
MAX_RATIO = 4.0
_MAX_LOG_RATIO = math.log(MAX_RATIO)

# Shortest and longest time that is accepted, milliseconds. Below the first,
# the clock is too coarse to compare members; no request runs longer than the
# second.
_MIN_TIME_MS = 0.05
_MAX_TIME_MS = 3_600_000.0

# Largest excess of a reported time over the time that the sender waited for
# the answer, milliseconds. Two clocks that are read once a turn of their event
# loops differ by a few turns.
_CLOCK_SLACK_MS = 50.0

# Number of answers that a new member's ratio of 1 counts as. A single answer
# says little, because requests of one route differ among themselves.
_PRIOR_ANSWERS = 4.0

# Largest number of answers that an average remembers.
_MAX_ANSWERS = 64.0

# Half-life of the answers of a member, seconds. A member that gets few calls
# is tried again after a few of these.
_HALF_LIFE_S = 20.0

# Weight of one answer in the ratio of the last moments, and its half-life,
# seconds. An upstream can pause for part of a second, which must not change
# its ratio for long.
_RECENT_WEIGHT = 0.25
_RECENT_HALF_LIFE_S = 0.3

# Largest number of routes whose average is remembered.
MAX_ROUTES = 4096


@dataclasses.dataclass(slots=True)
class _Average:
    """Moving average of the logarithm of a number."""

    mean: float = 0.0
    # Number of answers in the mean, decayed.
    count: float = 0.0

    def add(self, value: float) -> None:
        """Add a value."""
        self.mean += (value - self.mean) / (self.count + 1)
        self.count = min(self.count + 1, _MAX_ANSWERS)


@dataclasses.dataclass(slots=True)
class _MemberSpeed:
    """Times of one member against the averages of the routes."""

    ratio: _Average = dataclasses.field(default_factory=_Average)
    # Difference of the last moments from the ratio, as a logarithm.
    recent: float = 0.0
    # Time of the last answer, seconds.
    updated_at: float = 0.0


class MemberSpeeds:
    """Speed of each member, as seen by this node."""

    def __init__(self) -> None:
        # Average time by route, least recently added first.
        self._routes: dict[str, _Average] = {}
        self._members: dict[messages.NodeId, _MemberSpeed] = {}

    def add_time(
        self,
        node_id: messages.NodeId,
        route_name: str,
        own_time_ms: float,
        now: float,
    ) -> None:
        """Add the plausible time of an answer."""
        value = math.log(own_time_ms)
        route = self._routes.get(route_name)
        if route is None:
            route = self._routes[route_name] = _Average()
            if len(self._routes) > MAX_ROUTES:
                del self._routes[next(iter(self._routes))]
        difference = value - route.mean if route.count else 0.0
        difference = min(max(difference, -_MAX_LOG_RATIO), _MAX_LOG_RATIO)
        # The limit applies to the route's average as well, but for its first
        # answer, so that false times move it little.
        route.add(route.mean + difference if route.count else value)
        speed = self._members.get(node_id)
        if speed is None:
            speed = self._members[node_id] = _MemberSpeed()
        age = max(now - speed.updated_at, 0.0)
        speed.ratio.count *= 0.5 ** (age / _HALF_LIFE_S)
        recent = speed.recent * 0.5 ** (age / _RECENT_HALF_LIFE_S)
        excess = difference - _shrunk_mean(speed.ratio)
        speed.recent = recent + _RECENT_WEIGHT * (excess - recent)
        speed.ratio.add(difference)
        speed.updated_at = now

    def ratio(self, node_id: messages.NodeId, now: float) -> float:
        """Return the time of a member as a multiple of the average."""
        speed = self._members.get(node_id)
        if speed is None:
            return 1.0
        age = now - speed.updated_at
        if age <= 0:
            return math.exp(_shrunk_mean(speed.ratio) + speed.recent)
        count = speed.ratio.count * 0.5 ** (age / _HALF_LIFE_S)
        value = speed.ratio.mean * count / (count + _PRIOR_ANSWERS)
        if age < 4 * _RECENT_HALF_LIFE_S:
            value += speed.recent * 0.5 ** (age / _RECENT_HALF_LIFE_S)
        return math.exp(min(max(value, -_MAX_LOG_RATIO), _MAX_LOG_RATIO))

    def retain(self, node_ids: typing.Container[messages.NodeId]) -> None:
        """Forget the members that are not in node_ids."""
        for node_id in [n for n in self._members if n not in node_ids]:
            del self._members[node_id]

    def updated_at(self, node_id: messages.NodeId) -> float:
        """Return when a member last answered; minus infinity if never."""
        speed = self._members.get(node_id)
        return -math.inf if speed is None else speed.updated_at

    def dump(self) -> dict[messages.NodeId, dict[str, float]]:
        """Return what is known of each member, for /state."""
        return {
            node_id: {
                'speed_ratio': self.ratio(node_id, speed.updated_at),
                'speed_answers': speed.ratio.count,
                'speed_updated_at': speed.updated_at,
            }
            for node_id, speed in self._members.items()
        }


def is_plausible(own_time_ms: float, waited_ms: float) -> bool:
    """Return whether a reported time can be true.

    waited_ms is the time from the call to its answer. A time that is no
    number, outside the limits or longer than the wait is not plausible.
    """
    return (
        _MIN_TIME_MS <= own_time_ms <= _MAX_TIME_MS
        and own_time_ms <= waited_ms + _CLOCK_SLACK_MS
    )


def _shrunk_mean(average: _Average) -> float:
    return average.mean * average.count / (average.count + _PRIOR_ANSWERS)
