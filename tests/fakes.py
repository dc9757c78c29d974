"""Fakes of control and of the upstream for tests of a node.

FakeControl applies commands to a real state machine without consensus and
uses the link protocol. FakeUpstream is an HTTP server whose responses each
test defines byte by byte. NodeHarness runs a real node with both fakes, in
the process of the test.
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

# Timeout for a condition to become true, seconds; no test measures it.
WAIT_S = 20.0

_GRANT_LIFETIME_MS = 1000


async def until(
    is_met: collections.abc.Callable[[], typing.Any], description: str = ''
) -> None:
    """Wait until a condition is true; fail the test after WAIT_S."""
    end = clock.now() + WAIT_S
    while not is_met():
        assert clock.now() < end, f'condition not met: {description}'
        await asyncio.sleep(0.005)


async def until_equal(
    read: collections.abc.Callable[[], object], expected: object
) -> None:
    """Wait until read() returns a value equal to expected."""
    await until(lambda: read() == expected, f'{expected!r}')


class FakeControl:
    """A control process without disk, peers and elections."""

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
        # Index of the last state sent over each subscribed link.
        self.sent_index: dict[link_module.Link, int] = {}
        # Whether heartbeats are confirmed; if not, leases expire.
        self.is_confirming_heartbeats = True
        # Whether token requests get a reply.
        self.is_answering_grants = True
        # Whether commands are applied without sending their replies.
        self.is_dropping_replies = False
        # Whether commands are neither applied nor replied to.
        self.is_ignoring_commands = False
        # Commands received while commands are ignored, for late delivery.
        self.ignored_commands: list[messages.Message] = []
        # Commands in the order they were applied.
        self.commands: list[messages.Message] = []
        self.index = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Stop listening and close all links."""
        if self.server is not None:
            self.server.close()
        for link in list(self.links):
            link.close()

    def apply(self, command: messages.Message) -> messages.Message:
        """Apply a command and push the change to all nodes."""
        self.index += 1
        self.commands.append(command)
        result = codec.decode(
            self.machine.apply(
                self.index, clock.wall_ms(), codec.encode(command)
            )
        )
        for link in list(self.sent_index):
            self._push(link)
        return result

    def apply_note(self, text: str) -> messages.NoteResult:
        """Apply a release note; fail the test if the note is refused."""
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
            self.sent_index.pop(link, None)

    def _push(self, link: link_module.Link) -> None:
        sent_index = self.sent_index[link]
        if sent_index < 0:
            update = self.machine.full_update()
        else:
            update = self.machine.update_since(sent_index)
        self.sent_index[link] = self.machine.applied_index
        try:
            link.send(update)
        except errors.LinkError:
            self.sent_index.pop(link)

    def _on_message(
        self, link: link_module.Link, message: messages.Message
    ) -> None:
        match message:
            case messages.Heartbeat():
                if link not in self.sent_index:
                    self.sent_index[link] = -1
                    self._push(link)
                link.send(
                    messages.HeartbeatReply(
                        message.seq,
                        self.is_confirming_heartbeats,
                        self.machine.applied_index,
                    )
                )
            case messages.GrantRequest() if self.is_answering_grants:
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
            case messages.Propose() if self.is_ignoring_commands:
                self.ignored_commands.append(codec.decode(message.command))
            case messages.Propose():
                result = self.apply(codec.decode(message.command))
                if not self.is_dropping_replies:
                    link.send(
                        messages.ProposeReply(
                            message.seq, codec.encode(result), self.index
                        )
                    )
            case _:
                pass


@dataclasses.dataclass
class ReceivedRequest:
    """A request as received by the upstream."""

    method: str
    path: str
    headers: dict[str, str]
    # Names of all headers in order, with duplicates.
    header_names: list[str]
    body: bytes
    # Set when the connection is closed, for tests of cancellation.
    closed: asyncio.Event


