"""Limit on the bytes that a process holds for its peers.

A limit on each message does not bound the memory of a process, because many
peers can stop just before the end of their messages, or leave their responses
unread. A budget bounds what all of them hold together. Above the limit, the
holders that hold most and have moved least give up their bytes.

Example:
    budget = ByteBudget('requests', 64 * 1024 * 1024, connections)
    budget.add(len(data))
"""

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


class Holder(typing.Protocol):
    """A part of the process that holds bytes for one peer."""

    @property
    def moved_at(self) -> float:
        """Time at which its bytes last moved, seconds of clock.recent()."""

    def held_bytes(self) -> int:
        """Return the number of bytes that it holds now."""

    def release_bytes(self) -> None:
        """Give up what can be given up, with a true answer if possible."""


class ByteBudget:
    """Bounds the bytes of all holders together.

    The holders are counted now and then, not at each byte, so the limit can
    be exceeded by what arrives between two counts.
    """

    def __init__(
        self,
        name: str,
        limit_bytes: int,
        holders: collections.abc.Set[Holder],
    ) -> None:
        # Label of its metrics.
        self.name = name
        self.limit_bytes = limit_bytes
        # Set of the caller, which adds and removes holders.
        self.holders = holders
        # Bytes that have arrived since the last count.
        self._uncounted_bytes = 0
        self.log_limit = log_limit.LogLimit()

    def add(self, size: int) -> None:
        """Report bytes that a holder has received or has to send."""
        self._uncounted_bytes += size
        if self._uncounted_bytes >= self.limit_bytes * _COUNT_FRACTION:
            self.enforce()

    def held_bytes(self) -> int:
        """Return the number of bytes that all holders hold now."""
        return sum(holder.held_bytes() for holder in self.holders)

    def enforce(self) -> None:
        """Count the bytes; above the limit, release those of some holders."""
        self._uncounted_bytes = 0
        held = self.held_bytes()
        if held > self.limit_bytes:
            held = self._release(held)
        _HELD_BYTES.set(held, budget=self.name)

    def _release(self, held: int) -> int:
        """Release bytes down to the limit, and return what is still held."""
        before = held
        releases = 0
        for holder in self._candidates():
            released = holder.held_bytes()
            holder.release_bytes()
            released -= holder.held_bytes()
            if released:
                releases += 1
                held -= released
            if held <= self.limit_bytes:
                break
        _RELEASES.inc(releases, budget=self.name)
        if self.log_limit.allows():
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
            (h for h in self.holders if h.held_bytes() >= smallest),
            key=lambda h: h.held_bytes() * (_MIN_IDLE_S + now - h.moved_at),
            reverse=True,
        )
