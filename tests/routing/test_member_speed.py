"""Selection of upstreams by speed, with the loads of two customers.

tfrsa: upstreams of one service take 0.5 to 1.5 times the average. tisza: the
upstreams of two services also stutter, a share of their requests 2.5 times
slower in spells of 600 ms.
"""

import math
import random

import pytest

from godwitstall import messages
from godwitstall.routing import member_speed
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module
from tests.routing import member_fleet

_RATIOS = (0.5, 1.0, 1.5)
_DURATION_S = 20.0
_N1 = messages.NodeId('n1')
_N2 = messages.NodeId('n2')


def _by_load(
    view: view_module.View, zone: str, rand: random.Random
) -> picker_module.Picker:
    return picker_module.Picker(view, zone, rand)


def _by_speed(
    view: view_module.View, zone: str, rand: random.Random
) -> picker_module.Picker:
    return picker_module.Picker(view, zone, rand, member_speed.MemberSpeeds())


def _upstreams(
    ratios: tuple[float, ...] = _RATIOS, stutter_share: float = 0.0
) -> list[member_fleet.Upstream]:
    return [
        member_fleet.Upstream(
            messages.NodeId(f'n{i}'),
            'z1',
            ratio=ratios[i % len(ratios)],
            stutter_share=stutter_share,
        )
        for i in range(9)
    ]


def _run(
    factory: member_fleet.PickerFactory,
    load: float,
    upstreams: list[member_fleet.Upstream],
    duration_s: float = _DURATION_S,
) -> member_fleet.Fleet:
    fleet = member_fleet.Fleet(factory, upstreams, senders_per_zone=18)
    rate = fleet.capacity_per_s() * load
    fleet.run({'z1': lambda _: rate}, duration_s)
    return fleet


@pytest.mark.parametrize('load', [0.5, 0.9])
def test_upstreams_of_three_speeds_are_used_evenly(load: float) -> None:
    """Guards against slow upstreams that are full while fast ones idle.

    By load alone, the spread is 1.2 at half of the room.
    """
    before = _run(_by_load, load, _upstreams())
    after = _run(_by_speed, load, _upstreams())
    assert after.spread(_DURATION_S) < before.spread(_DURATION_S)
    assert after.spread(_DURATION_S) < 1.1
    assert after.p95_ms() < before.p95_ms() * 0.95
    assert after.refused_share() <= before.refused_share()


def test_more_work_than_room_is_not_refused_more_often() -> None:
    """Guards against refusals by full fast upstreams above the room."""
    before = _run(_by_load, 1.2, _upstreams(), 10.0)
    after = _run(_by_speed, 1.2, _upstreams(), 10.0)
    assert after.refused_share() < before.refused_share() + 0.01
    assert after.spread(10.0) < 1.05


@pytest.mark.parametrize('load', [0.5, 0.9])
def test_stutters_are_avoided(load: float) -> None:
    """Guards against calls that follow others into a spell of pauses."""
    ratios = (0.6, 1.0, 1.6)
    before = _run(_by_load, load, _upstreams(ratios, 0.1))
    after = _run(_by_speed, load, _upstreams(ratios, 0.1))
    assert after.p95_ms() < before.p95_ms()
    assert after.refused_share() <= before.refused_share() + 0.001


def test_a_newcomer_gets_no_more_than_its_share_at_first() -> None:
    """Guards against a rush to a new upstream that turns out to be slow."""
    upstreams = _upstreams((1.0,))
    upstreams[0].ratio = 1.5
    upstreams[0].joins_at = 5.0
    fleet = _run(_by_speed, 0.6, upstreams, 10.0)
    calls = sum(1 for end, _ in upstreams[0].samples if end < 6.0)
    others = [
        sum(1 for end, _ in u.samples if 5.0 <= end < 6.0)
        for u in upstreams[1:]
    ]
    assert calls < 1.5 * sum(others) / len(others)
    assert fleet.refused_share() == 0


