"""Token buckets of all workspaces at the leader (requirement R4).

For each workspace the ledger keeps the level of its bucket and the number of
outstanding tokens: tokens that were granted and have neither expired nor been
reported as spent or returned. It maintains level + outstanding <= burst. The
tokens that nodes spend in a window were outstanding at its start, or come from
the level at its start, or from the refill within it: together at most burst +
rate x window.

Reports. A request carries the number of tokens that its node still holds, the
number that it returns, and a sequence number that increases with each request
of the process. A node has one request open at a time and never uses a reply
after it stopped waiting for that reply. The tokens that a request reports as
held are therefore all that its node can spend, unless a later request arrived
before it; such a stale request is dropped. Without sequence numbers, a request
delayed on a former connection would make the ledger drop tokens granted since.
Returned tokens are added to the level, up to the number that this ledger
counts as outstanding.

Leader changes. A new leader does not know the grants of previous leaders,
whose tokens stay valid for up to one lifetime. At most half of the burst,
rounded up, is outstanding at any time. A new leader starts with level 0. For
one lifetime it refills at no more than the other half of the burst per
lifetime and keeps level + outstanding within that half. Several leader changes
within one lifetime also maintain the invariant, because the combined refill of
all new leaders stays within the same bound.

Fairness. A node whose recent grants exceed the mean leaves some tokens for
others: a tenth of the burst, or, if it is more, the number of tokens that
nodes at or below the mean requested without success. Prefetched tokens, which
no call waits for yet, come only from the upper part of the level, and the
prefetched tokens of one node are bounded, so that tokens are left for waiting
calls at other nodes.

Example: ledger.grant('n1', 3, [Want('shop-3', wanted=5, number=1)], now)
"""

import collections
import dataclasses
import math

from godwitstall import messages

# Share of the burst that nodes above the mean leave for others.
_RESERVE_SHARE = 0.1

# Share of the burst below which the level is not used for prefetched tokens.
_PREFETCH_LEVEL_SHARE = 0.25

# Share of the maximum outstanding tokens up to which tokens are prefetched.
_PREFETCH_OUTSTANDING_SHARE = 0.5

# Longest decay time of recent_tokens, seconds.
_MAX_DECAY_TIME_S = 10.0

# Longest retry delay sent to nodes, milliseconds.
_MAX_RETRY_AFTER_MS = 60_000

# Tolerance for comparing a level with a whole number of tokens: the sum of
# many small refills can be slightly below it.
_ROUNDING_TOLERANCE = 1e-9


@dataclasses.dataclass(slots=True, eq=False)
class _Holder:
    """Tokens and requests of one process for one workspace."""

    # Sequence number of the last request.
    number: int = -1
    # Unexpired grants, oldest first.
    batches: 'collections.deque[_Batch]' = dataclasses.field(
        default_factory=collections.deque
    )
    # Total tokens of the batches.
    outstanding: int = 0
    # Time of the last request that wanted tokens, seconds.
    requested_at: float = -math.inf
    # Tokens that waiting calls did not get in the last request with waiting
    # calls; 0 when the holder was above the mean.
    unmet: int = 0
    # Recently granted tokens; decays with the decay time of the bucket.
    recent_tokens: float = 0.0
    # Time up to which recent_tokens has decayed, seconds.
    decayed_at: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class _Batch:
    """Tokens of one grant that may be unspent."""

    # Time after which no node spends the tokens, seconds.
    expires_at: float
    # Tokens not reported as spent.
    tokens: int
    # Process that holds the tokens.
    holder: _Holder


