"""Share of calls that a full zone sends to other zones.

A node learns how full the zones are for each service from the load reports of
answers. Calls stay in the own zone while it has room. Before it is full, a
share of the calls goes to zones that are emptier by a margin. The share
changes in small steps as long as the difference lasts, and the averages lag
behind single reports, so that zones do not send work back and forth: work
moves only from a fuller zone to an emptier one, and the margin is larger than
what two nodes with views of different ages disagree by.

Example: balance.on_report('payments', 'b', load, now)
         if balance.lends('payments', now): ...
"""

import dataclasses
import math
import random as random_module

from godwitstall import messages

# Load of the own zone from which work is sent to others, as a share of the
# limit. Below it, a call rarely waits for a slot, so its caller would gain
# nothing for the bytes between zones.
START_LOAD = 0.85

# Load up to which another zone is sent work. Above it, callers of that zone
# would wait for the room that it lends.
LEND_LIMIT = 0.85

# Smallest difference of load at which work moves.
MARGIN = 0.1

# Time constant of the average load of a zone, seconds, and age after which it
# says nothing. The queue of a zone changes within a second.
_TIME_CONSTANT_S = 1.0
_LIFETIME_S = 3.0

# Largest weight of one report in the average of its zone.
_MAX_REPORT_WEIGHT = 0.25

# Largest load that a report counts as. A queue as long as the limit already
# says all; more may be a fault.
_MAX_LOAD = 2.0

# Interval between changes of the share, seconds. It is longer than an answer
# takes, so that the effect of one change is seen before the next.
_STEP_S = 0.25

# Change of the share in one step for each unit of load difference, factor of
# the share in a step without need, and largest share. The last leaves most of
# the work in its zone if reports are wrong.
_GAIN = 0.2
_DECAY = 0.7
_MAX_SHARE = 0.5

# Share below which nothing is sent.
_MIN_SHARE = 0.01


@dataclasses.dataclass(slots=True)
class _ZoneLoad:
    """Load of one service in one zone."""

    load: float = 0.0
    updated_at: float = -math.inf

    def add(self, load: float, now: float) -> None:
        age = now - self.updated_at
        if age >= _LIFETIME_S:
            self.load = load
        else:
            weight = 1 - math.exp(-max(age, 0.0) / _TIME_CONSTANT_S)
            self.load += min(weight, _MAX_REPORT_WEIGHT) * (load - self.load)
        self.updated_at = now


@dataclasses.dataclass(slots=True)
class _ServiceBalance:
    """Zones and lent share of one service."""

    zones: dict[str, _ZoneLoad] = dataclasses.field(default_factory=dict)
    # Share of the calls that are sent to other zones.
    share: float = 0.0
    # Time of the last change of the share, seconds.
    stepped_at: float = -math.inf


class ZoneBalance:
    """Decides how many calls leave the own zone."""

    def __init__(self, own_zone: str, random: random_module.Random) -> None:
        self.own_zone = own_zone
        self._random = random
        self._services: dict[messages.ServiceName, _ServiceBalance] = {}

    def on_report(
        self,
        service: messages.ServiceName,
        zone: str,
        load: messages.LoadReport,
        now: float,
    ) -> None:
        """Add the load report of a member.

        An upstream that accepts nothing says nothing about its zone.
        """
        if load.limit <= 0:
            return
        balance = self._services.get(service)
        if balance is None:
            balance = self._services[service] = _ServiceBalance()
        zone_load = balance.zones.get(zone)
        if zone_load is None:
            zone_load = balance.zones[zone] = _ZoneLoad()
        share = (load.in_flight + load.queued) / load.limit
        zone_load.add(min(max(share, 0.0), _MAX_LOAD), now)

    def load_of(
        self, service: messages.ServiceName, zone: str, now: float
    ) -> float | None:
        """Return the load of a service in a zone, None if it is unknown."""
        balance = self._services.get(service)
        return None if balance is None else _fresh_load(balance, zone, now)

    def lends(self, service: messages.ServiceName, now: float) -> bool:
        """Return whether the next call should go to another zone."""
        balance = self._services.get(service)
        if balance is None:
            return False
        if now - balance.stepped_at >= _STEP_S:
            self._step(balance, now)
        return balance.share > 0 and self._random.random() < balance.share

    def is_emptier(
        self, service: messages.ServiceName, zone: str, now: float
    ) -> bool:
        """Return whether another zone is not fuller than the own one.

        Two full zones gain nothing by an exchange of calls. A zone of which
        nothing is known is taken as emptier.
        """
        balance = self._services.get(service)
        if balance is None:
            return True
        load = _fresh_load(balance, zone, now)
        own_load = _fresh_load(balance, self.own_zone, now)
        return load is None or own_load is None or own_load - load >= MARGIN

    def accepts(
        self, service: messages.ServiceName, zone: str, now: float
    ) -> bool:
        """Return whether another zone may be sent work of the own one.

        A zone of which nothing is known is tried: its answers show its load.
        """
        balance = self._services.get(service)
        if balance is None:
            return True
        load = _fresh_load(balance, zone, now)
        own_load = _fresh_load(balance, self.own_zone, now)
        if load is None or own_load is None:
            return True
        return load <= LEND_LIMIT and own_load - load >= MARGIN

    def retain(self, services: set[messages.ServiceName]) -> None:
        """Forget the services that are not in the set."""
        for service in [s for s in self._services if s not in services]:
            del self._services[service]

    def dump(self) -> dict[str, dict[str, object]]:
        """Return loads and share by service, for /state."""
        return {
            service: {
                'share': round(balance.share, 4),
                'loads': {
                    zone: round(zone_load.load, 3)
                    for zone, zone_load in balance.zones.items()
                },
            }
            for service, balance in self._services.items()
        }

    def _step(self, balance: _ServiceBalance, now: float) -> None:
        balance.stepped_at = now
        own_load = _fresh_load(balance, self.own_zone, now)
        if own_load is None or own_load < START_LOAD:
            balance.share = _lowered(balance.share)
            return
        others = [
            load
            for zone in balance.zones
            if zone != self.own_zone
            and (load := _fresh_load(balance, zone, now)) is not None
        ]
        # Unknown zones are assumed to have just the room that is lent.
        lowest = min(others, default=LEND_LIMIT - MARGIN)
        difference = own_load - lowest
        if difference < MARGIN or lowest > LEND_LIMIT:
            balance.share = _lowered(balance.share)
        else:
            share = balance.share + _GAIN * (difference - MARGIN / 2)
            balance.share = min(share, _MAX_SHARE)


def _fresh_load(
    balance: _ServiceBalance, zone: str, now: float
) -> float | None:
    zone_load = balance.zones.get(zone)
    if zone_load is None or now - zone_load.updated_at >= _LIFETIME_S:
        return None
    return zone_load.load


def _lowered(share: float) -> float:
    share *= _DECAY
    return share if share >= _MIN_SHARE else 0.0
