"""Counters, gauges and histograms of one process.

A thin layer over aioprometheus: parts name a metric once and count with
plain keyword labels. render() gives the text that /metrics serves.

Example: REFUSED = metrics.counter('refused_total', 'Refused requests.')
         REFUSED.inc(kind='rate_exceeded', workspace='shop-3')
"""

import bisect
import dataclasses
import itertools
import typing

from aioprometheus import collectors
from aioprometheus import formats
from aioprometheus import histogram as aggregate

_PREFIX = 'godwitstall_'

# Upper bounds of the buckets of all histograms, seconds.
BUCKETS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)

# Characters of a label value that the text format wants escaped.
_ESCAPES = str.maketrans({'\\': '\\\\', '"': '\\"', '\n': '\\n'})


class Metric:
    """A number for each set of labels.

    Values are kept in a plain dict and handed to aioprometheus when they are
    rendered: its own add() takes 15 us, too much on the request path.
    """

    def __init__(self, collector: collectors.Collector) -> None:
        self.collector = collector
        # Values by the labels' items.
        self.values: dict[tuple[tuple[str, str], ...], float] = {}

    def value(self, **labels: str) -> float:
        """Return the value with these labels, 0 when never set."""
        return self.values.get(tuple(labels.items()), 0.0)

    def publish(self) -> None:
        """Hand all values to the collector."""
        for labels, value in self.values.items():
            self.collector.set_value(dict(labels), value)


class Counter(Metric):
    """A number that only grows, one for each set of labels."""

    def inc(self, amount: float = 1, **labels: str) -> None:
        """Add amount to the value with these labels."""
        key = tuple(labels.items())
        self.values[key] = self.values.get(key, 0.0) + amount


class Gauge(Metric):
    """A number that goes up and down, one for each set of labels."""

    def set(self, value: float, **labels: str) -> None:
        """Set the value with these labels."""
        self.values[tuple(labels.items())] = value


@dataclasses.dataclass(slots=True)
class _Counts:
    """Events with one set of labels."""

    # Events by bucket; the last bucket has no upper bound.
    events: list[int]
    # Sum of all values.
    total: float = 0.0


class Histogram:
    """Durations in seconds, counted by buckets for each set of labels."""

    def __init__(self, collector: collectors.Histogram) -> None:
        self.collector = collector
        # Counts by the labels' items.
        self.values: dict[tuple[tuple[str, str], ...], _Counts] = {}

    def observe(self, seconds: float, **labels: str) -> None:
        """Count one event."""
        key = tuple(labels.items())
        counts = self.values.get(key)
        if counts is None:
            counts = self.values[key] = _Counts([0] * (len(BUCKETS_S) + 1))
        counts.events[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        counts.total += seconds

    def publish(self) -> None:
        """Hand all counts to the collector."""
        for labels, counts in self.values.items():
            found = aggregate.Histogram(*BUCKETS_S)
            sums = itertools.accumulate(counts.events)
            found.buckets = dict(zip(found.buckets, sums, strict=True))
            found.observations = sum(counts.events)
            found.sum = counts.total
            self.collector.set_value(dict(labels), found)


_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}
_histograms: dict[str, Histogram] = {}


def counter(name: str, text: str) -> Counter:
    """Return the counter of this name, made at the first call."""
    if name not in _counters:
        _counters[name] = Counter(collectors.Counter(_PREFIX + name, text))
    return _counters[name]


def gauge(name: str, text: str) -> Gauge:
    """Return the gauge of this name, made at the first call."""
    if name not in _gauges:
        _gauges[name] = Gauge(collectors.Gauge(_PREFIX + name, text))
    return _gauges[name]


def histogram(name: str, text: str) -> Histogram:
    """Return the histogram of this name, made at the first call."""
    if name not in _histograms:
        _histograms[name] = Histogram(
            collectors.Histogram(_PREFIX + name, text, buckets=BUCKETS_S)
        )
    return _histograms[name]


def all_counters() -> list[Counter]:
    """Return every counter made so far."""
    return list(_counters.values())


def all_gauges() -> list[Gauge]:
    """Return every gauge made so far."""
    return list(_gauges.values())


def all_histograms() -> list[Histogram]:
    """Return every histogram made so far."""
    return list(_histograms.values())


class _Formatter(formats.text.TextFormatter):
    """Escapes label values, which aioprometheus does not.

    A workspace name may hold a quote, and one such line makes the whole text
    unreadable.
    """

    def _format_line(
        self,
        name: str,
        labels: dict[str, str],
        value: typing.Any,
        const_labels: dict[str, str],
    ) -> str:
        # Without labels the library passes None.
        escaped = {
            label: text.translate(_ESCAPES)
            for label, text in (labels or {}).items()
        }
        return super()._format_line(name, escaped, value, const_labels)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    for metric in (*_counters.values(), *_gauges.values()):
        metric.publish()
    for durations in _histograms.values():
        durations.publish()
    return bytes(_Formatter().marshall(collectors.REGISTRY))
