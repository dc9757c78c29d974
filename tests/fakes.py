"""Small fakes at the interfaces of a node: control and the upstream.

FakeControl applies commands to a real state machine without consensus and
speaks the link protocol. FakeUpstream is an HTTP server whose answers a test
scripts byte by byte. NodeHarness runs a real node between the two, in the
process of the test.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import gc
import hashlib
import json
import pathlib
import typing

import httptools

from godwitstall import clock
from godwitstall import codec
from godwitstall.configuration import note as notes
from godwitstall.control import machine as machine_module
from godwitstall import errors
from godwitstall import link as link_module
from godwitstall import messages
from godwitstall.node import program
from godwitstall.rates import ledger as ledger_module
from godwitstall import settings
from loadtool import addresses
from loadtool import http_client

SECRET = b'a secret of the tests'

# Longest time for a condition to come true; no test measures against it.
WAIT_S = 20.0

_GRANT_LIFETIME_MS = 1000


async def until(
    is_met: collections.abc.Callable[[], typing.Any], what: str = ''
) -> None:
    """Wait until a condition is true; fails the test when it stays false."""
    end = clock.now() + WAIT_S
    while not is_met():
        assert clock.now() < end, f'never came true: {what}'
        await asyncio.sleep(0.005)


async def until_equal(
    read: collections.abc.Callable[[], object], wanted: object
) -> None:
    """Wait until what read returns equals wanted."""
    await until(lambda: read() == wanted, f'{wanted!r}')


class FakeControl:
    """One control process without disk, peers or election."""

    def __init__(self, **options: typing.Any) -> None:
        self.address = addresses.free_address()
        self.machine = machine_module.Machine.from_config(
            settings.ControlOptions(
                slot=messages.SlotId('c1'),
                zone='z1',
                region='r1',
                admin_address='127.0.0.1:1',
                data_folder='unused',
                **options,
            )
        )
        self.ledger = ledger_module.Ledger(_GRANT_LIFETIME_MS / 1000)
        self.identity = link_module.Identity(
            messages.Role.CONTROL, 'c1', SECRET
        )
        self.links: set[link_module.Link] = set()
        # Index sent over each subscribed link.
        self.sent: dict[link_module.Link, int] = {}
        # Whether heartbeats are confirmed; otherwise leases run out.
        self.is_fresh = True
        # Whether token requests are answered.
        self.is_granting = True
        # Whether commands are applied but their replies are lost.
        self.is_losing_replies = False
        # Whether commands are neither applied nor answered.
        self.is_deaf = False
        # Commands that came while deaf, for late delivery.
        self.held: list[messages.Message] = []
        # Commands in the order they were applied.
        self.commands: list[messages.Message] = []
        self.index = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop listening and cut all links."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()

    def apply(self, command: messages.Message) -> messages.Message:
        """Apply one command and push the change to all nodes."""
        self.index += 1
        self.commands.append(command)
        result = codec.decode(
            self.machine.apply(
                self.index, clock.wall_ms(), codec.encode(command)
            )
        )
        for link in list(self.sent):
            self._push(link)
        return result

    def apply_note(self, text: str) -> messages.NoteResult:
        """Put a release note in force; fails the test when it is refused."""
        current = self.machine.configuration.configuration
        before = {workspace.name for workspace in current.workspaces}
        result = self.apply(
            messages.ApplyNote(
                notes.parse(text).number,
                notes.digest_of(text),
                'tests',
                text.encode(),
            )
        )
        assert isinstance(result, messages.NoteResult)
        assert result.verdict is messages.NoteVerdict.ACCEPTED, result.detail
        workspaces = self.machine.configuration.configuration.workspaces
        self.ledger.set_workspaces(
            workspaces,
            clock.now(),
            {workspace.name for workspace in workspaces} - before,
        )
        return result

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            link = await link_module.accept(reader, writer, self.identity)
        except errors.LinkError:
            return
        self.links.add(link)

        async def handle(message: messages.Message) -> None:
            self._on_message(link, message)

        try:
            await link.run(handle)
        finally:
            self.links.discard(link)
            self.sent.pop(link, None)

    def _push(self, link: link_module.Link) -> None:
        since = self.sent[link]
        if since < 0:
            update = self.machine.full_update()
        else:
            update = self.machine.update_since(since)
        self.sent[link] = self.machine.applied_index
        try:
            link.send(update)
        except errors.LinkError:
            self.sent.pop(link)

    def _on_message(
        self, link: link_module.Link, message: messages.Message
    ) -> None:
        match message:
            case messages.Heartbeat():
                if link not in self.sent:
                    self.sent[link] = -1
                    self._push(link)
                link.send(
                    messages.HeartbeatReply(
                        message.seq,
                        self.is_fresh,
                        self.machine.applied_index,
                    )
                )
            case messages.GrantRequest() if self.is_granting:
                grants = self.ledger.grant(
                    message.node_id,
                    message.incarnation,
                    message.wants,
                    clock.now(),
                )
                link.send(
                    messages.GrantReply(
                        message.seq, grants, _GRANT_LIFETIME_MS
                    )
                )
            case messages.Propose() if self.is_deaf:
                self.held.append(codec.decode(message.command))
            case messages.Propose():
                result = self.apply(codec.decode(message.command))
                if not self.is_losing_replies:
                    link.send(
                        messages.ProposeReply(
                            message.seq, codec.encode(result), self.index
                        )
                    )
            case _:
                pass


@dataclasses.dataclass
class Received:
    """One request as the upstream got it."""

    method: str
    path: str
    headers: dict[str, str]
    # Names of all headers in order, equal ones included.
    names: list[str]
    body: bytes
    # Ends when the connection ends, for tests of cancellation.
    closed: asyncio.Event


# What a fake upstream does with a request.
Respond = collections.abc.Callable[
    [Received, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


def response(
    body: bytes, status: int = 200, headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def echo(request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer with the path and the body of the request."""
    writer.write(response(request.path.encode() + b'|' + request.body))


