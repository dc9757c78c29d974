"""A fleet on a simulated clock in which chains call a deep service.

Entry nodes begin chains at a first service without limit, whose upstream
calls the deep service several times, one call after the other. Callers of the
deep service itself come through the same entry nodes. Every node has the
modules that a real one has; only the network and the upstreams are models.
"""

import collections
import dataclasses
import heapq
import itertools
import random
import typing

from godwitstall import errors
from godwitstall import messages
from godwitstall.node.callers import chain_admission
from godwitstall.node import owner_room
from godwitstall.routing import chain_rooms

FIRST = messages.ServiceName('pledges')
DEEP = messages.ServiceName('depots')
DEEP_ROUTE = 'sheet'

# Time that an answer needs between two nodes, seconds.
_LINK_S = 0.002

# Time after which an onward call to the deep service fails, seconds.
_CALL_DEADLINE_S = 0.7


@dataclasses.dataclass
class Kind:
    """Requests of one kind, at a constant rate."""

    route: str
    workspace: str
    priority: messages.Priority
    rate_per_s: float
    # Onward calls to the deep service; 0 for its own callers.
    calls: int = 0
    starts_at: float = 0.0
    ends_at: float = float('inf')


@dataclasses.dataclass
class Chain:
    """One admitted request."""

    kind: Kind
    call: messages.Call
    entry: chain_admission.ChainAdmission
    calls_left: int


class _DeepOwner:
    """An owner of the deep service: slots, and a queue by level."""

    def __init__(self, slots: int) -> None:
        self.slots = slots
        self.running = 0
        self.queues: dict[int, collections.deque[tuple[float, Chain]]] = {}
        self.room = owner_room.OwnerRoom(chain_rooms.ChainRooms(), True)

    def queued(self) -> int:
        """Return the number of calls that wait."""
        return sum(len(queue) for queue in self.queues.values())


