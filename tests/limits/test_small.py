"""Warm-up, retry budget and chain budget."""

import os

import hypothesis
from hypothesis import strategies
import pytest

from godwitstall.limits import attempts
from godwitstall.limits import retry_budget
from godwitstall.limits import warmup

_EXAMPLES = 5000 if 'GODWITSTALL_SOAK' in os.environ else 200


@pytest.mark.parametrize(
    'warmup_s,now,share',
    [
        (10.0, 100.0, 0.1),
        (10.0, 105.0, 0.55),
        (10.0, 110.0, 1.0),
        (10.0, 99.0, 0.1),
        (0.0, 100.0, 1.0),
    ],
)
def test_warmup(warmup_s: float, now: float, share: float) -> None:
    """Guards against full load on a cold process, and a division by 0."""
    warm_up = warmup.WarmUp(warmup_s, 100.0)
    assert warm_up.share(now) == pytest.approx(share)


@hypothesis.settings(max_examples=_EXAMPLES, derandomize=True)
@hypothesis.given(
    ratio=strategies.sampled_from([0.0, 0.1, 0.5]),
    min_per_s=strategies.sampled_from([0.0, 0.3, 1.0]),
    steps=strategies.lists(
        strategies.tuples(
            strategies.sampled_from([0.0, 0.3, 1.0, 4.0, 30.0]),
            strategies.integers(0, 20),
            strategies.integers(0, 8),
        ),
        max_size=30,
    ),
)
def test_retry_budget_against_model(
    ratio: float, min_per_s: float, steps: list[tuple[float, int, int]]
) -> None:
    """Guards against retry storms and buckets that are cleared wrongly."""
    budget = retry_budget.RetryBudget(ratio, min_per_s)
    calls: list[int] = []
    retries: list[int] = []
    now = 3.0
    window = retry_budget.WINDOW_S
    for elapsed_s, new_calls, new_retries in steps:
        now += elapsed_s
        for _ in range(new_calls):
            budget.on_call(now)
            calls.append(int(now))
        for _ in range(new_retries):
            oldest = int(now) - window + 1
            allowed = max(
                ratio * sum(c >= oldest for c in calls), min_per_s * window
            )
            is_allowed = sum(r >= oldest for r in retries) + 1 <= allowed
            assert budget.try_retry(now) == is_allowed
            if is_allowed:
                retries.append(int(now))


def test_chain_budget() -> None:
    """Guards against a budget that exceeds its initial value (R1)."""
    budget = attempts.ChainBudget(3)
    assert [budget.reserve(2), budget.reserve(2), budget.reserve(1)] == [
        2,
        1,
        0,
    ]
    budget.release(9)
    assert budget.remaining == 3
    assert budget.reserve(-1) == 0
    budget.release(-5)
    assert budget.remaining == 3
