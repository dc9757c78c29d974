"""Concurrency limit: noise, mixes, slowdowns and the two policies."""

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
    seconds: float,
    latency_s: float,
    dropped: float = 0.0,
    slow: float = 0.0,
    noise: float = 0.5,
) -> float:
    """Report 500 samples a second; return the time after the last one.

    dropped is the share of drops, slow the share of a kind that takes ten
    times as long, noise the largest deviation of a latency.
    """
    rng = random.Random(3)
    for _ in range(int(seconds * 500)):
        now += 0.002
        latency = latency_s * rng.uniform(1 - noise, 1 + noise)
        latency *= 10 if rng.random() < slow else 1
        is_dropped = rng.random() < dropped
        limit.on_sample(latency, limit.limit, is_dropped, now)
    return now


@pytest.mark.parametrize(
    'policy,dropped,slow,lowest',
    [
        (_GRADIENT, 0.0, 0.0, 80),
        (_GRADIENT, 0.0, 0.5, 80),
        (_GRADIENT, 0.02, 0.1, 80),
        (_AIMD, 0.0, 0.5, 100),
        (_FIXED, 0.5, 0.5, 100),
    ],
)
def test_noise_is_no_overload(
    policy: settings.LimitPolicy, dropped: float, slow: float, lowest: int
) -> None:
    """Guards against a collapse from noise or a slow mix of requests."""
    limit = concurrency.ConcurrencyLimit.from_config(policy, 100)
    now = 1.0
    for _ in range(20):
        now = _feed(limit, now, 0.5, 0.02, dropped, slow)
        assert limit.limit >= lowest


@pytest.mark.parametrize(
    'policy,latency_s,dropped',
    [(_GRADIENT, 0.1, 0.0), (_GRADIENT, 0.02, 0.5), (_AIMD, 0.02, 0.1)],
)
def test_shrinks_and_recovers(
    policy: settings.LimitPolicy, latency_s: float, dropped: float
) -> None:
    """Guards against a limit that ignores overload or stays low after it."""
    limit = concurrency.ConcurrencyLimit.from_config(policy, 40)
    now = _feed(limit, 1.0, 1.0, 0.02)
    now = _feed(limit, now, 1.0, latency_s, dropped)
    assert limit.limit <= 25
    now = _feed(limit, now, 4.0, 0.02)
    assert limit.limit == 40


def test_bounds() -> None:
    """Guards against a limit of 0 and one above the slots."""
    limit = concurrency.ConcurrencyLimit.from_config(_AIMD, 10)
    _feed(limit, 1.0, 20.0, 0.02, dropped=1.0)
    assert limit.limit == 1
    limit = concurrency.ConcurrencyLimit.from_config(_GRADIENT, 10)
    limit.set_max_slots(0)
    assert limit.limit == 1
    limit.set_max_slots(50)
    assert limit.limit == 50


def test_idle_upstream_keeps_its_limit() -> None:
    """Guards against growth that no load has tested."""
    limit = concurrency.ConcurrencyLimit.from_config(_AIMD, 100)
    now = _feed(limit, 1.0, 2.0, 0.02, dropped=1.0)
    lows = []
    for _ in range(2000):
        now += 0.002
        limit.on_sample(0.02, 1, False, now)
        lows.append(limit.limit)
    # The last window with drops ends in the first half second.
    assert set(lows[250:]) == {lows[250]} and lows[250] < 50


def test_default_policy_recovers_in_the_model() -> None:
    """Guards against the goals: 90% during overload, back within 5 s."""
    scenario = limit_trial.SCENARIOS[2]
    default = settings.NodeOptions.limit_policy
    result = limit_trial.run(scenario, default, 46.0)
    assert result.goodput_during >= 0.9
    assert result.recovery_s <= 5