# Handles a request at a fake upstream.
Responder = collections.abc.Callable[
    [ReceivedRequest, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


def response(
    body: bytes, status: int = 200, headers: dict[str, str] | None = None
) -> bytes:
    """Return the bytes of a complete response."""
    lines = [f'HTTP/1.1 {status} X', f'content-length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


async def echo(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Respond with the path and the body of the request."""
    writer.write(response(request.path.encode() + b'|' + request.body))


async def no_answer(
    request: ReceivedRequest, writer: asyncio.StreamWriter
) -> None:
    """Send no response."""


def sends(*parts: bytes, is_closing: bool = False) -> Responder:
    """Return a responder that writes parts, then closes if is_closing."""

    async def respond(
        request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0)
        if is_closing:
            writer.close()

    return respond


# Response of an upstream that sheds a request.
SHED = response(b'busy', 503, {'godwitstall-outcome': 'not-run'})


class FakeUpstream:
    """An HTTP server with replaceable responses that records each request."""

    def __init__(self, respond: Responder = echo) -> None:
        self.address = addresses.free_address()
        # Called for each request to write the response.
        self.respond = respond
        # Every request that was received completely, in order, without
        # probes of the health endpoint.
        self.runs: list[ReceivedRequest] = []
        self.writers: set[asyncio.StreamWriter] = set()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen."""
        host, port = link_module.split_address(self.address)
        self.server = await asyncio.start_server(self._serve, host, port)

    async def stop(self) -> None:
        """Simulate a crash: stop listening and abort all connections."""
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

        def on_request(request: ReceivedRequest) -> None:
            if request.path == '/health':
                writer.write(response(b''))
                return
            self.runs.append(request)
            tasks.add(asyncio.create_task(self._respond(request, writer)))

        collector = _RequestCollector(on_request, closed)
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
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        await self.respond(request, writer)


class _RequestCollector:
    """Parser callbacks that collect the requests of a connection."""

    def __init__(
        self,
        on_request: collections.abc.Callable[[ReceivedRequest], None],
        closed: asyncio.Event,
    ) -> None:
        self.on_request = on_request
        self.closed = closed
        self.parser = httptools.HttpRequestParser(self)
        self.path = b''
        self.headers: dict[str, str] = {}
        self.header_names: list[str] = []
        self.body = b''

    def on_message_begin(self) -> None:
        self.path, self.headers, self.body = b'', {}, b''
        self.header_names = []

    def on_url(self, url: bytes) -> None:
        self.path += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.header_names.append(name.decode().lower())
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        self.on_request(
            ReceivedRequest(
                self.parser.get_method().decode(),
                self.path.decode(),
                self.headers,
                self.header_names,
                self.body,
                self.closed,
            )
        )


class NodeHarness:
    """A real node in the process of the test, with its fake upstream."""

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
            'zone': 'z1',
            'heartbeat_s': 0.1,
            'lease_s': 1.0,
            'warmup_s': 0.0,
            'stop_timeout_s': 10.0,
            'probe_interval_s': 0.2,
        }
        self.options = settings.NodeOptions(
            node_id=messages.NodeId(node_id),
            region='r1',
            link_address=addresses.free_address(),
            caller_address=addresses.free_address(),
            upstream_address=addresses.free_address(),
            admin_address=addresses.free_address(),
            service=messages.ServiceName(service),
            **(defaults | options),
        )
        # Addresses of control by slot; tests/control uses several slots.
        if isinstance(control, FakeControl):
            control = {'c1': control.address}
        self.fleet = settings.FleetOptions('tests', str(secret_file), control)
        self.upstream = upstream or FakeUpstream()
        self.node = program.Node.from_config(self.options, self.fleet)
        self.caller_client = http_client.Client(
            self.options.caller_address, 512
        )
        self.onward_client = http_client.Client(
            self.options.upstream_address, 512
        )
        # Incarnation in the announcements of the upstream.
        self.incarnation = 1
        self.slots = 8
        self.announce_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start upstream and node, and wait until the node serves calls."""
        await self.upstream.start()
        await self.node.start()
        await self.announce()
        self.announce_task = asyncio.create_task(self._keep_announcing())
        await until(self.node.session.connected.is_set, 'session opened')
        # Join without waiting for the next check, to save time.
        self.node.membership.on_upstream_change()
        await until(
            lambda: (
                self.node.session.has_lease(clock.now())
                and self.options.node_id in self.node.view.members
            ),
            'the node serves calls',
        )

    async def announce(self, **changes: typing.Any) -> http_client.Response:
        """Send an announcement of the upstream."""
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
        return await self.onward_client.request(
            'POST', '/announce', [], json.dumps(body).encode(), 5.0
        )

    async def _keep_announcing(self) -> None:
        while True:
            await asyncio.sleep(0.2)
            try:
                await self.announce()
            except http_client.CallError:
                continue

    def stop_announcing(self) -> None:
        """Stop the announcements of the upstream."""
        if self.announce_task is not None:
            self.announce_task.cancel()

    async def call(
        self,
        path: str,
        key: str = '',
        method: str = 'GET',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        """Send a request to the caller listener."""
        pairs = dict(headers or {})
        if key:
            pairs['godwitstall-key'] = key
        return await self.caller_client.request(
            method, path, list(pairs.items()), body, 15.0
        )

    async def call_onward(
        self,
        parent: ReceivedRequest,
        path: str,
        method: str = 'GET',
        body: bytes = b'',
        headers: dict[str, str] | None = None,
    ) -> http_client.Response:
        """Send an onward call of the upstream while it runs parent."""
        pairs = {
            'godwitstall-context': parent.headers['godwitstall-context']
        } | (headers or {})
        return await self.onward_client.request(
            method, path, list(pairs.items()), body, 15.0
        )

    async def stop(self) -> None:
        """Stop the node and the upstream without a planned stop."""
        self.stop_announcing()
        await self.upstream.stop()
        await self.node.listener.close()
        self.node.peer_server.close_links()
        self.node.forwarder.close()
        for task in self.node.tasks:
            task.cancel()
        await asyncio.gather(*self.node.tasks, return_exceptions=True)


@contextlib.asynccontextmanager
async def running(
    folder: pathlib.Path,
    note_text: str,
    services: dict[str, str],
    control: FakeControl | None = None,
    **options: typing.Any,
) -> collections.abc.AsyncGenerator[
    tuple[FakeControl, list[NodeHarness]], None
]:
    """Run a fake control with a release note, and some nodes.

    services maps node ids to services. When the body starts, every node knows
    all others.
    """
    # Exceptions of callbacks and unretrieved exceptions of tasks and futures.
    unhandled: list[dict[str, typing.Any]] = []
    asyncio.get_running_loop().set_exception_handler(
        lambda _, details: unhandled.append(details)
    )
    control = control or FakeControl()
    await control.start()
    control.apply_note(note_text)
    # Probes and an adaptive limit would make the results depend on timing.
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
    # Unretrieved exceptions are reported when the task or future is collected.
    gc.collect()
    assert not unhandled, unhandled


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
