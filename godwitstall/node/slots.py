"""Slots of the own upstream: who holds one, and who waits for one.

A call that finds a free slot and nobody waiting takes it at once. Others wait
in the fair queue until a slot is given back, their time is over, or the queue
sheds them.

Example: await slots.take(call, deadline) and, at the end,
slots.release(call.is_onward, held_s)
"""

import asyncio
import typing

from godwitstall import clock
from godwitstall import errors
from godwitstall.limits import fair_queue
from godwitstall.limits import slot_shares
from godwitstall import messages
from godwitstall import metrics
from godwitstall.node import upstream as upstream_module

_WAITED = metrics.histogram(
    'queue_wait_seconds', 'Time to a slot of the upstream by priority.'
)
_SHED = metrics.counter(
    'shed_total', 'Requests shed from the queue by priority.'
)

# How often waiting work is checked against its deadline, seconds.
_EXPIRE_INTERVAL_S = 0.02


class Slots:
    """The slots of one upstream and the queue before them."""

    def __init__(
        self,
        queue: fair_queue.FairQueue,
        upstream: upstream_module.Upstream,
    ) -> None:
        self.queue = queue
        self.upstream = upstream
        self.shares = slot_shares.SlotShares()
        # Requests that hold a slot, and those of them that begin a chain.
        self.running = 0
        self.running_new = 0
        # Wakes the task that drops waiting work; without work it sleeps.
        self.has_queued = asyncio.Event()

    async def take(self, call: messages.Call, deadline: float) -> None:
        """Take a slot, waiting for it if need be.

        deadline is in seconds of clock.now(). Errors: RequestError of kind
        OVERLOADED when the queue sheds the call, DEADLINE_PASSED when its
        time ends first; it holds no slot then, nor after a cancellation.
        """
        now = clock.recent()
        self.shares.on_arrival(call.is_onward, now)
        if not self.queue and self.upstream.may_start(self.running, now):
            self._hold(call.is_onward)
            _WAITED.observe(0.0, priority=call.priority.name.lower())
            return
        future: asyncio.Future[None]
        future = asyncio.get_running_loop().create_future()
        item = fair_queue.Item(
            call.workspace,
            call.priority,
            deadline,
            now,
            future,
            call.order,
            call.is_onward,
        )
        shed = self.queue.push(item, now)
        self.has_queued.set()
        if shed is not None:
            self._refuse(shed, errors.ErrorKind.OVERLOADED)
        # A slot may be free although others wait: no call ends at a stalled
        # upstream to hand its slot on when it recovers.
        self.start_waiting()
        try:
            await future
            _WAITED.observe(
                clock.recent() - now, priority=call.priority.name.lower()
            )
        except asyncio.CancelledError:
            if not self.queue.remove(item) and is_granted(future):
                self._give_back(call.is_onward)
            raise

    def release(self, is_onward: bool, held_s: float) -> None:
        """Give a slot back that a call has held for held_s seconds."""
        self.shares.on_end(is_onward, held_s)
        self._give_back(is_onward)

    def start_waiting(self) -> None:
        """Give free slots to waiting work."""
        now = clock.recent()
        while self.queue and self.upstream.may_start(self.running, now):
            item = self.queue.pop(now, self._prefers_new(now))
            if item is None:
                break
            future: asyncio.Future[None] = item.payload
            if not future.done():
                self._hold(item.is_onward)
                future.set_result(None)
        self._expire(now)

    async def run(self) -> None:
        """Drop work that waited too long until cancelled."""
        while True:
            await self.has_queued.wait()
            await asyncio.sleep(_EXPIRE_INTERVAL_S)
            self.start_waiting()
            if not self.queue:
                self.has_queued.clear()

    def _hold(self, is_onward: bool) -> None:
        self.running += 1
        self.running_new += not is_onward

    def _give_back(self, is_onward: bool) -> None:
        self.running -= 1
        self.running_new -= not is_onward
        self.start_waiting()

    def _prefers_new(self, now: float) -> bool:
        capacity = self.upstream.capacity(now)
        return self.shares.prefers_new_chain(self.running_new, capacity, now)

    def _refuse(self, item: fair_queue.Item, kind: errors.ErrorKind) -> None:
        future: asyncio.Future[None] = item.payload
        if future.done():
            return
        _SHED.inc(priority=item.priority.name.lower())
        retry_after_s = self.queue.retry_after_s(clock.recent())
        future.set_exception(
            errors.RequestError(
                kind, retry_after_ms=max(1, int(retry_after_s * 1000))
            )
        )

    def _expire(self, now: float) -> None:
        for item in self.queue.expire(now):
            kind = errors.ErrorKind.OVERLOADED
            if now >= item.deadline:
                kind = errors.ErrorKind.DEADLINE_PASSED
            self._refuse(item, kind)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the dump."""
        return {
            'running': self.running,
            'running_new': self.running_new,
            'part_of_new': self.shares.new_chain_share(clock.now()),
            'queued': len(self.queue),
        }


def is_granted(future: asyncio.Future[None]) -> bool:
    """Return whether a waiting call was given a slot."""
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )
