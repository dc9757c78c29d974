"""Limit on the bytes that a process holds for its peers.

A limit on each message does not bound the memory of a process, because many
peers can stop just before the end of their messages, or leave their responses
unread. A budget bounds what all of them hold together. Above the limit, the
holders that hold most and have moved least give up their bytes.

What is about to be received can be reserved. Bytes without room stay in the
socket of their sender, and are granted in the order of their requests.

Example:
    budget = ByteBudget('requests', 64 * 1024 * 1024, connections)
    budget.add(len(data))
    reservation = budget.reserve(length, received_at, transport.resume_reading)
"""

import asyncio
import collections.abc
import typing

from godwitstall import clock
from godwitstall import log_limit
from godwitstall import logs
from godwitstall import metrics

_LOG = logs.get('memory')
_HELD_BYTES = metrics.gauge(
    'held_bytes', 'Bytes held for peers at the last count, by budget.'
)
_RELEASES = metrics.counter(
    'held_bytes_releases_total',
    'Peers whose bytes were given up above the limit, by budget.',
)
_WAITS = metrics.counter(
    'held_bytes_waits_total',
    'Messages that were not read at once for lack of room, by budget.',
)

# Memory of a parsed header line besides its characters, bytes: a tuple and two
# bytes objects.
HEADER_OBJECT_BYTES = 128

# The holders are counted each time this fraction of the limit has arrived.
_COUNT_FRACTION = 1 / 64

# Holders with less than this fraction of the limit are left alone.
_SMALL_FRACTION = 1 / 16384

# Idle time that counts for a holder that has just moved, seconds.
# A holder that moves must hold more than a stalled one.
_MIN_IDLE_S = 0.1

# Bytes that are received without a reservation, and as a fraction of the limit
# if that is less.
_UNRESERVED_BYTES = 64 * 1024
_UNRESERVED_FRACTION = 1 / 64

# Fraction of the limit that is kept for the oldest request, which all others
# may wait for: on a pipelined connection, the answers behind it are sent last.
_OLDEST_FRACTION = 1 / 3

# Interval at which requests that wait for room are considered, seconds.
_GRANT_INTERVAL_S = 0.01

# Time after which an answer that waits for room is late, seconds. The process
# takes no new requests while late ones would fill its memory.
_CONGESTED_AFTER_S = 0.25


class Holder(typing.Protocol):
    """A part of the process that holds bytes for one peer."""

    @property
    def moved_at(self) -> float:
        """Time at which its bytes last moved, seconds of clock.recent()."""

    def held_bytes(self) -> int:
        """Return the number of bytes that it holds now."""

    def release_bytes(self) -> None:
        """Give up what can be given up, with a true answer if possible."""


class Reservation:
    """Room for bytes that are about to be received."""

    def __init__(
        self,
        budget: 'ByteBudget',
        size: int,
        requested_at: float,
        on_granted: collections.abc.Callable[[], None],
    ) -> None:
        self.budget = budget
        self.size = size
        # Time at which the request was received that needs the room, seconds.
        self.requested_at = requested_at
        self.on_granted = on_granted
        self.waits_since = clock.recent()
        self.is_granted = False
        # Whether it exceeds the limit, as that of the oldest request may.
        self.is_above_limit = False

    def release(self) -> None:
        """Free the room, or wait for it no longer."""
        self.budget.release(self)


