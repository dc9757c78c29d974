"""A fleet of senders and upstreams on a simulated clock.

Each upstream has slots and a queue. A sender selects an upstream with the
picker, learns from the answer as relay.py does, and sends a refused call once
more. Time is simulated, so a run of a minute takes seconds.

Example: fleet = Fleet(picker_factory, [Upstream('n1', 'z1', slots=12)])
         fleet.run({'z1': lambda now: 90.0}, duration_s=20)
"""

import collections
import collections.abc
import dataclasses
import heapq
import itertools
import random

from godwitstall import messages
from godwitstall.routing import picker as picker_module
from godwitstall.routing import view as view_module

SERVICE = messages.ServiceName('depot')
_ROUTES = [('roster', 1.5), ('sheet', 0.5)]

# Longest time in the queue of an upstream, and one way between machines,
# seconds.
_MAX_WAIT_S = 0.5
_ONE_WAY_S = 0.001

PickerFactory = collections.abc.Callable[
    [view_module.View, str, random.Random], picker_module.Picker
]


@dataclasses.dataclass(eq=False)
class _Call:
    sender: 'Sender'
    route: str
    # Work relative to the average of the service.
    work: float
    created_at: float
    sent_at: float = 0.0
    queued_at: float = 0.0
    excluded: set[messages.NodeId] = dataclasses.field(default_factory=set)


@dataclasses.dataclass
class Upstream:
    """An upstream and the owner in front of it."""

    node_id: messages.NodeId
    zone: str
    slots: int = 12
    # Time of a request as a multiple of the average.
    ratio: float = 1.0
    # Factor of the reported time; 1 is the truth.
    report_factor: float = 1.0
    # Time from which the upstream accepts work, seconds.
    joins_at: float = 0.0
    # Share of time in which requests take 2.5 times as long.
    stutter_share: float = 0.0
    running: int = 0
    queue: collections.deque[_Call] = dataclasses.field(
        default_factory=collections.deque
    )
    # Time of all slots in use, seconds, and calls that were run.
    busy_s: float = 0.0
    calls: int = 0
    # Upstream times, seconds, by the end of the call.
    samples: list[tuple[float, float]] = dataclasses.field(
        default_factory=list
    )


class Sender:
    """A node that sends calls."""

    def __init__(
        self, zone: str, view: view_module.View, picker: picker_module.Picker
    ) -> None:
        self.zone = zone
        self.view = view
        self.picker = picker


