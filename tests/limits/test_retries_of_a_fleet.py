"""Retries of one service over a fleet of nodes.

Load pattern: all calls of a service fail and are candidates for a retry, and
each node of a large fleet handles few of the calls.
"""

import random

import pytest

from godwitstall.limits import retry_budget

_CALLS_PER_S = 30
_DURATION_S = 30
_WINDOW_S = 10

# Limit documented for users: a fifth of the requests plus a fixed number in
# ten seconds. The fixed number is that of their smallest deployment.
_RATIO = 0.2
_EXTRA_RETRIES = 47


def _retries(nodes: int, seed: int) -> list[int]:
    """Return the retries of all nodes together in each second."""
    rng = random.Random(seed)
    budgets = [
        retry_budget.RetryBudget(0.16, 2.0, random.Random(rng.random()))
        for _ in range(nodes)
    ]
    retries = []
    for second in range(100, 100 + _DURATION_S):
        sent = 0
        for _ in range(_CALLS_PER_S):
            budget = rng.choice(budgets)
            budget.node_count = nodes
            budget.on_call(second)
            sent += budget.try_retry(second)
        retries.append(sent)
    return retries


@pytest.mark.parametrize('nodes', [1, 13, 82, 196, 900])
@pytest.mark.parametrize('seed', range(5))
def test_all_nodes_together_keep_the_budget(nodes: int, seed: int) -> None:
    """Guards against a retry per node, which adds up in a large fleet."""
    sent = _retries(nodes, seed)
    allowed = _RATIO * _CALLS_PER_S * _WINDOW_S + _EXTRA_RETRIES
    for start in range(_DURATION_S - _WINDOW_S + 1):
        assert sum(sent[start : start + _WINDOW_S]) <= allowed


@pytest.mark.parametrize('nodes', [13, 82, 196, 900])
def test_few_calls_at_each_node_may_be_retried(nodes: int) -> None:
    """Guards against budgets of a fraction of a retry rounded down to 0."""
    sent = sum(sum(_retries(nodes, seed)) for seed in range(5))
    calls = 5 * _DURATION_S * _CALLS_PER_S
    assert sent >= 0.1 * calls
