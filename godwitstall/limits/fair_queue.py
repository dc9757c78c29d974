"""Requests that wait at an owner node for a slot of its upstream.

Priorities are served in strict order. Within one priority, workspaces take
turns by start-time fair queueing: each workspace has a virtual start time,
which moves on by one with each of its items that is served, and the lowest
one is next. A workspace that was idle starts at the current virtual time, so
it gains nothing from its idle time.

Length and wait are bounded. When the queue has not been empty for max_wait_s,
items other than payments are shed after a fifth of max_wait_s: a standing
queue only adds delay, and without this rule it stays after its cause is gone.
The only item of a workspace is excepted: it waits for its turn, not behind a
queue of its own, and shedding it would take from the workspaces that send
least. Payments are excepted because a payment that is shed for its wait would
be followed by younger work of lower priority (requirement R2).

Example: queue.push(Item('shop-3', messages.Priority.HIGH, now + 2), now)
"""

import collections
import dataclasses
import enum
import heapq
import itertools
import typing

from godwitstall import messages

# Ranks of workspaces that are told apart; higher ones count as the last.
ORDERS = 4

# Longest wait while the queue stands, as a share of max_wait_s.
_OVERLOAD_SHARE = 0.2

# Bounds of the retry hint, seconds.
_MIN_RETRY_S = 0.05
_MAX_RETRY_S = 10.0


class _State(enum.Enum):
    """Where an item is."""

    NEW = 0
    QUEUED = 1
    # Passed its time; expire() has not returned it yet.
    LATE = 2
    GONE = 3


@dataclasses.dataclass(slots=True, eq=False)
class Item:
    """One waiting request."""

    # Workspace that shares the slots fairly with others.
    workspace: str
    # Priority of the chain.
    priority: messages.Priority
    # Time after which nobody waits for the answer, seconds.
    deadline: float
    # Time of the push, seconds; set by push().
    enqueued_at: float = 0.0
    # Whatever the caller needs to go on.
    payload: typing.Any = None
    # Rank of the workspace, which goes before the priority.
    order: int = 0
    # A chain that has begun needs this request. It goes before requests of
    # its rank and priority that begin a chain, and waits until its deadline:
    # what the chain has cost so far would be lost.
    is_onward: bool = False
    # Kept by the queue.
    state: _State = dataclasses.field(default=_State.NEW, init=False)


class _Flow:
    """Items of one workspace within one priority."""

    __slots__ = ('count', 'items', 'order', 'tag')

    def __init__(self) -> None:
        # Oldest first; may contain items that are no longer queued.
        self.items: collections.deque[Item] = collections.deque()
        # Items in state QUEUED.
        self.count = 0
        # Virtual start time of the oldest item, or of the next one to come.
        self.tag = 0
        # Number of the valid heap entry; -1 when the flow is idle.
        self.order = -1


class _Band:
    """All workspaces of one priority."""

    __slots__ = ('count', 'flows', 'heap', 'virtual_time')

    def __init__(self) -> None:
        self.flows: dict[str, _Flow] = {}
        # (virtual start time, order, flow); stale when the order differs.
        self.heap: list[tuple[int, int, _Flow]] = []
        # Items in state QUEUED.
        self.count = 0
        # Virtual start time of the item served last.
        self.virtual_time = 0