async def never(request: Received, writer: asyncio.StreamWriter) -> None:
    """Answer nothing."""


def sends(*parts: bytes, is_closing: bool = False) -> Respond:
    """Return a script that writes parts and then may close."""

    async def respond(request: Received, writer: asyncio.StreamWriter) -> None:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0)
        if is_closing:
            writer.close()

    return respond


SHED = response(b'busy', 503, {'godwitstall-outcome': 'not-run'})


class FakeUpstream:
    """An HTTP server whose answers are scripted; records each run."""

    def __init__(self, respond: Respond = echo) -> None:
        self.address = addresses.free_address()
        # Called for each request; writes what the upstream sends.
        self.respond = respond
        # Every request that reached the upstream whole, in order.
        self.runs: list[Received] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Die: stop listening and cut all connections."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.writers.add(writer)
        closed = asyncio.Event()
        tasks: set[asyncio.Task[None]] = set()

        def on_request(request: Received) -> None:
            if request.path == '/health':
                writer.write(response(b''))
                return
            self.runs.append(request)
            tasks.add(asyncio.create_task(self._respond(request, writer)))

        collector = _Collector(on_request, closed)
        parser = collector.parser
        try:
            while data := await reader.read(65536):
                parser.feed_data(data)
        except (OSError, httptools.HttpParserError):
            pass
        finally:
            closed.set()
            writer.close()
            self.writers.discard(writer)

    async def _respond(
        self, request: Received, writer: asyncio.StreamWriter
    ) -> None:
        await self.respond(request, writer)


class _Collector:
    """Callbacks of the parser; collects one request after the other."""

    def __init__(
        self,
        on_request: collections.abc.Callable[[Received], None],
        closed: asyncio.Event,
    ) -> None:
        self.on_request = on_request
        self.closed = closed
        self.parser = httptools.HttpRequestParser(self)
        self.path = b''
        self.headers: dict[str, str] = {}
        self.names: list[str] = []
        self.body = b''

    def on_message_begin(self) -> None:
        self.path, self.headers, self.body = b'', {}, b''
        self.names = []

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.names.append(name.decode().lower())
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.on_request(
            Received(
                self.parser.get_method().decode(),
                self.path.decode(),
                self.headers,
                self.names,
                self.body,
                self.closed,
            )
        )