class Fleet:
    """Runs kinds of requests and counts what became of them by second."""

    def __init__(
        self,
        kinds: list[Kind],
        *,
        entries: int = 20,
        owners: int = 4,
        slots: int = 5,
        work_s: float = 0.025,
        lost_share: float = 0.0,
        delay_s: float = 0.0,
        is_enabled: bool = True,
        seed: int = 7,
    ) -> None:
        self.random = random.Random(seed)
        self.now = 0.0
        self.kinds = kinds
        self.work_s = work_s
        self.lost_share = lost_share
        self.delay_s = delay_s
        self.entries = [
            chain_admission.ChainAdmission(
                chain_rooms.ChainRooms(), is_enabled
            )
            for _ in range(entries)
        ]
        for entry in self.entries:
            entry.random = self.random
        self.first = owner_room.OwnerRoom(chain_rooms.ChainRooms(), True)
        self.owners = [_DeepOwner(slots) for _ in range(owners)]
        # All draws come from one generator, so that a run can be repeated.
        for room in self.first, *(owner.room for owner in self.owners):
            room.random = self.random
        # (second, workspace or route, result) to number.
        self.counts: collections.Counter[tuple[int, str, str]]
        self.counts = collections.Counter()
        self.events: list[
            tuple[float, int, typing.Callable[..., None], tuple[typing.Any]]
        ] = []
        self.numbers = itertools.count()
        self.deep_runs: collections.Counter[int] = collections.Counter()
        for kind in kinds:
            self._at(kind.starts_at, self._arrive, kind)

    def run(self, until_s: float) -> None:
        """Run the fleet up to a time."""
        while self.events and self.events[0][0] <= until_s:
            self.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)

    def share(self, name: str, result: str, start: int, end: int) -> float:
        """Return the share of a kind's requests from second start to end."""
        numbers: collections.Counter[str] = collections.Counter()
        for (second, counted, counted_result), n in self.counts.items():
            if counted == name and start <= second < end:
                numbers[counted_result] += n
        return numbers[result] / max(sum(numbers.values()), 1)

    def deep_use(self, start: int, end: int) -> float:
        """Return the used share of the deep service's slots."""
        runs = sum(self.deep_runs[second] for second in range(start, end))
        slots = sum(owner.slots for owner in self.owners)
        return runs * self.work_s / (slots * (end - start))

    def _at(
        self, time: float, act: typing.Callable[..., None], argument: object
    ) -> None:
        heapq.heappush(
            self.events, (time, next(self.numbers), act, (argument,))
        )

    def _count(self, kind: Kind, result: str) -> None:
        self.counts[int(self.now), kind.workspace, result] += 1

    def _arrive(self, kind: Kind) -> None:
        if self.now >= kind.ends_at:
            return
        gap_s = self.random.expovariate(kind.rate_per_s)
        self._at(self.now + gap_s, self._arrive, kind)
        entry = self.random.choice(self.entries)
        call = messages.Call(
            service=FIRST if kind.calls else DEEP,
            route_name=kind.route,
            workspace=messages.WorkspaceName(kind.workspace),
            priority=kind.priority,
        )
        try:
            call.admitted_share = entry.admit(call, self.now)
        except errors.RequestError:
            self._count(kind, 'refused')
            return
        chain = Chain(kind, call, entry, max(kind.calls, 1))
        self._call_deep(chain)

    def _call_deep(self, chain: Chain) -> None:
        first, second = self.random.sample(self.owners, 2)
        owner = min(first, second, key=lambda o: o.running + o.queued())
        route = DEEP_ROUTE if chain.kind.calls else chain.kind.route
        call = dataclasses.replace(chain).call
        owner.room.on_arrival(
            messages.Call(
                route_name=route,
                priority=call.priority,
                admitted_share=call.admitted_share,
            ),
            self.now,
        )
        level = call.priority.value
        queue = owner.queues.setdefault(level, collections.deque())
        queue.append((self.now, chain))
        self._fill(owner)

    def _fill(self, owner: _DeepOwner) -> None:
        for level in sorted(owner.queues):
            queue = owner.queues[level]
            while queue and owner.running < owner.slots:
                since, chain = queue.popleft()
                if self.now - since > _CALL_DEADLINE_S:
                    self._fail(owner, chain)
                    continue
                owner.running += 1
                work_s = self.work_s * self.random.uniform(0.5, 1.5)
                self._at(
                    self.now + work_s, self._end_deep, (owner, chain, work_s)
                )

    def _fail(self, owner: _DeepOwner, chain: Chain) -> None:
        """End a chain whose call to the deep service was too late."""
        self._count(chain.kind, 'failed')
        route = DEEP_ROUTE if chain.kind.calls else chain.kind.route
        call = messages.Call(service=DEEP, route_name=route)
        rooms = owner.room.rooms_of_answer(call, owner.slots, self.now)
        if chain.kind.calls:
            self.first.rooms.on_answer(DEEP_ROUTE, DEEP, rooms, self.now)
            self._end_first(chain, is_success=False)
        else:
            self._report(chain, chain.kind.route, DEEP, rooms)

    def _end_first(self, chain: Chain, *, is_success: bool) -> None:
        """Answer a chain from the first service."""
        route = chain.kind.route
        calls = chain.kind.calls - chain.calls_left
        self.first.rooms.on_request_end(
            route, {(DEEP_ROUTE, DEEP): max(calls, 1)}, is_success
        )
        call = messages.Call(service=FIRST, route_name=route)
        rooms = self.first.rooms_of_answer(call, 1000, self.now)
        self._report(chain, route, FIRST, rooms)

    def _end_deep(self, ended: tuple[_DeepOwner, Chain, float]) -> None:
        owner, chain, work_s = ended
        owner.running -= 1
        self.deep_runs[int(self.now)] += 1
        route = DEEP_ROUTE if chain.kind.calls else chain.kind.route
        call = messages.Call(service=DEEP, route_name=route)
        owner.room.on_end(call, work_s)
        rooms = owner.room.rooms_of_answer(call, owner.slots, self.now)
        self._fill(owner)
        self._at(self.now + _LINK_S, self._answer_deep, (chain, rooms))

    def _answer_deep(
        self, answered: tuple[Chain, list[messages.ServiceRoom]]
    ) -> None:
        chain, rooms = answered
        route = chain.kind.route
        if not chain.kind.calls:
            self._count(chain.kind, 'served')
            self._report(chain, route, DEEP, rooms)
            return
        self.first.rooms.on_answer(DEEP_ROUTE, DEEP, rooms, self.now)
        chain.calls_left -= 1
        if chain.calls_left:
            self._call_deep(chain)
            return
        self._count(chain.kind, 'served')
        self._end_first(chain, is_success=True)

    def _report(
        self,
        chain: Chain,
        route: str,
        service: messages.ServiceName,
        rooms: list[messages.ServiceRoom],
    ) -> None:
        if rooms and self.random.random() >= self.lost_share:
            delay_s = self.delay_s * self.random.random()
            for room in rooms:
                room.age_ms += int(delay_s * 1000)
            self._at(
                self.now + _LINK_S + delay_s,
                self._store,
                (chain.entry, route, service, rooms),
            )

    def _store(
        self,
        report: tuple[
            chain_admission.ChainAdmission,
            str,
            messages.ServiceName,
            list[messages.ServiceRoom],
        ],
    ) -> None:
        entry, route, service, rooms = report
        entry.rooms.on_answer(route, service, rooms, self.now)
