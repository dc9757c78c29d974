"""An upstream that says in its answers that it leaves gets no new requests.

The pattern: an upstream answers with the leaving header, but no announcement
of its leave reaches the fleet. Everything runs in simulated time.
"""

import asyncio
import math

import pytest

from godwitstall import clock
from godwitstall.node.upstreams import upstream_status
from tests import simulated_fleet

_LEAVING = [(b'x-leaving', b'1')]

# Time for which a node may still use an upstream after it has passed on an
# answer that says it leaves, seconds.
_DRAIN_S = 2.0

_SERVICES = {'a': 'siop', 'b': 'siop', 'c': 'gwydd', 'd': 'gwydd'}


def _late_arrivals(
    fleet: simulated_fleet.Fleet, name: str
) -> list[simulated_fleet.Arrival]:
    """Return the requests of nodes that had been told, sent too late."""
    upstream = fleet.upstreams[name]
    told_at = fleet.informed_at(upstream, b'x-leaving')
    return [
        arrival
        for arrival in upstream.arrivals
        if arrival.sent_at > told_at.get(arrival.entry, math.inf) + _DRAIN_S
    ]


def test_leaving_upstream_gets_no_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against an upstream that leaves but is still announced ready."""
    fleet = simulated_fleet.Fleet(_SERVICES)

    async def scenario() -> None:
        await fleet.load(list(_SERVICES), 'siop', 60.0, 2.0)
        fleet.upstreams['a'].headers = _LEAVING
        await fleet.load(list(_SERVICES), 'siop', 60.0, 6.0)

    fleet.run(scenario(), monkeypatch)
    assert _late_arrivals(fleet, 'a') == []
    assert fleet.statuses == {200: 480}


def test_leaving_is_remembered_while_the_owner_node_restarts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against use of a leaving upstream by nodes that know better.

    The new owner process gets a late announcement that the upstream is ready,
    and knows nothing of the answers before.
    """
    fleet = simulated_fleet.Fleet(_SERVICES)

    async def scenario() -> None:
        await fleet.load(list(_SERVICES), 'siop', 60.0, 2.0)
        fleet.upstreams['a'].headers = _LEAVING
        load = asyncio.create_task(
            fleet.load(list(_SERVICES), 'siop', 60.0, 8.0)
        )
        await asyncio.sleep(0.3)
        fleet.stop('a')
        await asyncio.sleep(2.0)
        fleet.start('a')
        await load

    fleet.run(scenario(), monkeypatch)
    assert _late_arrivals(fleet, 'a') == []


def test_next_process_of_a_left_upstream_gets_requests(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a leave that also applies to the next process."""
    fleet = simulated_fleet.Fleet(_SERVICES)

    async def scenario() -> None:
        fleet.upstreams['a'].headers = _LEAVING
        await fleet.load(list(_SERVICES), 'siop', 60.0, 3.0)
        left_at = clock.now()
        upstream = fleet.replace_upstream('a', 50)
        await fleet.load(list(_SERVICES), 'siop', 60.0, 3.0)
        assert sum(a.at > left_at for a in upstream.arrivals) > 30

    fleet.run(scenario(), monkeypatch)


def test_queued_requests_go_elsewhere_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against requests that wait for an upstream that has left."""
    fleet = simulated_fleet.Fleet({'a': 'siop', 'c': 'gwydd'}, work_s=1.0)

    async def scenario() -> None:
        upstream = fleet.nodes['a'].upstream
        upstream.set_max_slots(1)
        load = asyncio.create_task(fleet.load(['c'], 'siop', 100.0, 0.05))
        await asyncio.sleep(0.06)
        assert len(fleet.nodes['a'].owner.slots.queue) == 4
        upstream.on_status(
            upstream_status.UpstreamStatus(is_leaving=True),
            upstream.incarnation,
            clock.now(),
        )
        await load
        assert len(fleet.refusals) == 4
        assert max(refusal.took_s for refusal in fleet.refusals) < 0.15

    fleet.run(scenario(), monkeypatch)
