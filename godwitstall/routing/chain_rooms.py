"""What a node knows about the room of services, and of the routes to them.

Answers carry the marks of the service that answered and of those below it.
This module keeps the newest marks, the services that each route needs, and
decides whether the first node of a chain begins it. It asks no other node.

A mark loses its effect with its age: from STALE_S on the admitted share rises,
and after another RECOVERY_S everything is admitted. So a lost report delays a
recovery and never prevents it.

Example:
    rooms.on_answer('lookup', 'stock', answer.rooms, now)
    decision = rooms.decide('lookup', 'stock', level=2, now=now)
"""

import dataclasses
import math

from godwitstall.limits import service_room
from godwitstall import logs
from godwitstall import messages
from godwitstall import metrics

_LOG = logs.get('chain_rooms')
_REJECTED_MARKS = metrics.counter(
    'room_marks_rejected_total', 'Marks of services that were not usable.'
)

# Age of a mark from which the admitted share rises, and time in which it then
# reaches everything, seconds. Chains take up to a few seconds, and marks of
# deep services come back with their calls.
STALE_S = 2.0
RECOVERY_S = 3.0

# Oldest mark that is accepted, milliseconds.
_MAX_AGE_MS = int((STALE_S + RECOVERY_S) * 1000)

# Largest accepted number of calls of one request to a service.
_MAX_FAN_OUT = 1000.0

# Bounds of the state, in services and in routes.
_MAX_SERVICES = 256
_MAX_ROUTES = 4096

# Time constant with which a service's marks are averaged over its owners,
# seconds, and smallest weight of one mark.
_AVERAGE_TIME_S = 0.4
_MIN_MARK_WEIGHT = 0.1

# Part of a level from which on it counts as admitted whole. An average only
# approaches 1.
_WHOLE_FRACTION = 0.98

# Weight of one request in the moving average of its onward calls.
_FAN_OUT_WEIGHT = 0.05

# Interval between log lines about marks that are not usable, seconds.
_LOG_INTERVAL_S = 10.0

# A route to a service by which it is called.
Leg = tuple[str, messages.ServiceName]


@dataclasses.dataclass(slots=True)
class _Mark:
    """Room of one service, averaged over its owners.

    The share of each level is averaged and not the mark itself, because the
    mark of a single owner with room for every level would outweigh the rest.
    """

    # Part of each level that is admitted, 0 to 1.
    fractions: list[float]
    # Time of the newest measurement in it, seconds.
    measured_at: float
    # Number of marks that were taken in; 'version' in log lines.
    version: int = 1

    @property
    def level(self) -> float:
        """Level up to which requests are admitted, as owners report it."""
        for level, fraction in enumerate(self.fractions):
            if fraction < _WHOLE_FRACTION:
                return level + fraction
        return float(service_room.LEVEL_COUNT)


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """Share of the chains of a route that may begin, and why."""

    # Share of the chains that is admitted, 0 to 1.
    share: float = 1.0
    # Service that decides; empty if every service has room.
    service: str = ''
    # Mark of that service, its age and version.
    level: float = float(service_room.LEVEL_COUNT)
    age_ms: int = 0
    version: int = 0
    # Calls that one request makes to that service.
    fan_out: float = 0.0


