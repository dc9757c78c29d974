"""Shared confirmations at the end of a process."""

import asyncio
import typing

import pytest

from godwitstall.control import barrier as barrier_module
from godwitstall import errors

# Far above the time that an error takes to arrive.
_TIMEOUT_S = 20.0


class _SilentReplica:
    """A leader whose rounds never end."""

    is_leader = True

    async def read_barrier(self, timeout_s: float) -> int:
        await asyncio.sleep(10 * _TIMEOUT_S)
        return 0


def test_waiters_hear_of_the_end_at_once() -> None:
    """Guards against reads that a planned stop leaves without an answer."""

    async def scenario() -> None:
        replica: typing.Any = _SilentReplica()
        barrier = barrier_module.Barrier(replica)
        rounds = asyncio.create_task(barrier.run())
        running = asyncio.create_task(barrier.wait(_TIMEOUT_S))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        queued = asyncio.create_task(barrier.wait(_TIMEOUT_S))
        await asyncio.sleep(0)
        rounds.cancel()
        async with asyncio.timeout(_TIMEOUT_S / 2):
            for waiter in (running, queued):
                with pytest.raises(errors.ControlError):
                    await waiter
            with pytest.raises(errors.ControlError):
                await barrier.wait(_TIMEOUT_S)

    asyncio.run(scenario())
