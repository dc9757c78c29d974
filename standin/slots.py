"""Slots of the stand-in with a bounded FIFO queue."""

import asyncio
import collections


class QueueFullError(Exception):
    """No slot is free and the queue is full."""


class Slots:
    """Limits the number of requests that run concurrently."""

    def __init__(self, slots: int, max_queue: int) -> None:
        self.slots = slots
        self.max_queue = max_queue
        # Requests that hold a slot.
        self.running = 0
        self.waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def acquire(self, deadline: float | None) -> None:
        """Acquire a slot; waiting requests are served in order of arrival.

        Errors: QueueFullError immediately if the queue is full; TimeoutError
        if no slot is free before the deadline, which is in loop time.
        """
        if self.running < self.slots:
            self.running += 1
            return
        if len(self.waiters) >= self.max_queue:
            raise QueueFullError
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self.waiters.append(waiter)
        timer = (
            None
            if deadline is None
            else loop.call_at(deadline, self._expire, waiter)
        )
        try:
            await waiter
        except asyncio.CancelledError:
            if waiter.cancelled():
                self.waiters.remove(waiter)
            elif waiter.exception() is None:
                self.release()
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def release(self) -> None:
        """Pass the slot to the first waiting request, if any."""
        while self.waiters:
            waiter = self.waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        self.running -= 1

    def _expire(self, waiter: asyncio.Future[None]) -> None:
        if not waiter.done():
            self.waiters.remove(waiter)
            waiter.set_exception(TimeoutError())
