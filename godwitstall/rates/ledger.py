"""Token buckets of all workspaces at the leader (requirement R4).

For each workspace the ledger knows the level of its bucket and the tokens
that are outstanding: granted, and neither reported spent or returned nor
expired. It keeps level + outstanding <= burst. The tokens that nodes spend in
a window were outstanding at its start, or come from the level at its start,
or from the refill within it: together at most burst + rate x window.

Reports. A request carries the tokens that its node still holds, those that
it gives up, and a number that rises with each request of the process. A node
has one request open at a time and never uses a reply that it has given up
waiting for. So what a request says it holds is all that its node can spend,
unless a later request has arrived before; such a stale request is dropped.
Without numbers, a request that lingers at a former connection would make the
ledger forget tokens granted since. Returned tokens go back to the level, but
only as far as this ledger knows them as outstanding.

Leader changes. A new leader does not know the grants of former ones, which
can live on for one lifetime. At most half of the burst, rounded up, is
outstanding at any time. A new leader starts with level 0, and for one
lifetime it refills at no more than the other half of the burst in a lifetime
and keeps level + outstanding within that half. Several leader changes within
one lifetime also keep the invariant, because the refill of all new leaders
together stays within the same bound.

Fairness. A node that got more than the mean lately leaves some tokens for
others: a tenth of the burst, and what nodes at or below the mean asked for
in vain. Tokens
ahead of demand come from the upper part of the level only, and a node's part
of them is bounded, so that the calls that wait at other nodes find some.

Example: ledger.grant('n1', 3, [Want('shop-3', wanted=5, number=1)], now)
"""

import collections
import dataclasses
import math

from godwitstall import messages

# Share of the burst that nodes above the mean leave for others.
_RESERVE_SHARE = 0.1

# Share of the burst below which the level serves only calls that wait.
_AHEAD_LEVEL_SHARE = 0.25

# Share of the outstanding tokens that may be ahead of demand.
_AHEAD_OUTSTANDING_SHARE = 0.5

# Longest time for which requests count in the fair shares, seconds.
_MAX_MEMORY_S = 10.0

# Longest time to come back that is told, milliseconds.
_MAX_RETRY_MS = 60_000

# Tolerance when a level is compared with whole tokens: a sum of many small
# refills can stay just below the whole number.
_ROUNDING = 1e-9


@dataclasses.dataclass(slots=True, eq=False)
class _Holder:
    """What one process has of one workspace."""

    # Number of the last request.
    number: int = -1
    # Unexpired grants, oldest first.
    batches: 'collections.deque[_Batch]' = dataclasses.field(
        default_factory=collections.deque
    )
    # Sum of the batches.
    outstanding: int = 0
    # Time of the last request that asked for tokens, seconds.
    asked_at: float = -math.inf
    # Tokens that calls waited for in vain in the last request, when the
    # holder was not above the mean.
    unmet: int = 0
    # Tokens granted lately; decays with the memory of the bucket.
    share: float = 0.0
    # Time to which share has decayed, seconds.
    share_at: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Batch:
    """Tokens of one grant that may be unspent."""

    # Time after which no node spends them, seconds.
    expires_at: float
    # Tokens not known to be spent.
    tokens: int
    # Process that has them.
    holder: _Holder