class _Bucket:
    """Bucket of one workspace; the times passed to it never decrease."""

    def __init__(self, lifetime_s: float, now: float) -> None:
        self.lifetime_s = lifetime_s
        # Requests per second.
        self.rate = 0.0
        # Largest number of tokens, level and outstanding together.
        self.burst = 0
        # Tokens available for grants.
        self.level = 0.0
        # Time up to which the level is filled, seconds.
        self.filled_at = now
        # Time until which tokens of previous leaders may be spent, seconds.
        self.settled_at = 0.0
        # Tokens that nodes may still spend.
        self.outstanding = 0
        # Holders by node id and incarnation.
        self.holders: dict[tuple[str, int], _Holder] = {}
        # All grants in order of expiry.
        self.batches: collections.deque[_Batch] = collections.deque()
        # (time of a request, key, holder), one entry per active holder.
        self.recent_requests: collections.deque[
            tuple[float, tuple[str, int], _Holder]
        ] = collections.deque()
        # Number of active holders, and the sums of their fields.
        self.active_holders = 0
        self.unmet = 0
        self.recent_tokens = 0.0
        # Time up to which recent_tokens has decayed, seconds.
        self.decayed_at = now

    @property
    def decay_time_s(self) -> float:
        """Time constant of recent_tokens and lifetime of requests, seconds."""
        token_interval_s = 1 / max(self.rate, 1 / _MAX_DECAY_TIME_S)
        return max(self.lifetime_s, token_interval_s)

    def advance(self, now: float) -> None:
        """Refill the level; drop expired grants and inactive holders."""
        now = max(now, self.filled_at)
        unsettled_s = max(min(now, self.settled_at) - self.filled_at, 0.0)
        slow_rate = min(self.rate, self.burst // 2 / self.lifetime_s)
        self.level += unsettled_s * slow_rate
        self.level += (now - self.filled_at - unsettled_s) * self.rate
        self.filled_at = now
        while self.batches and self.batches[0].expires_at <= now:
            self._deduct(self.batches.popleft(), None)
        while self.recent_requests:
            requested_at, key, holder = self.recent_requests[0]
            if requested_at + self.decay_time_s > now:
                break
            self.recent_requests.popleft()
            if holder.requested_at + self.decay_time_s > now:
                self.recent_requests.append((holder.requested_at, key, holder))
                continue
            self._set_unmet(holder, 0)
            self._decay(holder, now)
            self.recent_tokens -= holder.recent_tokens
            self.active_holders -= 1
            # An inactive holder has no tokens left, so its sequence number is
            # no longer needed.
            del self.holders[key]
        self.cap_level(now)

    def cap_level(self, now: float) -> None:
        """Limit level + outstanding to its bound."""
        limit = self.burst if now >= self.settled_at else self.burst // 2
        self.level = max(min(self.level, limit - self.outstanding), 0.0)

    def grant(
        self, key: tuple[str, int], want: messages.Want, now: float
    ) -> messages.Grant | None:
        """Return the grant for a want, or None when the want is stale."""
        self.advance(now)
        holder = self.holders.get(key)
        if holder is None:
            holder = self.holders[key] = _Holder(
                requested_at=now, decayed_at=now
            )
            self.active_holders += 1
            self.recent_requests.append((now, key, holder))
        if want.number <= holder.number:
            return None
        holder.number = want.number
        self._apply_report(holder, want)
        self.cap_level(now)
        if want.wanted:
            holder.requested_at = now
        self._decay(holder, now)
        waiting = min(want.waiting, want.wanted)
        is_above_mean = (
            holder.recent_tokens * self.active_holders
            > self.recent_tokens + _ROUNDING_TOLERANCE
        )
        tokens = min(waiting, self._max_grant(holder, is_above_mean))
        unmet = waiting - tokens
        if waiting:
            # A request without waiting calls does not clear the unmet tokens
            # of a call that was rejected before.
            self._set_unmet(holder, 0 if is_above_mean else unmet)
        if tokens == waiting:
            prefetch = self._max_prefetch(holder, tokens)
            tokens += min(max(prefetch, 0), want.wanted - waiting)
        if tokens:
            batch = _Batch(now + self.lifetime_s, tokens, holder)
            self.batches.append(batch)
            holder.batches.append(batch)
            holder.outstanding += tokens
            holder.recent_tokens += tokens
            self.recent_tokens += tokens
            self.outstanding += tokens
            self.level -= tokens
        return messages.Grant(
            want.workspace, tokens, self._retry_after_ms(unmet)
        )

    def _apply_report(self, holder: _Holder, want: messages.Want) -> None:
        """Apply a request's report of held and returned tokens."""
        released = holder.outstanding - want.held
        if released <= 0:
            return
        self.level += min(want.returned, released)
        # The request does not say which grants were spent. The newest grants
        # are kept, because they expire last.
        while released > 0:
            batch = holder.batches[0]
            count = min(released, batch.tokens)
            self._deduct(batch, count)
            released -= count

    def _deduct(self, batch: _Batch, count: int | None) -> None:
        """Remove count tokens from a batch; None removes all."""
        count = batch.tokens if count is None else count
        batch.tokens -= count
        batch.holder.outstanding -= count
        self.outstanding -= count
        batches = batch.holder.batches
        while batches and not batches[0].tokens:
            batches.popleft()

    def _decay(self, holder: _Holder, now: float) -> None:
        """Decay the recent tokens of the holder and the bucket up to now."""
        self.recent_tokens *= math.exp(
            (self.decayed_at - now) / self.decay_time_s
        )
        self.decayed_at = now
        holder.recent_tokens *= math.exp(
            (holder.decayed_at - now) / self.decay_time_s
        )
        holder.decayed_at = now

    def _set_unmet(self, holder: _Holder, unmet: int) -> None:
        self.unmet += unmet - holder.unmet
        holder.unmet = unmet

    def _max_grant(self, holder: _Holder, is_above_mean: bool) -> int:
        """Return the largest grant for waiting calls."""
        max_outstanding = (self.burst + 1) // 2
        available = min(self.level, max_outstanding - self.outstanding)
        if is_above_mean:
            others_unmet = self.unmet - holder.unmet
            reserve = max(int(self.burst * _RESERVE_SHARE), others_unmet)
            available -= min(reserve, max_outstanding)
        return max(math.floor(available + _ROUNDING_TOLERANCE), 0)

    def _max_prefetch(self, holder: _Holder, granted: int) -> int:
        """Return the largest prefetch in addition to the granted tokens."""
        max_outstanding = (self.burst + 1) // 2
        holder_limit = (
            max_outstanding * _PREFETCH_OUTSTANDING_SHARE / self.active_holders
        )
        return math.floor(
            min(
                self.level - granted - self.burst * _PREFETCH_LEVEL_SHARE,
                max_outstanding * _PREFETCH_OUTSTANDING_SHARE
                - self.outstanding
                - granted,
                holder_limit - holder.outstanding - granted,
            )
        )

    def _retry_after_ms(self, unmet: int) -> int:
        if not unmet:
            return 0
        retry_after_ms = 1000 * unmet / max(self.rate, 1e-9)
        return max(math.ceil(min(retry_after_ms, _MAX_RETRY_AFTER_MS)), 1)


class Ledger:
    """Grants tokens so that no workspace exceeds its rate."""

    def __init__(self, lifetime_s: float) -> None:
        # Time for which a token may be spent after its request, seconds.
        self.lifetime_s = lifetime_s
        self._settled_at = 0.0
        self._buckets: dict[str, _Bucket] = {}

    def start_term(self, now: float) -> None:
        """Discard all grants because this replica has become the leader."""
        self._settled_at = now + self.lifetime_s
        for name, previous in list(self._buckets.items()):
            bucket = self._buckets[name] = self._new_bucket(now)
            bucket.rate = previous.rate
            bucket.burst = previous.burst

    def set_workspaces(
        self,
        workspaces: list[messages.Workspace],
        now: float,
        new_names: set[str],
    ) -> None:
        """Apply the configured rates and bursts.

        new_names are the workspaces that the last release note created; they
        start with a full bucket. A name that this ledger has seen before, or
        that is added while tokens of previous leaders may be spent, starts
        with an empty bucket, because it may be a workspace that was removed
        and created again.
        """
        configured = {workspace.name: workspace for workspace in workspaces}
        for name in self._buckets:
            # The bucket of a removed workspace is kept, so that its name stays
            # known.
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
            bucket.cap_level(now)

    def grant(
        self,
        node_id: str,
        incarnation: int,
        wants: list[messages.Want],
        now: float,
    ) -> list[messages.Grant]:
        """Return the tokens that a node may spend, one grant per workspace.

        An unknown workspace gets no tokens. A stale request gets no grant.
        """
        grants = []
        for want in wants:
            bucket = self._buckets.get(want.workspace)
            if bucket is None:
                grants.append(
                    messages.Grant(want.workspace, 0, _MAX_RETRY_AFTER_MS)
                )
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
                'active_nodes': bucket.active_holders,
            }
            for name, bucket in self._buckets.items()
        }

    def _new_bucket(self, now: float) -> _Bucket:
        bucket = _Bucket(self.lifetime_s, now)
        bucket.settled_at = self._settled_at
        return bucket