@pytest.mark.parametrize('factor', [0.001, 30.0])
def test_a_member_that_reports_false_times_does_bounded_harm(
    factor: float,
) -> None:
    """Guards against a member that draws or sheds work by its reports."""
    honest = _run(_by_speed, 0.7, _upstreams())
    upstreams = _upstreams()
    upstreams[1].report_factor = factor
    fleet = _run(_by_speed, 0.7, upstreams)
    assert fleet.refused_share() == 0
    assert fleet.p95_ms() < honest.p95_ms() * 1.3
    assert fleet.utilisation(_DURATION_S)[_N1] < 1.0


def test_a_false_time_loses_its_weight() -> None:
    """Guards against harm that outlives a wrong report."""
    speeds = member_speed.MemberSpeeds()
    for i in range(100):
        speeds.add_time(_N1, 'r', 20.0, i * 0.1)
        speeds.add_time(_N2, 'r', 20.0, i * 0.1)
    speeds.add_time(_N1, 'r', 3_000_000.0, 10.0)
    assert speeds.ratio(_N1, 10.0) < 1.6
    assert speeds.ratio(_N1, 11.5) < 1.1
    for i in range(20):
        speeds.add_time(_N1, 'r', 20.0, 12 + i * 0.1)
    assert speeds.ratio(_N1, 16.0) == pytest.approx(1.0, abs=0.05)


def test_a_route_that_costs_more_does_not_make_a_member_slow() -> None:
    """Guards against the mix of routes in the speed of a member."""
    speeds = member_speed.MemberSpeeds()
    for i in range(60):
        speeds.add_time(_N1, 'dear' if i % 6 else 'cheap', 1.0, 1.0)
        speeds.add_time(_N2, 'cheap' if i % 6 else 'dear', 1.0, 1.0)
    for i in range(600):
        now = 1.0 + i * 0.05
        is_dear = bool(i % 6)
        speeds.add_time(
            _N1, 'dear' if is_dear else 'cheap', 90.0 if is_dear else 9.0, now
        )
        speeds.add_time(
            _N2, 'cheap' if is_dear else 'dear', 9.0 if is_dear else 90.0, now
        )
    now = 31.0
    ratio = speeds.ratio(_N1, now) / speeds.ratio(_N2, now)
    assert 0.8 < ratio < 1.25


def test_ratios_are_bounded_and_age() -> None:
    """Guards against a member that is avoided for ever."""
    speeds = member_speed.MemberSpeeds()
    for i in range(1000):
        speeds.add_time(_N1, 'r', 1.0, i * 0.01)
        speeds.add_time(_N2, 'r', 1000.0, i * 0.01)
    assert 1 / member_speed.MAX_RATIO <= speeds.ratio(_N1, 10.0) < 1
    assert 1 < speeds.ratio(_N2, 10.0) <= member_speed.MAX_RATIO
    assert speeds.ratio(_N2, 300.0) < 1.01


@pytest.mark.parametrize(
    'own_time_ms',
    [math.nan, math.inf, -math.inf, -1.0, 0.0, 1e300, 5000.0],
)
def test_implausible_times_are_ignored(own_time_ms: float) -> None:
    """Guards against a state that one bad report destroys.

    The sender waited for 100 ms, so 5 s of the upstream cannot be true.
    """
    view = view_module.View()
    picker = _by_speed(view, 'z1', random.Random(1))
    member = messages.Member(
        _N1,
        service=member_fleet.SERVICE,
        zone='z1',
        state=messages.UpstreamState.READY,
        slots=10,
    )
    view.apply(messages.StateUpdate(1, True, members=[member]))
    for i in range(10):
        picker.on_run_time(_N1, 'r', 20.0, 30.0, i * 0.1)
    assert picker.speeds is not None
    before = picker.speeds.dump()
    picker.on_run_time(_N1, 'r', own_time_ms, 100.0, 2.0)
    assert picker.speeds.dump() == before


def test_remembered_routes_are_bounded() -> None:
    """Guards against memory that grows with the names of routes."""
    speeds = member_speed.MemberSpeeds()
    for i in range(member_speed.MAX_ROUTES + 10):
        speeds.add_time(_N1, f'r{i}', 1.0, 1.0)
    assert len(speeds._routes) == member_speed.MAX_ROUTES
    speeds.retain({})
    assert not speeds.dump()
