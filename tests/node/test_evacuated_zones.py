"""Calls while zones are evacuated and taken back, in simulated time."""

import asyncio

import pytest

from godwitstall import clock
from godwitstall import messages
from godwitstall.routing import zones
from tests import simulated_fleet

_SERVICES = dict.fromkeys(('a', 'b', 'c', 'd', 'e', 'f'), 'siop')
_ZONES = dict.fromkeys('abcd', 'z1') | dict.fromkeys('ef', 'z2')
_Z1 = [name for name, zone in _ZONES.items() if zone == 'z1']


def _fleet() -> simulated_fleet.Fleet:
    fleet = simulated_fleet.Fleet(_SERVICES)
    fleet.zones = _ZONES
    return fleet


def _arrivals_in_z1(fleet: simulated_fleet.Fleet, since: float) -> list[float]:
    return [
        arrival.at
        for name in _Z1
        for arrival in fleet.upstreams[name].arrivals
        if arrival.at > since
    ]


def test_no_call_fails_when_a_zone_is_emptied(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against calls that fail, or are cut, by an evacuation."""
    fleet = _fleet()

    async def scenario() -> None:
        load = asyncio.create_task(
            fleet.load(list(_SERVICES), 'siop', 400.0, 4.0)
        )
        await asyncio.sleep(2.0)
        fleet.evacuate('z1')
        began_at = clock.now()
        assert any(len(fleet.nodes[n].contexts.running) for n in _Z1)
        await load
        assert not _arrivals_in_z1(fleet, began_at)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {200: 1600}


def test_sender_without_the_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls of a node that is cut off from control.

    The zone has more owners than the refusals that a call may get.
    """
    fleet = _fleet()

    async def scenario() -> None:
        fleet.cut_off.add('e')
        fleet.nodes['e'].relay.picker._own_zone = 'z1'
        fleet.evacuate('z1')
        began_at = clock.now()
        await fleet.load(['e'], 'siop', 20.0, 2.0)
        assert not fleet.nodes['e'].view.is_evacuated('z1')
        assert not _arrivals_in_z1(fleet, began_at)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {200: 40}


def test_all_zones_are_emptied(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against calls that are held, or refused without a retry time."""
    fleet = _fleet()

    async def scenario() -> None:
        fleet.evacuate('z1', 'z2')
        await fleet.load(['a', 'e'], 'siop', 20.0, 1.0)

    fleet.run(scenario(), monkeypatch)
    assert fleet.statuses == {503: 20}
    assert all(r.has_retry_time and r.took_s < 0.1 for r in fleet.refusals)
    assert not any(u.arrivals for u in fleet.upstreams.values())


def test_zone_is_taken_back_gradually(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against upstreams that get their whole load at once."""
    fleet = _fleet()

    async def scenario() -> None:
        fleet.evacuate('z1')
        fleet.evacuate()
        ended_at = clock.now()
        await fleet.load(_Z1, 'siop', 100.0, zones.RETURN_S + 1.0)
        arrivals = _arrivals_in_z1(fleet, ended_at)
        first, last = (
            sum(start <= at - ended_at < start + 1 for at in arrivals)
            for start in (0.0, zones.RETURN_S)
        )
        assert first < 25 and last > 95

    fleet.run(scenario(), monkeypatch)
    assert set(fleet.statuses) == {200}


def test_upstream_of_a_zone_that_is_taken_back_counts_as_cold(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against full load on an upstream that became cold unnoticed."""
    fleet = _fleet()
    fleet.rules = [
        messages.ServiceRule('siop', cold_start_ms=3000, cold_per_s=6.5)
    ]

    async def scenario() -> None:
        fleet.publish()
        await asyncio.sleep(4.0)
        for name in _SERVICES:
            fleet.announce(name)
        assert not _cold_upstreams(fleet)
        fleet.evacuate('z1')
        assert not _cold_upstreams(fleet)
        fleet.evacuate()
        assert _cold_upstreams(fleet) == set(_Z1)
        await asyncio.sleep(1.5)
        for name in _SERVICES:
            fleet.announce(name)
        fleet.publish()
        assert not _cold_upstreams(fleet)

    fleet.run(scenario(), monkeypatch)


def _cold_upstreams(fleet: simulated_fleet.Fleet) -> set[str]:
    now = clock.now()
    return {
        name
        for name, node in fleet.nodes.items()
        if node.upstream.cold.rate.is_cold(now)
    }
