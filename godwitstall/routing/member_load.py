"""Load, failures and pace of the members of a service, as one node sees them.

The load of a member is the number of outstanding calls of this node plus the
load that the member last reported, as a share of its concurrency limit.

Example: share = member_load.load_share(stats, now)
"""

import dataclasses

# Load from which new calls may wait for a slot, as a share of the limit.
FULL_LOAD = 0.9

# Weight of the load above FULL_LOAD. With the lowest ratio that a member can
# report, it must exceed what the member saves by its ratio.
_WAIT_WEIGHT = 4.0

# Weight of one call in the moving average of failed calls.
_FAILURE_WEIGHT = 0.04

# Half-life of the failed share, seconds. Without decay, a member that gets no
# calls could not show that it has recovered.
_FAILURE_HALF_LIFE_S = 3.0

# Age at which a load report has no weight, seconds. Without expiry, a member
# that once reported a high load would never be selected again.
REPORT_LIFETIME_S = 2.0


@dataclasses.dataclass(slots=True)
class MemberStats:
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


def time_to_finish(score: float, slots: int, speed_ratio: float) -> float:
    """Return how long a member would need for its work and one more call.

    The unit is what an average member needs for as many calls as it has
    slots. Idle members differ by their speed. Work above FULL_LOAD counts in
    full at any speed, because it waits: a member that is said to be fast does
    not get more than it can run.
    """
    time = (score + 1 / max(slots, 1)) * speed_ratio
    if score > FULL_LOAD:
        time += (score - FULL_LOAD) * _WAIT_WEIGHT
    return time


def usable_from(stats: MemberStats) -> float:
    """Return the time from which a member gets calls, seconds."""
    if not stats.call_interval_s:
        return stats.avoided_until
    return max(stats.avoided_until, stats.next_call_at)


def load_share(stats: MemberStats, now: float) -> float:
    """Return the load of a member as a share of its limit.

    A report loses its weight with its age.
    """
    age = now - stats.reported_at
    if age >= REPORT_LIFETIME_S:
        return stats.outstanding / stats.limit
    weight = 1 - max(age, 0) / REPORT_LIFETIME_S
    return (stats.outstanding + stats.reported * weight) / stats.limit


def failed_share(stats: MemberStats, now: float) -> float:
    """Return the recent share of calls that a member's upstream failed."""
    if not stats.failed_share:
        return 0.0
    age = max(now - stats.failed_at, 0.0)
    share = float(stats.failed_share * 0.5 ** (age / _FAILURE_HALF_LIFE_S))
    # A share below one recent failure must not decide between idle members.
    return share if share > _FAILURE_WEIGHT / 2 else 0.0


def add_outcome(stats: MemberStats, is_failed: bool, now: float) -> None:
    """Count whether the upstream of a member failed a call."""
    share = failed_share(stats, now)
    stats.failed_share = share + _FAILURE_WEIGHT * (is_failed - share)
    stats.failed_at = now
