"""Retries of one service over a fleet of nodes.

Load pattern: upstreams of a service fail all calls, each of which would like
a retry, and each node of a large fleet has few of the calls.
"""

import random

import pytest

from godwitstall.limits import retry_budget

_CALLS_PER_S = 30
_SECONDS = 30
_WINDOW_S = 10

# The users' page: a fifth of the requests and this many in ten seconds. The
# number is that of their smallest deployment.
_RATIO = 0.2
_ALLOWANCE = 47


def _retries(nodes: int, seed: int) -> list[int]:
    """Return the retries of each second, all nodes together."""
    luck = random.Random(seed)
    budgets = [
        retry_budget.RetryBudget(0.16, 2.0, random.Random(luck.random()))
        for _ in range(nodes)
    ]
    found = []
    for second in range(100, 100 + _SECONDS):
        sent = 0
        for _ in range(_CALLS_PER_S):
            budget = luck.choice(budgets)
            budget.nodes = nodes
            budget.on_call(second)
            sent += budget.try_retry(second)
        found.append(sent)
    return found


@pytest.mark.parametrize('nodes', [1, 13, 82, 196, 900])
@pytest.mark.parametrize('seed', range(5))
def test_all_nodes_together_keep_the_budget(nodes: int, seed: int) -> None:
    """Guards against one retry a node, which is many over a large fleet."""
    sent = _retries(nodes, seed)
    allowed = _RATIO * _CALLS_PER_S * _WINDOW_S + _ALLOWANCE
    for start in range(_SECONDS - _WINDOW_S + 1):
        assert sum(sent[start : start + _WINDOW_S]) <= allowed


@pytest.mark.parametrize('nodes', [13, 82, 196, 900])
def test_few_calls_at_each_node_may_be_retried(nodes: int) -> None:
    """Guards against budgets that are rounded down to nothing."""
    sent = sum(sum(_retries(nodes, seed)) for seed in range(5))
    calls = 5 * _SECONDS * _CALLS_PER_S
    assert sent >= 0.1 * calls