class _Bucket:
    """One workspace; its methods are called with a time that never falls."""

    def __init__(self, lifetime_s: float, now: float) -> None:
        self.lifetime_s = lifetime_s
        # Requests per second.
        self.rate = 0.0
        # Most tokens, level and outstanding together.
        self.burst = 0
        # Tokens that can be granted.
        self.level = 0.0
        # Time up to which the level is filled, seconds.
        self.filled_at = now
        # Until when tokens of former leaders may be in use, seconds.
        self.settled_at = 0.0
        # Tokens that nodes may still spend.
        self.outstanding = 0
        # By node id and incarnation.
        self.holders: dict[tuple[str, int], _Holder] = {}
        # All grants in order of expiry.
        self.batches: collections.deque[_Batch] = collections.deque()
        # (time of a request, key, holder), one entry an active holder.
        self.requests: collections.deque[
            tuple[float, tuple[str, int], _Holder]
        ] = collections.deque()
        # Holders that asked lately, and the sums of their fields.
        self.active = 0
        self.unmet = 0
        self.share = 0.0
        # Time to which the shares have decayed, seconds.
        self.share_at = now

    @property
    def memory_s(self) -> float:
        """Time for which requests count in the fair shares, seconds."""
        wait_s = 1 / max(self.rate, 1 / _MAX_MEMORY_S)
        return max(self.lifetime_s, wait_s)

    def advance(self, now: float) -> None:
        """Refill the level; drop expired grants and forgotten requests."""
        now = max(now, self.filled_at)
        unsettled_s = max(min(now, self.settled_at) - self.filled_at, 0.0)
        slow_rate = min(self.rate, self.burst // 2 / self.lifetime_s)
        self.level += unsettled_s * slow_rate
        self.level += (now - self.filled_at - unsettled_s) * self.rate
        self.filled_at = now
        while self.batches and self.batches[0].expires_at <= now:
            self._lower(self.batches.popleft(), None)
        while self.requests:
            asked_at, key, holder = self.requests[0]
            if asked_at + self.memory_s > now:
                break
            self.requests.popleft()
            if holder.asked_at + self.memory_s > now:
                self.requests.append((holder.asked_at, key, holder))
                continue
            self._set_unmet(holder, 0)
            self._decay(holder, now)
            self.share -= holder.share
            self.active -= 1
            # It has no tokens left, so its number protects nothing.
            del self.holders[key]
        self.cap(now)

    def cap(self, now: float) -> None:
        """Keep level + outstanding within the bound."""
        limit = self.burst if now >= self.settled_at else self.burst // 2
        self.level = max(min(self.level, limit - self.outstanding), 0.0)

    def grant(
        self, key: tuple[str, int], want: messages.Want, now: float
    ) -> messages.Grant | None:
        """Return the grant for one want; None when it is stale."""
        self.advance(now)
        holder = self.holders.get(key)
        if holder is None:
            holder = self.holders[key] = _Holder(asked_at=now, share_at=now)
            self.active += 1
            self.requests.append((now, key, holder))
        if want.number <= holder.number:
            return None
        holder.number = want.number
        self._settle(holder, want)
        self.cap(now)
        if want.wanted:
            holder.asked_at = now
        self._decay(holder, now)
        waiting = min(want.waiting, want.wanted)
        is_above = holder.share * self.active > self.share + _ROUNDING
        tokens = min(waiting, self._grantable(holder, is_above))
        unmet = waiting - tokens
        if waiting:
            # A report without a want keeps the claim of the refused call.
            self._set_unmet(holder, 0 if is_above else unmet)
        if tokens == waiting:
            ahead = self._grantable_ahead(holder, tokens)
            tokens += min(max(ahead, 0), want.wanted - waiting)
        if tokens:
            batch = _Batch(now + self.lifetime_s, tokens, holder)
            self.batches.append(batch)
            holder.batches.append(batch)
            holder.outstanding += tokens
            holder.share += tokens
            self.share += tokens
            self.outstanding += tokens
            self.level -= tokens
        return messages.Grant(want.workspace, tokens, self._retry_ms(unmet))

    def _settle(self, holder: _Holder, want: messages.Want) -> None:
        """Take over what a request says of its node's tokens."""
        gone = holder.outstanding - want.held
        if gone <= 0:
            return
        self.level += min(want.returned, gone)
        # Which of the grants were spent is not known. The newest ones are
        # kept, because they are the last to expire.
        while gone > 0:
            batch = holder.batches[0]
            count = min(gone, batch.tokens)
            self._lower(batch, count)
            gone -= count

    def _lower(self, batch: _Batch, count: int | None) -> None:
        """Count tokens of a batch, or all of them, as no longer there."""
        count = batch.tokens if count is None else count
        batch.tokens -= count
        batch.holder.outstanding -= count
        self.outstanding -= count
        batches = batch.holder.batches
        while batches and not batches[0].tokens:
            batches.popleft()

    def _decay(self, holder: _Holder, now: float) -> None:
        """Let the shares of the holder and of all fade up to now."""
        self.share *= math.exp((self.share_at - now) / self.memory_s)
        self.share_at = now
        holder.share *= math.exp((holder.share_at - now) / self.memory_s)
        holder.share_at = now

    def _set_unmet(self, holder: _Holder, unmet: int) -> None:
        self.unmet += unmet - holder.unmet
        holder.unmet = unmet

    def _grantable(self, holder: _Holder, is_above: bool) -> int:
        """Return the most tokens for calls that wait."""
        most = (self.burst + 1) // 2
        free = min(self.level, most - self.outstanding)
        if is_above:
            others_unmet = self.unmet - holder.unmet
            reserve = max(int(self.burst * _RESERVE_SHARE), others_unmet)
            free -= min(reserve, most)
        return max(math.floor(free + _ROUNDING), 0)

    def _grantable_ahead(self, holder: _Holder, granted: int) -> int:
        """Return the tokens ahead of demand, after the ones granted."""
        most = (self.burst + 1) // 2
        own = most * _AHEAD_OUTSTANDING_SHARE / self.active
        return math.floor(
            min(
                self.level - granted - self.burst * _AHEAD_LEVEL_SHARE,
                most * _AHEAD_OUTSTANDING_SHARE - self.outstanding - granted,
                own - holder.outstanding - granted,
            )
        )

    def _retry_ms(self, unmet: int) -> int:
        if not unmet:
            return 0
        wait_ms = 1000 * unmet / max(self.rate, 1e-9)
        return max(math.ceil(min(wait_ms, _MAX_RETRY_MS)), 1)


class Ledger:
    """Grants tokens so that no workspace gets more than its rate."""

    def __init__(self, lifetime_s: float) -> None:
        # Time a token may be spent after it was asked for, seconds.
        self.lifetime_s = lifetime_s
        self._settled_at = 0.0
        self._buckets: dict[str, _Bucket] = {}

    def start_term(self, now: float) -> None:
        """Forget all grants: this replica has just become the leader."""
        self._settled_at = now + self.lifetime_s
        for name, old in list(self._buckets.items()):
            bucket = self._buckets[name] = self._new_bucket(now)
            bucket.rate = old.rate
            bucket.burst = old.burst

    def set_workspaces(
        self,
        workspaces: list[messages.Workspace],
        now: float,
        new_names: set[str],
    ) -> None:
        """Take over the configuration.

        new_names are the workspaces that the last release note created; they
        start with a full bucket. A name that this ledger has seen before, or
        that comes while former grants may be in use, starts empty: it may be
        a workspace that was removed and created again.
        """
        configured = {workspace.name: workspace for workspace in workspaces}
        for name in self._buckets:
            # A removed bucket stays, so that its name is known as seen.
            configured.setdefault(name, messages.Workspace(name))
        for name, workspace in configured.items():
            bucket = self._buckets.get(name)
            is_new = bucket is None and name in new_names
            if bucket is None:
                bucket = self._buckets[name] = self._new_bucket(now)
            bucket.advance(now)
            bucket.rate = workspace.rate
            bucket.burst = workspace.burst
            if is_new and now >= self._settled_at:
                bucket.level = float(workspace.burst)
            bucket.cap(now)

    def grant(
        self,
        node_id: str,
        incarnation: int,
        wants: list[messages.Want],
        now: float,
    ) -> list[messages.Grant]:
        """Return the tokens that a node may spend, one entry a workspace.

        An unknown workspace gets none. A stale request gets no entry.
        """
        grants = []
        for want in wants:
            bucket = self._buckets.get(want.workspace)
            if bucket is None:
                grants.append(messages.Grant(want.workspace, 0, _MAX_RETRY_MS))
                continue
            grant = bucket.grant((node_id, incarnation), want, now)
            if grant is not None:
                grants.append(grant)
        return grants

    def dump(self, now: float) -> dict[str, dict[str, float]]:
        """Return the state of each bucket, for /state."""
        for bucket in self._buckets.values():
            bucket.advance(now)
        return {
            name: {
                'rate': bucket.rate,
                'burst': bucket.burst,
                'level': bucket.level,
                'outstanding': bucket.outstanding,
                'active_nodes': bucket.active,
            }
            for name, bucket in self._buckets.items()
        }

    def _new_bucket(self, now: float) -> _Bucket:
        bucket = _Bucket(self.lifetime_s, now)
        bucket.settled_at = self._settled_at
        return bucket
