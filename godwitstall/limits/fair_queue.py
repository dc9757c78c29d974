"""Queue of requests that wait at an owner node for a slot of its upstream.

Priorities are served in strict order. Within a priority, workspaces share the
slots by start-time fair queueing: each workspace has a virtual start time,
which advances by one with each of its served items, and the workspace with the
lowest start time is next. An idle workspace resumes at the current virtual
time, so idle time earns no credit.

Queue length and waiting time are bounded. When the queue has not been empty
for max_wait_s, items other than payments and onward calls are shed after a
fifth of max_wait_s. A standing queue only adds delay, and without this rule it
would persist after its cause is gone. The only item of a workspace within its
rank and priority is exempt: it waits for its turn and not behind other items
of its workspace, and shedding it would penalize the workspaces that send
least. Payments are exempt because lower-priority work would otherwise be
served after a payment was shed for its waiting time (requirement R2).

Example: queue.push(Item('shop-3', messages.Priority.HIGH, now + 2), now)
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import typing

from godwitstall import messages

# Number of distinct workspace ranks; higher ranks are treated as the last.
ORDER_COUNT = 4

# Longest wait in a standing queue, as a share of max_wait_s.
_OVERLOAD_WAIT_SHARE = 0.2

# Bounds of the suggested retry delay, seconds. The upper one applies only to a
# delay that is computed from the drain rate.
_MIN_RETRY_AFTER_S = 0.05
_MAX_RETRY_AFTER_S = 10.0


class _State(enum.Enum):
    """State of an item."""

    NEW = 0
    QUEUED = 1
    # Expired, but not yet returned by expire().
    EXPIRED = 2
    REMOVED = 3


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """One waiting request."""

    # Workspace that the request belongs to.
    workspace: str
    # Priority of the chain.
    priority: messages.Priority
    # Time after which the caller no longer waits, seconds.
    deadline: float
    # Time of the push, seconds; set by push().
    enqueued_at: float = 0.0
    # Data of the caller; the queue does not use it.
    payload: typing.Any = None
    # Rank of the workspace; a lower rank is served before any priority of a
    # higher rank.
    order: int = 0
    # The request is an onward call of a running chain. It is served before
    # requests of the same rank and priority that start a chain, and waits
    # until its deadline and not only for max_wait_s, because the work that its
    # chain has already done would be lost.
    is_onward: bool = False
    # Id of the request for log lines.
    request_id: bytes = b''
    # Maintained by the queue.
    state: _State = dataclasses.field(default=_State.NEW, init=False)


class _Flow:
    """Items of one workspace within one band."""

    __slots__ = ('count', 'entry_number', 'items', 'start_tag')

    def __init__(self) -> None:
        # Oldest first; may contain items that are no longer queued.
        self.items: collections.deque[Item] = collections.deque()
        # Items in state QUEUED.
        self.count = 0
        # Virtual start time of the oldest item, or of the next item if empty.
        self.start_tag = 0
        # Number of the valid heap entry; -1 when the flow is idle.
        self.entry_number = -1


class _Band:
    """Flows of one rank and priority, of onward calls or of new chains."""

    __slots__ = ('count', 'flows', 'heap', 'virtual_time')

    def __init__(self) -> None:
        self.flows: dict[str, _Flow] = {}
        # (virtual start time, entry number, flow); an entry is stale when its
        # number differs from the entry number of the flow.
        self.heap: list[tuple[int, int, _Flow]] = []
        # Items in state QUEUED.
        self.count = 0
        # Virtual start time of the last served item.
        self.virtual_time = 0


class FairQueue:
    """Bounded queue with priorities, fair sharing and deadlines."""

    def __init__(self, max_length: int, max_wait_s: float) -> None:
        # Largest number of queued items.
        self.max_length = max_length
        # Longest wait, seconds.
        self.max_wait_s = max_wait_s
        self._overload_wait_s = max_wait_s * _OVERLOAD_WAIT_SHARE
        self._bands = [
            _Band() for _ in range(ORDER_COUNT * len(messages.Priority) * 2)
        ]
        self._count = 0
        self._entry_numbers = itertools.count()
        # Heap of (expiry time, entry number, item).
        self._expiries: list[tuple[float, int, Item]] = []
        # Items subject to the overload wait, in order of arrival: neither
        # payments nor onward calls.
        self._arrivals: collections.deque[Item] = collections.deque()
        # Expired items that expire() has not returned yet.
        self._expired: list[Item] = []
        # Time of the last push into the empty queue, seconds.
        self._nonempty_since = 0.0
        # Current second, and number of items served in it and in the second
        # before.
        self._second = 0
        self._recently_served = 0
        self._previously_served = 0

    def __len__(self) -> int:
        return self._count

    def push(self, item: Item, now: float) -> Item | None:
        """Add an item; return the item shed to make room, if any.

        The shed item is the newest item of the workspace with the most items
        in the lowest priority, which can be the pushed item itself. An item
        whose deadline has passed is not queued; expire() returns it.
        """
        item.enqueued_at = now
        if item.deadline <= now:
            item.state = _State.EXPIRED
            self._expired.append(item)
            return None
        if self._count >= self.max_length:
            self._collect_expired(now)
        if not self._count:
            self._nonempty_since = now
        item.state = _State.QUEUED
        band = self._band_of(item)
        flow = band.flows.get(item.workspace)
        if flow is None:
            flow = band.flows[item.workspace] = _Flow()
        if flow.entry_number < 0:
            flow.start_tag = max(flow.start_tag, band.virtual_time)
            self._schedule(band, flow)
        flow.items.append(item)
        flow.count += 1
        band.count += 1
        self._count += 1
        expiry = item.deadline
        if not item.is_onward:
            expiry = min(expiry, now + self.max_wait_s)
        heapq.heappush(
            self._expiries, (expiry, next(self._entry_numbers), item)
        )
        if not item.is_onward and (
            item.priority is not messages.Priority.PAYMENT
        ):
            self._arrivals.append(item)
        if self._count > self.max_length:
            return self._evict()
        return None

    def pop(self, now: float, prefers_new_chain: bool = False) -> Item | None:
        """Return the next item to run, or None; expired items are skipped.

        With prefers_new_chain, an item that starts a chain is served before
        onward calls of its rank and priority.
        """
        self._collect_expired(now)
        for index in range(len(self._bands)):
            # The two bands of a rank and priority have adjacent indices,
            # onward calls first; the exclusive or swaps them.
            band = self._bands[index ^ prefers_new_chain]
            while band.count:
                _, number, flow = heapq.heappop(band.heap)
                if flow.entry_number != number:
                    continue
                item = flow.items.popleft()
                while item.state is not _State.QUEUED:
                    item = flow.items.popleft()
                band.virtual_time = flow.start_tag
                flow.start_tag += 1
                self._schedule(band, flow)
                self._dequeue(item, _State.REMOVED)
                self._record_served(now)
                return item
        return None

    def expire(self, now: float) -> list[Item]:
        """Remove and return the items that have expired."""
        self._collect_expired(now)
        expired = [
            item for item in self._expired if item.state is _State.EXPIRED
        ]
        self._expired = []
        for item in expired:
            item.state = _State.REMOVED
        return expired

    def remove(self, item: Item) -> bool:
        """Remove an item; return False when it is not in the queue."""
        match item.state:
            case _State.QUEUED:
                self._dequeue(item, _State.REMOVED)
            case _State.EXPIRED:
                item.state = _State.REMOVED
            case _:
                return False
        return True

    def is_overloaded(self, now: float) -> bool:
        """Return whether the queue has been non-empty for max_wait_s."""
        return self._count > 0 and now - self._nonempty_since > self.max_wait_s

    def retry_after_s(self, now: float) -> float:
        """Return the suggested retry delay for a shed request, seconds.

        The delay is the time to drain the current queue at the drain rate of
        the last one to two seconds, or max_wait_s if nothing was served then.
        """
        self._advance_second(now)
        elapsed_s = now - int(now)
        rate = self._recently_served + self._previously_served * (
            1 - elapsed_s
        )
        if rate <= 0:
            return max(self.max_wait_s, _MIN_RETRY_AFTER_S)
        return min(
            max((self._count + 1) / rate, _MIN_RETRY_AFTER_S),
            _MAX_RETRY_AFTER_S,
        )

    def _schedule(self, band: _Band, flow: _Flow) -> None:
        flow.entry_number = next(self._entry_numbers)
        heapq.heappush(band.heap, (flow.start_tag, flow.entry_number, flow))

    def _exceeds_overload_wait(self, item: Item, now: float) -> bool:
        """Return whether the item has exceeded the overload wait."""
        return (
            now - item.enqueued_at >= self._overload_wait_s
            and self.is_overloaded(now)
        )

    def _is_only_item(self, item: Item) -> bool:
        """Return whether the item is the only one queued in its flow."""
        flow = self._band_of(item).flows[item.workspace]
        return flow.count == 1

    def _band_of(self, item: Item) -> _Band:
        order = min(max(item.order, 0), ORDER_COUNT - 1)
        index = order * len(messages.Priority) + item.priority.value
        return self._bands[2 * index + (not item.is_onward)]

    def _collect_expired(self, now: float) -> None:
        """Move all expired items out of the queue."""
        while self._expiries:
            expiry, _, item = self._expiries[0]
            if item.state is _State.QUEUED and expiry > now:
                break
            heapq.heappop(self._expiries)
            if item.state is _State.QUEUED:
                self._dequeue(item, _State.EXPIRED)
                self._expired.append(item)
        exempt = []
        while self._arrivals:
            item = self._arrivals[0]
            is_queued = item.state is _State.QUEUED
            if is_queued and not self._exceeds_overload_wait(item, now):
                break
            self._arrivals.popleft()
            if is_queued and self._is_only_item(item):
                exempt.append(item)
            elif is_queued:
                self._dequeue(item, _State.EXPIRED)
                self._expired.append(item)
        self._arrivals.extendleft(reversed(exempt))

    def _evict(self) -> Item:
        band = next(band for band in reversed(self._bands) if band.count)
        newest = None
        max_count = 0
        for flow in band.flows.values():
            if flow.count < max(max_count, 1):
                continue
            while flow.items[-1].state is not _State.QUEUED:
                flow.items.pop()
            if flow.count > max_count or (
                newest is None
                or flow.items[-1].enqueued_at > newest.enqueued_at
            ):
                max_count = flow.count
                newest = flow.items[-1]
        assert newest is not None
        self._dequeue(newest, _State.REMOVED)
        return newest

    def _dequeue(self, item: Item, state: _State) -> None:
        """Subtract an item from the counts; its heap entries stay for now."""
        item.state = state
        band = self._band_of(item)
        flow = band.flows[item.workspace]
        flow.count -= 1
        band.count -= 1
        self._count -= 1
        if not flow.count:
            flow.entry_number = -1
            flow.items.clear()
        if not band.count:
            # An idle band drops its virtual times, which bounds its memory.
            band.flows.clear()
            band.heap.clear()
            band.virtual_time = 0
        if not self._count:
            self._expiries.clear()
            self._arrivals.clear()
        elif len(self._expiries) > 64 + 2 * self._count:
            self._compact()

    def _compact(self) -> None:
        """Drop entries of removed items, so that remove() frees memory."""
        self._expiries = [
            entry
            for entry in self._expiries
            if entry[2].state is _State.QUEUED
        ]
        heapq.heapify(self._expiries)
        self._arrivals = collections.deque(
            item for item in self._arrivals if item.state is _State.QUEUED
        )
        for band in self._bands:
            for flow in band.flows.values():
                flow.items = collections.deque(
                    item for item in flow.items if item.state is _State.QUEUED
                )

    def _record_served(self, now: float) -> None:
        self._advance_second(now)
        self._recently_served += 1

    def _advance_second(self, now: float) -> None:
        second = int(now)
        if second != self._second:
            is_consecutive = second == self._second + 1
            self._previously_served = (
                self._recently_served if is_consecutive else 0
            )
            self._recently_served = 0
            self._second = second
