"""Spending without a ledger. Load pattern: one workspace sends several times
its rate to all nodes while control is out of reach."""

import pytest

from godwitstall.rates import local_share

_RATE = 100.0
_NODES = 10
_STEP_S = 0.001


def _spent(share: local_share.LocalShare, begin: float, end: float) -> int:
    """Return how many of a flood of calls are let through."""
    steps = int((end - begin) / _STEP_S)
    return sum(
        share.try_take('w', begin + step * _STEP_S) for step in range(steps)
    )


def _share() -> local_share.LocalShare:
    share = local_share.LocalShare()
    share.set_rates({'w': _RATE}, _NODES)
    share.end(0.0)
    return share


def test_all_nodes_together_stay_below_the_rate() -> None:
    """Guards against a fleet without a leader that exceeds a rate."""
    share = _share()
    share.begin(0.0)
    spent = _NODES * _spent(share, 0.0, 2.0)
    assert 0.7 * _RATE * 2 <= spent <= _RATE * 2


@pytest.mark.parametrize('cut_off', [1, 3])
def test_cut_off_nodes_stay_within_the_tolerance(cut_off: int) -> None:
    """Guards against cut-off nodes that spend beside a whole ledger.

    Over five seconds the users' page allows a tenth more than rate and burst
    (one second of the rate); the ledger can have given all of that.
    """
    share = _share()
    share.begin(0.0)
    spent = cut_off * _spent(share, 10.0, 15.0)
    assert 0 < spent <= 0.1 * (_RATE * 5 + _RATE) + 20


def test_an_outage_starts_without_savings() -> None:
    """Guards against a burst at the moment the ledger is lost."""
    share = _share()
    for start in (0.0, 100.0, 200.0):
        share.begin(start)
        assert _spent(share, start, start + 0.05) <= 2
        share.end(start + 50.0)


def test_an_unknown_workspace_gets_nothing_more_than_its_first_call() -> None:
    """Guards against a division by a rate of zero."""
    share = _share()
    # One node has all that the fleet starts with.
    share.set_rates({'w': _RATE}, 1)
    share.begin(0.0)
    assert share.try_take('unknown', 0.0)
    assert not share.try_take('unknown', 100.0)
