"""Selection of the owner node for a call (design, section 5, step 3).

Members are selected by power of two choices. Calls stay in the node's own zone
until the selected local member is nearly full or fails calls, and a remote
member has a considerably lower score. The load of a member is the number of
outstanding calls of this node plus the load that the member last reported, as
a share of its concurrency limit. The score is the load plus the share of calls
that the upstream of the member fails.

Example: member = picker.pick('siop', excluded=set(), now=now)
"""

import dataclasses
import math
import random as random_module
import typing

from godwitstall import messages
from godwitstall.routing import notices as notices_module
from godwitstall.routing import view as view_module

# Load up to which calls stay in the own zone, as a share of the limit. A
# member that is not full runs a call immediately, so another zone would not
# run it sooner.
ZONE_FULL_LOAD = 0.9

# Largest excess of the local over the best remote score at which calls stay in
# the own zone when it is full or fails calls, as a share of the limit.
ZONE_LOAD_MARGIN = 0.25

# Weight of one call in the moving average of failed calls.
_FAILURE_WEIGHT = 0.04

# Half-life of the failed share, seconds. Without decay, a member that gets no
# calls could not show that it has recovered.
_FAILURE_HALF_LIFE_S = 3.0

# Age at which a load report has no weight, seconds. Without expiry, a member
# that once reported a high load would never be selected again.
REPORT_LIFETIME_S = 2.0

# Initial and longest time for which a failed member is avoided, seconds. A
# broken link is reconnected within a few hundred milliseconds, and control
# removes a failed member after 3 s.
INITIAL_AVOIDANCE_S = 0.2
MAX_AVOIDANCE_S = 5.0

# Lowest rate limit with which intervals between calls are calculated, requests
# per second, and longest interval, seconds.
_MIN_RATE_PER_S = 0.5
MAX_CALL_INTERVAL_S = 5.0

# Factors of the interval between calls after a call that the owner rejected
# because of its load, and after any other.
_BACKOFF_FACTOR = 2.0
_SPEED_UP_FACTOR = 0.9


@dataclasses.dataclass(slots=True)
class _MemberStats:
    """Load and failures of one member, as seen by this node."""

    # Calls sent to the member and not yet answered.
    outstanding: int = 0
    # Queued and running requests in the last report.
    reported: int = 0
    # Concurrency limit in the last report; before the first, the slots of the
    # member.
    limit: int = 1
    # Time of the last report, seconds.
    reported_at: float = float('-inf')
    # Consecutive failures; an answer of an owner that works resets them.
    failures: int = 0
    # Time until which the member is avoided, seconds.
    avoided_until: float = float('-inf')
    # Moving average of the share of calls that the upstream failed, 0 to 1.
    failed_share: float = 0.0
    # Time of the last update of failed_share, seconds.
    failed_at: float = 0.0
    # Interval between calls of this node to a member whose upstream names a
    # rate limit, 0 without one, and time of the next call, seconds.
    call_interval_s: float = 0.0
    next_call_at: float = float('-inf')
    # End of the time for which the upstream is cold, seconds, and the requests
    # per second that it accepts until then.
    cold_until: float = float('-inf')
    cold_rate: float = math.inf


