"""Division of a level's share among workspaces.

Load: nine workspaces with 10 requests per second each, and one hot workspace
with 110, of which half of all requests is admitted.
"""

import pytest

from godwitstall.limits import workspace_shares

_LEVEL = 2


def _shares(rates: dict[str, int]) -> workspace_shares.WorkspaceShares:
    shares = workspace_shares.WorkspaceShares()
    for tenth in range(100):
        for workspace, rate in rates.items():
            for _ in range(rate // 10):
                shares.on_request(workspace, _LEVEL, tenth / 10)
    return shares


def test_a_hot_workspace_does_not_push_out_the_others() -> None:
    """Guards against a shortage that all workspaces bear alike."""
    rates = {f'usual-{n}': 10 for n in range(9)} | {'hot': 110}
    shares = _shares(rates)
    assert shares.share_of('usual-3', _LEVEL, 0.5) == 1
    assert shares.share_of('hot', _LEVEL, 0.5) == pytest.approx(
        10 / 110, abs=0.01
    )


def test_several_hot_workspaces_share_evenly() -> None:
    """Guards against a hot workspace that gains by being the hottest."""
    rates = {'usual': 10, 'hot': 60, 'hotter': 120}
    shares = _shares(rates)
    admitted = {
        workspace: rate * shares.share_of(workspace, _LEVEL, 0.5)
        for workspace, rate in rates.items()
    }
    assert sum(admitted.values()) == pytest.approx(95, rel=0.05)
    assert admitted['hot'] == pytest.approx(admitted['hotter'], rel=0.05)
    assert admitted['usual'] == 10


def test_equal_workspaces_get_the_share_of_the_level() -> None:
    """Guards against more or fewer admitted requests than there is room."""
    shares = _shares({'a': 20, 'b': 20})
    assert shares.share_of('a', _LEVEL, 0.3) == pytest.approx(0.3, rel=0.02)


def test_a_whole_level_is_not_divided() -> None:
    """Guards against refusals of a hot workspace while there is room."""
    shares = _shares({'usual': 10, 'hot': 110})
    assert shares.share_of('hot', _LEVEL, 1.0) == 1


def test_idle_workspaces_are_dropped() -> None:
    """Guards against state for every workspace that was ever seen."""
    shares = workspace_shares.WorkspaceShares()
    for n in range(1000):
        shares.on_request(f'w-{n}', _LEVEL, n * 0.1)
    assert len(shares.levels[_LEVEL].counts) < 100
