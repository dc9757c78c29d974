"""A fleet of gateway nodes in simulated time, without any network.

Nodes exchange calls through the codec of their links after a fixed delay, and
each has a simulated upstream. Time advances only while every task waits, so a
play of ten seconds takes a fraction of a second and always ends alike.

Example:
    fleet = Fleet({'a': 'siop', 'b': 'gwydd'})
    fleet.run(scenario())
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
from godwitstall import http_listener
from godwitstall import messages
from godwitstall.node import announcements
from godwitstall.node import gateway_node
from godwitstall.node import upstream_client
from godwitstall import settings
from tests import gateways

# Delay of a message between two nodes, seconds.
LINK_DELAY_S = 0.002

HOST = 'a.example'

_SLOTS = 87
_TIMEOUT_S = 5.0

Headers = list[tuple[bytes, bytes]]


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
    # Node that the client sent the request to, and time when it did, seconds.
    entry: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """A response with status 503."""

    took_s: float
    has_retry_time: bool


class Upstream:
    """A simulated upstream; serves as the client of its node as well."""

    def __init__(self, incarnation: int, work_s: float) -> None:
        self.incarnation = incarnation
        # Time that a request takes, seconds.
        self.work_s = work_s
        self.instance_id = f'i-{incarnation}'
        # Headers of all answers.
        self.headers: Headers = []
        self.arrivals: list[Arrival] = []
        self.busy: set[object] = set()
        self.idle: list[object] = []
        self.fleet: 'Fleet | None' = None

    async def send(
        self,
        method: str,
        path: str,
        header_block: bytes,
        body: bytes,
        deadline: float,
        host: bytes = b'',
        request_id: bytes = b'',
    ) -> upstream_client.UpstreamAnswer:
        assert self.fleet is not None
        number = int(request_id.partition(b'.')[0])
        entry, sent_at = self.fleet.sent[number]
        self.arrivals.append(Arrival(clock.recent(), entry, sent_at))
        await asyncio.sleep(self.work_s)
        headers = [
            (gateways.DIALECT.attempt_id, request_id),
            (gateways.DIALECT.signature, b's'),
            *self.headers,
        ]
        return upstream_client.UpstreamAnswer(
            200, headers, b'done', clock.recent()
        )

    async def is_refused(self, timeout_s: float) -> bool:
        return False

    def close(self) -> None:
        pass


class _Forwarder:
    """Delivers the calls of one node to the owners of the fleet."""

    def __init__(self, fleet: 'Fleet') -> None:
        self.fleet = fleet

    async def call(self, address: str, call: messages.Call) -> messages.Answer:
        node = self.fleet.nodes.get(address)
        await asyncio.sleep(LINK_DELAY_S)
        if node is None or self.fleet.nodes.get(address) is not node:
            raise errors.RequestError(errors.ErrorKind.UPSTREAM_UNREACHABLE)
        copied = codec.decode(codec.encode(call))
        assert isinstance(copied, messages.Call)
        answer = codec.decode(codec.encode(await node.owner.handle(copied)))
        if self.fleet.nodes.get(address) is not node:
            raise errors.RequestError(errors.ErrorKind.PEER_LOST)
        await asyncio.sleep(LINK_DELAY_S)
        assert isinstance(answer, messages.Answer)
        return answer

    def close_links_except(self, addresses: set[str]) -> None:
        pass


class Fleet:
    """Nodes by name, which is also their address, and their upstreams."""

    def __init__(self, services: dict[str, str], work_s: float = 0.1) -> None:
        self.services = services
        self.work_s = work_s
        self.random = random.Random(7)
        self.nodes: dict[str, gateway_node.GatewayNode] = {}
        self.upstreams: dict[str, Upstream] = {}
        # Entry node and time of each request, by number; seconds.
        self.sent: dict[int, tuple[str, float]] = {}
        # Times at which a node passed on an answer of an upstream, with its
        # headers, by entry node.
        self.passed_on: dict[str, list[tuple[float, Headers]]]
        self.passed_on = collections.defaultdict(list)
        # Statuses of all responses to clients.
        self.statuses: collections.Counter[int] = collections.Counter()
        self.refusals: list[Refusal] = []
        self.states = dict.fromkeys(services, messages.UpstreamState.READY)
        self.view_index = 0
        self.tasks: list[asyncio.Task[None]] = []

    def run(
        self,
        scenario: collections.abc.Coroutine[typing.Any, typing.Any, None],
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        """Start all nodes and run a scenario in simulated time."""
        with asyncio.Runner(loop_factory=_Loop) as runner:
            loop = runner.get_loop()
            monkeypatch.setattr(clock, 'now', loop.time)
            monkeypatch.setattr(clock, 'recent', loop.time)
            runner.run(self._run(scenario))

    async def _run(
        self, scenario: collections.abc.Coroutine[typing.Any, typing.Any, None]
    ) -> None:
        for number, name in enumerate(self.services):
            self.replace_upstream(name, number + 1)
            self.start(name)
        try:
            await scenario
        finally:
            for task in self.tasks:
                task.cancel()

    def replace_upstream(self, name: str, incarnation: int) -> Upstream:
        """Give a node another upstream process."""
        upstream = Upstream(incarnation, self.work_s)
        upstream.fleet = self
        self.upstreams[name] = upstream
        if name in self.nodes:
            self.announce(name)
        return upstream

    def start(self, name: str) -> None:
        """Start a node, or start it again after stop()."""
        node = gateways.make_node(self.services[name])
        node.options.node_id = messages.NodeId(name)
        # As on the platform: all slots from the start.
        node.options.limit_policy = settings.LimitPolicy.FIXED
        node.options.warmup_s = 0.0
        forwarder: typing.Any = _Forwarder(self)
        node.forwarder = node.relay.forwarder = forwarder
        node.relay.picker._random = random.Random(self.random.random())
        self.nodes[name] = node
        self.announce(name)
        self.publish()
        self.tasks.append(asyncio.create_task(node.owner.slots.run()))

    def stop(self, name: str) -> None:
        """Kill a node; its upstream continues."""
        del self.nodes[name]
        self.publish()

    def announce(self, name: str, state: str = 'ready') -> None:
        """Deliver an announcement of the upstream to its node."""
        upstream = self.upstreams[name]
        node = self.nodes[name]
        node.upstream.on_announcement(
            announcements.Announcement(
                self.services[name],
                upstream.incarnation,
                9,
                _SLOTS,
                600,
                state=state,
                instance_id=upstream.instance_id,
            ),
            clock.now(),
        )
        client: typing.Any = upstream
        node.upstream.client = client

    def publish(self) -> None:
        """Give every node the current members and the routes."""
        self.view_index += 1
        update = messages.StateUpdate(
            self.view_index,
            True,
            configuration=messages.Configuration(
                number=1,
                routes=[
                    messages.Route(
                        service,
                        f'/{service}/',
                        host=HOST,
                        service=messages.ServiceName(service),
                        is_open=True,
                        is_idempotent=True,
                        attempts=2,
                        timeout_ms=round(_TIMEOUT_S * 1000),
                    )
                    for service in dict.fromkeys(self.services.values())
                ],
            ),
            members=[
                messages.Member(
                    messages.NodeId(name),
                    1,
                    messages.ServiceName(self.services[name]),
                    'z1',
                    'r1',
                    name,
                    self.states[name],
                    False,
                    _SLOTS,
                    self.upstreams[name].incarnation,
                )
                for name in self.nodes
            ],
        )
        for node in self.nodes.values():
            node.view.apply(update)

    async def call(self, entry: str, service: str) -> int:
        """Send a request of a client to a node; return the status."""
        node = self.nodes[entry]
        number = len(self.sent)
        self.sent[number] = entry, clock.now()
        response = await node.gateway.serve(
            http_listener.Request(
                'GET',
                f'/{service}/{number}',
                [
                    (b'host', HOST.encode()),
                    (gateways.DIALECT.attempt_id, b'%d' % number),
                ],
                b'',
                clock.now(),
            )
        )
        self.statuses[response.status] += 1
        if response.status == 503:
            has_retry_time = any(
                name == gateways.DIALECT.retry_after
                for name, _ in response.headers
            )
            took_s = clock.now() - self.sent[number][1]
            self.refusals.append(Refusal(took_s, has_retry_time))
        if self.nodes.get(entry) is node and response.encoded_headers:
            self.passed_on[entry].append(
                (clock.now(), _parse(response.encoded_headers))
            )
        return response.status

    async def load(
        self,
        entries: list[str],
        service: str,
        per_s: float,
        for_s: float,
    ) -> None:
        """Send requests at an even rate, to the running entries in turn."""
        calls = []
        for number in range(round(per_s * for_s)):
            running = [name for name in entries if name in self.nodes]
            entry = running[number % len(running)]
            calls.append(asyncio.create_task(self.call(entry, service)))
            await asyncio.sleep(1 / per_s)
        await asyncio.gather(*calls)


def _parse(block: bytes) -> Headers:
    pairs = (line.partition(b': ') for line in block.split(b'\r\n') if line)
    return [(name, value) for name, _, value in pairs]
