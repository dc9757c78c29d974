"""A fleet of gateway nodes in simulated time, without any network.

Nodes exchange calls through the codec of their links after a delay, and each
has a simulated upstream. Time advances only while every task waits, so a play
of ten seconds takes a fraction of a second and always ends alike.

Example:
    fleet = Fleet({'a': 'siop', 'b': 'gwydd'})
    fleet.run(scenario(), monkeypatch)
"""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import selectors
import typing

import pytest

from godwitstall import clock
from godwitstall import codec
from godwitstall import errors
from godwitstall.http import messages as http_messages
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import announcements
from godwitstall.node.upstreams import upstream_answer
from godwitstall import settings
from tests import gateways

# Delay of a message between two nodes, seconds.
_LINK_DELAY_S = 0.002

# Time after which a node gives up a link without a sign of life, seconds.
_LINK_TIMEOUT_S = 1.2

_HOST = 'a.example'
_SLOTS = 87
_TIMEOUT_S = 5.0

# Header by which an answer shows the upstream process that sent it.
_SERVED_BY = b'x-served-by'

Headers = list[tuple[bytes, bytes]]
Scenario = collections.abc.Coroutine[typing.Any, typing.Any, None]

# One start of a node: its name and the number of the start.
NodeProcess = tuple[str, int]


