"""What callers of a gateway receive when an answer is cut on its way.

The upstream cuts its answer at each byte, at the node of the caller or at
another node, or the link between the nodes is cut within an answer. A caller
gets a success only with the signature and the body of the upstream.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import socket
import struct
import typing

import pytest

from godwitstall import clock
from godwitstall import link as link_module
from godwitstall import messages
from godwitstall.node import gateway_node
from godwitstall.node.upstreams import announcements
from godwitstall import settings
from loadtool import addresses
from tests import gateways

_HOST = 'a.example'
_WAIT_S = 10.0
_RESET = struct.pack('ii', 1, 0)

# Services of the node that callers use and of the node that it forwards to.
_NEAR = 'siop'
_FAR = 'gwydd'

_SIGNATURE = b'3e1b.07.5a2'
_BODY = b'the own body'
_HEAD = b'HTTP/1.1 200 OK\r\nx-id: 7\r\n'
_SIGNED = b'x-signature: ' + _SIGNATURE + b'\r\n'
_LATE = (
    b'HTTP/1.1 200 OK\r\nx-id: 6\r\nx-signature: of-6\r\n'
    b'content-length: 4\r\n\r\nlate'
)
_HINTS = b'HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n'
_WITH_LENGTH = _HEAD + b'content-length: 12\r\n' + _SIGNED + b'\r\n' + _BODY
_WITHOUT_LENGTH = _HEAD + _SIGNED + b'\r\n' + _BODY
# An answer to a probe, which has no request id.
_HEALTHY = b'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'
_SHAPES: dict[str, bytes] = {
    'length': _WITH_LENGTH,
    'chunked': _HEAD
    + b'transfer-encoding: chunked\r\n'
    + _SIGNED
    + b'\r\n8\r\nthe own \r\n4\r\nbody\r\n0\r\n\r\n',
    'no length': _WITHOUT_LENGTH,
    'length behind hints and a late answer': _HINTS + _LATE + _WITH_LENGTH,
    'no length behind a late answer': _LATE + _WITHOUT_LENGTH,
}


class _Response(typing.NamedTuple):
    """A response that is complete by its own length."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes


def _parse(data: bytes) -> tuple[_Response, bytes]:
    """Return the first of the responses, and the bytes behind it."""
    head, separator, rest = data.partition(b'\r\n\r\n')
    assert separator, data
    status_line, *lines = head.split(b'\r\n')
    headers = dict(line.split(b': ', 1) for line in lines)
    length = int(headers[b'content-length'])
    assert len(rest) >= length, data
    response = _Response(
        int(status_line.split(b' ')[1]), headers, rest[:length]
    )
    return response, rest[length:]


def _reset(writer: asyncio.StreamWriter) -> None:
    connection_socket: socket.socket = writer.get_extra_info('socket')
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
    writer.transport.abort()


class _Upstream:
    """An upstream that sends the same bytes for each request and closes."""

    def __init__(self) -> None:
        self.address = addresses.free_address()
        self.data = _WITH_LENGTH
        # The bytes for the requests to single paths.
        self.data_by_path: dict[bytes, bytes] = {}
        self.is_reset = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            request = await reader.readuntil(b'\r\n\r\n')
            path = request.split(b' ')[1]
            writer.write(self.data_by_path.get(path, self.data))
            if self.is_reset:
                _reset(writer)
        except (OSError, asyncio.IncompleteReadError):
            # Checks for a crash connect and send nothing.
            pass
        finally:
            writer.close()


