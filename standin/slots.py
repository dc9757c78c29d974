"""Slots of the stand-in with a bounded first-in, first-out queue."""

import asyncio
import collections


class QueueFullError(Exception):
    """No slot is free and the queue is at its bound."""


class Slots:
    """Limits how many requests run at once."""

    def __init__(self, slots: int, max_queue: int) -> None:
        self.slots = slots
        self.max_queue = max_queue
        # Requests that hold a slot.
        self.running = 0
        self.waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )

    async def take(self, ends_at: float | None) -> None:
        """Take a slot, waiting for one in order of arrival.

        Errors: QueueFullError at once; TimeoutError when the loop time
        ends_at passes in the queue.
        """
        if self.running < self.slots:
            self.running += 1
            return
        if len(self.waiting) >= self.max_queue:
            raise QueueFullError
        loop = asyncio.get_running_loop()
        place: asyncio.Future[None] = loop.create_future()
        self.waiting.append(place)
        timer = (
            None
            if ends_at is None
            else loop.call_at(ends_at, self._expire, place)
        )
        try:
            await place
        except asyncio.CancelledError:
            if place.cancelled():
                self.waiting.remove(place)
            elif place.exception() is None:
                self.give_back()
            raise
        finally:
            if timer is not None:
                timer.cancel()

    def give_back(self) -> None:
        """Hand a slot to the first request that still waits."""
        while self.waiting:
            place = self.waiting.popleft()
            if not place.done():
                place.set_result(None)
                return
        self.running -= 1

    def _expire(self, place: asyncio.Future[None]) -> None:
        if not place.done():
            self.waiting.remove(place)
            place.set_exception(TimeoutError())
