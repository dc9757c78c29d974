"""Replicas against crashes, cut links and lost disks."""

import asyncio
import contextlib
import pathlib
import typing

import pytest

from godwitstall import errors
from godwitstall import messages
from tests.consensus import fleet as fleets


@pytest.mark.parametrize('size', [1, 3, 5])
def test_commands_reach_every_replica(
    tmp_path: pathlib.Path, size: int
) -> None:
    """Guards against commands that are lost, doubled or reordered."""
    commands = [b'%d' % i for i in range(50)]

    async def scenario(fleet: fleets.Fleet) -> None:
        await fleet.start()
        leader = await fleet.leader()
        results = await asyncio.gather(
            *(leader.replica.propose(c, fleets.WAIT_S) for c in commands)
        )
        assert [r[1] for r in results] == [b'did ' + c for c in commands]
        await fleet.agree(*commands)
        index = await leader.replica.read_barrier(fleets.WAIT_S)
        assert index >= results[-1][0]

    fleets.run(scenario, fleets.Fleet(tmp_path, size))
