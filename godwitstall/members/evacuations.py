"""Replicated evacuations of zones.

An operator orders that the upstreams of a zone get no new work, and later
takes the zone back. The log decides between orders that race: the one applied
last holds. A copy of an order can wait in a control process that was frozen;
it must not undo an order that was applied after that process received it, so
each order carries the log index that the process had applied.

Example: evacuations.apply(command, {'sied-wau'}, index, time_ms)
"""

import collections.abc

from godwitstall import messages

# Largest number of zones that are remembered.
MAX_ZONES = 256


class Evacuations:
    """The last order about each zone that was ever evacuated."""

    def __init__(self) -> None:
        # Evacuations by zone, least recently changed first. One that has
        # ended is kept, because nodes return work to its zone gradually.
        self.by_zone: dict[str, messages.Evacuation] = {}

    def active_zones(self) -> list[str]:
        """Return the zones that are evacuated, sorted."""
        return sorted(
            item.zone for item in self.by_zone.values() if item.is_active
        )

    def apply(
        self,
        command: messages.Evacuate,
        member_zones: collections.abc.Set[str],
        index: int,
        time_ms: int,
    ) -> tuple[messages.EvacuationResult, bool]:
        """Apply an order; return the result and whether the state changed."""
        known = self.by_zone.get(command.zone)
        if known is None:
            known = messages.Evacuation(command.zone)
            problem = self._problem(command, member_zones)
            if problem:
                return _refused(problem), False
        if known.is_active == command.is_active:
            return messages.EvacuationResult(index=known.index), False
        if known.index > command.seen_index:
            return messages.EvacuationResult(
                messages.EvacuationVerdict.SUPERSEDED,
                known.index,
                f'The opposite order of {known.operator!r} for zone '
                f'{command.zone!r} was applied meanwhile.',
            ), False
        self.by_zone.pop(command.zone, None)
        self.by_zone[command.zone] = messages.Evacuation(
            command.zone, command.is_active, index, time_ms, command.operator
        )
        return messages.EvacuationResult(index=index), True

    def _problem(
        self,
        command: messages.Evacuate,
        member_zones: collections.abc.Set[str],
    ) -> str:
        """Return why an order for a zone without a record is invalid."""
        zones = member_zones | set(command.known_zones)
        if not command.zone or command.zone not in zones:
            return (
                f'There is no zone {command.zone!r}, only '
                f'{", ".join(sorted(zones)) or "none"}.'
            )
        if command.is_active and not self._make_room():
            return f'{MAX_ZONES} zones are already evacuated.'
        return ''

    def _make_room(self) -> bool:
        """Forget an ended evacuation if needed; return whether one fits."""
        if len(self.by_zone) < MAX_ZONES:
            return True
        for zone, item in self.by_zone.items():
            if not item.is_active:
                del self.by_zone[zone]
                return True
        return False

    def to_messages(self) -> list[messages.Evacuation]:
        """Return all evacuations, for nodes and snapshots."""
        return list(self.by_zone.values())

    def restore(self, items: list[messages.Evacuation]) -> None:
        """Replace the state with that of a snapshot."""
        self.by_zone = {item.zone: item for item in items}


def _refused(detail: str) -> messages.EvacuationResult:
    return messages.EvacuationResult(
        messages.EvacuationVerdict.INVALID, detail=detail
    )
