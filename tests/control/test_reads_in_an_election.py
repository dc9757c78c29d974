"""Linearizable reads while the replicas elect a leader."""

import asyncio
import typing

import pytest

from godwitstall import clock
from godwitstall.control import barrier as barrier_module
from godwitstall import errors

# Much longer than a read takes once there is a leader.
_TIMEOUT_S = 20.0

_INDEX = 7


class _ReplicaInAnElection:
    """A replica that leads after it was found without a leader a few times."""

    def __init__(self, rounds_without_leader: float) -> None:
        self.rounds_without_leader = rounds_without_leader
        # Index up to which the reads have waited.
        self.applied_index = 0

    @property
    def is_leader(self) -> bool:
        self.rounds_without_leader -= 1
        return self.rounds_without_leader < 0

    def leader_link(self) -> None:
        return None

    async def read_barrier(self, timeout_s: float) -> int:
        return _INDEX

    async def wait_applied(self, index: int, timeout_s: float) -> None:
        self.applied_index = index


def _run(replica: typing.Any, timeout_s: float) -> None:
    async def scenario() -> None:
        barrier = barrier_module.Barrier(replica)
        rounds = asyncio.create_task(barrier.run())
        try:
            await barrier.wait_for_leader(timeout_s)
        finally:
            rounds.cancel()

    asyncio.run(scenario())


def test_read_in_an_election_is_answered_after_it() -> None:
    """Guards against reads that fail while a leader is about to be elected."""
    replica = _ReplicaInAnElection(3)
    _run(replica, _TIMEOUT_S)
    assert replica.applied_index == _INDEX


def test_read_without_a_leader_fails_at_its_timeout() -> None:
    """Guards against reads that wait for a leader without a limit."""
    started_at = clock.now()
    with pytest.raises(errors.ControlError) as caught:
        _run(_ReplicaInAnElection(float('inf')), 0.3)
    assert caught.value.kind is errors.ErrorKind.CONTROL_LOST
    assert clock.now() - started_at < _TIMEOUT_S
