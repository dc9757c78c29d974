"""Measures the room of the own upstream and adds marks to answers.

Example:
    room.on_arrival(call, now)
    answer.rooms = room.rooms_of_answer(call, capacity=12, now=now)
"""

import random
import typing

from godwitstall.limits import service_room
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node.requests import context
from godwitstall.routing import chain_rooms

_MARK = metrics.gauge(
    'service_room_mark', 'Levels that the own upstream has room for.'
)

# Share of the answers that carry marks while every level has room. Senders
# learn from them which services a route needs.
_ROUTINE_SHARE = 1 / 16

# Time after the last lack of room for which every answer carries marks, so
# that senders see the recovery before their marks become stale, seconds.
_REPORT_TIME_S = chain_rooms.STALE_S + chain_rooms.RECOVERY_S

# Interval after which the mark is computed again, seconds.
_MARK_INTERVAL_S = 0.05


class OwnerRoom:
    """Room of the own upstream, and marks of the services below it."""

    def __init__(
        self, rooms: chain_rooms.ChainRooms, is_enabled: bool
    ) -> None:
        self.rooms = rooms
        self.is_enabled = is_enabled
        self.meter = service_room.RoomMeter()
        self.random = random.Random()
        # Last mark, its time, and last time at which a level was refused.
        self.mark = float(service_room.LEVEL_COUNT)
        self.marked_at = float('-inf')
        self.short_at = float('-inf')

    def on_arrival(self, call: messages.Call, now: float) -> None:
        """Count a call that needs a slot."""
        if self.is_enabled:
            self.meter.on_arrival(
                call.route_name,
                service_room.level_of(call.order, call.priority),
                call.admitted_share,
                now,
            )

    def on_refused(self, call: messages.Call) -> None:
        """Take back a part of a call that got no slot."""
        if self.is_enabled:
            self.meter.on_refused(
                call.route_name,
                service_room.level_of(call.order, call.priority),
                call.admitted_share,
            )

    def on_run(self, is_accepted: bool, now: float) -> None:
        """Count whether the upstream accepted a request."""
        if self.is_enabled:
            self.meter.on_run(is_accepted, now)

    def on_end(self, call: messages.Call, held_s: float) -> None:
        """Record that a call released its slot after held_s seconds."""
        if self.is_enabled:
            self.meter.on_end(call.route_name, held_s)

    def on_run_end(
        self, request: context.RequestContext, is_success: bool
    ) -> None:
        """Learn the onward calls of a request that has ended."""
        if self.is_enabled:
            self.rooms.on_request_end(
                request.route_name, request.onward_legs, is_success
            )

    def rooms_of_answer(
        self, call: messages.Call, capacity: int, now: float
    ) -> list[messages.ServiceRoom]:
        """Return the marks for the answer to a call.

        capacity is the number of slots; without one there is no mark, since
        other owners run the calls.
        """
        if not self.is_enabled:
            return []
        rooms = self.rooms.rooms_below(call.route_name, now)
        if capacity:
            rooms.append(
                messages.ServiceRoom(
                    call.service, self._current_mark(capacity, now), 0, 1.0
                )
            )
        if any(room.level < service_room.LEVEL_COUNT for room in rooms):
            self.short_at = now
        is_recent = now - self.short_at < _REPORT_TIME_S
        if is_recent or self.random.random() < _ROUTINE_SHARE:
            return rooms
        return []

    def _current_mark(self, capacity: int, now: float) -> float:
        if now - self.marked_at >= _MARK_INTERVAL_S:
            self.mark = self.meter.mark(capacity, now)
            self.marked_at = now
            _MARK.set(self.mark)
        return self.mark

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'mark': round(self.mark, 2),
            'accepted_share': round(self.meter.accepted_share(), 3),
            'demand_by_level': self.meter.dump(),
        }
