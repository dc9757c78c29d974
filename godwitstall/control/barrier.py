"""Confirms that this replica's state is as new as the present moment.

Many heartbeats and reads wait for the same thing, so one confirmation at a
time is asked for, and all that arrive meanwhile share the next one.
"""

import asyncio

from godwitstall import clock
from godwitstall.consensus import replica as replica_module
from godwitstall import errors
from godwitstall import messages

# Longest time for one round, seconds.
_ROUND_TIMEOUT_S = 1.0
_NO_LEADER_PAUSE_S = 0.1


class Barrier:
    """Shared confirmation of one replica."""

    def __init__(self, replica: replica_module.Replica) -> None:
        self.replica = replica
        # Ends with the confirmation that started after it was made.
        self.next_round: asyncio.Future[None] | None = None
        self.wanted = asyncio.Event()
        # run() was cancelled, so that nothing is confirmed any more.
        self.is_ended = False

    async def wait(self, timeout_s: float) -> None:
        """Return once all that was committed before the call is applied.

        Errors: ControlError of kind CONTROL_LOST when that cannot be
        confirmed within timeout_s, or when the process stops.
        """
        if self.is_ended:
            raise _stopping()
        if self.next_round is None:
            self.next_round = asyncio.get_running_loop().create_future()
            self.wanted.set()
        try:
            async with asyncio.timeout(timeout_s):
                await asyncio.shield(self.next_round)
        except TimeoutError as e:
            raise errors.ControlError(
                errors.ErrorKind.CONTROL_LOST, 'No confirmation in time.'
            ) from e

    async def run(self) -> None:
        """Serve one round after the other until cancelled.

        Those that wait then get an error at once.
        """
        self.is_ended = False
        try:
            while True:
                await self.wanted.wait()
                self.wanted.clear()
                future, self.next_round = self.next_round, None
                if future is not None:
                    await self._serve(future)
        finally:
            self.is_ended = True
            if self.next_round is not None:
                _fail(self.next_round, _stopping())

    async def _serve(self, future: asyncio.Future[None]) -> None:
        try:
            await self._confirm()
        except errors.GodwitstallError as e:
            kind = errors.ErrorKind.CONTROL_LOST
            _fail(future, errors.ControlError(kind, e.detail))
        except asyncio.CancelledError:
            _fail(future, _stopping())
            raise
        else:
            future.set_result(None)

    async def _confirm(self) -> None:
        timeout_s = _ROUND_TIMEOUT_S
        started = clock.now()
        if self.replica.is_leader:
            index = await self.replica.read_barrier(timeout_s)
        else:
            link = self.replica.leader_link()
            if link is None:
                # A round without a leader must not keep the loop busy.
                await asyncio.sleep(_NO_LEADER_PAUSE_S)
                raise errors.ControlError(
                    errors.ErrorKind.CONTROL_LOST, 'There is no leader.'
                )
            reply = await link.request(messages.BarrierRequest(), timeout_s)
            if not isinstance(reply, messages.BarrierReply):
                raise errors.ControlError(errors.ErrorKind.BAD_MESSAGE)
            index = reply.index
        left_s = started + timeout_s - clock.now()
        await self.replica.wait_applied(index, max(0.0, left_s))


def _stopping() -> errors.ControlError:
    return errors.ControlError(
        errors.ErrorKind.CONTROL_LOST, 'This replica is stopping.'
    )


def _fail(future: asyncio.Future[None], error: errors.ControlError) -> None:
    future.set_exception(error)
    # Not retrieved when every waiter has timed out.
    future.exception()
