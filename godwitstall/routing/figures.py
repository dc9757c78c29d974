"""Figures behind the choice of a member, for the log of a failed call.

A snapshot is taken at the choice, since the answer of the call changes the
statistics. It is a plain tuple because it is taken for each call and read for
few.

Example: fields = figures.describe('z1', snapshot, 1.0, now - 0.2, now)
"""

import math
import typing

from godwitstall.routing import member_load

# Calls not answered, load in the last report, limit, time of that report,
# failed share and time of its last update, as in member_load.MemberStats.
Snapshot = tuple[int, int, int, float, float, float]


def describe(
    zone: str,
    snapshot: Snapshot,
    speed_ratio: float,
    speed_updated_at: float,
    chosen_at: float,
) -> dict[str, typing.Any]:
    """Return the fields of a log line; an age is None if there is none."""
    outstanding, reported, limit, reported_at, share, failed_at = snapshot
    stats = member_load.MemberStats(
        outstanding,
        reported,
        limit,
        reported_at,
        failed_share=share,
        failed_at=failed_at,
    )
    score = member_load.load_share(
        stats, chosen_at
    ) + member_load.failed_share(stats, chosen_at)
    return {
        'owner_zone': zone,
        'chosen_outstanding': outstanding,
        'chosen_reported': reported,
        'chosen_report_age_ms': _age_ms(chosen_at - reported_at),
        'chosen_score': round(score, 3),
        'chosen_speed_ratio': round(speed_ratio, 3),
        'chosen_speed_age_ms': _age_ms(chosen_at - speed_updated_at),
    }


def _age_ms(age_s: float) -> int | None:
    return round(age_s * 1000) if math.isfinite(age_s) else None
