"""Local spending of a node while the token ledger is unreachable.

Control may have no leader for a second, or the node may be cut off for a long
time. If the node then rejected every call of a workspace, an outage of control
would become an outage of the service. Instead, the node spends its own share
of each rate: the rate divided by the number of nodes. Shortly after the last
reply of the ledger, probably no node can reach the ledger, and nearly the
whole rate is divided among the nodes. Later, the other nodes can probably
reach the ledger again, and local spending adds to their spending, so a smaller
share of the rate is used.

Most nodes start without a token, because one token at each of 200 nodes would
exceed a small rate many times over.

Example: share.set_rates({'shop-3': 72.0}, node_count=13)
         share.try_take('shop-3', now)
"""

import dataclasses
import random as random_module

# Time without a ledger reply after which other nodes are assumed to reach the
# ledger, seconds. An election takes about one second.
_ISOLATED_AFTER_S = 2.0

# Interval at which an unreachable ledger is tried again, seconds.
_LEDGER_RETRY_S = 1.0

# Share of the rate that is divided among the nodes, before and after
# _ISOLATED_AFTER_S.
_SHARED_OUTAGE_SHARE = 0.9
_ISOLATED_SHARE = 0.4

# Bucket depth as a duration of the local rate, seconds, and its minimum,
# requests.
_BUCKET_DEPTH_S = 1.0
_MIN_BUCKET_DEPTH = 1.0

# Initial tokens of all nodes together: a duration of the rate, seconds, plus a
# number of requests.
_INITIAL_LEVEL_S = 0.2
_INITIAL_LEVEL_REQUESTS = 5.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace."""

    # Tokens at filled_at.
    level: float
    # Time of the last refill, seconds.
    filled_at: float


class LocalShare:
    """Token buckets of one node for use while the ledger is unreachable."""

    def __init__(self, random: random_module.Random | None = None) -> None:
        self.random = random or random_module.Random()
        # Rates by workspace, requests per second over the whole fleet.
        self.rates: dict[str, float] = {}
        # Number of nodes that share the rates.
        self.node_count = 1
        # Time of the last ledger reply, seconds.
        self.ledger_replied_at = float('-inf')
        # Start of the outage, seconds; None while the ledger is reachable.
        self.outage_began_at: float | None = None
        # Time of the last failed request to the ledger, seconds.
        self.ledger_lost_at = float('-inf')
        self._buckets: dict[str, _Bucket] = {}

    def set_rates(self, rates: dict[str, float], node_count: int) -> None:
        """Set the rates in force and the number of nodes."""
        self.rates = rates
        self.node_count = max(node_count, 1)

    def on_ledger_lost(self, now: float) -> None:
        """Record that the ledger did not reply."""
        self.ledger_lost_at = now
        if self.outage_began_at is None:
            self.outage_began_at = now
            # Tokens left from an earlier outage are kept, and the time between
            # outages adds none.
            for bucket in self._buckets.values():
                bucket.filled_at = now

    def on_ledger_reply(self, now: float) -> None:
        """Record that the ledger replied."""
        self.outage_began_at = None
        self.ledger_replied_at = now

    def should_try_ledger(self, now: float) -> bool:
        """Return whether the next call should request a token from the ledger.

        For a node with few calls, such a request is the only way to detect
        that the ledger is reachable again.
        """
        is_outage = self.outage_began_at is not None
        return not is_outage or now - self.ledger_lost_at > _LEDGER_RETRY_S

    def try_take(self, workspace: str, now: float) -> bool:
        """Take a token; return False when the node's share is used up."""
        rate = self.local_rate(workspace, now)
        depth = max(rate * _BUCKET_DEPTH_S, _MIN_BUCKET_DEPTH)
        bucket = self._buckets.get(workspace)
        if bucket is None:
            # Tokens from the ledger may still be unspent, so the bucket starts
            # at a low level.
            bucket = _Bucket(self._initial_level(workspace), now)
            self._buckets[workspace] = bucket
        filled = bucket.level + (now - bucket.filled_at) * rate
        bucket.level = min(filled, depth)
        bucket.filled_at = now
        if bucket.level < 1:
            return False
        bucket.level -= 1
        return True

    def _initial_level(self, workspace: str) -> float:
        """Return the initial level of a bucket, 0 or 1 at random.

        The expected total over all nodes is the initial number of tokens, but
        at most one token per node.
        """
        rate = self.rates.get(workspace, 0.0)
        mean_level = (
            rate * _INITIAL_LEVEL_S + _INITIAL_LEVEL_REQUESTS
        ) / self.node_count
        return float(mean_level > self.random.random())

    def local_rate(self, workspace: str, now: float) -> float:
        """Return the node's share of a rate, requests per second."""
        is_isolated = now - self.ledger_replied_at > _ISOLATED_AFTER_S
        share = _ISOLATED_SHARE if is_isolated else _SHARED_OUTAGE_SHARE
        return self.rates.get(workspace, 0.0) * share / self.node_count
