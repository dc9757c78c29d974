"""A fleet that admits chains by room, under lasting overload.

Load: twenty entry nodes; a deep service of four owners with five slots each
that runs 800 calls per second. A confirmation of the highest rank calls it
four times, as do requests for stock (second rank) and pledges (third rank).
A roster (second rank) is a request of the deep service's own callers. Together
they need 1.5 times the room.
"""

import statistics

import pytest

from godwitstall import messages
from tests.limits import chain_fleet

_PRIORITY = messages.Priority

# Second from which the marks are settled.
_SETTLED = 6
_END = 24

# A single run has too few pledges after the burst to measure a hundredth.
_SEEDS = range(1, 4)


def _kinds(pledges_per_s: float = 120.0) -> list[chain_fleet.Kind]:
    return [
        chain_fleet.Kind('confirm', 'confirm', _PRIORITY.PAYMENT, 25, 4),
        chain_fleet.Kind('stock', 'stock', _PRIORITY.HIGH, 45, 4),
        chain_fleet.Kind('roster', 'roster', _PRIORITY.HIGH, 240),
        chain_fleet.Kind(
            'pledge', 'pledge', _PRIORITY.NORMAL, pledges_per_s, 4
        ),
    ]


def _overloaded(
    lost_share: float = 0.0,
    delay_s: float = 0.0,
    is_enabled: bool = True,
    seed: int = 1,
) -> chain_fleet.Fleet:
    """Return a fleet after 24 s at 1.5 times the room of the deep service."""
    kinds = _kinds(pledges_per_s=170)
    fleet = chain_fleet.Fleet(
        kinds,
        lost_share=lost_share,
        delay_s=delay_s,
        is_enabled=is_enabled,
        seed=seed,
    )
    fleet.run(_END)
    return fleet


# Reports as sent, late, and half of them lost and late.
_NETWORKS = [(0.0, 0.0), (0.0, 1.5), (0.5, 1.5)]


@pytest.mark.parametrize(('lost_share', 'delay_s'), _NETWORKS)
def test_the_highest_rank_is_whole(lost_share: float, delay_s: float) -> None:
    """Guards against a shortage that reaches the highest rank."""
    fleet = _overloaded(lost_share, delay_s)
    assert fleet.share('confirm', 'served', 1, _END - 1) > 0.99


@pytest.mark.parametrize(('lost_share', 'delay_s'), _NETWORKS)
def test_begun_chains_end(lost_share: float, delay_s: float) -> None:
    """Guards against chains that fail after work that is then lost."""
    fleets = [_overloaded(lost_share, delay_s, seed=n) for n in _SEEDS]
    for name in 'confirm', 'stock', 'roster', 'pledge':
        shares = [
            fleet.share(name, 'failed', _SETTLED + 4, _END - 1)
            for fleet in fleets
        ]
        assert statistics.mean(shares) < 0.02


def test_without_admission_the_same_load_fails() -> None:
    """Guards against a load that shows nothing."""
    fleet = _overloaded(is_enabled=False)
    assert fleet.share('pledge', 'failed', _SETTLED, _END - 1) > 0.5


@pytest.mark.parametrize(('lost_share', 'delay_s'), _NETWORKS)
def test_the_room_is_used_without_swings(
    lost_share: float, delay_s: float
) -> None:
    """Guards against a fleet that swings between everything and nothing."""
    fleet = _overloaded(lost_share, delay_s)
    uses = [fleet.deep_use(s, s + 2) for s in range(_SETTLED, _END - 1, 2)]
    assert min(uses) > 0.75
    assert sum(uses) / len(uses) > 0.85
    shares = [
        fleet.share('pledge', 'served', s, s + 3)
        for s in range(_SETTLED + 2, _END - 3, 3)
    ]
    assert max(shares) - min(shares) < 0.3


def test_callers_of_the_deep_service_get_their_due() -> None:
    """Guards against chains of the same rank that push out own callers."""
    fleet = _overloaded()
    stock = fleet.share('stock', 'served', _SETTLED, _END - 1)
    roster = fleet.share('roster', 'served', _SETTLED, _END - 1)
    assert stock > 0.9
    assert roster > 0.9


def test_a_lower_rank_is_not_starved() -> None:
    """Guards against a rank of which no request is served at all."""
    fleet = _overloaded()
    assert fleet.share('pledge', 'served', _SETTLED, _END - 1) > 0.1


def test_everything_is_admitted_soon_after_the_cause_is_gone() -> None:
    """Guards against a shortage that outlives the burst."""
    kinds = _kinds(pledges_per_s=30)
    kinds.append(
        chain_fleet.Kind(
            'pledge', 'burst', _PRIORITY.NORMAL, 160, 4, 4.0, 12.0
        )
    )
    fleets = [chain_fleet.Fleet(kinds, seed=n) for n in _SEEDS]
    for fleet in fleets:
        fleet.run(20)
        assert fleet.share('pledge', 'served', 8, 12) < 0.9
    shares = [fleet.share('pledge', 'served', 15, 19) for fleet in fleets]
    assert statistics.mean(shares) > 0.97


def test_workspaces_share_inside_a_rank() -> None:
    """Guards against a hot workspace that takes the room of the others."""
    kinds = _kinds(pledges_per_s=20)
    kinds += [
        chain_fleet.Kind('pledge', f'usual-{n}', _PRIORITY.NORMAL, 5, 4)
        for n in range(4)
    ]
    kinds.append(
        chain_fleet.Kind('pledge', 'hot', _PRIORITY.NORMAL, 160, 4, 4.0)
    )
    fleet = chain_fleet.Fleet(kinds, entries=3)
    fleet.run(_END)
    hot = fleet.share('hot', 'served', 8, _END - 1)
    for n in range(4):
        assert fleet.share(f'usual-{n}', 'served', 8, _END - 1) > 2 * hot