class _LinkProxy:
    """Carries links to a node and cuts them within its answers."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.address = addresses.free_address()
        # Number of bytes after which the link to the caller is cut, at once
        # or by a reset; None if it is not cut.
        self.bytes_left: int | None = None
        self.is_reset = False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host, port = link_module.split_address(self.target)
        node_reader, node_writer = await asyncio.open_connection(host, port)
        tasks = [
            asyncio.create_task(self._copy_calls(reader, node_writer)),
            asyncio.create_task(self._copy_answers(node_reader, writer)),
        ]
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            node_writer.close()
            writer.close()

    async def _copy_calls(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)

    async def _copy_answers(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(65536):
                if self.bytes_left is None or len(data) <= self.bytes_left:
                    writer.write(data)
                    continue
                writer.write(data[: self.bytes_left])
                self.bytes_left = None
                if self.is_reset:
                    _reset(writer)
                return


class _Mesh:
    """Two gateway nodes with an upstream each, and the link between them."""

    def __init__(self) -> None:
        self.upstream = _Upstream()
        self.nodes = {name: self._make_node(name) for name in (_NEAR, _FAR)}
        self.proxy = _LinkProxy(self.nodes[_FAR].options.link_address)
        self.servers: list[asyncio.Server] = []
        self.tasks: list[asyncio.Task[None]] = []

    def _make_node(self, service: str) -> gateway_node.GatewayNode:
        options = dataclasses.replace(
            gateways.make_options(f'{service}-1', service),
            link_address=addresses.free_address(),
            caller_address=addresses.free_address(),
            upstream_address=self.upstream.address,
            limit_policy=settings.LimitPolicy.FIXED,
            warmup_s=0.0,
        )
        fleet = settings.FleetOptions(
            'tests', seeds=['127.0.0.1:5'], is_without_secret=True
        )
        return gateway_node.GatewayNode.from_config(
            options, fleet, gateways.DIALECT
        )

    async def start(self) -> None:
        for served in (self.upstream, self.proxy):
            host, port = link_module.split_address(served.address)
            self.servers.append(
                await asyncio.start_server(served.serve, host, port)
            )
        _, port = link_module.split_address(self.upstream.address)
        update = messages.StateUpdate(
            1,
            True,
            configuration=messages.Configuration(
                number=1, routes=[_make_route(name) for name in self.nodes]
            ),
            members=[self._make_member(name) for name in self.nodes],
        )
        for service, node in self.nodes.items():
            await node.listener.start()
            await node.peer_server.listen(node.options.link_address)
            node.upstream.on_announcement(
                announcements.Announcement(service, 1, port, 50, 50),
                clock.now(),
            )
            node.view.apply(update)
            self.tasks.append(asyncio.create_task(node.owner.slots.run()))

    def _make_member(self, service: str) -> messages.Member:
        options = self.nodes[service].options
        return messages.Member(
            node_id=options.node_id,
            incarnation=1,
            service=options.service,
            zone='z1',
            region='r1',
            address=self.proxy.address,
            state=messages.UpstreamState.READY,
            slots=50,
            upstream_incarnation=1,
        )

    async def stop(self) -> None:
        for node in self.nodes.values():
            node.forwarder.close()
            node.peer_server.close_links()
            self.tasks += node.owner.dispatcher.crash_detector.tasks
            await node.listener.close()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for server in self.servers:
            server.close()

    async def exchange(self, data: bytes) -> bytes:
        """Send bytes to the gateway; return all that it sends back."""
        host, port = link_module.split_address(
            self.nodes[_NEAR].options.caller_address
        )
        reader, writer = await asyncio.open_connection(host, port)
        writer.write(data)
        async with asyncio.timeout(_WAIT_S):
            received = await reader.read()
        writer.close()
        return received

    async def call(self, service: str) -> _Response:
        """Send one request; return its response, which must be complete."""
        received = await self.exchange(_request(f'/{service}/'))
        response, rest = _parse(received)
        assert not rest
        return response


def _make_route(service: str) -> messages.Route:
    return messages.Route(
        service,
        f'/{service}/',
        host=_HOST,
        service=messages.ServiceName(service),
        is_open=True,
        attempts=2,
        timeout_ms=5000,
    )


def _request(path: str, method: str = 'GET', closes: bool = True) -> bytes:
    closing = 'connection: close\r\n' if closes else ''
    return (
        f'{method} {path} HTTP/1.1\r\nhost: {_HOST}\r\nx-id: 7\r\n{closing}'
        '\r\n'
    ).encode()


def _run(
    scenario: collections.abc.Callable[
        [_Mesh], collections.abc.Coroutine[typing.Any, typing.Any, None]
    ],
) -> None:
    async def run() -> None:
        mesh = _Mesh()
        await mesh.start()
        try:
            await scenario(mesh)
        finally:
            await mesh.stop()

    asyncio.run(run())


def _check_failed(response: _Response) -> None:
    """Check the response to a request that may have run."""
    assert response.status == 502
    assert b'x-signature' not in response.headers
    assert json.loads(response.body)['outcome'] == 'unknown'


@pytest.mark.parametrize('is_reset', [False, True])
@pytest.mark.parametrize('name', _SHAPES)
@pytest.mark.parametrize('service', [_NEAR, _FAR])
def test_answer_cut_by_the_upstream(
    service: str, name: str, is_reset: bool
) -> None:
    """Guards against a cut answer that callers receive as a success."""
    data = _SHAPES[name]
    # Without a length, the answer cannot be told from a whole one once its
    # head is complete, unless the connection is reset.
    whole_from = len(data)
    if name.startswith('no length') and not is_reset:
        whole_from -= len(_BODY)

    async def scenario(mesh: _Mesh) -> None:
        mesh.upstream.is_reset = is_reset
        for cut in range(len(data) + 1):
            mesh.upstream.data = data[:cut]
            response = await mesh.call(service)
            if cut < whole_from or (is_reset and name.startswith('no')):
                _check_failed(response)
                kind = json.loads(response.body)['error']
                assert kind == ('answer_cut' if cut else 'upstream_lost')
                continue
            assert response.status == 200
            assert response.headers[b'x-signature'] == _SIGNATURE
            assert response.body == _BODY[: len(_BODY) + cut - len(data)]

    _run(scenario)


@pytest.mark.parametrize('service', [_NEAR, _FAR])
def test_whole_head_without_signature(service: str) -> None:
    """Guards against an unsigned success, whose head may be incomplete."""

    async def scenario(mesh: _Mesh) -> None:
        for data in (
            _HEAD + b'\r\n',
            _HEAD + b'\r\n' + _BODY,
            _HEAD + b'content-length: 0\r\n\r\n',
        ):
            mesh.upstream.data = data
            _check_failed(await mesh.call(service))

    _run(scenario)


@pytest.mark.parametrize('start', [b'HTTP/1.1 200 O', _HEAD[:-3]])
@pytest.mark.parametrize('service', [_NEAR, _FAR])
def test_failure_behind_a_cut_head(service: str, start: bytes) -> None:
    """Guards against a failure that callers receive as a success.

    The head of the failure must not be joined to the status before it.
    """

    async def scenario(mesh: _Mesh) -> None:
        failure = _WITH_LENGTH.replace(b'200 OK', b'500 Failed')
        mesh.upstream.data = start + failure
        _check_failed(await mesh.call(service))

    _run(scenario)


@pytest.mark.parametrize('service', [_NEAR, _FAR])
def test_cut_answer_to_head(service: str) -> None:
    """Guards against a success for a head that was cut."""
    head = _WITH_LENGTH[: -len(_BODY)]

    async def scenario(mesh: _Mesh) -> None:
        for cut in range(len(head) + 1):
            mesh.upstream.data = head[:cut]
            received = await mesh.exchange(
                _request(f'/{service}/', method='HEAD')
            )
            received_head, separator, body = received.partition(b'\r\n\r\n')
            assert separator and not body
            is_whole = cut == len(head)
            status = b'200' if is_whole else b'502'
            assert received_head.startswith(b'HTTP/1.1 ' + status)
            assert (b'x-signature: ' in received_head) is is_whole

    _run(scenario)


def test_cut_answer_between_pipelined_ones() -> None:
    """Guards against answers out of order around a cut one."""

    async def scenario(mesh: _Mesh) -> None:
        cut_path = f'/{_FAR}/cut'.encode()
        for cut in range(0, len(_WITHOUT_LENGTH) - len(_BODY), 7):
            mesh.upstream.data_by_path = {cut_path: _WITHOUT_LENGTH[:cut]}
            data = await mesh.exchange(
                _request(f'/{_NEAR}/1', closes=False)
                + _request(cut_path.decode(), closes=False)
                + _request(f'/{_NEAR}/2')
            )
            statuses = []
            while data:
                response, data = _parse(data)
                statuses.append(response.status)
            assert statuses == [200, 502, 200]

    _run(scenario)


def test_cut_answer_to_a_probe() -> None:
    """Guards against a stalled upstream that a cut answer shows as well."""

    async def scenario(mesh: _Mesh) -> None:
        upstream = mesh.nodes[_NEAR].upstream
        for cut in range(len(_HEALTHY) + 1):
            mesh.upstream.data = _HEALTHY[:cut]
            upstream.is_stalled = True
            upstream.paused_until = upstream.answered_at = 0.0
            await upstream._probe(clock.now())
            assert upstream.is_stalled is (cut < len(_HEALTHY))

    _run(scenario)


@pytest.mark.parametrize('is_reset', [False, True])
def test_link_cut_within_an_answer(is_reset: bool) -> None:
    """Guards against a part of an answer that a node passes on."""

    async def scenario(mesh: _Mesh) -> None:
        mesh.proxy.is_reset = is_reset
        is_cut = True
        cuts = 0
        while is_cut:
            # Opens the link.
            assert (await mesh.call(_FAR)).status == 200
            mesh.proxy.bytes_left = cuts
            response = await mesh.call(_FAR)
            is_cut = mesh.proxy.bytes_left is None
            if is_cut:
                _check_failed(response)
                assert json.loads(response.body)['error'] == 'peer_lost'
                cuts += 1
            else:
                assert (response.status, response.body) == (200, _BODY)
        assert cuts > len(_BODY) + len(_SIGNED)

    _run(scenario)