class Picker:
    """Selects among the members of a service that accept new work."""

    def __init__(
        self,
        view: view_module.View,
        own_zone: str,
        random: random_module.Random,
    ) -> None:
        self._view = view
        self._own_zone = own_zone
        self._random = random
        self._stats: dict[messages.NodeId, _MemberStats] = {}
        # What upstreams have announced in their answers.
        self.notices = notices_module.Notices()
        # Members that accept work, by service: own zone, other zones.
        self._candidate_cache: dict[
            str, tuple[list[messages.Member], list[messages.Member]]
        ] = {}
        view.on_change.append(self._on_view_change)

    def pick(
        self,
        service: str,
        excluded: set[messages.NodeId],
        now: float,
        must_be_usable: bool = False,
    ) -> messages.Member | None:
        """Return the member to send a call to, or None when there is none.

        Members that failed recently, and those whose upstream names a rate
        limit of which this node has used its share, are selected only when no
        other is available, and never if must_be_usable is set.
        """
        local, remote = self._candidates(service)
        best_local = self._best_of_two(local, excluded, now)
        if best_local is not None and self._has_capacity(best_local, now):
            return best_local
        best_remote = self._best_of_two(remote, excluded, now)
        if best_local is None or best_remote is None:
            best = best_local or best_remote
            if best is not None or must_be_usable:
                return best
            return self._first_to_recover(local + remote, excluded, now)
        margin = self.score(best_local, now) - self.score(best_remote, now)
        return best_local if margin <= ZONE_LOAD_MARGIN else best_remote

    def node_count(self) -> int:
        """Return the number of nodes in the fleet."""
        return len(self._view.members)

    def on_dispatch(self, node_id: messages.NodeId, now: float) -> None:
        """Count a call that is sent to a member."""
        stats = self._stats_of(node_id)
        stats.outstanding += 1
        limit = self.notices.limit_of(node_id)
        if now < stats.cold_until:
            limit = min(limit, stats.cold_rate)
        if math.isinf(limit):
            stats.call_interval_s = 0.0
            return
        if not stats.call_interval_s:
            even_share = max(limit, _MIN_RATE_PER_S) / max(
                self.node_count(), 1
            )
            stats.call_interval_s = min(1 / even_share, MAX_CALL_INTERVAL_S)
        stats.next_call_at = now + stats.call_interval_s
        if now < stats.cold_until:
            stats.next_call_at = min(stats.next_call_at, stats.cold_until)

    def on_answer(
        self,
        node_id: messages.NodeId,
        load: messages.LoadReport | None,
        is_unreachable: bool,
        now: float,
        is_overloaded: bool = False,
    ) -> None:
        """Count the end of a call and store the load report of its answer.

        is_unreachable means that the link was lost or the owner rejected the
        call because it is down, is_overloaded that it rejected the call
        because it has too many.
        """
        stats = self._stats_of(node_id)
        stats.outstanding = max(stats.outstanding - 1, 0)
        if is_overloaded:
            stats.call_interval_s = min(
                stats.call_interval_s * _BACKOFF_FACTOR, MAX_CALL_INTERVAL_S
            )
        elif load is not None:
            stats.call_interval_s *= _SPEED_UP_FACTOR
        if load is not None:
            if self.notices.on_report(node_id, load):
                self._candidate_cache.clear()
            _update_cold(stats, load, now)
            stats.reported = load.queued + load.in_flight
            stats.limit = max(load.limit, 1)
            stats.reported_at = now
        if not is_unreachable:
            # Without a report, the owner did not answer: the caller gave up or
            # the call timed out, which is no evidence that the owner works.
            if load is not None:
                stats.failures = 0
                stats.avoided_until = float('-inf')
        elif now >= stats.avoided_until:
            # Calls that fail during the avoidance do not count again.
            stats.failures += 1
            stats.avoided_until = now + min(
                INITIAL_AVOIDANCE_S * 2.0 ** min(stats.failures - 1, 10),
                MAX_AVOIDANCE_S,
            )

    def on_outcome(
        self, node_id: messages.NodeId, is_failed: bool, now: float
    ) -> None:
        """Count whether the upstream of a member failed a call.

        An upstream can fail some of its calls while its health checks succeed,
        so the results of calls are counted as well.
        """
        stats = self._stats_of(node_id)
        share = _current_failed_share(stats, now)
        stats.failed_share = share + _FAILURE_WEIGHT * (is_failed - share)
        stats.failed_at = now

    def score(self, member: messages.Member, now: float) -> float:
        """Return the load of a member as a share of its limit.

        The share of calls that its upstream fails is added.
        """
        stats = self._stats.get(member.node_id)
        if stats is None:
            return 0.0
        return _load_share(stats, now) + _current_failed_share(stats, now)

    def _has_capacity(self, member: messages.Member, now: float) -> bool:
        """Return whether a member has no recent failures and is not full."""
        stats = self._stats.get(member.node_id)
        if stats is None:
            return True
        return _load_share(stats, now) <= ZONE_FULL_LOAD and not (
            _current_failed_share(stats, now)
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the statistics of each member, for /state."""
        return {
            node_id: dataclasses.asdict(stats)
            for node_id, stats in self._stats.items()
        }

    def _candidates(
        self, service: str
    ) -> tuple[list[messages.Member], list[messages.Member]]:
        candidates = self._candidate_cache.get(service)
        if candidates is None:
            usable = [
                member
                for member in self._view.members_of(service)
                if self._accepts_work(member)
            ]
            candidates = (
                [m for m in usable if m.zone == self._own_zone],
                [m for m in usable if m.zone != self._own_zone],
            )
            self._candidate_cache[service] = candidates
        return candidates

    def _accepts_work(self, member: messages.Member) -> bool:
        rule = self._view.upstream_rule(member.node_id)
        return (
            member.state is messages.UpstreamState.READY
            and not member.is_drained
            and not self.notices.has_left(member)
            and not (rule is not None and rule.is_withdrawn)
        )

    def _best_of_two(
        self,
        members: list[messages.Member],
        excluded: set[messages.NodeId],
        now: float,
    ) -> messages.Member | None:
        first = self._sample_member(members, excluded, None, now)
        if first is None or len(members) == 1:
            return first
        second = self._sample_member(members, excluded, first, now)
        if second is None:
            return first
        if self.score(second, now) < self.score(first, now):
            return second
        return first

    def _sample_member(
        self,
        members: list[messages.Member],
        excluded: set[messages.NodeId],
        first: messages.Member | None,
        now: float,
    ) -> messages.Member | None:
        """Return a random eligible member other than first."""
        count = len(members)
        if not count:
            return None
        # A few random tries nearly always succeed; the full scan is the slow
        # path.
        for _ in range(4):
            member = members[int(self._random.random() * count)]
            if member is not first and self._is_eligible(
                member, excluded, now
            ):
                return member
        eligible = [
            member
            for member in members
            if member is not first and self._is_eligible(member, excluded, now)
        ]
        return self._random.choice(eligible) if eligible else None

    def _is_eligible(
        self,
        member: messages.Member,
        excluded: set[messages.NodeId],
        now: float,
    ) -> bool:
        if member.node_id in excluded:
            return False
        stats = self._stats.get(member.node_id)
        return stats is None or _usable_from(stats) <= now

    def _first_to_recover(
        self,
        members: list[messages.Member],
        excluded: set[messages.NodeId],
        now: float,
    ) -> messages.Member | None:
        """Return the avoided member whose avoidance ends first.

        After a loss of power, cold members warm up at almost the same time. A
        random one of them is returned, or all nodes would send to the first.
        """

        def recovery(member: messages.Member) -> tuple[float, float]:
            stats = self._stats_of(member.node_id)
            is_cold = now < stats.cold_until
            usable_from = (
                stats.avoided_until if is_cold else _usable_from(stats)
            )
            return max(usable_from, now), self._random.random()

        return min(
            (member for member in members if member.node_id not in excluded),
            key=recovery,
            default=None,
        )

    def _stats_of(self, node_id: messages.NodeId) -> _MemberStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = _MemberStats()
            member = self._view.members.get(node_id)
            if member is not None:
                stats.limit = max(member.slots, 1)
        return stats

    def _on_view_change(self) -> None:
        self._candidate_cache.clear()
        members = self._view.members
        for node_id in [n for n in self._stats if n not in members]:
            if not self._stats[node_id].outstanding:
                del self._stats[node_id]


def _usable_from(stats: _MemberStats) -> float:
    """Return the time from which a member gets calls, seconds."""
    if not stats.call_interval_s:
        return stats.avoided_until
    return max(stats.avoided_until, stats.next_call_at)


def _update_cold(
    stats: _MemberStats, load: messages.LoadReport, now: float
) -> None:
    """Store for how long an upstream is cold, by a report.

    The interval between calls ends with the cold time. Otherwise a node would
    learn only with its next call that the upstream is warm.
    """
    was_cold = now < stats.cold_until
    if load.cold_ms and load.rate_limit is not None:
        stats.cold_until = now + load.cold_ms / 1000
        stats.cold_rate = load.rate_limit
    elif was_cold:
        stats.cold_until = float('-inf')
        stats.call_interval_s = 0.0


def _load_share(stats: _MemberStats, now: float) -> float:
    age = now - stats.reported_at
    if age >= REPORT_LIFETIME_S:
        return stats.outstanding / stats.limit
    weight = 1 - max(age, 0) / REPORT_LIFETIME_S
    return (stats.outstanding + stats.reported * weight) / stats.limit


def _current_failed_share(stats: _MemberStats, now: float) -> float:
    if not stats.failed_share:
        return 0.0
    age = max(now - stats.failed_at, 0.0)
    share = float(stats.failed_share * 0.5 ** (age / _FAILURE_HALF_LIFE_S))
    # A share below one recent failure must not decide between idle members.
    return share if share > _FAILURE_WEIGHT / 2 else 0.0
