"""Figures behind the choice of a member, for the log of a failed call.

They are taken at the choice, since the answer of the call changes them.

Example: fields = figures.as_fields()
"""

import dataclasses
import math
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class ChoiceFigures:
    """What this node knew of a member when it selected the member."""

    # Zone of the member.
    zone: str
    # Calls of this node that the member had not answered.
    outstanding: int
    # Queued and running requests in its last report, and the age of that
    # report, seconds.
    reported: int
    report_age_s: float
    # Load and failed share.
    score: float
    # Time of its requests against the average, and the age of the last one,
    # seconds; 1 and infinite if unknown or not weighed.
    speed_ratio: float
    speed_age_s: float

    def as_fields(self) -> dict[str, typing.Any]:
        """Return the fields of a log line; an unknown age is None."""
        return {
            'owner_zone': self.zone,
            'chosen_outstanding': self.outstanding,
            'chosen_reported': self.reported,
            'chosen_report_age_ms': _age_ms(self.report_age_s),
            'chosen_score': round(self.score, 3),
            'chosen_speed_ratio': round(self.speed_ratio, 3),
            'chosen_speed_age_ms': _age_ms(self.speed_age_s),
        }


def _age_ms(age_s: float) -> int | None:
    return round(age_s * 1000) if math.isfinite(age_s) else None
