"""Histograms of durations, and the light metrics address."""

import asyncio
import random

from godwitstall import http_listener
from godwitstall import metrics
from godwitstall import metrics_endpoint


def _lines(name: str) -> dict[str, float]:
    """Return the lines of one metric, by name with labels."""
    found = {}
    for line in metrics.render().decode().splitlines():
        if line.startswith(f'godwitstall_{name}'):
            key, _, value = line.rpartition(' ')
            found[key.removeprefix(f'godwitstall_{name}')] = float(value)
    return found


def test_buckets_against_a_count() -> None:
    """Guards against buckets that are not cumulative or miss a bound."""
    chooser = random.Random(7)
    seconds = [
        chooser.choice((*metrics.BUCKETS_S, 0.0, 0.3, 99.0))
        for _ in range(500)
    ]
    durations = metrics.histogram('test_seconds', 'Of this test.')
    for value in seconds:
        durations.observe(value, kind='a "b"')
    # A second text must not count the events again.
    _lines('test_seconds')
    found = _lines('test_seconds')
    label = 'kind="a \\"b\\""'
    for bound in metrics.BUCKETS_S:
        key = f'_bucket{{{label},le="{bound}"}}'
        assert found[key] == sum(value <= bound for value in seconds)
    assert found[f'_bucket{{{label},le="+Inf"}}'] == len(seconds)
    assert found[f'_count{{{label}}}'] == len(seconds)
    assert abs(found[f'_sum{{{label}}}'] - sum(seconds)) < 1e-6


def test_only_the_metrics_path_is_served() -> None:
    """Guards against an address that shows more than it should."""

    def ask(method: str, target: str) -> http_listener.Response:
        request = http_listener.Request(method, target, [], b'', 0.0)
        return asyncio.run(metrics_endpoint.serve(request))

    metrics.gauge('test_value', 'Of this test.').set(3)
    answer = ask('GET', '/metrics')
    assert answer.status == 200
    assert b'godwitstall_test_value 3' in answer.body
    assert ask('GET', '/state').status == 404
    assert ask('POST', '/metrics').status == 404
