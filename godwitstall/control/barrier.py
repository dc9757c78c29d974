"""Read barrier: waits until a replica has the state at the time of the call.

The replica then has applied every entry that was committed before the call.
Heartbeats and linearizable reads share barrier rounds. One round runs at a
time, and callers that arrive during a round share the next one.
"""

import asyncio

from godwitstall import clock
from godwitstall.consensus import replica as replica_module
from godwitstall import errors
from godwitstall import messages

_ROUND_TIMEOUT_S = 1.0

# Delay before a round without a leader fails. Without it, repeated rounds
# would keep the event loop busy.
_NO_LEADER_DELAY_S = 0.1

# Delay after a failed round for callers that wait for a leader. A former
# leader refuses at once.
_RETRY_DELAY_S = 0.05


class Barrier:
    """Read barrier of one replica, shared by concurrent callers."""

    def __init__(self, replica: replica_module.Replica) -> None:
        self.replica = replica
        # Completes with the next round; None when no caller waits for one.
        self.next_round: asyncio.Future[None] | None = None
        self.round_requested = asyncio.Event()
        # Whether run() has ended, so that no further round completes.
        self.is_stopped = False

    async def wait(self, timeout_s: float) -> None:
        """Wait until every entry committed before the call is applied.

        Errors: ControlError of kind CONTROL_LOST when this cannot be
        confirmed within timeout_s, or when the process stops.
        """
        if self.is_stopped:
            raise _stopping_error()
        if self.next_round is None:
            self.next_round = asyncio.get_running_loop().create_future()
            self.round_requested.set()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self.next_round)
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST, 'The read barrier timed out.'
            ) from e

    async def wait_for_leader(self, timeout_s: float) -> None:
        """Wait like wait(), through an election as well.

        A client that reads has time to wait for the next leader. A failure
        sends it to the other replicas, which take part in the same election.

        Errors: those of the last round within timeout_s.
        """
        deadline = clock.now() + timeout_s
        while True:
            try:
                await self.wait(deadline - clock.now())
                return
            except errors.ControlError:
                if self.is_stopped or clock.now() >= deadline:
                    raise
            await asyncio.sleep(_RETRY_DELAY_S)

    async def run(self) -> None:
        """Run rounds until cancelled.

        On cancellation, pending wait() calls fail at once.
        """
        self.is_stopped = False
        try:
            while True:
                await self.round_requested.wait()
                self.round_requested.clear()
                future, self.next_round = self.next_round, None
                if future is not None:
                    await self._run_round(future)
        finally:
            self.is_stopped = True
            if self.next_round is not None:
                _fail(self.next_round, _stopping_error())

    async def _run_round(self, future: asyncio.Future[None]) -> None:
        try:
            await self._confirm()
        except errors.GodwitstallError as e:
            kind = errors.ErrorKind.CONTROL_LOST
            _fail(future, errors.ControlError(kind, e.detail))
        except asyncio.CancelledError:
            _fail(future, _stopping_error())
            raise
        else:
            future.set_result(None)

    async def _confirm(self) -> None:
        timeout_s = _ROUND_TIMEOUT_S
        start = clock.now()
        if self.replica.is_leader:
            index = await self.replica.read_barrier(timeout_s)
        else:
            link = self.replica.leader_link()
            if link is None:
                await asyncio.sleep(_NO_LEADER_DELAY_S)
                raise errors.ControlError(
                    errors.ErrorKind.CONTROL_LOST, 'There is no leader.'
                )
            reply = await link.request(messages.BarrierRequest(), timeout_s)
            if not isinstance(reply, messages.BarrierReply):
                raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
            index = reply.index
        remaining_s = start + timeout_s - clock.now()
        await self.replica.wait_applied(index, max(0.0, remaining_s))


def _stopping_error() -> errors.ControlError:
    return errors.ControlError(
        errors.ErrorKind.CONTROL_LOST, 'This replica is stopping.'
    )


def _fail(future: asyncio.Future[None], error: errors.ControlError) -> None:
    future.set_exception(error)
    # Mark the exception as retrieved: every waiter may have timed out.
    future.exception()
