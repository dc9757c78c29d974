"""Rates of a large fleet without a ledger.

Load pattern: control is out of reach, most workspaces send within their rate
to nodes that each see few of their calls, and one sends many times its rate.
"""

import random

import pytest

from godwitstall.rates import local_share
from godwitstall.rates import steward as stewards

_RATE = 3.0
_BURST = 1.5
_OUTAGE_S = 7.0

# The users' page: what a window of 5 s may hold.
_WINDOW_S = 5.0
_ALLOWED = (_RATE * _WINDOW_S + _BURST) * 1.1 + 20

_FLEETS = [13, 80, 200, 900]


class _Fleet:
    """Stewards of many nodes without a ledger."""

    def __init__(self, size: int) -> None:
        self.ids = [f'n{number}' for number in range(size)]
        self.nodes = {}
        for node_id in self.ids:
            steward = stewards.Steward()
            steward.set_rates({'shop': _RATE}, self.ids)
            self.nodes[node_id] = steward

    def try_take(self, node_id: str, now: float) -> bool:
        """Take a token for a call at a node, as it asks the steward."""
        steward = self.nodes[self.nodes[node_id].of('shop')]
        steward.on_told(node_id, False, now)
        return steward.try_take('shop', now)


def _arrivals(
    rate: float, ids: list[str], luck: random.Random
) -> list[tuple[float, str]]:
    found = []
    now = luck.expovariate(rate)
    while now < _OUTAGE_S:
        found.append((now, luck.choice(ids)))
        now += luck.expovariate(rate)
    return found


def _most_in_window(times: list[float]) -> int:
    return max(
        sum(start <= other < start + _WINDOW_S for other in times)
        for start in times
    )


@pytest.mark.parametrize('size', _FLEETS)
@pytest.mark.parametrize('seed', range(5))
def test_workspace_within_its_rate_is_served(size: int, seed: int) -> None:
    """Guards against refusals that grow with the number of nodes."""
    fleet = _Fleet(size)
    luck = random.Random(seed)
    calls = _arrivals(0.7 * _RATE, fleet.ids, luck)
    served = sum(fleet.try_take(node_id, now) for now, node_id in calls)
    assert served >= 0.95 * len(calls)


@pytest.mark.parametrize('size', _FLEETS)
@pytest.mark.parametrize('seed', range(5))
def test_hot_workspace_stays_within_its_bound(size: int, seed: int) -> None:
    """Guards against a whole token at each node, whatever the rate.

    The ledger may have given all that the rate allows just before.
    """
    fleet = _Fleet(size)
    luck = random.Random(seed)
    taken = [
        now
        for now, node_id in _arrivals(8 * _RATE, fleet.ids, luck)
        if fleet.try_take(node_id, now)
    ]
    assert 0.6 * _RATE * _OUTAGE_S < len(taken)
    assert _most_in_window(taken) + _BURST <= _ALLOWED


def test_outages_one_after_the_other_add_nothing() -> None:
    """Guards against a new start of the buckets at each change of leader."""
    fleet = _Fleet(200)
    taken = []
    for step in range(500):
        now = step * 0.01
        for steward in fleet.nodes.values():
            steward.had_ledger_at = now - now % 1.0
        if fleet.try_take(fleet.ids[step % 200], now):
            taken.append(now)
    assert len(taken) <= _ALLOWED - _BURST


def test_steward_that_may_be_alone_spends_little() -> None:
    """Guards against the rate spent twice, here and through the ledger."""
    steward = stewards.Steward()
    steward.set_rates({'shop': 72.0}, ['n1'])
    taken = sum(
        steward.try_take('shop', 100.0 + step * 0.001) for step in range(5000)
    )
    # What the users' page allows on top of a rate and half a second of it.
    assert 0 < taken <= 0.1 * 72.0 * (5 + 0.5) + 20


def test_all_nodes_find_the_same_steward() -> None:
    """Guards against two nodes that spend one rate."""
    ids = [f'n{number}' for number in range(200)]
    found = set()
    for order in (ids, ids[::-1]):
        steward = stewards.Steward()
        steward.set_rates({'shop': 1.0}, order)
        found.add(steward.of('shop'))
    assert len(found) == 1


def test_few_workspaces_move_when_a_node_leaves() -> None:
    """Guards against all buckets that start anew at each change."""
    ids = [f'n{number}' for number in range(50)]
    names = [f'w{number}' for number in range(100)]
    before, after = stewards.Steward(), stewards.Steward()
    before.set_rates({}, ids)
    after.set_rates({}, ids[1:])
    moved = [name for name in names if before.of(name) != after.of(name)]
    assert all(before.of(name) == ids[0] for name in moved)


@pytest.mark.parametrize('size', _FLEETS)
def test_own_parts_together_stay_within_the_bound(size: int) -> None:
    """Guards against the same flood where no steward can be reached."""
    luck = random.Random(3)
    shares = [local_share.LocalShare(luck) for _ in range(size)]
    for share in shares:
        share.set_rates({'shop': _RATE}, size)
        share.end(0.0)
    taken = 0
    for outage in range(2):
        begin = outage * 2.5
        for share in shares:
            share.begin(begin)
        for step in range(25):
            now = begin + step * 0.1
            taken += sum(share.try_take('shop', now) for share in shares)
        for share in shares:
            share.end(begin + 2.5)
    assert taken <= _ALLOWED
