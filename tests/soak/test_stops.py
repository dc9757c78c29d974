"""Stops in groups beside clients that pipeline, leave and cling, by seeds.

Zones are emptied and taken back meanwhile, at times both.
"""

import asyncio
import os
import random

import pytest

from godwitstall.http import connection as http_connection
from tests.soak import clients
from tests.soak import fleet
from tests.soak import oracle

_SEEDS = 50 if os.environ.get('GODWITSTALL_SOAK') else 6
_NODES = 4
_CLIENTS = 16
_GROUPS = 3
_EVACUATIONS = 3
_TIMEOUT_S = 60.0


async def _stop_in_groups(mesh: fleet.Fleet, chance: random.Random) -> None:
    """Stop random groups of nodes, in series that overlap."""
    series = []
    for _ in range(_GROUPS):
        await asyncio.sleep(chance.uniform(0.2, 0.8))
        names = chance.sample(sorted(mesh.slots), chance.randint(1, _NODES))
        series.append(asyncio.create_task(mesh.stop_group(names)))
    await asyncio.gather(*series)


async def _evacuate(mesh: fleet.Fleet, chance: random.Random) -> None:
    """Evacuate random zones, one order after the other."""
    for _ in range(_EVACUATIONS):
        await asyncio.sleep(chance.uniform(0.1, 0.5))
        zones = chance.choice((['z1'], ['z2'], ['z1', 'z2']))
        await mesh.evacuate(zones, chance.uniform(0.3, 1.2))


async def _disturb(
    mesh: fleet.Fleet, chance: random.Random, is_evacuating: bool
) -> None:
    tasks = [_stop_in_groups(mesh, chance)]
    if is_evacuating:
        tasks.append(_evacuate(mesh, chance))
    await asyncio.gather(*tasks)


def _discarded_unanswered() -> float:
    return http_connection._DISCARDED_BYTES.value(is_answered='false')


@pytest.mark.parametrize('is_evacuating', [False, True])
@pytest.mark.parametrize('seed', range(_SEEDS))
def test_stops_in_groups_lose_no_request_and_run_none_twice(
    seed: int, is_evacuating: bool
) -> None:
    """Guards against lost, repeated and untrue answers while nodes stop.

    Each request that has reached an upstream has a response, a refused one was
    not run, and none was run twice. None runs in an evacuated zone.
    """

    async def scenario() -> list[str]:
        chance = random.Random(seed)
        discarded = _discarded_unanswered()
        async with fleet.running(_NODES) as mesh:
            callers = [
                clients.Client(
                    f'c{number}',
                    chance.choice(
                        list(mesh.slots.values())
                    ).options.caller_address,
                    f'{seed}-{number}',
                )
                for number in range(_CLIENTS)
            ]
            async with asyncio.timeout(_TIMEOUT_S):
                await clients.run_until_ended(
                    callers, _disturb(mesh, chance, is_evacuating)
                )
        wires = [wire for caller in callers for wire in caller.wires]
        assert _discarded_unanswered() == discarded
        assert sum(mesh.upstreams.ends.values()) > _CLIENTS
        return oracle.violations(wires, mesh.upstreams)

    assert asyncio.run(scenario()) == []
