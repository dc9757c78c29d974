"""Rates while the ledger is out of reach, kept by one node a workspace.

A node knows only its own calls, and the parts of a rate that 200 nodes could
spend by themselves are either too small for the node that has the calls or
too large together. So each workspace has one node, its steward, that keeps a
bucket for all of them. The steward follows from the ids of the members alone
(rendezvous hashing), so that all nodes find the same one.

A steward that may be cut off itself, while others have the ledger, spends
less. Nodes that have the ledger say so when they are asked.

Example: steward.set_rates({'shop-3': 72.0}, ['n1', 'n2'])
         steward.of('shop-3') == 'n2'
         steward.try_take('shop-3', now)
"""

import collections.abc
import dataclasses
import hashlib

# Part of a rate that is spent while nobody is known to have the ledger, and
# when that is not known. The users' bound on a rate leaves a tenth and a
# fixed number of requests to what is spent beside the ledger.
_TOGETHER = 0.9
_ALONE = 0.05

# Time after which what is known of the others is too old, seconds. An
# election takes about one, and no node has the ledger in it.
_KNOWN_FOR_S = 2.0

# Depth of a bucket: a time of its rate, seconds, and requests on top. What
# the ledger gave just before may be in use still.
_DEPTH_S = 0.2
_DEPTH_REQUESTS = 5.0


@dataclasses.dataclass(slots=True)
class _Bucket:
    """Tokens of one workspace."""

    # Tokens at filled_at.
    level: float
    # Seconds.
    filled_at: float


class Steward:
    """Buckets of the workspaces that this node keeps for all nodes."""

    def __init__(self) -> None:
        # Rates by workspace, requests a second over the whole fleet.
        self.rates: dict[str, float] = {}
        # When the ledger gave tokens to this node last, seconds.
        self.had_ledger_at = float('-inf')
        # When another node said that it has no ledger either, seconds.
        self.heard_none_at = float('-inf')
        # Another node that has the ledger, and when it said so, seconds.
        self.ledger_node = ''
        self.ledger_node_at = float('-inf')
        self._node_ids: list[str] = []
        # Stewards by workspace, as far as they were looked up.
        self._stewards: dict[str, str] = {}
        self._buckets: dict[str, _Bucket] = {}

    def set_rates(
        self, rates: dict[str, float], node_ids: collections.abc.Iterable[str]
    ) -> None:
        """Take over the rates in force and the members."""
        self.rates = rates
        for workspace in [w for w in self._buckets if w not in rates]:
            del self._buckets[workspace]
        found = sorted(node_ids)
        if found != self._node_ids:
            self._node_ids = found
            self._stewards.clear()

    def of(self, workspace: str) -> str:
        """Return the node that keeps a workspace; empty without members."""
        found = self._stewards.get(workspace)
        if found is None:
            found = max(
                self._node_ids,
                key=lambda node_id: _weight(workspace, node_id),
                default='',
            )
            self._stewards[workspace] = found
        return found

    def on_told(self, node_id: str, has_ledger: bool, now: float) -> None:
        """Take note of what another node said of the ledger."""
        if has_ledger:
            self.ledger_node = node_id
            self.ledger_node_at = now
        else:
            self.heard_none_at = now

    def node_with_ledger(self, now: float) -> str:
        """Return a node that had the ledger lately, empty when none did."""
        if now - self.ledger_node_at > _KNOWN_FOR_S:
            return ''
        return self.ledger_node

    def knows_others(self, now: float) -> bool:
        """Return whether it is known if others have the ledger."""
        known_at = max(self.heard_none_at, self.had_ledger_at)
        return now - known_at <= _KNOWN_FOR_S

    def try_take(self, workspace: str, now: float) -> bool:
        """Return whether a call of any node is within the rate."""
        rate = self.rates.get(workspace, 0.0)
        depth = rate * _DEPTH_S + _DEPTH_REQUESTS
        bucket = self._buckets.get(workspace)
        if bucket is None:
            bucket = self._buckets[workspace] = _Bucket(depth, now)
        part = _TOGETHER if self.knows_others(now) else _ALONE
        filled = bucket.level + (now - bucket.filled_at) * rate * part
        bucket.level = min(filled, depth)
        bucket.filled_at = now
        if bucket.level < 1:
            return False
        bucket.level -= 1
        return True

    def wait_s(self, workspace: str, now: float) -> float:
        """Return when the next token of a workspace comes, seconds."""
        bucket = self._buckets.get(workspace)
        part = _TOGETHER if self.knows_others(now) else _ALONE
        rate = self.rates.get(workspace, 0.0) * part
        if bucket is None or not rate:
            return 1.0
        return max(1 - bucket.level, 0.0) / rate


def _weight(workspace: str, node_id: str) -> bytes:
    text = f'{workspace}\0{node_id}'.encode()
    return hashlib.blake2b(text, digest_size=8).digest()
