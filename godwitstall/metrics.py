"""Counters, gauges and histograms of a process.

A thin layer over aioprometheus: a metric is defined once and updated with
keyword arguments as labels. render() returns the text served at /metrics.

Example: REFUSED = metrics.counter('refused_total', 'Refused requests.')
         REFUSED.inc(kind='rate_exceeded', workspace='shop-3')
"""

import bisect
import dataclasses
import itertools
import typing

from aioprometheus import collectors
from aioprometheus import formats
from aioprometheus import histogram as prometheus_histogram

_NAME_PREFIX = 'godwitstall_'

# Upper bounds of the buckets of all histograms.
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

# Characters that the text format requires to be escaped in label values.
_LABEL_ESCAPES = str.maketrans({'\\': '\\\\', '"': '\\"', '\n': '\\n'})


class Metric:
    """A number for each set of labels.

    Values are kept in a dict and passed to aioprometheus by render(), because
    the add() of aioprometheus takes 15 us, too long for the request path.
    """

    def __init__(self, collector: collectors.Collector) -> None:
        self.collector = collector
        # Keyed by the items of the labels.
        self.values: dict[tuple[tuple[str, str], ...], float] = {}

    def value(self, **labels: str) -> float:
        """Return the value with these labels, or 0 if it was never set."""
        return self.values.get(tuple(labels.items()), 0.0)

    def update_collector(self) -> None:
        """Copy all values to the collector."""
        for labels, value in self.values.items():
            self.collector.set_value(dict(labels), value)


class Counter(Metric):
    """A number that only increases, for each set of labels."""

    def inc(self, amount: float = 1, **labels: str) -> None:
        """Add amount to the value with these labels."""
        key = tuple(labels.items())
        self.values[key] = self.values.get(key, 0.0) + amount


class Gauge(Metric):
    """A number that can be set to any value, for each set of labels."""

    def set(self, value: float, **labels: str) -> None:
        """Set the value with these labels."""
        self.values[tuple(labels.items())] = value


@dataclasses.dataclass(slots=True)
class _Observations:
    """Observations with one set of labels."""

    # Not cumulative; the last bucket has no upper bound.
    bucket_counts: list[int]
    sum: float = 0.0


class Histogram:
    """Durations in seconds, counted in buckets for each set of labels."""

    def __init__(self, collector: collectors.Histogram) -> None:
        self.collector = collector
        # Keyed by the items of the labels.
        self.values: dict[tuple[tuple[str, str], ...], _Observations] = {}

    def observe(self, seconds: float, **labels: str) -> None:
        """Add a duration."""
        key = tuple(labels.items())
        observations = self.values.get(key)
        if observations is None:
            observations = self.values[key] = _Observations(
                [0] * (len(BUCKETS_S) + 1)
            )
        observations.bucket_counts[bisect.bisect_left(BUCKETS_S, seconds)] += 1
        observations.sum += seconds

    def update_collector(self) -> None:
        """Copy all observations to the collector."""
        for labels, observations in self.values.items():
            exported = prometheus_histogram.Histogram(*BUCKETS_S)
            cumulative_counts = itertools.accumulate(
                observations.bucket_counts
            )
            exported.buckets = dict(
                zip(exported.buckets, cumulative_counts, strict=True)
            )
            exported.observations = sum(observations.bucket_counts)
            exported.sum = observations.sum
            self.collector.set_value(dict(labels), exported)


_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}
_histograms: dict[str, Histogram] = {}


def counter(name: str, help_text: str) -> Counter:
    """Return the counter of this name, and create it at the first call."""
    if name not in _counters:
        _counters[name] = Counter(
            collectors.Counter(_NAME_PREFIX + name, help_text)
        )
    return _counters[name]


def gauge(name: str, help_text: str) -> Gauge:
    """Return the gauge of this name, and create it at the first call."""
    if name not in _gauges:
        _gauges[name] = Gauge(collectors.Gauge(_NAME_PREFIX + name, help_text))
    return _gauges[name]


def histogram(name: str, help_text: str) -> Histogram:
    """Return the histogram of this name, and create it at the first call."""
    if name not in _histograms:
        _histograms[name] = Histogram(
            collectors.Histogram(
                _NAME_PREFIX + name, help_text, buckets=BUCKETS_S
            )
        )
    return _histograms[name]


def all_counters() -> list[Counter]:
    """Return every counter created so far."""
    return list(_counters.values())


def all_gauges() -> list[Gauge]:
    """Return every gauge created so far."""
    return list(_gauges.values())


def all_histograms() -> list[Histogram]:
    """Return every histogram created so far."""
    return list(_histograms.values())


class _Formatter(formats.text.TextFormatter):
    """Escapes label values, which aioprometheus does not.

    The name of a workspace may contain a quote, and one such line makes the
    whole text invalid.
    """

    def _format_line(
        self,
        name: str,
        labels: dict[str, str],
        value: typing.Any,
        const_labels: dict[str, str],
    ) -> str:
        # aioprometheus passes None if there are no labels.
        escaped = {
            label: value_text.translate(_LABEL_ESCAPES)
            for label, value_text in (labels or {}).items()
        }
        return super()._format_line(name, escaped, value, const_labels)


def render() -> bytes:
    """Return all metrics in the Prometheus text format."""
    for metric in (*_counters.values(), *_gauges.values()):
        metric.update_collector()
    for hist in _histograms.values():
        hist.update_collector()
    return bytes(_Formatter().marshall(collectors.REGISTRY))
