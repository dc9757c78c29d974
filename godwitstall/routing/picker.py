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
from godwitstall import metrics
from godwitstall.routing import figures
from godwitstall.routing import member_load
from godwitstall.routing import member_speed
from godwitstall.routing import notices as notices_module
from godwitstall.routing import spread as spread_module
from godwitstall.routing import view as view_module
from godwitstall.routing import zone_balance

_IGNORED_TIMES = metrics.counter(
    'run_times_ignored_total',
    'Reported times of upstreams that are not plausible.',
)

_ZONE_CALLS = metrics.counter(
    'zone_calls_total', 'Calls sent to another zone by reason.'
)

# Load up to which calls stay in the own zone, as a share of the limit. A
# member that is not full runs a call immediately, so another zone would not
# run it sooner.
ZONE_FULL_LOAD = 0.9

# Largest excess of the local over the best remote score at which calls stay in
# the own zone when it is full or fails calls, as a share of the limit.
ZONE_LOAD_MARGIN = 0.25


# Age up to which a load report describes a member better than the average of
# its zone, seconds. Within it, few of the requests that it counted have ended.
FRESH_REPORT_S = 0.1


class Picker:
    """Selects among the members of a service that accept new work."""

    def __init__(
        self,
        view: view_module.View,
        own_zone: str,
        random: random_module.Random,
        speeds: member_speed.MemberSpeeds | None = None,
        zones: zone_balance.ZoneBalance | None = None,
    ) -> None:
        self._view = view
        self._own_zone = own_zone
        self._random = random
        self._stats: dict[messages.NodeId, member_load.MemberStats] = {}
        # Speed of the members; None to select by load alone.
        self.speeds = speeds
        # Load of the zones; None to leave the own zone only when it is full.
        self.zones = zones
        # Spread of the work that this node sends.
        self.spread = spread_module.Spread()
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
        zones = self._view.zones
        if zones.returned_at and zones.is_returning(now):
            local, remote = zones.admit(
                local, remote, excluded, now, self._random
            )
        best_local = self._best_of_two(local, excluded, now)
        if best_local is not None and self._has_capacity(best_local, now):
            return self._lend(best_local, remote, excluded, now) or best_local
        best_remote = self._best_of_two(remote, excluded, now)
        if best_local is None or best_remote is None:
            best = best_local or best_remote
            if best is not None or must_be_usable:
                if best is best_remote is not None:
                    _ZONE_CALLS.inc(reason='no_local')
                return best
            return self._first_to_recover(local + remote, excluded, now)
        margin = self.score(best_local, now) - self._remote_score(
            best_remote, now
        )
        if margin > ZONE_LOAD_MARGIN and (
            self.zones is None
            or self._report_age_s(best_remote, now) < FRESH_REPORT_S
            or self.zones.is_emptier(best_local.service, best_remote.zone, now)
        ):
            _ZONE_CALLS.inc(reason='full')
            return best_remote
        return self._lend(best_local, remote, excluded, now) or best_local

    def _lend(
        self,
        best_local: messages.Member,
        remote: list[messages.Member],
        excluded: set[messages.NodeId],
        now: float,
    ) -> messages.Member | None:
        """Return a member of an emptier zone if the own zone is filling up."""
        service = best_local.service
        if (
            self.zones is None
            or not remote
            or not self.zones.lends(service, now)
        ):
            return None
        best_remote = self._best_of_two(remote, excluded, now)
        if (
            best_remote is None
            or not self.zones.accepts(service, best_remote.zone, now)
            or not self._has_capacity(best_remote, now)
        ):
            return None
        margin = self.score(best_local, now) - self._remote_score(
            best_remote, now
        )
        if margin < zone_balance.MARGIN:
            return None
        _ZONE_CALLS.inc(reason='lent')
        return best_remote

    def _remote_score(self, member: messages.Member, now: float) -> float:
        """Return the score of a member of another zone.

        A member without a fresh report is at least as full as its zone, if
        the load of the zone is known.
        """
        score = self.score(member, now)
        if (
            self.zones is None
            or self._report_age_s(member, now) < FRESH_REPORT_S
        ):
            return score
        zone_load = self.zones.load_of(member.service, member.zone, now)
        return score if zone_load is None else max(score, zone_load)

    def _report_age_s(self, member: messages.Member, now: float) -> float:
        stats = self._stats.get(member.node_id)
        return math.inf if stats is None else now - stats.reported_at

    def node_count(self) -> int:
        """Return the number of nodes in the fleet."""
        return len(self._view.members)

    def on_dispatch(self, node_id: messages.NodeId, now: float) -> None:
        """Count a call that is sent to a member."""
        member_load.add_call(
            self._stats_of(node_id),
            self.notices.limit_of(node_id),
            self.node_count(),
            now,
        )

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
        member_load.add_answer(
            self._stats_of(node_id), load, is_unreachable, is_overloaded, now
        )
        if load is None:
            return
        if self.notices.on_report(node_id, load):
            self._candidate_cache.clear()
        if self.zones is not None:
            member = self._view.members.get(node_id)
            if member is not None:
                self.zones.on_report(member.service, member.zone, load, now)

    def on_outcome(
        self, node_id: messages.NodeId, is_failed: bool, now: float
    ) -> None:
        """Count whether the upstream of a member failed a call.

        An upstream can fail some of its calls while its health checks succeed,
        so the results of calls are counted as well.
        """
        member_load.add_outcome(self._stats_of(node_id), is_failed, now)

    def on_run_time(
        self,
        node_id: messages.NodeId,
        route_name: str,
        own_time_ms: float,
        waited_ms: float,
        now: float,
    ) -> None:
        """Add the time that the upstream of a member has spent on a call.

        waited_ms is the time from the call to its answer.
        """
        member = self._view.members.get(node_id)
        if member is None or not member_speed.is_plausible(
            own_time_ms, waited_ms
        ):
            _IGNORED_TIMES.inc()
            return
        self.spread.add(
            member.service, node_id, own_time_ms, member.slots, now
        )
        if self.speeds is not None:
            self.speeds.add_time(node_id, route_name, own_time_ms, now)

    def _cost(self, member: messages.Member, now: float) -> float:
        """Return what the members of one zone are compared by."""
        score = self.score(member, now)
        if self.speeds is None:
            return score
        return member_load.time_to_finish(
            score,
            member.slots,
            self.speeds.ratio(member.node_id, now),
        )

    def score(self, member: messages.Member, now: float) -> float:
        """Return the load of a member as a share of its limit.

        The share of calls that its upstream fails is added.
        """
        stats = self._stats.get(member.node_id)
        if stats is None:
            return 0.0
        return member_load.load_share(stats, now) + member_load.failed_share(
            stats, now
        )

    def _has_capacity(self, member: messages.Member, now: float) -> bool:
        """Return whether a member has no recent failures and is not full."""
        stats = self._stats.get(member.node_id)
        if stats is None:
            return True
        return member_load.load_share(stats, now) <= ZONE_FULL_LOAD and not (
            member_load.failed_share(stats, now)
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return the statistics of each member, for /state."""
        speeds = {} if self.speeds is None else self.speeds.dump()
        return {
            node_id: {
                **dataclasses.asdict(stats),
                **speeds.get(node_id, {}),
            }
            for node_id, stats in self._stats.items()
        }

    def snapshot(self, node_id: messages.NodeId) -> figures.Snapshot:
        """Return what is known of a member that has just been selected."""
        stats = self._stats_of(node_id)
        return (
            stats.outstanding,
            stats.reported,
            stats.limit,
            stats.reported_at,
            stats.failed_share,
            stats.failed_at,
        )

    def describe_choice(
        self,
        member: messages.Member,
        snapshot: figures.Snapshot,
        chosen_at: float,
    ) -> dict[str, typing.Any]:
        """Return the figures behind the choice of a member, for logs."""
        ratio, answered_at = 1.0, -math.inf
        if self.speeds is not None:
            ratio = self.speeds.ratio(member.node_id, chosen_at)
            answered_at = self.speeds.updated_at(member.node_id)
        return figures.describe(
            member.zone, snapshot, ratio, answered_at, chosen_at
        )

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
            and not self._view.is_evacuated(member.zone)
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
        if self._cost(second, now) < self._cost(first, now):
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
        return stats is None or member_load.usable_from(stats) <= now

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
                stats.avoided_until
                if is_cold
                else member_load.usable_from(stats)
            )
            return max(usable_from, now), self._random.random()

        return min(
            (member for member in members if member.node_id not in excluded),
            key=recovery,
            default=None,
        )

    def _stats_of(self, node_id: messages.NodeId) -> member_load.MemberStats:
        stats = self._stats.get(node_id)
        if stats is None:
            stats = self._stats[node_id] = member_load.MemberStats()
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
        if self.speeds is not None:
            self.speeds.retain(members)
        if self.zones is not None:
            self.zones.retain({m.service for m in members.values()})
