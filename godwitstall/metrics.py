"""Counters, gauges and histograms of one process.

A thin layer over aioprometheus: parts name a metric once and count with
plain keyword labels. render() gives the text that /metrics serves.

Example: REFUSED = metrics.counter('refused_total', 'Refused requests.')
         REFUSED.inc(kind='rate_exceeded', workspace='shop-3')
"""

import typing

from aioprometheus import collectors
from aioprometheus import formats

_PREFIX = 'godwitstall_'

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


_counters: dict[str, Counter] = {}
_gauges: dict[str, Gauge] = {}


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


def all_counters() -> list[Counter]:
    """Return every counter made so far."""
    return list(_counters.values())


def all_gauges() -> list[Gauge]:
    """Return every gauge made so far."""
    return list(_gauges.values())


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
    return bytes(_Formatter().marshall(collectors.REGISTRY))
