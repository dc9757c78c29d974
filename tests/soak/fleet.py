"""A fleet of gateway nodes over real sockets, whose nodes stop and start.

Each node has an upstream of its own. The fleet plays the part of control: it
publishes the members, and others hear of a stop after a while.

Example:
    async with fleet.running(4) as mesh:
        await mesh.stop_group(['n0', 'n1'])
"""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import functools
import math

from godwitstall import clock
from godwitstall.http import listener as http_listener
from godwitstall.http import messages as http_messages
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import announcements
from godwitstall import settings
from loadtool import addresses
from tests import gateways

HOST = 'a.example'
_SERVICE = messages.ServiceName('siop')
_SLOTS = 40

# Timeout of the route, seconds: it fits into the rest of a planned stop at
# first, and later not.
_TIMEOUT_S = 0.6

# Time in which a stopping node accepts all requests, seconds.
_SETTLE_S = 0.2

# Time from the signal to the end of a stop, seconds.
_GRACE_S = 1.5

# Time after which the others hear of a stop, seconds.
_NOTICE_S = 0.1

# Time in which an evacuation must be in force, seconds.
_EVACUATE_S = 0.5

_ZONES = ('z1', 'z2')


class Upstreams:
    """All upstreams of a fleet, and what they have received.

    The target of a request names its time and its id: '/a/20/c1-7'.
    """

    def __init__(self) -> None:
        self.starts: collections.Counter[str] = collections.Counter()
        self.ends: collections.Counter[str] = collections.Counter()
        self.running: collections.Counter[str] = collections.Counter()
        # Time of the order by evacuated zone, and requests that came too late
        # after it.
        self.evacuated_at: dict[str, float] = {}
        self.late: list[str] = []

    async def serve(
        self, zone: str, request: http_messages.Request
    ) -> http_messages.Response:
        """Run a request; echo its id."""
        if not request.target.startswith('/a/'):
            # A health probe.
            return http_messages.Response(200)
        _, _, delay_ms, request_id = request.target.split('/')
        self.starts[request_id] += 1
        self.running[request_id] += 1
        if clock.now() > self.evacuated_at.get(zone, math.inf) + _EVACUATE_S:
            self.late.append(request_id)
        try:
            await asyncio.sleep(int(delay_ms) / 1000)
            self.ends[request_id] += 1
        finally:
            self.running[request_id] -= 1
        return http_messages.Response(
            200,
            [
                (
                    gateways.DIALECT.attempt_id,
                    request.header(gateways.DIALECT.attempt_id),
                ),
                (gateways.DIALECT.signature, b's'),
            ],
            request_id.encode(),
        )


@dataclasses.dataclass
class Slot:
    """The place of a node, and the process that runs there now."""

    options: settings.NodeOptions
    upstream_port: int
    node: gateway_node.GatewayNode | None = None
    starts: int = 0


class Fleet:
    """Nodes by name; a node that is stopped starts again."""

    def __init__(self) -> None:
        self.upstreams = Upstreams()
        self.slots: dict[str, Slot] = {}
        self.listeners: list[http_listener.Listener] = []
        self.version = 0

    async def add(self, name: str) -> None:
        """Start a node and its upstream."""
        address = addresses.free_address()
        zone = _ZONES[len(self.slots) % len(_ZONES)]
        listener = http_listener.Listener(
            {address: functools.partial(self.upstreams.serve, zone)}
        )
        await listener.start()
        self.listeners.append(listener)
        options = dataclasses.replace(
            gateways.make_options(name, _SERVICE),
            zone=zone,
            link_address=addresses.free_address(),
            caller_address=addresses.free_address(),
            upstream_address=address,
            stop_grace_s=_GRACE_S,
            stop_settle_s=_SETTLE_S,
            limit_policy=settings.LimitPolicy.FIXED,
            warmup_s=0.0,
            announce_timeout_s=600.0,
        )
        _, _, port = address.rpartition(':')
        self.slots[name] = Slot(options, int(port))
        await self.start(name)

    async def start(self, name: str) -> None:
        """Start the next process of a node."""
        slot = self.slots[name]
        slot.starts += 1
        options = settings.FleetOptions(
            'tests', seeds=[addresses.free_address()], is_without_secret=True
        )
        node = gateway_node.GatewayNode.from_config(
            slot.options, options, gateways.DIALECT
        )
        node.upstream.on_announcement(
            announcements.Announcement(
                _SERVICE,
                1,
                slot.upstream_port,
                _SLOTS,
                _SLOTS,
                instance_id=f'i-{name}',
            ),
            clock.now(),
        )
        await node.start()
        slot.node = node
        self.publish()

    async def stop_group(self, names: collections.abc.Iterable[str]) -> None:
        """Stop nodes at the same time, then start them again."""
        await asyncio.gather(*(self._restart(name) for name in names))

    async def _restart(self, name: str) -> None:
        node = self.slots[name].node
        if node is None:
            # It is still in an earlier group.
            return
        self.slots[name].node = None
        stop = asyncio.create_task(node.stop())
        await asyncio.sleep(_NOTICE_S)
        self.publish()
        await stop
        await self.start(name)

    async def evacuate(self, zones: list[str], for_s: float) -> None:
        """Evacuate zones for a time."""
        for zone in zones:
            self.upstreams.evacuated_at.setdefault(zone, clock.now())
        self.publish()
        await asyncio.sleep(for_s)
        for zone in zones:
            self.upstreams.evacuated_at.pop(zone, None)
        self.publish()

    def publish(self) -> None:
        """Tell all running nodes of the members."""
        self.version += 1
        members = [
            self._member(slot) for slot in self.slots.values() if slot.node
        ]
        for slot in self.slots.values():
            if slot.node is not None:
                slot.node.view.apply(self._update(members))

    def _update(self, members: list[messages.Member]) -> messages.StateUpdate:
        route = messages.Route(
            'a',
            '/a/',
            host=HOST,
            service=_SERVICE,
            is_open=True,
            is_idempotent=False,
            attempts=2,
            timeout_ms=round(_TIMEOUT_S * 1000),
        )
        return messages.StateUpdate(
            self.version,
            True,
            configuration=messages.Configuration(number=1, routes=[route]),
            members=members,
            evacuations=[
                messages.Evacuation(
                    zone,
                    zone in self.upstreams.evacuated_at,
                    self.version,
                    clock.wall_ms(),
                )
                for zone in _ZONES
            ],
        )

    def _member(self, slot: Slot) -> messages.Member:
        return messages.Member(
            node_id=slot.options.node_id,
            incarnation=slot.starts,
            service=_SERVICE,
            zone=slot.options.zone,
            region=slot.options.region,
            address=slot.options.link_address,
            state=messages.UpstreamState.READY,
            slots=_SLOTS,
            upstream_incarnation=1,
        )

    async def close(self) -> None:
        """Stop all nodes and upstreams."""
        nodes = [slot.node for slot in self.slots.values() if slot.node]
        await asyncio.gather(*(node.stop() for node in nodes))
        for listener in self.listeners:
            await listener.close()


@contextlib.asynccontextmanager
async def running(count: int) -> collections.abc.AsyncIterator[Fleet]:
    """Run a fleet with so many nodes."""
    mesh = Fleet()
    try:
        for number in range(count):
            await mesh.add(f'n{number}')
        yield mesh
    finally:
        await mesh.close()
