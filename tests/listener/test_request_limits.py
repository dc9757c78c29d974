"""Tests of the listener: limits, invalid requests and addresses."""

import asyncio
import collections.abc
import dataclasses
import json
import socket
import typing

import pytest

from godwitstall import errors
from godwitstall.http import listener as http_listener
from godwitstall.http import messages as http_messages
from godwitstall import link
from godwitstall.node import answers
from godwitstall.node.callers import entry
from loadtool import addresses

_MAX_HEADER_BYTES = 4096

# Time after which a test fails because the server hangs.
_TIMEOUT_S = 10.0


class _EchoHandler:
    """Returns the body of each request."""

    def __init__(self) -> None:
        # Bodies of the requests that were read completely.
        self.bodies: list[bytes] = []
        # Headers of the last request.
        self.headers: list[tuple[bytes, bytes]] = []
        # Responses are delayed until this is set.
        self.can_respond = asyncio.Event()
        self.can_respond.set()

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        self.bodies.append(request.body)
        self.headers = request.headers
        await self.can_respond.wait()
        return http_messages.Response(200, [], request.body)


@dataclasses.dataclass
class _Response:
    """A response read from a connection."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection:
    """A client connection that writes raw bytes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def read_response(self) -> _Response | None:
        """Return the next response, or None at the end of the connection."""
        try:
            async with asyncio.timeout(_TIMEOUT_S):
                header_block = await self.reader.readuntil(b'\r\n\r\n')
                lines = header_block.decode('latin-1').split('\r\n')
                pairs = (line.partition(': ') for line in lines[1:] if line)
                headers = {name.lower(): value for name, _, value in pairs}
                body = await self.reader.readexactly(
                    int(headers.get('content-length', '0'))
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return _Response(int(lines[0].split()[1]), headers, body)


_Check = collections.abc.Callable[
    [collections.abc.Callable[[], collections.abc.Awaitable[_Connection]]],
    collections.abc.Awaitable[None],
]


def _respond_to_error(kind: errors.ErrorKind) -> http_messages.Response:
    answer = answers.of_error(errors.RequestError(kind))
    return entry.build_response(answer)


def _run(
    handler: http_messages.Handler,
    check: _Check,
    max_body_bytes: int = 1024 * 1024,
) -> None:
    """Run a check with a function that connects to a listener."""

    async def main() -> None:
        address = addresses.free_address()
        listener = http_listener.Listener(
            {address: handler}, _respond_to_error
        )
        listener.limits.max_header_bytes = _MAX_HEADER_BYTES
        listener.limits.max_body_bytes = max_body_bytes
        await listener.start()
        host, port = link.split_address(address)
        writers: list[asyncio.StreamWriter] = []

        async def connect() -> _Connection:
            reader, writer = await asyncio.open_connection(host, port)
            writers.append(writer)
            return _Connection(reader, writer)

        try:
            await check(connect)
        finally:
            for writer in writers:
                writer.close()
            await listener.close()

    asyncio.run(main())


def _check_error_response(
    response: _Response | None, status: int, kind: str
) -> None:
    """Check the status and the common fields of an error response."""
    assert response is not None
    assert response.status == status
    assert response.headers['godwitstall-error'] == kind
    assert response.headers['godwitstall-outcome'] == 'not-run'
    body = json.loads(response.body)
    assert body['error'] == kind
    assert body['outcome'] == 'not-run'
    assert set(body) == {'error', 'outcome', 'detail', 'retry_after_ms'}


_LONG_VALUE = b'x' * (_MAX_HEADER_BYTES + 1)
_FILLER = b'x' * 1000

_OVERSIZED_REQUESTS = {
    'one value': b'GET / HTTP/1.1\r\nhost: a\r\nbig: '
    + _LONG_VALUE
    + b'\r\n\r\n',
    'one name': b'GET / HTTP/1.1\r\n' + _LONG_VALUE + b': a\r\n\r\n',
    'the path': b'GET /' + _LONG_VALUE + b' HTTP/1.1\r\nhost: a\r\n\r\n',
    'many headers': b'GET / HTTP/1.1\r\n'
    + b''.join(b'h%d: %s\r\n' % (i, _FILLER) for i in range(5))
    + b'\r\n',
    'with a body': b'POST / HTTP/1.1\r\ncontent-length: 4\r\nbig: '
    + _LONG_VALUE
    + b'\r\n\r\nbody',
    # The parser reports a header line when the next one starts.
    'unfinished headers': b'GET / HTTP/1.1\r\n'
    + b''.join(b'h%d: %s\r\n' % (i, _FILLER) for i in range(6)),
}


@pytest.mark.parametrize('name', _OVERSIZED_REQUESTS)
def test_oversized_headers(name: str) -> None:
    """Guards against oversized headers that are run or fill the memory."""
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(_OVERSIZED_REQUESTS[name])
        _check_error_response(
            await connection.read_response(), 431, 'headers_too_large'
        )
        assert await connection.read_response() is None
        assert handler.bodies == []

    _run(handler.serve, check)


def test_header_without_end() -> None:
    """Guards against an endless header line that fills the memory.

    The parser reports a header line only when it is complete.
    """
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(b'GET / HTTP/1.1\r\nbig: ')
        chunk = b'x' * 64 * 1024
        response_task = asyncio.create_task(connection.read_response())
        # Far more than the limit and all buffers of the connection.
        for _ in range(64 * 16):
            if response_task.done():
                break
            connection.write(chunk)
            try:
                await connection.writer.drain()
            except ConnectionError:
                break
        assert response_task.done() or connection.writer.is_closing()
        response = await response_task
        # The response is lost if the connection is reset during a write.
        if response is not None:
            _check_error_response(response, 431, 'headers_too_large')

    _run(handler.serve, check)


def test_headers_at_the_bound() -> None:
    """Guards against valid requests that are rejected by the header limit.

    The limit applies to the headers of each request, without its body, and
    not to the connection as a whole.
    """
    handler = _EchoHandler()
    body = b'b' * 3 * _MAX_HEADER_BYTES
    length_line = b'content-length: %d\r\n' % len(body)
    # The limit applies to the target and the header lines.
    value = b'x' * (
        _MAX_HEADER_BYTES - len(b'/') - len(length_line) - len(b'big: \r\n')
    )
    request = (
        b'POST / HTTP/1.1\r\n'
        + length_line
        + b'big: '
        + value
        + b'\r\n\r\n'
        + body
    )

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        for _ in range(3):
            connection.write(request)
            response = await connection.read_response()
            assert response is not None
            assert (response.status, response.body) == (200, body)
        # The body and the next headers arrive in one write.
        connection.write(request + request)
        for _ in range(2):
            response = await connection.read_response()
            assert response is not None
            assert response.body == body

    _run(handler.serve, check)


_MALFORMED_REQUESTS = {
    'garbage': b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03\r\n\r\n',
    'no version': b'GET /\r\n\r\n',
    'unknown method': b'GRAB / HTTP/1.1\r\nhost: a\r\n\r\n',
    'space in the path': b'GET /a b HTTP/1.1\r\nhost: a\r\n\r\n',
    'bytes in the path': b'GET /\xff HTTP/1.1\r\nhost: a\r\n\r\n',
    'host without path': b'GET http://a HTTP/1.1\r\nhost: a\r\n\r\n',
    'connect': b'CONNECT a:443 HTTP/1.1\r\nhost: a\r\n\r\n',
    'two lengths': b'POST / HTTP/1.1\r\ncontent-length: 1\r\n'
    b'content-length: 2\r\n\r\nab',
    'length and chunks': b'POST / HTTP/1.1\r\ncontent-length: 1\r\n'
    b'transfer-encoding: chunked\r\n\r\n0\r\n\r\n',
    'wrong length': b'POST / HTTP/1.1\r\ncontent-length: x\r\n\r\n',
    'wrong chunk': b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
    b'zz\r\n\r\n',
    'space before the colon': b'GET / HTTP/1.1\r\nhost : a\r\n\r\n',
}


@pytest.mark.parametrize('name', _MALFORMED_REQUESTS)
def test_malformed_request(name: str) -> None:
    """Guards against requests that two parsers could interpret differently.

    Each gets an error response, after which the connection is closed.
    """
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(_MALFORMED_REQUESTS[name])
        _check_error_response(
            await connection.read_response(), 400, 'bad_request'
        )
        assert await connection.read_response() is None
        assert handler.bodies == []

    _run(handler.serve, check)


@pytest.mark.parametrize(
    'second_request',
    [
        _MALFORMED_REQUESTS['garbage'],
        _OVERSIZED_REQUESTS['one value'],
        # The headers are valid, so the request is queued after the first.
        _MALFORMED_REQUESTS['wrong chunk'],
    ],
)
def test_refusal_behind_a_running_request(second_request: bytes) -> None:
    """Guards against the outcome 'not-run' for a request that is running.

    The client pipelines an invalid request. The error response to it must not
    arrive first, or it would be matched to the running request, and must not
    cost the running request its own response.
    """
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        handler.can_respond.clear()
        connection = await connect()
        connection.write(
            b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\n\r\na'
        )
        async with asyncio.timeout(_TIMEOUT_S):
            while not handler.bodies:
                await asyncio.sleep(0)
        connection.write(second_request)
        # Time in which the invalid request is read.
        await asyncio.sleep(0.1)
        handler.can_respond.set()
        response = await connection.read_response()
        assert response is not None
        assert (response.status, response.body) == (200, b'a')
        response = await connection.read_response()
        assert response is not None
        assert response.status in (400, 431)
        assert response.headers['godwitstall-outcome'] == 'not-run'
        assert await connection.read_response() is None
        assert handler.bodies == [b'a']

    _run(handler.serve, check)


def test_trailers_are_no_headers() -> None:
    """Guards against a trailer that is treated as a header.

    Servers earlier on the path have not validated it.
    """
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(
            b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
            b'1\r\na\r\n0\r\ngodwitstall-key: k\r\n\r\n'
        )
        response = await connection.read_response()
        assert response is not None
        assert response.body == b'a'
        assert b'godwitstall-key' not in dict(handler.headers)

    _run(handler.serve, check)


def test_upgrade_is_ignored() -> None:
    """Guards against a connection that hangs after an upgrade request.

    Some clients offer HTTP/2 in their first request and then continue with
    HTTP/1.1 on the same connection, which the server may also close.
    """
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(
            b'GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n'
        )
        response = await connection.read_response()
        assert response is not None
        assert response.status == 200
        assert response.headers['connection'] == 'close'
        assert await connection.read_response() is None

    _run(handler.serve, check)


@pytest.mark.parametrize(
    'framing',
    [
        b'content-length: 1\r\n\r\na',
        b'transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
    ],
)
def test_upgrade_with_a_body(framing: bytes) -> None:
    """Guards against a request that is run without its body.

    The parser does not read the body of an upgrade request.
    """
    handler = _EchoHandler()

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(
            b'POST / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n'
            + framing
        )
        _check_error_response(
            await connection.read_response(), 400, 'bad_request'
        )
        assert await connection.read_response() is None
        assert handler.bodies == []

    _run(handler.serve, check)


def test_client_that_waits_before_it_sends_its_body() -> None:
    """Guards against a client that waits in vain for 100 Continue.

    A request behind a closing response gets no such response.
    """
    handler = _EchoHandler()
    head = (
        b'POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\n'
        b'content-length: 1\r\n'
    )

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(head + b'connection: close\r\n\r\n')
        response = await connection.read_response()
        assert response is not None
        assert response.status == 100
        connection.write(b'a' + head + b'\r\n')
        response = await connection.read_response()
        assert response is not None
        assert (response.status, response.body) == (200, b'a')
        assert await connection.read_response() is None

    _run(handler.serve, check)


_ABSOLUTE_TARGETS = {
    b'http://b.example/x?y=1': '/x?y=1',
    b'http://b.example:80/': '/',
}


@pytest.mark.parametrize('target', _ABSOLUTE_TARGETS)
def test_absolute_target_is_split(target: bytes) -> None:
    """Guards against a route that is matched by a whole URL.

    The host in the URL replaces the header (RFC 9112, section 3.2.2).
    """
    requests: list[http_messages.Request] = []

    async def serve(
        request: http_messages.Request,
    ) -> http_messages.Response:
        requests.append(request)
        return http_messages.Response(200)

    async def check(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(b'GET ' + target + b' HTTP/1.1\r\nhost: a\r\n\r\n')
        assert await connection.read_response() is not None
        [request] = requests
        assert request.target == _ABSOLUTE_TARGETS[target]
        assert request.header(b'host').startswith(b'b.example')

    _run(serve, check)


def test_large_body() -> None:
    """Guards against an oversized body that is buffered or run.

    The limit holds for bodies with a length and in chunks.
    """
    handler = _EchoHandler()
    body = b'x' * 1025
    chunk = b'401\r\n' + body + b'\r\n'

    async def check(connect: typing.Any) -> None:
        for request in (
            b'content-length: 1025\r\n\r\n' + body,
            b'content-length: 1000000000\r\n\r\n' + body,
            b'transfer-encoding: chunked\r\n\r\n' + chunk + b'0\r\n\r\n',
            b'transfer-encoding: chunked\r\n\r\n' + chunk,
        ):
            connection = await connect()
            connection.write(b'POST / HTTP/1.1\r\n' + request)
            _check_error_response(
                await connection.read_response(), 413, 'body_too_large'
            )
            assert handler.bodies == []

    _run(handler.serve, check, max_body_bytes=1024)


def test_listener_on_all_addresses() -> None:
    """Guards against requests that are dispatched to no application.

    The local address of a connection to a listener on 0.0.0.0 is the address
    that the client connected to, and two listeners can share a port.
    """
    wildcard, local = _EchoHandler(), _EchoHandler()

    async def main() -> None:
        port, other_port = (
            addresses.free_address().rpartition(':')[2] for _ in '12'
        )
        listener = http_listener.Listener(
            {
                f'0.0.0.0:{port}': wildcard.serve,
                f'127.0.0.1:{other_port}': local.serve,
            }
        )
        await listener.start()
        try:
            for handler_port, handler in (
                (port, wildcard),
                (other_port, local),
            ):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', int(handler_port)
                )
                connection = _Connection(reader, writer)
                connection.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                response = await connection.read_response()
                writer.close()
                assert response is not None
                assert response.status == 200
                assert handler.bodies == [b'']
        finally:
            await listener.close()

    asyncio.run(main())


def test_address_in_use() -> None:
    """Guards against an error that does not name the address."""

    async def main() -> None:
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            listener = http_listener.Listener(
                {f'127.0.0.1:{port}': _EchoHandler().serve}
            )
            with pytest.raises(OSError) as exc_info:
                await listener.start()
        assert str(exc_info.value) == (
            f'Cannot listen on 127.0.0.1:{port}: Address already in use.'
        )

    asyncio.run(main())


def test_no_delay() -> None:
    """Guards against Nagle's algorithm, which delays a body by 40 ms."""

    async def main() -> None:
        address = addresses.free_address()
        listener = http_listener.Listener({address: _EchoHandler().serve})
        await listener.start()
        _, writer = await asyncio.open_connection(*link.split_address(address))
        async with asyncio.timeout(_TIMEOUT_S):
            while not listener.connections:
                await asyncio.sleep(0)
        (connection,) = listener.connections
        server_socket = connection.transport.get_extra_info('socket')
        assert server_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        writer.close()
        await listener.close()

    asyncio.run(main())
