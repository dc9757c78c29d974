"""Local share of a node while the ledger is unreachable.

Load pattern: one workspace sends several times its rate to all nodes.
"""

import pytest

from godwitstall.rates import local_share

_RATE = 100.0
_NODES = 10
_STEP_S = 0.001


def _admitted_calls(
    share: local_share.LocalShare, starts_at: float, ends_at: float
) -> int:
    """Return the number of admitted calls out of one call per millisecond."""
    ticks = int((ends_at - starts_at) / _STEP_S)
    return sum(
        share.try_take('w', starts_at + tick * _STEP_S)
        for tick in range(ticks)
    )


def _share() -> local_share.LocalShare:
    share = local_share.LocalShare()
    share.set_rates({'w': _RATE}, _NODES)
    share.on_ledger_reply(0.0)
    return share


def test_all_nodes_together_stay_below_the_rate() -> None:
    """Guards against a fleet without a leader that exceeds a rate."""
    share = _share()
    share.on_ledger_lost(0.0)
    admitted = _NODES * _admitted_calls(share, 0.0, 2.0)
    assert 0.7 * _RATE * 2 <= admitted <= _RATE * 2


@pytest.mark.parametrize('cut_off', [1, 3])
def test_cut_off_nodes_stay_within_the_tolerance(cut_off: int) -> None:
    """Guards against isolated nodes that spend in addition to the ledger.

    The documented limit over five seconds is a tenth above rate and burst (one
    second of the rate), and the ledger may have granted all of rate and burst.
    """
    share = _share()
    share.on_ledger_lost(0.0)
    admitted = cut_off * _admitted_calls(share, 10.0, 15.0)
    assert 0 < admitted <= 0.1 * (_RATE * 5 + _RATE) + 20


def test_an_outage_starts_without_accumulated_tokens() -> None:
    """Guards against a burst when the ledger becomes unreachable."""
    share = _share()
    for start in (0.0, 100.0, 200.0):
        share.on_ledger_lost(start)
        assert _admitted_calls(share, start, start + 0.05) <= 2
        share.on_ledger_reply(start + 50.0)


def test_an_unknown_workspace_gets_nothing_more_than_its_first_call() -> None:
    """Guards against a division by a rate of zero."""
    share = _share()
    # A single node gets the initial tokens of the whole fleet.
    share.set_rates({'w': _RATE}, 1)
    share.on_ledger_lost(0.0)
    assert share.try_take('unknown', 0.0)
    assert not share.try_take('unknown', 100.0)
