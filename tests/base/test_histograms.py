"""Tests of histograms and of the metrics endpoint."""

import asyncio
import random

from godwitstall.http import messages as http_messages
from godwitstall.http import metrics_endpoint
from godwitstall import metrics


def _samples(name: str) -> dict[str, float]:
    """Return the samples of a metric by name suffix and labels."""
    samples = {}
    for line in metrics.render().decode().splitlines():
        if line.startswith(f'godwitstall_{name}'):
            key, _, value = line.rpartition(' ')
            samples[key.removeprefix(f'godwitstall_{name}')] = float(value)
    return samples


def test_buckets_against_a_count() -> None:
    """Guards against buckets that are not cumulative or exclude a bound."""
    rng = random.Random(7)
    seconds = [
        rng.choice((*metrics.BUCKETS_S, 0.0, 0.3, 99.0)) for _ in range(500)
    ]
    histogram = metrics.histogram('test_seconds', 'Of this test.')
    for value in seconds:
        histogram.observe(value, kind='a "b"')
    # Rendering twice must not count the durations twice.
    _samples('test_seconds')
    samples = _samples('test_seconds')
    label = 'kind="a \\"b\\""'
    for bound in metrics.BUCKETS_S:
        key = f'_bucket{{{label},le="{bound}"}}'
        assert samples[key] == sum(value <= bound for value in seconds)
    assert samples[f'_bucket{{{label},le="+Inf"}}'] == len(seconds)
    assert samples[f'_count{{{label}}}'] == len(seconds)
    assert abs(samples[f'_sum{{{label}}}'] - sum(seconds)) < 1e-6


def test_only_the_metrics_path_is_served() -> None:
    """Guards against an endpoint that exposes more than the metrics."""

    def get_response(method: str, target: str) -> http_messages.Response:
        request = http_messages.Request(method, target, [], b'', 0.0)
        return asyncio.run(metrics_endpoint.serve(request))

    metrics.gauge('test_value', 'Of this test.').set(3)
    response = get_response('GET', '/metrics')
    assert response.status == 200
    assert b'godwitstall_test_value 3' in response.body
    assert get_response('GET', '/state').status == 404
    assert get_response('POST', '/metrics').status == 404