class _Selector(selectors.SelectSelector):
    """Advances the time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> typing.Any:
        self.now += timeout or 0.0
        return super().select(0)


class _Loop(asyncio.SelectorEventLoop):
    """An event loop whose time is that of its selector."""

    def __init__(self) -> None:
        self.simulated = _Selector()
        super().__init__(self.simulated)

    def time(self) -> float:
        return self.simulated.now


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """A request that reached an upstream."""

    at: float
    # Node process that the client sent the request to, and when, seconds.
    entry: NodeProcess
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An answer of an upstream that a node passed on to its client."""

    at: float
    entry: NodeProcess
    # Instance id of the upstream process.
    upstream_id: str
    headers: dict[bytes, bytes]


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A response with status 503."""

    took_s: float
    has_retry_time: bool


class Upstream:
    """A simulated upstream; serves as the client of its node as well."""

    def __init__(self, fleet: 'Fleet', incarnation: int) -> None:
        self.fleet = fleet
        self.incarnation = incarnation
        self.instance_id = f'i-{incarnation}'
        # Additional headers of all answers.
        self.headers: Headers = []
        self.arrivals: list[Arrival] = []
        self.busy: set[object] = set()
        self.idle: list[object] = []

    def set_header(self, name: bytes, value: bytes) -> None:
        """Set a header of all answers; an empty value removes it."""
        self.headers = [pair for pair in self.headers if pair[0] != name]
        if value:
            self.headers.append((name, value))

    async def send(
        self,
        method: str,
        path: str,
        header_block: bytes,
        body: bytes,
        deadline: float,
        host: bytes = b'',
        request_id: bytes = b'',
        check_write: collections.abc.Callable[[], None] | None = None,
    ) -> upstream_answer.UpstreamAnswer:
        if check_write is not None:
            check_write()
        entry, sent_at = self.fleet.sent[int(request_id)]
        self.arrivals.append(Arrival(clock.recent(), entry, sent_at))
        await asyncio.sleep(self.fleet.work_s)
        headers = [
            (gateways.DIALECT.attempt_id, request_id),
            (gateways.DIALECT.signature, b's'),
            (_SERVED_BY, self.instance_id.encode()),
            *self.headers,
        ]
        return upstream_answer.UpstreamAnswer(
            200, headers, b'done', clock.recent()
        )

    def cold_ms(self) -> int:
        """Return how long the upstream stays cold, milliseconds."""
        return 0

    def has_open_connection(self) -> bool:
        return bool(self.busy)

    async def is_refused(self, timeout_s: float) -> bool:
        return False

    def close(self) -> None:
        pass


class _Forwarder:
    """Delivers the calls of one node to the owners of the fleet."""

    def __init__(self, fleet: 'Fleet', name: str) -> None:
        self.fleet = fleet
        self.name = name

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        node = self.fleet.nodes.get(address)
        await self._delay(address)
        if node is None or self.fleet.nodes.get(address) is not node:
            raise errors.RequestError(errors.ErrorKind.UPSTREAM_UNREACHABLE)
        copied = codec.decode(codec.encode(call))
        assert isinstance(copied, messages.Call)
        answer = codec.decode(codec.encode(await node.owner.handle(copied)))
        if self.fleet.nodes.get(address) is not node:
            raise errors.RequestError(errors.ErrorKind.PEER_LOST)
        await self._delay(address)
        assert isinstance(answer, messages.Answer)
        return answer

    async def _delay(self, address: str) -> None:
        delay_s = self.fleet.link_delays_s.get(
            (self.name, address), _LINK_DELAY_S
        )
        await asyncio.sleep(min(delay_s, _LINK_TIMEOUT_S))
        if delay_s > _LINK_TIMEOUT_S:
            raise errors.RequestError(errors.ErrorKind.PEER_LOST)

    def close_links_except(self, addresses: set[str]) -> None:
        pass


class Fleet:
    """Nodes by name, which is also their address, and their upstreams."""

    def __init__(self, services: dict[str, str], work_s: float = 0.1) -> None:
        self.services = services
        # Time that a request takes at an upstream, seconds.
        self.work_s = work_s
        self.random = random.Random(7)
        # Running nodes, and how often each was started.
        self.nodes: dict[str, gateway_node.GatewayNode] = {}
        self.starts: collections.Counter[str] = collections.Counter()
        self.upstreams: dict[str, Upstream] = {}
        # Delays of links other than the usual one, by entry and owner node;
        # seconds.
        self.link_delays_s: dict[tuple[str, str], float] = {}
        # Entry node and time of each request, by its number; seconds.
        self.sent: dict[int, tuple[NodeProcess, float]] = {}
        self.answers: list[Answer] = []
        # Statuses of all responses to clients.
        self.statuses: collections.Counter[int] = collections.Counter()
        self.refusals: list[Refusal] = []
        # Zones of nodes in others than z1, and evacuated zones.
        self.zones: dict[str, str] = {}
        self.evacuations: list[messages.Evacuation] = []
        # Nodes that get no updates of the state.
        self.cut_off: set[str] = set()
        self.view_index = 0
        # Rules for services in the configuration.
        self.rules: list[messages.ServiceRule] = []
        # Requests to a cold upstream: relative and additional.
        self.cold_overrun = 1.0
        self.cold_tolerance = 0.0
        self.tasks: list[asyncio.Task[None]] = []

    def run(self, scenario: Scenario, monkeypatch: pytest.MonkeyPatch) -> None:
        """Start all nodes and run a scenario in simulated time."""
        with asyncio.Runner(loop_factory=_Loop) as runner:
            loop = runner.get_loop()
            monkeypatch.setattr(clock, 'now', loop.time)
            monkeypatch.setattr(clock, 'recent', loop.time)
            runner.run(self._run(scenario))

    async def _run(self, scenario: Scenario) -> None:
        for number, name in enumerate(self.services):
            self.upstreams[name] = Upstream(self, number + 1)
            self.start(name)
        try:
            await scenario
        finally:
            for task in self.tasks:
                task.cancel()

    def replace_upstream(self, name: str, incarnation: int) -> Upstream:
        """Give a running node another upstream process."""
        self.upstreams[name] = Upstream(self, incarnation)
        self.announce(name)
        self.publish()
        return self.upstreams[name]

    def start(self, name: str) -> None:
        """Start a node, or start it again after stop()."""
        node = gateways.make_node(self.services[name])
        node.options.node_id = messages.NodeId(name)
        node.options.zone = node.relay.picker._own_zone = self._zone(name)
        # As on the platform: all slots from the start.
        node.options.limit_policy = settings.LimitPolicy.FIXED
        node.options.warmup_s = 0.0
        cold_rate = node.upstream.cold.rate
        cold_rate.overrun = self.cold_overrun
        cold_rate.tolerance = self.cold_tolerance
        forwarder: typing.Any = _Forwarder(self, name)
        node.forwarder = node.relay.forwarder = forwarder
        node.relay.picker._random = random.Random(self.random.random())
        self.nodes[name] = node
        self.starts[name] += 1
        self.announce(name)
        self.publish()
        self.tasks.append(asyncio.create_task(node.owner.slots.run()))

    def stop(self, name: str) -> None:
        """Kill a node; its upstream continues."""
        del self.nodes[name]
        self.publish()

    def announce(self, name: str) -> None:
        """Deliver an announcement of the upstream that it is ready."""
        upstream = self.upstreams[name]
        node = self.nodes[name]
        node.upstream.on_announcement(
            announcements.Announcement(
                self.services[name],
                upstream.incarnation,
                9,
                _SLOTS,
                600,
                instance_id=upstream.instance_id,
                cold_ms=upstream.cold_ms(),
            ),
            clock.now(),
        )
        client: typing.Any = upstream
        node.upstream.client = client

    def publish(self) -> None:
        """Give every node the routes and the members, all of them ready."""
        self.view_index += 1
        services = dict.fromkeys(self.services.values())
        update = messages.StateUpdate(
            self.view_index,
            True,
            configuration=messages.Configuration(
                number=1,
                routes=[_make_route(name) for name in services],
                services=self.rules,
            ),
            members=[self._make_member(name) for name in self.nodes],
            evacuations=self.evacuations,
        )
        for name, node in self.nodes.items():
            if name not in self.cut_off:
                node.view.apply(update)

    def evacuate(self, *zones: str) -> None:
        """Evacuate these zones, and take back all others."""
        known = {item.zone for item in self.evacuations} | set(zones)
        self.evacuations = [
            messages.Evacuation(zone, zone in zones, self.view_index + 1)
            for zone in sorted(known)
        ]
        self.publish()

    def _zone(self, name: str) -> str:
        return self.zones.get(name, 'z1')

    def _make_member(self, name: str) -> messages.Member:
        return messages.Member(
            node_id=messages.NodeId(name),
            incarnation=self.starts[name],
            service=messages.ServiceName(self.services[name]),
            zone=self._zone(name),
            region='r1',
            address=name,
            state=messages.UpstreamState.READY,
            slots=_SLOTS,
            upstream_incarnation=self.upstreams[name].incarnation,
        )

    def add_request(self, entry: str) -> int:
        """Record a request that a client sends now; return its number."""
        number = len(self.sent)
        self.sent[number] = (entry, self.starts[entry]), clock.now()
        return number

    async def call(self, entry: str, service: str) -> http_messages.Response:
        """Send a request of a client to a node, and record its response."""
        node = self.nodes[entry]
        number = self.add_request(entry)
        response = await node.gateway.serve(
            http_messages.Request(
                'GET',
                f'/{service}/{number}',
                [
                    (b'host', _HOST.encode()),
                    (gateways.DIALECT.attempt_id, b'%d' % number),
                ],
                b'',
                clock.now(),
            )
        )
        if self.nodes.get(entry) is node:
            self._record(number, response)
        return response

    def _record(self, number: int, response: http_messages.Response) -> None:
        process, sent_at = self.sent[number]
        self.statuses[response.status] += 1
        headers = _parse(response.encoded_headers)
        if _SERVED_BY in headers:
            upstream_id = headers[_SERVED_BY].decode()
            self.answers.append(
                Answer(clock.now(), process, upstream_id, headers)
            )
        if response.status == 503:
            has_retry_time = gateways.DIALECT.retry_after in dict(
                response.headers
            )
            self.refusals.append(
                Refusal(clock.now() - sent_at, has_retry_time)
            )

    async def load(
        self, entries: list[str], service: str, per_s: float, for_s: float
    ) -> None:
        """Send requests at an even rate, to the running entries in turn."""
        calls = []
        for number in range(round(per_s * for_s)):
            running = [name for name in entries if name in self.nodes]
            entry = running[number % len(running)]
            calls.append(asyncio.create_task(self.call(entry, service)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*calls)

    def informed_at(
        self, upstream: Upstream, name: bytes
    ) -> dict[NodeProcess, float]:
        """Return when each node process first passed on a header."""
        informed: dict[NodeProcess, float] = {}
        for answer in self.answers:
            if answer.upstream_id == upstream.instance_id and (
                answer.headers.get(name)
            ):
                informed.setdefault(answer.entry, answer.at)
        return informed


def _make_route(service: str) -> messages.Route:
    return messages.Route(
        service,
        f'/{service}/',
        host=_HOST,
        service=messages.ServiceName(service),
        is_open=True,
        is_idempotent=True,
        attempts=2,
        timeout_ms=round(_TIMEOUT_S * 1000),
    )


def _parse(block: bytes) -> dict[bytes, bytes]:
    lines = (line.partition(b': ') for line in block.split(b'\r\n') if line)
    return {name: value for name, _, value in lines}
