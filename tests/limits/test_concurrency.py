"""Concurrency limit: noise, mixed latencies, slowdowns and policies."""

import random

import pytest

from bench import limit_trial
from godwitstall.limits import concurrency
from godwitstall import settings

_GRADIENT = settings.LimitPolicy.GRADIENT
_AIMD = settings.LimitPolicy.AIMD
_FIXED = settings.LimitPolicy.FIXED


def _feed(
    limit: concurrency.ConcurrencyLimit,
    now: float,
    duration_s: float,
    latency_s: float,
    dropped_share: float = 0.0,
    slow_share: float = 0.0,
    noise: float = 0.5,
) -> float:
    """Add 500 samples per second; return the time of the last sample.

    dropped_share is the share of dropped samples, slow_share the share of
    samples that take ten times as long, noise the largest relative deviation
    of a latency.
    """
    rng = random.Random(3)
    for _ in range(int(duration_s * 500)):
        now += 0.002
        latency = latency_s * rng.uniform(1 - noise, 1 + noise)
        latency *= 10 if rng.random() < slow_share else 1
        is_dropped = rng.random() < dropped_share
        limit.on_sample(latency, limit.limit, is_dropped, now)
    return now


@pytest.mark.parametrize(
    'policy,dropped_share,slow_share,min_limit',
    [
        (_GRADIENT, 0.0, 0.0, 80),
        (_GRADIENT, 0.0, 0.5, 80),
        (_GRADIENT, 0.02, 0.1, 80),
        (_AIMD, 0.0, 0.5, 100),
        (_FIXED, 0.5, 0.5, 100),
    ],
)
def test_noise_is_no_overload(
    policy: settings.LimitPolicy,
    dropped_share: float,
    slow_share: float,
    min_limit: int,
) -> None:
    """Guards against a limit that collapses from noise or mixed latencies."""
    limit = concurrency.ConcurrencyLimit.from_config(policy, 100)
    now = 1.0
    for _ in range(20):
        now = _feed(limit, now, 0.5, 0.02, dropped_share, slow_share)
        assert limit.limit >= min_limit


@pytest.mark.parametrize(
    'policy,latency_s,dropped_share',
    [(_GRADIENT, 0.1, 0.0), (_GRADIENT, 0.02, 0.5), (_AIMD, 0.02, 0.1)],
)
def test_shrinks_and_recovers(
    policy: settings.LimitPolicy, latency_s: float, dropped_share: float
) -> None:
    """Guards against a limit that ignores overload or fails to recover."""
    limit = concurrency.ConcurrencyLimit.from_config(policy, 40)
    now = _feed(limit, 1.0, 1.0, 0.02)
    now = _feed(limit, now, 1.0, latency_s, dropped_share)
    assert limit.limit <= 25
    now = _feed(limit, now, 4.0, 0.02)
    assert limit.limit == 40


def test_bounds() -> None:
    """Guards against a limit of 0 or above the number of slots."""
    limit = concurrency.ConcurrencyLimit.from_config(_AIMD, 10)
    _feed(limit, 1.0, 20.0, 0.02, dropped_share=1.0)
    assert limit.limit == 1
    limit = concurrency.ConcurrencyLimit.from_config(_GRADIENT, 10)
    limit.set_max_slots(0)
    assert limit.limit == 1
    limit.set_max_slots(50)
    assert limit.limit == 50


def test_idle_upstream_keeps_its_limit() -> None:
    """Guards against growth of the limit without load."""
    limit = concurrency.ConcurrencyLimit.from_config(_AIMD, 100)
    now = _feed(limit, 1.0, 2.0, 0.02, dropped_share=1.0)
    limits = []
    for _ in range(2000):
        now += 0.002
        limit.on_sample(0.02, 1, False, now)
        limits.append(limit.limit)
    # The last window with drops ends within the first half second.
    assert set(limits[250:]) == {limits[250]} and limits[250] < 50


def test_default_policy_recovers_in_the_model() -> None:
    """Guards against missing the goals: 90% goodput, recovery within 5 s."""
    scenario = limit_trial.SCENARIOS[2]
    default = settings.NodeOptions.limit_policy
    result = limit_trial.run(scenario, default, 46.0)
    assert result.goodput_during >= 0.9
    assert result.recovery_s <= 5