class FairQueue:
    """Bounded queue with priorities, fair shares and deadlines."""

    def __init__(self, max_length: int, max_wait_s: float) -> None:
        # Most items that wait.
        self.max_length = max_length
        # Longest wait, seconds.
        self.max_wait_s = max_wait_s
        self._overload_wait_s = max_wait_s * _OVERLOAD_SHARE
        self._bands = [
            _Band() for _ in range(ORDERS * len(messages.Priority) * 2)
        ]
        self._count = 0
        self._order = itertools.count()
        # (time at which the item is late, number, item).
        self._expiries: list[tuple[float, int, Item]] = []
        # Items other than payments in order of arrival.
        self._arrivals: collections.deque[Item] = collections.deque()
        # Late items that expire() has not returned yet.
        self._late: list[Item] = []
        # Time of the last push into the empty queue, seconds.
        self._empty_at = 0.0
        # Items served in the current and in the former second.
        self._second = 0
        self._served = 0
        self._served_before = 0

    def __len__(self) -> int:
        return self._count

    def push(self, item: Item, now: float) -> Item | None:
        """Add an item; return the one shed to make room, if any.

        The item shed is the newest one of the workspace with the most items
        in the lowest priority; it can be the pushed one. An item that is
        already late is not queued; expire() returns it.
        """
        item.enqueued_at = now
        if item.deadline <= now:
            item.state = _State.LATE
            self._late.append(item)
            return None
        if self._count >= self.max_length:
            self._collect(now)
        if not self._count:
            self._empty_at = now
        item.state = _State.QUEUED
        band = self._band_of(item)
        flow = band.flows.get(item.workspace)
        if flow is None:
            flow = band.flows[item.workspace] = _Flow()
        if flow.order < 0:
            flow.tag = max(flow.tag, band.virtual_time)
            self._schedule(band, flow)
        flow.items.append(item)
        flow.count += 1
        band.count += 1
        self._count += 1
        expiry = item.deadline
        if not item.is_onward:
            expiry = min(expiry, now + self.max_wait_s)
        heapq.heappush(self._expiries, (expiry, next(self._order), item))
        if not item.is_onward and (
            item.priority is not messages.Priority.PAYMENT
        ):
            self._arrivals.append(item)
        if self._count > self.max_length:
            return self._evict()
        return None

    def pop(self, now: float, prefers_new: bool = False) -> Item | None:
        """Return the next item to run, or None; skips late items.

        prefers_new lets an item that begins a chain go before onward calls
        of its rank and priority.
        """
        self._collect(now)
        for place in range(len(self._bands)):
            # The bands of one rank and priority stand beside each other.
            band = self._bands[place ^ prefers_new]
            while band.count:
                _, order, flow = heapq.heappop(band.heap)
                if flow.order != order:
                    continue
                item = flow.items.popleft()
                while item.state is not _State.QUEUED:
                    item = flow.items.popleft()
                band.virtual_time = flow.tag
                flow.tag += 1
                self._schedule(band, flow)
                self._take_out(item, _State.GONE)
                self._count_served(now)
                return item
        return None

    def expire(self, now: float) -> list[Item]:
        """Remove and return the items whose time has passed."""
        self._collect(now)
        late = [item for item in self._late if item.state is _State.LATE]
        self._late = []
        for item in late:
            item.state = _State.GONE
        return late

    def remove(self, item: Item) -> bool:
        """Remove an item whose caller gave up; False when it is not here."""
        match item.state:
            case _State.QUEUED:
                self._take_out(item, _State.GONE)
            case _State.LATE:
                item.state = _State.GONE
            case _:
                return False
        return True

    def is_overloaded(self, now: float) -> bool:
        """Return whether the queue has been non-empty for max_wait_s."""
        return self._count > 0 and now - self._empty_at > self.max_wait_s

    def retry_after_s(self, now: float) -> float:
        """Return when a shed request can hope for a slot, seconds.

        The hint is the time that the present queue takes at the drain rate
        of the last one to two seconds.
        """
        self._advance(now)
        share = now - int(now)
        rate = self._served + self._served_before * (1 - share)
        if rate <= 0:
            return max(self.max_wait_s, _MIN_RETRY_S)
        return min(max((self._count + 1) / rate, _MIN_RETRY_S), _MAX_RETRY_S)

    def _schedule(self, band: _Band, flow: _Flow) -> None:
        flow.order = next(self._order)
        heapq.heappush(band.heap, (flow.tag, flow.order, flow))

    def _has_waited_too_long(self, item: Item, now: float) -> bool:
        """Return whether the shorter wait of a standing queue has passed."""
        return (
            now - item.enqueued_at >= self._overload_wait_s
            and self.is_overloaded(now)
        )

    def _is_alone(self, item: Item) -> bool:
        """Return whether no other item of its workspace waits beside it."""
        flow = self._band_of(item).flows[item.workspace]
        return flow.count == 1

    def _band_of(self, item: Item) -> _Band:
        order = min(max(item.order, 0), ORDERS - 1)
        place = order * len(messages.Priority) + item.priority.value
        return self._bands[2 * place + (not item.is_onward)]

    def _collect(self, now: float) -> None:
        """Move all late items out of the queue."""
        while self._expiries:
            expiry, _, item = self._expiries[0]
            if item.state is _State.QUEUED and expiry > now:
                break
            heapq.heappop(self._expiries)
            if item.state is _State.QUEUED:
                self._take_out(item, _State.LATE)
                self._late.append(item)
        kept = []
        while self._arrivals:
            item = self._arrivals[0]
            is_queued = item.state is _State.QUEUED
            if is_queued and not self._has_waited_too_long(item, now):
                break
            self._arrivals.popleft()
            if is_queued and self._is_alone(item):
                kept.append(item)
            elif is_queued:
                self._take_out(item, _State.LATE)
                self._late.append(item)
        self._arrivals.extendleft(reversed(kept))

    def _evict(self) -> Item:
        band = next(band for band in reversed(self._bands) if band.count)
        newest = None
        most = 0
        for flow in band.flows.values():
            if flow.count < max(most, 1):
                continue
            while flow.items[-1].state is not _State.QUEUED:
                flow.items.pop()
            if flow.count > most or (
                newest is None
                or flow.items[-1].enqueued_at > newest.enqueued_at
            ):
                most = flow.count
                newest = flow.items[-1]
        assert newest is not None
        self._take_out(newest, _State.GONE)
        return newest

    def _take_out(self, item: Item, state: _State) -> None:
        """Count an item out; its places in the heaps are skipped later."""
        item.state = state
        band = self._band_of(item)
        flow = band.flows[item.workspace]
        flow.count -= 1
        band.count -= 1
        self._count -= 1
        if not flow.count:
            flow.order = -1
            flow.items.clear()
        if not band.count:
            # An idle band forgets its tags, which bounds its memory.
            band.flows.clear()
            band.heap.clear()
            band.virtual_time = 0
        if not self._count:
            self._expiries.clear()
            self._arrivals.clear()
        elif len(self._expiries) > 64 + 2 * self._count:
            self._compact()

    def _compact(self) -> None:
        """Drop items that are gone, so that remove() frees memory."""
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

    def _count_served(self, now: float) -> None:
        self._advance(now)
        self._served += 1

    def _advance(self, now: float) -> None:
        second = int(now)
        if second != self._second:
            is_next = second == self._second + 1
            self._served_before = self._served if is_next else 0
            self._served = 0
            self._second = second
