"""Load, failures and pace of the members of a service, as one node sees them.

The load of a member is the number of outstanding calls of this node plus the
load that the member last reported, as a share of its concurrency limit.

Example: share = member_load.load_share(stats, now)
"""

import dataclasses
import math

from godwitstall import messages

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
    # End of the time for which the upstream is cold, seconds, and the requests
    # per second that it accepts until then.
    cold_until: float = float('-inf')
    cold_rate: float = math.inf


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


def add_call(
    stats: MemberStats, rate_limit: float, node_count: int, now: float
) -> None:
    """Count a call that is sent to a member.

    rate_limit is what its upstream accepts from all nodes, requests per
    second, infinite without a limit.
    """
    stats.outstanding += 1
    is_cold = now < stats.cold_until
    if is_cold:
        rate_limit = min(rate_limit, stats.cold_rate)
    if math.isinf(rate_limit):
        stats.call_interval_s = 0.0
        return
    if not stats.call_interval_s:
        even_share = max(rate_limit, _MIN_RATE_PER_S) / max(node_count, 1)
        stats.call_interval_s = min(1 / even_share, MAX_CALL_INTERVAL_S)
    stats.next_call_at = now + stats.call_interval_s
    if is_cold:
        stats.next_call_at = min(stats.next_call_at, stats.cold_until)


def add_answer(
    stats: MemberStats,
    load: messages.LoadReport | None,
    is_unreachable: bool,
    is_overloaded: bool,
    now: float,
) -> None:
    """Count the end of a call and store the load report of its answer."""
    stats.outstanding = max(stats.outstanding - 1, 0)
    if is_overloaded:
        stats.call_interval_s = min(
            stats.call_interval_s * _BACKOFF_FACTOR, MAX_CALL_INTERVAL_S
        )
    elif load is not None:
        stats.call_interval_s *= _SPEED_UP_FACTOR
    if load is not None:
        update_cold(stats, load, now)
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


def update_cold(
    stats: MemberStats, load: messages.LoadReport, now: float
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
