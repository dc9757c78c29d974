"""Choice of the owner node for a call (design, section 5, step 3).

Power of two choices by load. Calls stay in the own zone until it is nearly
full and another one has much more room. The load of a member is what this
node has outstanding there plus what its last answers reported, as a share of
its concurrency limit.

Example: member = picker.pick('siop', excluded=set(), now=now)
"""

import dataclasses
import random as random_module
import typing

from godwitstall import messages
from godwitstall.routing import view as view_module

# Load up to which the own zone is not left, share of a limit. A member that is
# not full runs a call at once, so that another zone serves it no sooner.
ZONE_FULL = 0.9

# Load by which the own zone may exceed the best elsewhere above that, share of
# a limit.
ZONE_MARGIN = 0.25

# Weight of one call in the moving average of failed calls.
_FAILURE_WEIGHT = 0.04

# Time after which half of the failures count, seconds. A member that gets no
# calls could not prove otherwise that it works again.
_FAILURE_HALF_LIFE_S = 3.0

# Age at which a load report counts for nothing, seconds. Without an end, a
# member that reported a high load once would never be asked again.
REPORT_LIFETIME_S = 2.0

# First and longest time for which a failed member is avoided, seconds. A
# broken link is open again within some hundred milliseconds, and control
# removes a dead member after 3 s.
FIRST_AVOID_S = 0.2
MAX_AVOID_S = 5.0


@dataclasses.dataclass(slots=True)
class _Load:
    """What this node knows of one member."""

    # Calls sent there and not yet answered.
    outstanding: int = 0
    # Queued and running requests in the last report.
    reported: int = 0
    # Concurrency limit in the last report, or a guess before the first.
    limit: int = 1
    # Time of the last report, seconds.
    reported_at: float = float('-inf')
    # Failures since the last good answer.
    failures: int = 0
    # Until when the member is avoided, seconds.
    avoided_until: float = float('-inf')
    # Moving average of the calls that its upstream failed, 0 to 1.
    failed_share: float = 0.0
    # Time of the last of them, seconds.
    failed_at: float = 0.0


