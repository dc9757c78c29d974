"""Division of an upstream's slots between new chains and onward calls.

An onward call is served before a request of the same rank and priority that
starts a chain, because the work that its chain has already done would be lost.
At an overloaded service at the end of many chains, that rule alone starves the
service's direct callers: the onward calls occupy all slots, none of their
chains fails, and so the throttle does not limit new chains. Requests that
start a chain therefore get a share of the slots in proportion to their demand,
up to a bound. Onward calls then wait, some chains fail, and the throttle at
the first service of the chains admits fewer, so that the overload affects both
kinds of request.

Example: shares.prefers_new_chain(running_new=3, capacity=30, now=now)
"""

import dataclasses
import math

# Time constant of the exponential decay of the arrivals, seconds.
_DECAY_TIME_S = 2.0

# Weight of one request in the moving average of the hold time of a slot.
_HOLD_TIME_WEIGHT = 0.05

# Largest share of the slots for requests that start a chain. It only prevents
# their starvation: a chain waits for each of its onward calls in turn, and the
# work of a chain that fails is lost.
_MAX_NEW_CHAIN_SHARE = 0.1


@dataclasses.dataclass(slots=True)
class _Demand:
    """Demand of one kind of request."""

    # Number of arrivals, with exponential decay.
    arrivals: float = 0.0
    # Moving average of the hold time of a slot, seconds.
    mean_held_s: float = 0.0

    def add_hold_time(self, held_s: float) -> None:
        """Update the moving average with the hold time of one request."""
        if not self.mean_held_s:
            self.mean_held_s = held_s
        self.mean_held_s += _HOLD_TIME_WEIGHT * (held_s - self.mean_held_s)


class SlotShares:
    """Demand of new chains and onward calls at one owner."""

    def __init__(self) -> None:
        self._new_chains = _Demand()
        self._onward_calls = _Demand()
        # Time up to which the arrivals have decayed, seconds.
        self._decayed_at = 0.0

    def on_arrival(self, is_onward: bool, now: float) -> None:
        """Count a request that needs a slot."""
        self._decay(now)
        self._demand(is_onward).arrivals += 1

    def on_end(self, is_onward: bool, held_s: float) -> None:
        """Record that a request released its slot after held_s seconds."""
        self._demand(is_onward).add_hold_time(held_s)

    def prefers_new_chain(
        self, running_new: int, capacity: int, now: float
    ) -> bool:
        """Return whether the next slot is for a request that starts a chain.

        running_new is the number of such requests that hold a slot, capacity
        the total number of slots.
        """
        return running_new < self.new_chain_share(now) * capacity

    def new_chain_share(self, now: float) -> float:
        """Return the share of the slots for requests that start a chain."""
        self._decay(now)
        if self._new_chains.arrivals and not self._new_chains.mean_held_s:
            # The hold time is unknown until a first request ends, which
            # requires a slot.
            return _MAX_NEW_CHAIN_SHARE
        new_chain_load = (
            self._new_chains.arrivals * self._new_chains.mean_held_s
        )
        total_load = (
            new_chain_load
            + self._onward_calls.arrivals * self._onward_calls.mean_held_s
        )
        return (
            min(new_chain_load / total_load, _MAX_NEW_CHAIN_SHARE)
            if total_load
            else 0.0
        )

    def _demand(self, is_onward: bool) -> _Demand:
        return self._onward_calls if is_onward else self._new_chains

    def _decay(self, now: float) -> None:
        elapsed_s = max(now - self._decayed_at, 0.0)
        factor = math.exp(-elapsed_s / _DECAY_TIME_S)
        self._new_chains.arrivals *= factor
        self._onward_calls.arrivals *= factor
        self._decayed_at = now