class ChainRooms:
    """Marks of services, and onward calls of routes, at one node."""

    def __init__(self) -> None:
        self.marks: dict[str, _Mark] = {}
        # Calls to services below by one request, as owners have reported.
        self.reported: dict[Leg, dict[str, float]] = {}
        # Onward calls of one request of a route, as the own upstream makes
        # them.
        self.direct: dict[str, dict[Leg, float]] = {}
        self.logged_at = -_LOG_INTERVAL_S

    def on_answer(
        self,
        route: str,
        service: messages.ServiceName,
        rooms: list[messages.ServiceRoom],
        now: float,
    ) -> None:
        """Store the marks of an answer to a call of a route to a service."""
        for room in rooms:
            if not _is_usable(room):
                self._reject(room, now)
                continue
            self._store_mark(room, now)
            if room.service != service:
                self._store_fan_out((route, service), room)

    def on_request_end(
        self, route: str, calls: dict[Leg, int], is_success: bool
    ) -> None:
        """Learn the onward calls of a request that has ended.

        A chain that failed made only some of its calls. They count as long as
        none of its route has succeeded, so that a service which fails every
        chain from the start is known to be needed.
        """
        direct = self.direct.get(route)
        if not is_success and direct is not None:
            return
        if direct is None:
            if len(self.direct) >= _MAX_ROUTES:
                self.direct.clear()
            self.direct[route] = {leg: float(n) for leg, n in calls.items()}
            return
        for leg in direct.keys() | calls.keys():
            mean = direct.get(leg, 0.0)
            direct[leg] = mean + _FAN_OUT_WEIGHT * (calls.get(leg, 0) - mean)

    def rooms_below(
        self, route: str, now: float
    ) -> list[messages.ServiceRoom]:
        """Return the marks that the answer to a request of a route carries."""
        rooms = []
        for service, fan_out in self._fan_outs_of_owner(route).items():
            mark = self.marks.get(service)
            if mark is None:
                continue
            age_ms = max(int((now - mark.measured_at) * 1000), 0)
            if age_ms < _MAX_AGE_MS:
                rooms.append(
                    messages.ServiceRoom(
                        messages.ServiceName(service),
                        mark.level,
                        age_ms,
                        fan_out,
                    )
                )
        return rooms

    def decide(
        self,
        route: str,
        service: messages.ServiceName,
        level: int,
        now: float,
    ) -> Decision:
        """Return the share of the chains of a route and level to begin.

        The service with the least room decides. One that only some requests
        of the route call counts for that part of them.
        """
        fan_outs = {**self.reported.get((route, service), {}), service: 1.0}
        decision = Decision()
        for name, fan_out in fan_outs.items():
            mark = self.marks.get(name)
            if mark is None:
                continue
            age_s = max(now - mark.measured_at, 0.0)
            share = _share_at_age(
                service_room.share_of_fraction(mark.fractions[level]), age_s
            )
            share = 1 - (1 - share) * min(fan_out, 1.0)
            if share < decision.share:
                decision = Decision(
                    share,
                    name,
                    mark.level,
                    int(age_s * 1000),
                    mark.version,
                    fan_out,
                )
        return decision

    def dump(self, now: float) -> dict[str, object]:
        """Return the marks and fan-outs, for /state."""
        return {
            'marks': {
                service: {
                    'level': round(mark.level, 2),
                    'age_ms': round((now - mark.measured_at) * 1000),
                    'version': mark.version,
                }
                for service, mark in self.marks.items()
            },
            'fan_outs': {
                f'{route} {service}': {
                    name: round(fan_out, 2)
                    for name, fan_out in fan_outs.items()
                }
                for (route, service), fan_outs in self.reported.items()
            },
        }

    def _fan_outs_of_owner(self, route: str) -> dict[str, float]:
        """Return calls of one request of the own upstream by service."""
        total: dict[str, float] = {}
        for leg, calls in self.direct.get(route, {}).items():
            total[leg[1]] = total.get(leg[1], 0.0) + calls
            for name, fan_out in self.reported.get(leg, {}).items():
                total[name] = total.get(name, 0.0) + calls * fan_out
        return {
            name: fan_out
            for name, fan_out in total.items()
            if _FAN_OUT_WEIGHT / 10 <= fan_out <= _MAX_FAN_OUT
        }

    def _store_mark(self, room: messages.ServiceRoom, now: float) -> None:
        measured_at = now - room.age_ms / 1000
        fractions = service_room.fractions(room.level)
        mark = self.marks.get(room.service)
        if mark is None or now - mark.measured_at > STALE_S + RECOVERY_S:
            if mark is None and len(self.marks) >= _MAX_SERVICES:
                self.marks.clear()
            version = mark.version + 1 if mark else 1
            self.marks[room.service] = _Mark(fractions, measured_at, version)
            return
        newer_s = measured_at - mark.measured_at
        if newer_s < -_AVERAGE_TIME_S:
            return
        weight = max(
            1 - math.exp(-max(newer_s, 0.0) / _AVERAGE_TIME_S),
            _MIN_MARK_WEIGHT,
        )
        mark.fractions = [
            mean + weight * (fraction - mean)
            for mean, fraction in zip(mark.fractions, fractions, strict=True)
        ]
        mark.measured_at = max(mark.measured_at, measured_at)
        mark.version += 1

    def _store_fan_out(self, leg: Leg, room: messages.ServiceRoom) -> None:
        if leg not in self.reported and len(self.reported) >= _MAX_ROUTES:
            self.reported.clear()
        fan_outs = self.reported.setdefault(leg, {})
        if len(fan_outs) >= _MAX_SERVICES:
            fan_outs.clear()
        fan_outs[room.service] = room.fan_out

    def _reject(self, room: messages.ServiceRoom, now: float) -> None:
        _REJECTED_MARKS.inc()
        if now - self.logged_at >= _LOG_INTERVAL_S:
            self.logged_at = now
            _LOG.warning('Ignored a mark that is not usable: %.200r.', room)


def _share_at_age(share: float, age_s: float) -> float:
    """Return a share that rises to 1 as its mark becomes stale."""
    recovered = min(max(age_s - STALE_S, 0.0) / RECOVERY_S, 1.0)
    return share + (1 - share) * recovered


def _is_usable(room: messages.ServiceRoom) -> bool:
    return (
        bool(room.service)
        and 0 <= room.level <= service_room.LEVEL_COUNT
        and 0 <= room.age_ms <= _MAX_AGE_MS
        and 0 <= room.fan_out <= _MAX_FAN_OUT
    )
