"""Evacuated zones at a node, and the return of work to zones taken back.

Upstreams of a zone that is taken back may have become cold. Each node sends
them a share of its calls that grows from none to all within RETURN_S, so that
the calls that stay in their own zone do not return at one moment.

Example: local, remote = zones.admit(local, remote, excluded, now, random)
"""

import collections.abc
import random as random_module

from godwitstall import clock
from godwitstall import decisions
from godwitstall import messages
from godwitstall import metrics

_ZONE_EVACUATED = metrics.gauge(
    'zone_evacuated', 'Whether the evacuation of a zone is in force here.'
)

# Time in which the share of a zone that is taken back grows to all, seconds.
RETURN_S = 5.0

# Largest difference of the wall clock to the time of an order that ended an
# evacuation for which a node that has not seen the evacuation itself treats
# the zone as just taken back, milliseconds.
_RECENT_MS = 30_000

_Members = list[messages.Member]


class Zones:
    """Evacuations in force at a node, and those that ended."""

    def __init__(self) -> None:
        # Evacuations by zone, as in the last update.
        self.evacuations: dict[str, messages.Evacuation] = {}
        self.evacuated: frozenset[str] = frozenset()
        # Time of clock.recent() at which this node learned that a zone is
        # taken back, by zone.
        self.returned_at: dict[str, float] = {}

    def apply(
        self, evacuations: collections.abc.Iterable[messages.Evacuation]
    ) -> None:
        """Replace the evacuations by those of an update."""
        previous = self.evacuations
        self.evacuations = {item.zone: item for item in evacuations}
        self.evacuated = frozenset(
            item.zone for item in self.evacuations.values() if item.is_active
        )
        for zone, item in self.evacuations.items():
            known = previous.get(zone)
            if known is None or known.index != item.index:
                self._on_order(item, known)
        for zone in previous.keys() - self.evacuations.keys():
            _ZONE_EVACUATED.set(0, zone=zone)

    def _on_order(
        self, item: messages.Evacuation, known: messages.Evacuation | None
    ) -> None:
        """Follow an order about a zone that is new to this node."""
        _ZONE_EVACUATED.set(int(item.is_active), zone=item.zone)
        if item.is_active:
            self.returned_at.pop(item.zone, None)
        elif (known is not None and known.is_active) or (
            abs(clock.wall_ms() - item.time_ms) < _RECENT_MS
        ):
            self.returned_at[item.zone] = clock.recent()
        else:
            return
        decisions.write(
            'view',
            'zone_evacuated' if item.is_active else 'zone_taken_back',
            zone=item.zone,
            index=item.index,
            operator=item.operator,
        )

    def is_returning(self, now: float) -> bool:
        """Return whether a zone gets a smaller share of the calls."""
        return any(
            now - returned_at < RETURN_S
            for returned_at in self.returned_at.values()
        )

    def admit(
        self,
        local: _Members,
        remote: _Members,
        excluded: collections.abc.Container[messages.NodeId],
        now: float,
        random: random_module.Random,
    ) -> tuple[_Members, _Members]:
        """Leave out the zones that get no part of this call.

        All members are returned if no usable one is left otherwise.
        """
        share = random.random()
        held = {
            zone
            for zone, returned_at in self.returned_at.items()
            if (now - returned_at) / RETURN_S < share
        }
        kept_local = [m for m in local if m.zone not in held]
        kept_remote = [m for m in remote if m.zone not in held]
        if all(m.node_id in excluded for m in kept_local + kept_remote):
            return local, remote
        return kept_local, kept_remote
