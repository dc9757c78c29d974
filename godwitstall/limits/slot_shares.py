"""Split of an upstream's slots between new chains and onward calls.

An onward call goes before a request of its rank and priority that begins a
chain, since what its chain has cost so far would be lost. At a service that
many chains end in, that rule alone leaves nothing for its own callers as soon
as it is overloaded: the onward calls fill all slots, none of their chains
fails, and so nothing holds new ones of them back. Therefore the requests that
begin a chain have a part of the slots, which is their part of the demand, up
to a bound. Onward calls then wait, some chains fail, and the throttle at the
first service of the chains lets fewer begin: both kinds lose something.

Example: shares.prefers_new(running_new=3, capacity=30, now=now)
"""

import dataclasses
import math

# Time constant with which arrivals are forgotten, seconds.
_MEMORY_S = 2.0

# Weight of one request in the moving average of the time a slot is held.
_HELD_WEIGHT = 0.05

# Largest part of the slots for requests that begin a chain. It keeps them from
# being starved and no more: what an onward call waits, its chain waits many
# times over, and the work of a chain that fails is lost.
_MAX_PART = 0.1


@dataclasses.dataclass(slots=True)
class _Kind:
    """Demand of one kind of request."""

    # Arrivals; they decay with time.
    asked: float = 0.0
    # Moving average of the time that one holds a slot, seconds.
    held_s: float = 0.0

    def on_held(self, held_s: float) -> None:
        """Take in how long one request held its slot."""
        if not self.held_s:
            self.held_s = held_s
        self.held_s += _HELD_WEIGHT * (held_s - self.held_s)


class SlotShares:
    """Demand of both kinds at one owner."""

    def __init__(self) -> None:
        self._new = _Kind()
        self._onward = _Kind()
        # Time up to which the arrivals have decayed, seconds.
        self._decayed_at = 0.0

    def on_arrival(self, is_onward: bool, now: float) -> None:
        """Count a request that asks for a slot."""
        self._decay(now)
        self._kind(is_onward).asked += 1

    def on_end(self, is_onward: bool, held_s: float) -> None:
        """Count a request that gives its slot back after held_s seconds."""
        self._kind(is_onward).on_held(held_s)

    def prefers_new(self, running_new: int, capacity: int, now: float) -> bool:
        """Return whether the next slot is for a request that begins a chain.

        running_new is how many of them hold a slot, of capacity in all.
        """
        return running_new < self.part_of_new(now) * capacity

    def part_of_new(self, now: float) -> float:
        """Return the part of the slots for requests that begin a chain."""
        self._decay(now)
        if self._new.asked and not self._new.held_s:
            # None has ended yet. Without a slot none ever would.
            return _MAX_PART
        wanted_new = self._new.asked * self._new.held_s
        wanted = wanted_new + self._onward.asked * self._onward.held_s
        return min(wanted_new / wanted, _MAX_PART) if wanted else 0.0

    def _kind(self, is_onward: bool) -> _Kind:
        return self._onward if is_onward else self._new

    def _decay(self, now: float) -> None:
        passed_s = max(now - self._decayed_at, 0.0)
        kept = math.exp(-passed_s / _MEMORY_S)
        self._new.asked *= kept
        self._onward.asked *= kept
        self._decayed_at = now
