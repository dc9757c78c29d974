"""Read barrier when the process stops."""

import asyncio
import typing

import pytest

from godwitstall.control import barrier as barrier_module
from godwitstall import errors

# Much longer than it takes for an error to be raised.
_TIMEOUT_S = 20.0


class _SilentReplica:
    """A leader whose read barrier never returns."""

    is_leader = True

    async def read_barrier(self, timeout_s: float) -> int:
        await asyncio.sleep(10 * _TIMEOUT_S)
        return 0


def test_waiters_fail_when_the_process_stops() -> None:
    """Guards against reads that get no reply during a planned stop."""

    async def scenario() -> None:
        replica: typing.Any = _SilentReplica()
        barrier = barrier_module.Barrier(replica)
        rounds = asyncio.create_task(barrier.run())
        waiter_in_round = asyncio.create_task(barrier.wait(_TIMEOUT_S))
        await asyncio.sleep(0)
        await asyncio.sleep(0)
        waiter_for_next_round = asyncio.create_task(barrier.wait(_TIMEOUT_S))
        await asyncio.sleep(0)
        rounds.cancel()
        async with asyncio.timeout(_TIMEOUT_S / 2):
            for waiter in (waiter_in_round, waiter_for_next_round):
                with pytest.raises(errors.ControlError):
                    await waiter
            with pytest.raises(errors.ControlError):
                await barrier.wait(_TIMEOUT_S)

    asyncio.run(scenario())