class Fleet:
    """Senders and upstreams of one service."""

    def __init__(
        self,
        picker_factory: PickerFactory,
        upstreams: list[Upstream],
        zones: tuple[str, ...] = ('z1',),
        senders_per_zone: int = 6,
        mean_work_s: float = 0.1,
        seed: int = 1,
    ) -> None:
        self.random = random.Random(seed)
        self.mean_work_s = mean_work_s
        self.upstreams = {u.node_id: u for u in upstreams}
        self.senders = []
        for zone in zones:
            for _ in range(senders_per_zone):
                view = view_module.View()
                picker = picker_factory(
                    view, zone, random.Random(self.random.random())
                )
                self.senders.append(Sender(zone, view, picker))
        self.now = 0.0
        self._index = 0
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []
        self._numbers = itertools.count()
        self.times_s: list[float] = []
        self.refused = 0
        # Calls by zone of the sender and zone of the upstream, and the same
        # by second.
        self.moves: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.moves_by_second: collections.Counter[tuple[int, str, str]] = (
            collections.Counter()
        )
        self._apply_views()

    def capacity_per_s(self, zone: str | None = None) -> float:
        """Return the calls per second that all slots can run."""
        return sum(
            u.slots / (u.ratio * self.mean_work_s)
            for u in self.upstreams.values()
            if zone in (None, u.zone)
        )

    def run(
        self,
        rates: dict[str, collections.abc.Callable[[float], float]],
        duration_s: float,
    ) -> None:
        """Send calls; rates has calls per second of each zone at a time."""
        for upstream in self.upstreams.values():
            if upstream.joins_at:
                self._at(upstream.joins_at, self._apply_views)
        for zone in rates:
            self._next_arrival(zone, rates[zone], duration_s)
        while self._events:
            self.now, _, action = heapq.heappop(self._events)
            action()

    def utilisation(self, duration_s: float) -> dict[str, float]:
        """Return the share of slot time in use by upstream."""
        return {
            u.node_id: u.busy_s / (u.slots * duration_s)
            for u in self.upstreams.values()
        }

    def spread(self, duration_s: float) -> float:
        """Return the utilisation of the busiest upstream over the mean."""
        values = list(self.utilisation(duration_s).values())
        return max(values) * len(values) / sum(values)

    def p95_ms(self) -> float:
        """Return the time that 95 of 100 served calls took at most."""
        return sorted(self.times_s)[int(len(self.times_s) * 0.95)] * 1000

    def refused_share(self) -> float:
        """Return the share of calls that were refused."""
        return self.refused / max(self.refused + len(self.times_s), 1)

    def _apply_views(self) -> None:
        self._index += 1
        members = [
            messages.Member(
                u.node_id,
                service=SERVICE,
                zone=u.zone,
                state=messages.UpstreamState.READY,
                slots=u.slots,
            )
            for u in self.upstreams.values()
            if u.joins_at <= self.now
        ]
        for sender in self.senders:
            sender.view.apply(
                messages.StateUpdate(
                    index=self._index, is_full=True, members=members
                )
            )

    def _at(
        self, time: float, action: collections.abc.Callable[[], None]
    ) -> None:
        heapq.heappush(self._events, (time, next(self._numbers), action))

    def _next_arrival(
        self,
        zone: str,
        rate: collections.abc.Callable[[float], float],
        duration_s: float,
    ) -> None:
        time = self.now + self.random.expovariate(max(rate(self.now), 1e-3))
        if time >= duration_s:
            return

        def arrive() -> None:
            senders = [s for s in self.senders if s.zone == zone]
            route, cost = self.random.choice(_ROUTES)
            work = cost * self.random.lognormvariate(-0.125, 0.5)
            self._send(
                _Call(self.random.choice(senders), route, work, self.now)
            )
            self._next_arrival(zone, rate, duration_s)

        self._at(time, arrive)

    def _send(self, call: _Call) -> None:
        picker = call.sender.picker
        member = picker.pick(SERVICE, call.excluded, self.now)
        if member is None:
            self.refused += 1
            return
        picker.on_dispatch(member.node_id, self.now)
        call.sent_at = self.now
        self.moves[call.sender.zone, member.zone] += 1
        self.moves_by_second[int(self.now), call.sender.zone, member.zone] += 1
        upstream = self.upstreams[member.node_id]
        self._at(self.now + _ONE_WAY_S, lambda: self._receive(call, upstream))

    def _receive(self, call: _Call, upstream: Upstream) -> None:
        call.queued_at = self.now
        if upstream.running < upstream.slots:
            self._start(call, upstream)
            return
        upstream.queue.append(call)

        def expire() -> None:
            if call in upstream.queue:
                upstream.queue.remove(call)
                self._answer(call, upstream, 0.0)

        self._at(self.now + _MAX_WAIT_S, expire)

    def _start(self, call: _Call, upstream: Upstream) -> None:
        upstream.running += 1
        upstream.calls += 1
        took_s = call.work * upstream.ratio * self.mean_work_s
        spell = random.Random(
            f'{upstream.node_id} {int(self.now / 0.6)}'
        ).random()
        if spell < upstream.stutter_share:
            took_s *= 2.5

        def end() -> None:
            upstream.running -= 1
            upstream.busy_s += took_s
            upstream.samples.append((self.now, took_s))
            self._answer(call, upstream, took_s)
            if upstream.queue:
                self._start(upstream.queue.popleft(), upstream)

        self._at(self.now + took_s, end)

    def _answer(self, call: _Call, upstream: Upstream, took_s: float) -> None:
        load = messages.LoadReport(
            upstream.running,
            len(upstream.queue),
            upstream.slots,
            messages.UpstreamState.READY,
            1,
        )

        def deliver() -> None:
            picker = call.sender.picker
            picker.on_answer(
                upstream.node_id,
                load,
                False,
                self.now,
                is_overloaded=not took_s,
            )
            if took_s:
                self.times_s.append(self.now - call.created_at)
                picker.on_run_time(
                    upstream.node_id,
                    call.route,
                    took_s * 1000 * upstream.report_factor,
                    (self.now - call.sent_at) * 1000,
                    self.now,
                )
            elif call.excluded:
                self.refused += 1
            else:
                call.excluded.add(upstream.node_id)
                self._send(call)

        self._at(self.now + _ONE_WAY_S, deliver)
