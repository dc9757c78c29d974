"""What a node spends of the rates while the ledger is out of reach.

Control may have no leader for a second, or the node may be cut off for long.
Refusing every call of a workspace then would turn an outage of control into
one of the service. The node spends its own part of each rate instead: the
rate over the number of nodes. While control was heard lately, all nodes are
probably without a ledger, and nearly the whole rate is shared out. Later the
others probably have the ledger back, and what is spent here comes on top, so
that only a smaller part is used.

Most nodes start without a token: a whole one at each of 200 nodes would be
many times a small rate.

Example: share.set_rates({'shop-3': 72.0}, nodes=13)
         share.try_take('shop-3', now)
"""

import dataclasses
import random as random_module

# Time without control after which the others are taken to have a ledger,
# seconds. An election takes about one.
_ALONE_AFTER_S = 2.0

# Time after which the ledger is tried again, seconds.
_TRY_AGAIN_S = 1.0

# Part of the rate that is shared out, before and after that.
_TOGETHER = 0.9
_ALONE = 0.4

# Calls of a workspace that may come at once, as a time of its share, seconds,
# and at least this many.
_DEPTH_S = 1.0
_MIN_DEPTH = 1.0

# Tokens that all nodes together start with: a time of the rate, seconds, and
# requests on top.
_START_S = 0.2
_START_REQUESTS = 5.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one workspace."""

    # Tokens at filled_at.
    level: float
    # Seconds.
    filled_at: float


class LocalShare:
    """Token buckets of one node for the time without a ledger."""

    def __init__(self, random: random_module.Random | None = None) -> None:
        self.random = random or random_module.Random()
        # Rates by workspace, requests a second over the whole fleet.
        self.rates: dict[str, float] = {}
        # Nodes that share them.
        self.nodes = 1
        # When control was heard last, seconds.
        self.heard_at = float('-inf')
        # When the outage began, seconds; None while there is a ledger.
        self.began_at: float | None = None
        # When the ledger was found out of reach last, seconds.
        self.lost_at = float('-inf')
        self._buckets: dict[str, _Bucket] = {}

    def set_rates(self, rates: dict[str, float], nodes: int) -> None:
        """Take over the rates in force and the number of nodes."""
        self.rates = rates
        self.nodes = max(nodes, 1)

    def begin(self, now: float) -> None:
        """Note that the ledger gives no tokens."""
        self.lost_at = now
        if self.began_at is None:
            self.began_at = now
            # What an earlier outage left stays; nothing comes in between.
            for bucket in self._buckets.values():
                bucket.filled_at = now

    def end(self, now: float) -> None:
        """Note that the ledger gives tokens."""
        self.began_at = None
        self.heard_at = now

    def should_try_ledger(self, now: float) -> bool:
        """Return whether the next call should ask the ledger.

        Nothing else tells a node with few calls that the ledger is back.
        """
        is_given_up = self.began_at is not None
        return not is_given_up or now - self.lost_at > _TRY_AGAIN_S

    def try_take(self, workspace: str, now: float) -> bool:
        """Return whether a call is within the node's own part."""
        rate = self.rate_of(workspace, now)
        depth = max(rate * _DEPTH_S, _MIN_DEPTH)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # Tokens of the ledger may be in use still, so it starts low.
            bucket = _Bucket(self._start(workspace), now)
            self._buckets[workspace] = bucket
        filled = bucket.level + (now - bucket.filled_at) * rate
        bucket.level = min(filled, depth)
        bucket.filled_at = now
        if bucket.level < 1:
            return False
        bucket.level -= 1
        return True

    def _start(self, workspace: str) -> float:
        """Return a first level; all nodes' together have the start as mean."""
        rate = self.rates.get(workspace, 0.0)
        part = (rate * _START_S + _START_REQUESTS) / self.nodes
        return float(part > self.random.random())

    def rate_of(self, workspace: str, now: float) -> float:
        """Return the node's own part of a rate, requests a second."""
        is_alone = now - self.heard_at > _ALONE_AFTER_S
        part = _ALONE if is_alone else _TOGETHER
        return self.rates.get(workspace, 0.0) * part / self.nodes