class NodeHarness:
    """A real node in the test's process, with its fake upstream."""

    def __init__(
        self,
        folder: pathlib.Path,
        control: FakeControl | dict[str, str],
        node_id: str = 'siop-1',
        service: str = 'siop',
        upstream: FakeUpstream | None = None,
        **options: typing.Any,
    ) -> None:
        secret_file = folder / 'secret'
        secret_file.write_bytes(SECRET)
        defaults: dict[str, typing.Any] = {
            'heartbeat_s': 0.1,
            'lease_s': 1.0,
            'warmup_s': 0.0,
            'stop_timeout_s': 10.0,
            'probe_interval_s': 0.2,
        }
        self.options = settings.NodeOptions(
            node_id=messages.NodeId(node_id),
            zone='z1',
            region='r1',
            link_address=addresses.free_address(),
            caller_address=addresses.free_address(),
            upstream_address=addresses.free_address(),
            admin_address=addresses.free_address(),
            service=messages.ServiceName(service),
            **(defaults | options),
        )
        # Addresses of control by slot; tests/control has several.
        if isinstance(control, FakeControl):
            control = {'c1': control.address}
        self.fleet = settings.FleetOptions('tests', str(secret_file), control)
        self.upstream = upstream or FakeUpstream()
        self.node = program.Node.from_config(self.options, self.fleet)
        self.caller = http_client.Client(self.options.caller_address, 512)
        self.onward = http_client.Client(self.options.upstream_address, 512)
        # Start number of the upstream in its announcements.
        self.incarnation = 1
        self.slots = 8
        self.announcer: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start upstream and node; returns when the node serves calls."""
        await self.upstream.start()
        await self.node.start()
        await self.announce()
        self.announcer = asyncio.create_task(self._announce_always())
        await until(self.node.session.connected.is_set, 'session')
        # Join now and not at the next check, which saves the tests time.
        self.node.membership.on_upstream_change()
        await until(
            lambda: (
                self.node.session.is_fresh(clock.now())
                and self.options.node_id in self.node.view.members
            ),
            'the node serves',
        )

    async def announce(self, **changes: typing.Any) -> http_client.Response:
        """Send one announcement of the upstream."""
        _, port = link_module.split_address(self.upstream.address)
        body = {
            'service': self.options.service,
            'incarnation': self.incarnation,
            'port': port,
            'slots': self.slots,
            'connections': 100,
            'health_path': '/health',
            'state': 'ready',
        } | changes
        return await self.onward.request(
            'POST', '/announce', [], json.dumps(body).encode(), 5.0
        )

    async def _announce_always(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            try:
                await self.announce()
            except http_client.CallError:
                continue

    def stop_announcing(self) -> None:
        """Let the upstream fall silent."""
        if self.announcer is not None:
            self.announcer.cancel()

    async def call(
        self,
        path: str,
        key: str = '',
        method: str = 'GET',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        """Call as a caller does."""
        pairs = dict(headers or {})
        if key:
            pairs['godwitstall-key'] = key
        return await self.caller.request(
            method, path, list(pairs.items()), body, 15.0
        )

    async def call_onward(
        self,
        parent: Received,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        """Call as the own upstream does while it runs parent."""
        pairs = {
            'godwitstall-context': parent.headers['godwitstall-context']
        } | (headers or {})
        return await self.onward.request(
            method, path, list(pairs.items()), body, 15.0
        )

    async def stop(self) -> None:
        """End node and upstream at once, without a planned stop."""
        self.stop_announcing()
        await self.upstream.stop()
        self.node.server.server.force_exit = True
        await self.node.server.stop(0.0)
        self.node.peers.close_links()
        self.node.forwarder.close()
        for task in self.node.tasks:
            task.cancel()
        await asyncio.gather(*self.node.tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    text: str,
    services: dict[str, str],
    control: FakeControl | None = None,
    **options: typing.Any,
) -> collections.abc.AsyncGenerator[
    tuple[FakeControl, list[NodeHarness]], None
]:
    """Run a fake control with a release note, and a node for each service.

    services holds the service of each node by node id. Every node knows all
    others when the body starts.
    """
    # Exceptions that no task or future passed on, and failed callbacks.
    unseen: list[dict[str, typing.Any]] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, details: unseen.append(details)
    )
    control = control or FakeControl()
    await control.start()
    control.apply_note(text)
    # Without probes and a moving limit only the test decides what happens.
    defaults: dict[str, typing.Any] = {
        'limit_policy': settings.LimitPolicy.FIXED,
        'probe_interval_s': 5.0,
    }
    nodes = [
        NodeHarness(folder, control, node_id, service, **(defaults | options))
        for node_id, service in services.items()
    ]
    try:
        await asyncio.gather(*(node.start() for node in nodes))
        await until(
            lambda: all(
                len(node.node.view.members) == len(nodes)
                and all(
                    member.state is messages.UpstreamState.READY
                    for member in node.node.view.members.values()
                )
                for node in nodes
            ),
            'all nodes know each other',
        )
        yield control, nodes
    finally:
        await asyncio.gather(*(node.stop() for node in nodes))
        await control.stop()
    # Such exceptions are told when their task or future is collected.
    gc.collect()
    assert not unseen, unseen


def note(
    number: int,
    workspaces: dict[str, tuple[float, int]],
    routes: list[dict[str, typing.Any]],
) -> str:
    """Return a release note; the key of workspace w is 'key-w'."""
    lines = [f'number = {number}']
    for name, (rate, burst) in workspaces.items():
        digest = hashlib.sha256(f'key-{name}'.encode()).hexdigest()
        lines += [
            '[[added.workspaces]]',
            f'name = "{name}"',
            f'rate = {rate}',
            f'burst = {burst}',
            '[[added.keys]]',
            f'id = "{name}-1"',
            f'workspace = "{name}"',
            f'digest = "{digest}"',
        ]
    for route in routes:
        lines.append('[[added.routes]]')
        lines += [
            f'{name} = {json.dumps(value)}' for name, value in route.items()
        ]
    return '\n'.join(lines) + '\n'
