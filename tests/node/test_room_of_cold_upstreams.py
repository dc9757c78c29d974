"""Marks of a service of which some upstreams are cold."""

import asyncio

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall import messages
from tests import simulated_fleet

_SERVICE = messages.ServiceName('siop')
_COLD_START_S = 3.0


async def _handle(fleet: simulated_fleet.Fleet) -> messages.Answer:
    """Return the answer of the owner to one call."""
    node = fleet.nodes['a']
    # Answers carry marks for some time after a lack of room.
    node.owner.room.is_enabled = True
    node.owner.room.short_at = clock.now()
    number = fleet.add_request('a')
    return await node.owner.handle(
        messages.Call(
            service=_SERVICE,
            method='GET',
            path='/siop',
            route_name='siop',
            attempts=1,
            deadline_ms=1000,
            is_idempotent=True,
            request_id=b'%d' % number,
        )
    )


def test_cold_upstream_has_no_mark(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against chains refused for the cold owners of a service.

    The owners whose upstreams are warm run what the others refuse. A mark of
    an owner that accepts few requests would count as a lack of room of all.
    """
    fleet = simulated_fleet.Fleet({'a': _SERVICE, 'b': _SERVICE})
    fleet.rules = [
        messages.ServiceRule(
            _SERVICE, cold_start_ms=round(_COLD_START_S * 1000), cold_per_s=6.5
        )
    ]

    async def scenario() -> None:
        fleet.publish()
        fleet.nodes['a'].upstream.on_zone_taken_back()
        await asyncio.sleep(0.5)
        answer = await _handle(fleet)
        assert answer.kind is errors.ErrorKind.NONE
        assert answer.load.cold_ms and not answer.rooms
        await asyncio.sleep(_COLD_START_S + 1.0)
        fleet.announce('a')
        answer = await _handle(fleet)
        assert not answer.load.cold_ms and answer.rooms

    fleet.run(scenario(), monkeypatch)
