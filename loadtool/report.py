"""Counters and latencies of a load run by load and phase.

Each call is counted as good, refused or failed after its last send, so
sent = good + refused + failed in each row. Latency is measured from the
intended send time of a call to its good response, which avoids coordinated
omission: a slow target cannot hide delays by slowing the generator.
"""

import collections
import dataclasses
import typing

from hdrh import histogram

# Highest latency that the histograms record, microseconds.
_MAX_LATENCY_US = 600_000_000
_SIGNIFICANT_DIGITS = 3
_PERCENTILES = (50.0, 90.0, 99.0, 99.9)


def _new_histogram() -> typing.Any:
    return histogram.HdrHistogram(1, _MAX_LATENCY_US, _SIGNIFICANT_DIGITS)


def _record(latencies: typing.Any, seconds: float) -> None:
    latencies.record_value(min(max(int(seconds * 1e6), 1), _MAX_LATENCY_US))


def _latency_json(latencies: typing.Any) -> dict[str, float]:
    count = latencies.get_total_count()
    if not count:
        return {'count': 0}
    summary = {'count': count}
    for percentile in _PERCENTILES:
        value = latencies.get_value_at_percentile(percentile)
        summary[f'p{percentile:g}_ms'] = value / 1000
    summary['max_ms'] = latencies.get_max_value() / 1000
    return summary


@dataclasses.dataclass
class Row:
    """Results of the calls of one load that were due in one phase."""

    # Name of the load.
    load: str
    # Workspace of the load.
    workspace: str
    # Name of the phase.
    phase: str
    # Duration of the phase, seconds.
    seconds: float
    # Calls due in the phase.
    sent: int = 0
    # Calls with a complete, matching response in time.
    good: int = 0
    # Good calls without a resend.
    good_at_once: int = 0
    # Good responses replayed from the operation record.
    replayed: int = 0
    # Sends after the first send of each call.
    resends: int = 0
    # Calls whose last response was a refusal, by 'kind/outcome'.
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Calls that failed without a refusal, by reason.
    failed: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Refusals and failures of all sends, including calls that were resent.
    sends: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    # Latency of good calls.
    latency: typing.Any = dataclasses.field(default_factory=_new_histogram)
    # Latency of refusals, from the start of each refused send.
    refusal_latency: typing.Any = dataclasses.field(
        default_factory=_new_histogram
    )

    def record_good(self, seconds: float) -> None:
        """Record the latency of a good call."""
        _record(self.latency, seconds)

    def record_refusal(self, seconds: float) -> None:
        """Record the latency of a refused send."""
        _record(self.refusal_latency, seconds)

    def to_json(self) -> dict[str, typing.Any]:
        """Return the row as JSON content."""
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
            'refusal_latency': _latency_json(self.refusal_latency),
        }


@dataclasses.dataclass
class Report:
    """Results of a run."""

    # One row for each load and phase.
    rows: list[Row]
    # Good calls by second of the response since the start of the run.
    goodput: list[int] = dataclasses.field(default_factory=list)
    # Good calls by second as above, for each name of a load.
    goodput_by_load: dict[str, list[int]] = dataclasses.field(
        default_factory=dict
    )
    # Duration of the run until the last response, seconds.
    seconds: float = 0.0
    # Largest delay of a send after its intended time, seconds. If it is close
    # to the reported latencies, the generator is the bottleneck.
    worst_lag_s: float = 0.0
    # Whether the run ended at max_calls.
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
            total.refusal_latency.add(row.refusal_latency)
        return total

    def to_json(self) -> dict[str, typing.Any]:
        """Return the report as JSON content."""
        return {
            'seconds': round(self.seconds, 3),
            'worst_lag_ms': round(self.worst_lag_s * 1000, 3),
            'is_truncated': self.is_truncated,
            'total': self.total().to_json(),
            'rows': [row.to_json() for row in self.rows],
            'goodput': self.goodput,
            'goodput_by_load': self.goodput_by_load,
        }
