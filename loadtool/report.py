"""Counts and latencies of a load run, by load and phase.

Each call is counted once as good, refused or failed after its last send, so
sent = good + refused + failed in every row. Latency runs from the intended
send time of the call to its good answer, so that a slow target cannot hide
its delays by slowing the generator (coordinated omission).
"""

import collections
import dataclasses
import typing

from hdrh import histogram

# Highest latency that is told apart, microseconds.
_MAX_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def _new_histogram() -> typing.Any:
    return histogram.HdrHistogram(1, _MAX_US, _SIGNIFICANT_DIGITS)


def _record(target: typing.Any, seconds: float) -> None:
    target.record_value(min(max(int(seconds * 1e6), 1), _MAX_US))


def _latency_json(source: typing.Any) -> dict[str, float]:
    count = source.get_total_count()
    if not count:
        return {'count': 0}
    shown = {'count': count}
    for percentile in _PERCENTILES:
        value = source.get_value_at_percentile(percentile)
        shown[f'p{percentile:g}_ms'] = value / 1000
    shown['max_ms'] = source.get_max_value() / 1000
    return shown


@dataclasses.dataclass
class Row:
    """Results of one load in one phase, by intended send time."""

    # Name of the load.
    load: str
    # Workspace of the load.
    workspace: str
    # Name of the phase.
    phase: str
    # Length of the phase, seconds.
    seconds: float
    # Calls due in the phase.
    sent: int = 0
    # Calls with their whole own answer in time.
    good: int = 0
    # Good calls that needed no resend.
    good_at_once: int = 0
    # Good answers that came from the operation record.
    replayed: int = 0
    # Sends beyond the first of each call.
    resends: int = 0
    # Calls whose last answer was a refusal, by 'kind/outcome'.
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Calls that failed in another way, by reason.
    failed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # All refusals and failures of single sends, those resent included.
    sends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Latency of good calls.
    latency: typing.Any = dataclasses.field(default_factory=_new_histogram)
    # Latency of single refusals, each from the start of its send.
    refusal: typing.Any = dataclasses.field(default_factory=_new_histogram)

    def record_good(self, seconds: float) -> None:
        """Add the latency of one good call."""
        _record(self.latency, seconds)

    def record_refusal(self, seconds: float) -> None:
        """Add the time that one send took to be refused."""
        _record(self.refusal, seconds)

    def to_json(self) -> dict[str, typing.Any]:
        """Return the row for the report."""
        return {
            'load': self.load,
            'workspace': self.workspace,
            'phase': self.phase,
            'seconds': self.seconds,
            'sent': self.sent,
            'good': self.good,
            'good_at_once': self.good_at_once,
            'replayed': self.replayed,
            'resends': self.resends,
            'refused': dict(self.refused),
            'failed': dict(self.failed),
            'sends': dict(self.sends),
            'latency': _latency_json(self.latency),
            'refusal_latency': _latency_json(self.refusal),
        }


@dataclasses.dataclass
class Report:
    """Results of a whole run."""

    # One row for each load and phase.
    rows: list[Row]
    # Good calls by second of their answer, from the start of the run.
    goodput: list[int] = dataclasses.field(default_factory=list)
    # The same by name of the load.
    goodput_by_load: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )
    # Length of the run, seconds, until the last answer.
    seconds: float = 0.0
    # Largest lag of a send behind its intended time, seconds. When it nears
    # the latencies reported, the generator is the bottleneck.
    worst_lag_s: float = 0.0
    # The run ended at max_calls.
    is_truncated: bool = False

    def total(
        self,
        workspace: str | None = None,
        phase: str | None = None,
        load: str | None = None,
    ) -> Row:
        """Return the sum of the rows that match all given names."""
        total = Row(load or '', workspace or '', phase or '', 0.0)
        for row in self.rows:
            if (
                workspace not in (None, row.workspace)
                or phase not in (None, row.phase)
                or load not in (None, row.load)
            ):
                continue
            total.seconds = max(total.seconds, row.seconds)
            total.sent += row.sent
            total.good += row.good
            total.good_at_once += row.good_at_once
            total.replayed += row.replayed
            total.resends += row.resends
            total.refused += row.refused
            total.failed += row.failed
            total.sends += row.sends
            total.latency.add(row.latency)
            total.refusal.add(row.refusal)
        return total

    def to_json(self) -> dict[str, typing.Any]:
        """Return the whole report."""
        return {
            'seconds': round(self.seconds, 3),
            'worst_lag_ms': round(self.worst_lag_s * 1000, 3),
            'is_truncated': self.is_truncated,
            'total': self.total().to_json(),
            'rows': [row.to_json() for row in self.rows],
            'goodput': self.goodput,
            'goodput_by_load': self.goodput_by_load,
        }
