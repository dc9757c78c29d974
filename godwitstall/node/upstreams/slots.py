"""Assigns the slots of the node's own upstream to calls.

A call acquires a slot at once if one is free and the queue is empty. Otherwise
it waits in the fair queue until a slot is released, its time expires, or the
queue sheds it.

Example: await slots.acquire(call, deadline) and, at the end,
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
from godwitstall.node.upstreams import upstream as upstream_module

_QUEUE_WAIT_SECONDS = metrics.histogram(
    'queue_wait_seconds', 'Time to a slot of the upstream by priority.'
)
_SHED = metrics.counter(
    'shed_total', 'Requests shed from the queue by priority.'
)

# Interval at which queued calls are checked for expiry, seconds.
_EXPIRE_INTERVAL_S = 0.02


class Slots:
    """The slots of one upstream and the queue of calls that wait for one."""

    def __init__(
        self,
        queue: fair_queue.FairQueue,
        upstream: upstream_module.Upstream,
    ) -> None:
        self.queue = queue
        self.upstream = upstream
        self.shares = slot_shares.SlotShares()
        # Number of calls that hold a slot, and how many of those start a new
        # chain.
        self.running = 0
        self.running_new = 0
        # Set while the queue may hold calls; run() sleeps otherwise.
        self.has_queued_calls = asyncio.Event()

    async def acquire(self, call: messages.Call, deadline: float) -> None:
        """Acquire a slot, waiting in the queue if necessary.

        deadline is in seconds of clock.now(). Errors: RequestError of kind
        OVERLOADED if the queue sheds the call, DEADLINE_PASSED if its deadline
        passes first. The call holds no slot after an error or a cancellation.
        """
        now = clock.recent()
        self.shares.on_arrival(call.is_onward, now)
        if not self.queue and self.upstream.may_dispatch(self.running, now):
            self._occupy(call.is_onward, now)
            _QUEUE_WAIT_SECONDS.observe(
                0.0, priority=call.priority.name.lower()
            )
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
            request_id=call.request_id,
        )
        self.queue.max_length = self.upstream.max_queued(now)
        shed = self.queue.push(item, now)
        self.has_queued_calls.set()
        if shed is not None:
            self._reject(shed, errors.ErrorKind.OVERLOADED)
        # A slot may be free although calls are queued: slots are granted
        # when a call ends, and none may be running when a stalled upstream
        # recovers.
        self.grant_free_slots()
        try:
            await future
            _QUEUE_WAIT_SECONDS.observe(
                clock.recent() - now, priority=call.priority.name.lower()
            )
        except asyncio.CancelledError:
            if not self.queue.remove(item) and is_granted(future):
                self._free(call.is_onward)
            raise

    def release(self, is_onward: bool, held_s: float) -> None:
        """Release a slot that a call has held for held_s seconds."""
        self.shares.on_end(is_onward, held_s)
        self.upstream.rate.on_end(held_s)
        self._free(is_onward)

    def grant_free_slots(self) -> None:
        """Grant free slots to queued calls and expire calls that are late."""
        now = clock.recent()
        if self.upstream.has_drained:
            self.reject_queued(errors.ErrorKind.UPSTREAM_UNREACHABLE)
        while self.queue and self.upstream.may_dispatch(self.running, now):
            item = self.queue.pop(now, self._prefers_new(now))
            if item is None:
                break
            future: asyncio.Future[None] = item.payload
            if not future.done():
                self._occupy(item.is_onward, now)
                future.set_result(None)
        self._expire_queued(now)

    async def run(self) -> None:
        """Remove expired calls from the queue until cancelled."""
        while True:
            await self.has_queued_calls.wait()
            await asyncio.sleep(_EXPIRE_INTERVAL_S)
            self.grant_free_slots()
            if not self.queue:
                self.has_queued_calls.clear()

    def _occupy(self, is_onward: bool, now: float) -> None:
        self.upstream.take_token(now)
        self.running += 1
        self.running_new += not is_onward

    def _free(self, is_onward: bool) -> None:
        self.running -= 1
        self.running_new -= not is_onward
        self.grant_free_slots()

    def _prefers_new(self, now: float) -> bool:
        capacity = self.upstream.capacity(now)
        return self.shares.prefers_new_chain(self.running_new, capacity, now)

    def _reject(self, item: fair_queue.Item, kind: errors.ErrorKind) -> None:
        future: asyncio.Future[None] = item.payload
        if future.done():
            return
        _SHED.inc(priority=item.priority.name.lower())
        now = clock.recent()
        if self.upstream.cold.rate.is_cold(now):
            retry_after_ms = self.upstream.cold.refuse(
                item.request_id, item.workspace, now
            )
        else:
            retry_after_s = self.queue.retry_after_s(now)
            retry_after_ms = max(1, int(retry_after_s * 1000))
        future.set_exception(
            errors.RequestError(kind, retry_after_ms=retry_after_ms)
        )

    def reject_queued(self, kind: errors.ErrorKind) -> None:
        """Reject all queued calls; other upstreams can run them."""
        now = clock.recent()
        while (item := self.queue.pop(now)) is not None:
            self._reject(item, kind)

    def _expire_queued(self, now: float) -> None:
        for item in self.queue.expire(now):
            kind = errors.ErrorKind.OVERLOADED
            if now >= item.deadline:
                kind = errors.ErrorKind.DEADLINE_PASSED
            self._reject(item, kind)

    def dump(self) -> dict[str, typing.Any]:
        """Return the state for the admin listener."""
        return {
            'running': self.running,
            'running_new': self.running_new,
            'part_of_new': self.shares.new_chain_share(clock.now()),
            'queued': len(self.queue),
        }


def is_granted(future: asyncio.Future[None]) -> bool:
    """Return whether a queued call has been granted a slot."""
    return (
        future.done() and not future.cancelled() and future.exception() is None
    )