class ByteBudget:
    """Bounds the bytes of all holders together.

    The holders are counted now and then, not at each byte, so the limit can
    be exceeded by what arrives between two counts.
    """

    def __init__(
        self,
        name: str,
        limit_bytes: int,
        holders: collections.abc.Set[Holder] = frozenset(),
    ) -> None:
        # Label of its metrics.
        self.name = name
        self.limit_bytes = limit_bytes
        # Sets of the callers, which add and remove holders.
        self.groups: list[collections.abc.Set[Holder]] = [holders]
        # Reservations that have been granted, and those that wait, the oldest
        # request first.
        self.granted: set[Reservation] = set()
        self.waiting: list[Reservation] = []
        self._grant_timer: asyncio.TimerHandle | None = None
        # Bytes that have arrived since the last count.
        self._uncounted_bytes = 0
        self.log_limit = log_limit.LogLimit()

    @classmethod
    def from_total(cls, name: str, total_bytes: int) -> 'ByteBudget':
        """Return a budget whose holders and reservations fit into a total."""
        return cls(name, int(total_bytes / (1 + _OLDEST_FRACTION)))

    def include(self, holders: collections.abc.Set[Holder]) -> None:
        """Count the holders of one more set, which its owner keeps."""
        self.groups.append(holders)

    def exclude(self, holders: collections.abc.Set[Holder]) -> None:
        """Count the holders of a set no more."""
        self.groups = [group for group in self.groups if group is not holders]

    @property
    def total_bytes(self) -> int:
        """Limit for the oldest request, which others must not reach."""
        return int(self.limit_bytes * (1 + _OLDEST_FRACTION))

    @property
    def unreserved_bytes(self) -> int:
        """Size up to which a message is received without a reservation."""
        return min(
            _UNRESERVED_BYTES, int(self.limit_bytes * _UNRESERVED_FRACTION)
        )

    def reserve(
        self,
        size: int,
        requested_at: float,
        on_granted: collections.abc.Callable[[], None],
    ) -> Reservation:
        """Reserve room, and call on_granted when there is some.

        on_granted raises nothing. requested_at is the time of the request that
        needs the room, seconds of clock.recent(). The reservation is granted
        already when it is returned if there is room; on_granted is not called
        then.
        """
        reservation = Reservation(self, size, requested_at, on_granted)
        if self._fits(reservation, self.held_bytes()):
            self._grant(reservation)
            return reservation
        _WAITS.inc(budget=self.name)
        self.waiting.append(reservation)
        self.waiting.sort(key=lambda waiting: waiting.requested_at)
        self._schedule_grants()
        return reservation

    def has_room(self, size: int) -> bool:
        """Return whether there is room; others may have to give way first."""
        if self.held_bytes() + size <= self.limit_bytes:
            return True
        self.enforce(size)
        return self.held_bytes() + size <= self.limit_bytes

    def is_congested(self) -> bool:
        """Return whether more answers wait than the process could hold.

        A few large ones that wait do not keep small ones out.
        """
        if not self.waiting:
            return False
        now = clock.recent()
        late_bytes = sum(
            waiting.size
            for waiting in self.waiting
            if now - waiting.waits_since > _CONGESTED_AFTER_S
        )
        return late_bytes >= self.limit_bytes

    def release(self, reservation: Reservation) -> None:
        """Free the room of a reservation; see Reservation.release()."""
        if reservation.is_granted:
            self.granted.discard(reservation)
        elif reservation in self.waiting:
            self.waiting.remove(reservation)

    def is_oldest(self, reservation: Reservation) -> bool:
        """Return whether no older request waits for room."""
        return not self.waiting or (
            reservation.requested_at <= self.waiting[0].requested_at
        )

    def _fits(self, reservation: Reservation, held: int) -> bool:
        if held + reservation.size <= self.limit_bytes:
            return True
        return (
            self.is_oldest(reservation)
            and not any(granted.is_above_limit for granted in self.granted)
            and held + reservation.size <= self.total_bytes
        )

    def _grant(self, reservation: Reservation) -> None:
        reservation.is_above_limit = (
            self.held_bytes() + reservation.size > self.limit_bytes
        )
        reservation.is_granted = True
        self.granted.add(reservation)

    def _schedule_grants(self) -> None:
        if self._grant_timer is None and self.waiting:
            self._grant_timer = asyncio.get_running_loop().call_later(
                _GRANT_INTERVAL_S, self._grant_waiting
            )

    def _grant_waiting(self) -> None:
        self._grant_timer = None
        if self.waiting and not self._fits(self.waiting[0], self.held_bytes()):
            self.enforce(self.waiting[0].size)
        held = self.held_bytes()
        # Smaller messages may pass one that does not fit yet.
        for reservation in list(self.waiting):
            # What is granted may end another one.
            if reservation in self.waiting and self._fits(reservation, held):
                self.waiting.remove(reservation)
                self._grant(reservation)
                reservation.on_granted()
                held = self.held_bytes()
        self._schedule_grants()

    def add(self, size: int) -> None:
        """Report bytes that a holder has received or has to send."""
        self._uncounted_bytes += size
        if self._uncounted_bytes >= self.limit_bytes * _COUNT_FRACTION:
            self.enforce()

    def held_bytes(self) -> int:
        """Return what all holders hold now, and what is reserved, bytes."""
        held = sum(reservation.size for reservation in self.granted)
        for group in self.groups:
            held += sum(holder.held_bytes() for holder in group)
        return held

    def is_over_total(self) -> bool:
        """Return whether more is held than the oldest request may need."""
        return self.held_bytes() > self.total_bytes

    def enforce(self, wanted_bytes: int = 0) -> None:
        """Count the bytes; above the limit, release those of some holders.

        wanted_bytes is to be free below the limit, if possible.
        """
        self._uncounted_bytes = 0
        # The reservation above the limit was granted without others giving
        # way for it.
        wanted_bytes -= sum(
            reservation.size
            for reservation in self.granted
            if reservation.is_above_limit
        )
        held = self.held_bytes()
        if held + wanted_bytes > self.limit_bytes:
            held = self._release(held, self.limit_bytes - wanted_bytes)
        _HELD_BYTES.set(held, budget=self.name)

    def _release(self, held: int, target_bytes: int) -> int:
        """Release bytes down to a target, and return what is still held."""
        before = held
        releases = 0
        for holder in self._candidates():
            released = holder.held_bytes()
            holder.release_bytes()
            released -= holder.held_bytes()
            if released:
                releases += 1
                held -= released
            if held <= target_bytes:
                break
        _RELEASES.inc(releases, budget=self.name)
        if releases and self.log_limit.allows():
            self._log_release(before, releases, held)
        return held

    def _log_release(self, before: int, releases: int, held: int) -> None:
        _LOG.warning(
            'All %s held %d bytes, the limit is %d; %d peers gave up %d.%s',
            self.name,
            before,
            self.limit_bytes,
            releases,
            before - held,
            self.log_limit.suffix(),
        )

    def _candidates(self) -> list[Holder]:
        """Return the holders that are not small, in the order of release."""
        now = clock.recent()
        smallest = self.limit_bytes * _SMALL_FRACTION
        return sorted(
            (
                holder
                for group in self.groups
                for holder in group
                if holder.held_bytes() >= smallest
            ),
            key=lambda h: h.held_bytes() * (_MIN_IDLE_S + now - h.moved_at),
            reverse=True,
        )
