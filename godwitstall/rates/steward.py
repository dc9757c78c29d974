"""Rates while the ledger is unreachable, managed by one node per workspace.

A node knows only its own calls. If each of 200 nodes spent its own share of a
rate, the share would be too small for the node that receives the calls, and
larger shares would add up to too much. Each workspace therefore has one node,
its steward, that keeps a bucket for all nodes. The steward is determined by
rendezvous hashing from the member ids alone, so that all nodes select the same
one.

A steward spends less when it may itself be cut off while other nodes reach the
ledger. Nodes that reach the ledger report this when they are asked.

Example: steward.set_rates({'shop-3': 72.0}, ['n1', 'n2'])
         steward.steward_of('shop-3') == 'n1'
         steward.try_take('shop-3', now)
"""

import collections.abc
import dataclasses
import hashlib

# Share of a rate to spend while no node is known to reach the ledger, and
# while the status of other nodes is unknown. The documented bound on a rate
# allows a tenth of it and a fixed number of requests beyond the spending
# through the ledger.
_SHARED_OUTAGE_SHARE = 0.9
_ISOLATED_SHARE = 0.05

# Time after which the ledger status of other nodes is out of date, seconds. An
# election takes about one second, and no node reaches the ledger during it.
_STATUS_LIFETIME_S = 2.0

# Bucket depth: a duration of the rate, seconds, plus a number of requests.
# Tokens that the ledger granted just before may still be unspent.
_BUCKET_DEPTH_S = 0.2
_EXTRA_DEPTH_REQUESTS = 5.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Token bucket of one workspace."""

    # Tokens at filled_at.
    level: float
    # Time of the last refill, seconds.
    filled_at: float


class Steward:
    """Buckets of the workspaces whose steward is this node."""

    def __init__(self) -> None:
        # Rates by workspace, requests per second over the whole fleet.
        self.rates: dict[str, float] = {}
        # Time of the last ledger reply to this node, seconds.
        self.had_ledger_at = float('-inf')
        # Time of the last report of another node without the ledger, seconds.
        self.peer_without_ledger_at = float('-inf')
        # Another node that reaches the ledger, and time of its report,
        # seconds.
        self.ledger_node = ''
        self.ledger_node_at = float('-inf')
        self._node_ids: list[str] = []
        # Cached stewards by workspace.
        self._stewards: dict[str, str] = {}
        self._buckets: dict[str, _Bucket] = {}

    def set_rates(
        self, rates: dict[str, float], node_ids: collections.abc.Iterable[str]
    ) -> None:
        """Set the rates in force and the ids of the members."""
        self.rates = rates
        for workspace in [w for w in self._buckets if w not in rates]:
            del self._buckets[workspace]
        sorted_ids = sorted(node_ids)
        if sorted_ids != self._node_ids:
            self._node_ids = sorted_ids
            self._stewards.clear()

    def steward_of(self, workspace: str) -> str:
        """Return the steward of a workspace; empty without members."""
        steward_id = self._stewards.get(workspace)
        if steward_id is None:
            steward_id = max(
                self._node_ids,
                key=lambda node_id: _rendezvous_weight(workspace, node_id),
                default='',
            )
            self._stewards[workspace] = steward_id
        return steward_id

    def on_ledger_status(
        self, node_id: str, has_ledger: bool, now: float
    ) -> None:
        """Record whether another node reaches the ledger."""
        if has_ledger:
            self.ledger_node = node_id
            self.ledger_node_at = now
        else:
            self.peer_without_ledger_at = now

    def node_with_ledger(self, now: float) -> str:
        """Return a node that recently reached the ledger; empty if none."""
        if now - self.ledger_node_at > _STATUS_LIFETIME_S:
            return ''
        return self.ledger_node

    def has_recent_status(self, now: float) -> bool:
        """Return whether the ledger status of the nodes is recent.

        The status is a reply of the ledger to this node, or a report of
        another node that does not reach the ledger.
        """
        status_at = max(self.peer_without_ledger_at, self.had_ledger_at)
        return now - status_at <= _STATUS_LIFETIME_S

    def try_take(self, workspace: str, now: float) -> bool:
        """Take a token for any node's call; return False if none is left."""
        rate = self.rates.get(workspace, 0.0)
        depth = rate * _BUCKET_DEPTH_S + _EXTRA_DEPTH_REQUESTS
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(depth, now)
        share = (
            _SHARED_OUTAGE_SHARE
            if self.has_recent_status(now)
            else _ISOLATED_SHARE
        )
        filled = bucket.level + (now - bucket.filled_at) * rate * share
        bucket.level = min(filled, depth)
        bucket.filled_at = now
        if bucket.level < 1:
            return False
        bucket.level -= 1
        return True

    def retry_after_s(self, workspace: str, now: float) -> float:
        """Return the time until the next token of a workspace, seconds."""
        bucket = self._buckets.get(workspace)
        share = (
            _SHARED_OUTAGE_SHARE
            if self.has_recent_status(now)
            else _ISOLATED_SHARE
        )
        rate = self.rates.get(workspace, 0.0) * share
        if bucket is None or not rate:
            return 1.0
        return max(1 - bucket.level, 0.0) / rate


def _rendezvous_weight(workspace: str, node_id: str) -> bytes:
    data = f'{workspace}\0{node_id}'.encode()
    return hashlib.blake2b(data, digest_size=8).digest()