class Picker:
    """Chooses among the members of a service that may get new work."""

    def __init__(
        self,
        view: view_module.View,
        own_zone: str,
        random: random_module.Random,
    ) -> None:
        self._view = view
        self._own_zone = own_zone
        self._random = random
        self._loads: dict[messages.NodeId, _Load] = {}
        # Members that may get work, by service: own zone, elsewhere.
        self._members: dict[
            str, tuple[list[messages.Member], list[messages.Member]]
        ] = {}
        view.on_change.append(self._on_view_change)

    def pick(
        self, service: str, excluded: set[messages.NodeId], now: float
    ) -> messages.Member | None:
        """Return the member to send a call to, or None when there is none.

        Members that failed lately are taken only when no other is left.
        """
        near, far = self._candidates(service)
        best_near = self._best_of_two(near, excluded, now)
        if best_near is not None and self._has_room(best_near, now):
            return best_near
        best_far = self._best_of_two(far, excluded, now)
        if best_near is None or best_far is None:
            best = best_near or best_far
            if best is not None:
                return best
            return self._last_resort(near + far, excluded)
        margin = self.score(best_near, now) - self.score(best_far, now)
        return best_near if margin <= ZONE_MARGIN else best_far

    def node_count(self) -> int:
        """Return how many nodes the fleet has."""
        return len(self._view.members)

    def on_dispatch(self, node_id: messages.NodeId) -> None:
        """Count a call that is sent to a member."""
        self._load(node_id).outstanding += 1

    def on_answer(
        self,
        node_id: messages.NodeId,
        load: messages.LoadReport | None,
        is_failed: bool,
        now: float,
    ) -> None:
        """Count the end of a call and take over the load report with it.

        is_failed means that the link broke or the owner refused as down.
        """
        known = self._load(node_id)
        known.outstanding = max(known.outstanding - 1, 0)
        if load is not None:
            known.reported = load.queued + load.in_flight
            known.limit = max(load.limit, 1)
            known.reported_at = now
        if not is_failed:
            # Without a report nothing was heard from the owner: the caller
            # gave up or the call timed out, which says nothing good of it.
            if load is not None:
                known.failures = 0
                known.avoided_until = float('-inf')
        elif now >= known.avoided_until:
            # Calls that fail together count as one failure.
            known.failures += 1
            known.avoided_until = now + min(
                FIRST_AVOID_S * 2.0 ** min(known.failures - 1, 10), MAX_AVOID_S
            )

    def on_outcome(
        self, node_id: messages.NodeId, is_failed: bool, now: float
    ) -> None:
        """Count what the upstream of a member made of a call.

        An upstream can fail part of its calls while its health answers say
        that all is well; only the calls tell.
        """
        known = self._load(node_id)
        share = _failed_share(known, now)
        known.failed_share = share + _FAILURE_WEIGHT * (is_failed - share)
        known.failed_at = now

    def score(self, member: messages.Member, now: float) -> float:
        """Return the load of a member as a share of its limit.

        The share of calls that its upstream fails comes on top.
        """
        known = self._loads.get(member.node_id)
        if known is None:
            return 0.0
        return _load_share(known, now) + _failed_share(known, now)

    def _has_room(self, member: messages.Member, now: float) -> bool:
        """Return whether a member works well and runs a call at once."""
        known = self._loads.get(member.node_id)
        if known is None:
            return True
        return _load_share(known, now) <= ZONE_FULL and not (
            _failed_share(known, now)
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return what is known of each member, for /state."""
        return {
            node_id: dataclasses.asdict(known)
            for node_id, known in self._loads.items()
        }

    def _candidates(
        self, service: str
    ) -> tuple[list[messages.Member], list[messages.Member]]:
        found = self._members.get(service)
        if found is None:
            usable = [
                member
                for member in self._view.members_of(service)
                if self._may_get_work(member)
            ]
            found = (
                [m for m in usable if m.zone == self._own_zone],
                [m for m in usable if m.zone != self._own_zone],
            )
            self._members[service] = found
        return found

    def _may_get_work(self, member: messages.Member) -> bool:
        rule = self._view.upstream_rule(member.node_id)
        return (
            member.state is messages.UpstreamState.READY
            and not member.is_drained
            and not (rule is not None and rule.is_withdrawn)
        )

    def _best_of_two(
        self,
        members: list[messages.Member],
        excluded: set[messages.NodeId],
        now: float,
    ) -> messages.Member | None:
        first = self._sample(members, excluded, None, now)
        if first is None or len(members) == 1:
            return first
        second = self._sample(members, excluded, first, now)
        if second is None:
            return first
        if self.score(second, now) < self.score(first, now):
            return second
        return first

    def _sample(
        self,
        members: list[messages.Member],
        excluded: set[messages.NodeId],
        first: messages.Member | None,
        now: float,
    ) -> messages.Member | None:
        """Return a random member that may be asked and is not the first."""
        count = len(members)
        if not count:
            return None
        # A few tries hit nearly always; the full list is the slow way out.
        for _ in range(4):
            member = members[int(self._random.random() * count)]
            if member is not first and self._is_free(member, excluded, now):
                return member
        left = [
            member
            for member in members
            if member is not first and self._is_free(member, excluded, now)
        ]
        return self._random.choice(left) if left else None

    def _is_free(
        self,
        member: messages.Member,
        excluded: set[messages.NodeId],
        now: float,
    ) -> bool:
        if member.node_id in excluded:
            return False
        known = self._loads.get(member.node_id)
        return known is None or known.avoided_until <= now

    def _last_resort(
        self, members: list[messages.Member], excluded: set[messages.NodeId]
    ) -> messages.Member | None:
        """Return the avoided member whose time ends first."""
        return min(
            (member for member in members if member.node_id not in excluded),
            key=lambda member: self._load(member.node_id).avoided_until,
            default=None,
        )

    def _load(self, node_id: messages.NodeId) -> _Load:
        known = self._loads.get(node_id)
        if known is None:
            known = self._loads[node_id] = _Load()
            member = self._view.members.get(node_id)
            if member is not None:
                known.limit = max(member.slots, 1)
        return known

    def _on_view_change(self) -> None:
        self._members.clear()
        members = self._view.members
        for node_id in [n for n in self._loads if n not in members]:
            if not self._loads[node_id].outstanding:
                del self._loads[node_id]


def _load_share(known: _Load, now: float) -> float:
    age = now - known.reported_at
    if age >= REPORT_LIFETIME_S:
        return known.outstanding / known.limit
    weight = 1 - max(age, 0) / REPORT_LIFETIME_S
    return (known.outstanding + known.reported * weight) / known.limit


def _failed_share(known: _Load, now: float) -> float:
    if not known.failed_share:
        return 0.0
    age = max(now - known.failed_at, 0.0)
    share = float(known.failed_share * 0.5 ** (age / _FAILURE_HALF_LIFE_S))
    # Less than one late failure must not decide between two idle members.
    return share if share > _FAILURE_WEIGHT / 2 else 0.0
