"""The HTTP listener: an invalid request must end in a true answer."""

import asyncio
import collections.abc
import dataclasses
import json
import socket
import typing

import pytest

from godwitstall import http_server
from godwitstall import link
from godwitstall import messages
from godwitstall.node import entry
from godwitstall import settings
from loadtool import addresses

_MAX_HEADER_BYTES = 4096

# Longest wait before a test gives up on a hang, seconds.
_HANG_S = 10.0


class _App:
    """ASGI application that answers with the body it got."""

    def __init__(self) -> None:
        # Bodies of the requests that it has read whole.
        self.bodies: list[bytes] = []
        # Headers of the last request.
        self.headers: list[tuple[bytes, bytes]] = []
        # Requests wait for this before they are answered.
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def __call__(
        self,
        scope: dict[str, typing.Any],
        receive: typing.Any,
        send: typing.Any,
    ) -> None:
        body = b''
        is_more = True
        while is_more:
            event = await receive()
            if event['type'] == 'http.disconnect':
                return
            body += event.get('body', b'')
            is_more = event.get('more_body', False)
        self.bodies.append(body)
        self.headers = list(scope['headers'])
        await self.may_answer.wait()
        await send(
            {
                'type': 'http.response.start',
                'status': 200,
                'headers': [(b'content-length', b'%d' % len(body))],
            }
        )
        await send({'type': 'http.response.body', 'body': body})


@dataclasses.dataclass
class _Answer:
    """One answer read from a connection."""

    status: int
    headers: dict[str, str]
    body: bytes


class _Connection:
    """One connection of a client that writes raw bytes."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    def write(self, data: bytes) -> None:
        self.writer.write(data)

    async def answer(self) -> _Answer | None:
        """Return the next answer, None when the connection ended."""
        try:
            async with asyncio.timeout(_HANG_S):
                head = await self.reader.readuntil(b'\r\n\r\n')
                lines = head.decode('latin-1').split('\r\n')
                pairs = (line.partition(': ') for line in lines[1:] if line)
                headers = {name.lower(): value for name, _, value in pairs}
                body = await self.reader.readexactly(
                    int(headers.get('content-length', '0'))
                )
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        return _Answer(int(lines[0].split()[1]), headers, body)


_Test = collections.abc.Callable[
    [collections.abc.Callable[[], collections.abc.Awaitable[_Connection]]],
    collections.abc.Awaitable[None],
]


def _run(app: typing.Any, test: _Test) -> None:
    """Run a test with a function that connects to a listener of app."""

    async def main() -> None:
        address = addresses.free_address()
        server = http_server.HttpServer({address: app}, _MAX_HEADER_BYTES)
        await server.start()
        host, port = link.split_address(address)
        writers: list[asyncio.StreamWriter] = []

        async def connect() -> _Connection:
            reader, writer = await asyncio.open_connection(host, port)
            writers.append(writer)
            return _Connection(reader, writer)

        try:
            await test(connect)
        finally:
            for writer in writers:
                writer.close()
            await server.stop(1.0)

    asyncio.run(main())


def _check_refusal(answer: _Answer | None, status: int, kind: str) -> None:
    """Check an answer against the rules that hold for every refusal."""
    assert answer is not None
    assert answer.status == status
    assert answer.headers['godwitstall-error'] == kind
    assert answer.headers['godwitstall-outcome'] == 'not-run'
    body = json.loads(answer.body)
    assert body['error'] == kind
    assert body['outcome'] == 'not-run'
    assert set(body) == {'error', 'outcome', 'detail', 'retry_after_ms'}


_BIG = b'x' * (_MAX_HEADER_BYTES + 1)
_FILLER = b'x' * 1000

_OVERSIZED = {
    'one value': b'GET / HTTP/1.1\r\nhost: a\r\nbig: ' + _BIG + b'\r\n\r\n',
    'one name': b'GET / HTTP/1.1\r\n' + _BIG + b': a\r\n\r\n',
    'the path': b'GET /' + _BIG + b' HTTP/1.1\r\nhost: a\r\n\r\n',
    'many headers': b'GET / HTTP/1.1\r\n'
    + b''.join(b'h%d: %s\r\n' % (i, _FILLER) for i in range(5))
    + b'\r\n',
    'with a body': b'POST / HTTP/1.1\r\ncontent-length: 4\r\nbig: '
    + _BIG
    + b'\r\n\r\nbody',
    # The parser reports a header when the next one starts.
    'unfinished headers': b'GET / HTTP/1.1\r\n'
    + b''.join(b'h%d: %s\r\n' % (i, _FILLER) for i in range(6)),
}


@pytest.mark.parametrize('name', _OVERSIZED)
def test_oversized_headers(name: str) -> None:
    """Guards against large headers that are run or fill the memory."""
    app = _App()

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(_OVERSIZED[name])
        _check_refusal(await connection.answer(), 431, 'headers_too_large')
        assert await connection.answer() is None
        assert app.bodies == []

    _run(app, test)


def test_header_without_end() -> None:
    """Guards against one header line without an end that fills the memory.

    The parser reports a header only when its line has ended.
    """
    app = _App()

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(b'GET / HTTP/1.1\r\nbig: ')
        part = b'x' * 64 * 1024
        reading = asyncio.create_task(connection.answer())
        # Far more than the bound and all buffers on the way together.
        for _ in range(64 * 16):
            if reading.done():
                break
            connection.write(part)
            try:
                await connection.writer.drain()
            except ConnectionError:
                break
        assert reading.done() or connection.writer.is_closing()
        answer = await reading
        # The answer can be lost when the connection is reset under a write.
        if answer is not None:
            _check_refusal(answer, 431, 'headers_too_large')

    _run(app, test)


def test_headers_at_the_bound() -> None:
    """Guards against a bound that valid requests exceed.

    The bound holds for each request, not for the connection, and for the
    headers, not for a body that comes with them.
    """
    app = _App()
    value = b'x' * (_MAX_HEADER_BYTES - len(b'/') - len(b'big'))
    body = b'b' * 3 * _MAX_HEADER_BYTES
    request = (
        b'POST / HTTP/1.1\r\ncontent-length: %d\r\n' % len(body)
        + b'big: '
        + value[len(b'content-length') + len(b'%d' % len(body)) :]
        + b'\r\n\r\n'
        + body
    )

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        for _ in range(3):
            connection.write(request)
            answer = await connection.answer()
            assert answer is not None
            assert (answer.status, answer.body) == (200, body)
        # Body and next headers in one piece.
        connection.write(request + request)
        for _ in range(2):
            answer = await connection.answer()
            assert answer is not None
            assert answer.body == body

    _run(app, test)


_MALFORMED = {
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


@pytest.mark.parametrize('name', _MALFORMED)
def test_malformed_request(name: str) -> None:
    """Guards against requests that two parsers could read differently.

    Each gets an answer of the interface and then the end of the connection.
    """
    app = _App()

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(_MALFORMED[name])
        _check_refusal(await connection.answer(), 400, 'bad_request')
        assert await connection.answer() is None
        assert app.bodies == []

    _run(app, test)


@pytest.mark.parametrize(
    'second',
    [
        _MALFORMED['garbage'],
        _OVERSIZED['one value'],
        # Its headers are valid, so it waits behind the first one.
        _MALFORMED['wrong chunk'],
    ],
)
def test_refusal_behind_a_running_request(second: bytes) -> None:
    """Guards against 'not run' that answers a request which is running.

    The client sends a second request without waiting. A refusal of it would
    arrive first and be taken for the answer to the first one.
    """
    app = _App()

    async def test(connect: typing.Any) -> None:
        app.may_answer.clear()
        connection = await connect()
        connection.write(b'POST / HTTP/1.1\r\ncontent-length: 1\r\n\r\na')
        async with asyncio.timeout(_HANG_S):
            while not app.bodies:
                await asyncio.sleep(0)
        connection.write(second)
        assert await connection.answer() is None
        app.may_answer.set()

    _run(app, test)


def test_trailers_are_no_headers() -> None:
    """Guards against a trailer that is taken for a header.

    Whoever checked the headers before this process did not see it.
    """
    app = _App()

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(
            b'POST / HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n'
            b'1\r\na\r\n0\r\ngodwitstall-key: k\r\n\r\n'
        )
        answer = await connection.answer()
        assert answer is not None
        assert answer.body == b'a'
        assert b'godwitstall-key' not in dict(app.headers)

    _run(app, test)


def test_upgrade_that_is_not_taken() -> None:
    """Guards against a connection that hangs after an offered upgrade.

    Some clients offer HTTP/2 with their first request and go on with
    HTTP/1.1 on the same connection, which the server may also close.
    """
    app = _App()

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(
            b'GET / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n\r\n'
        )
        answer = await connection.answer()
        assert answer is not None
        assert answer.status == 200
        assert answer.headers['connection'] == 'close'
        assert await connection.answer() is None

    _run(app, test)


@pytest.mark.parametrize(
    'framing',
    [
        b'content-length: 1\r\n\r\na',
        b'transfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n',
    ],
)
def test_upgrade_with_a_body(framing: bytes) -> None:
    """Guards against a request that is run without its body.

    The parser does not read the body of a request that offers an upgrade.
    """
    app = _App()

    async def test(connect: typing.Any) -> None:
        connection = await connect()
        connection.write(
            b'POST / HTTP/1.1\r\nconnection: upgrade\r\nupgrade: h2c\r\n'
            + framing
        )
        _check_refusal(await connection.answer(), 400, 'bad_request')
        assert await connection.answer() is None
        assert app.bodies == []

    _run(app, test)


def test_large_body() -> None:
    """Guards against a body above the bound that is kept or run.

    The bound is that of the entry, so its own application is served here.
    """
    options = settings.NodeOptions(
        node_id=messages.NodeId('n'),
        zone='z',
        region='r',
        link_address='127.0.0.1:1',
        caller_address='127.0.0.1:2',
        upstream_address='127.0.0.1:3',
        admin_address='127.0.0.1:4',
        service=messages.ServiceName('s'),
        max_body_bytes=1024,
    )
    # A request that is refused for its body gets to none of the other parts.
    unused: typing.Any = None
    node = entry.Entry(options, *(unused for _ in range(6)))
    body = b'x' * 1025
    chunk = b'401\r\n' + body + b'\r\n'

    async def test(connect: typing.Any) -> None:
        for request in (
            b'content-length: 1025\r\n\r\n' + body,
            b'content-length: 1000000000\r\n\r\n' + body,
            b'transfer-encoding: chunked\r\n\r\n' + chunk + b'0\r\n\r\n',
            b'transfer-encoding: chunked\r\n\r\n' + chunk,
        ):
            connection = await connect()
            connection.write(b'POST / HTTP/1.1\r\n' + request)
            _check_refusal(await connection.answer(), 413, 'body_too_large')

    _run(node.caller_app, test)


def test_listener_on_all_addresses() -> None:
    """Guards against requests that find no application.

    A connection to a listener on 0.0.0.0 shows the address that it came in
    at, and two listeners may differ in the address alone.
    """
    every, one = _App(), _App()

    async def main() -> None:
        port, other = (
            addresses.free_address().rpartition(':')[2] for _ in '12'
        )
        server = http_server.HttpServer(
            {f'0.0.0.0:{port}': every, f'127.0.0.1:{other}': one}
        )
        await server.start()
        try:
            for number, app in ((port, every), (other, one)):
                reader, writer = await asyncio.open_connection(
                    '127.0.0.1', int(number)
                )
                connection = _Connection(reader, writer)
                connection.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
                answer = await connection.answer()
                writer.close()
                assert answer is not None
                assert answer.status == 200
                assert app.bodies == [b'']
        finally:
            await server.stop(1.0)

    asyncio.run(main())


def test_address_in_use() -> None:
    """Guards against a process that ends without saying why."""

    async def main() -> None:
        server = await asyncio.start_server(lambda r, w: None, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        async with server:
            listener = http_server.HttpServer({f'127.0.0.1:{port}': _App()})
            with pytest.raises(OSError) as caught:
                await listener.start()
        assert str(caught.value) == (
            f'Cannot listen on 127.0.0.1:{port}: Address already in use.'
        )

    asyncio.run(main())


def test_no_delay() -> None:
    """Guards against Nagle's algorithm, which holds a body up for 40 ms."""
    found: list[int] = []

    async def app(
        scope: typing.Any, receive: typing.Any, send: typing.Any
    ) -> None:
        del scope, receive
        transport = send.__self__.transport
        connection = transport.get_extra_info('socket')
        found.append(
            connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        )
        await send({'type': 'http.response.start', 'status': 200})
        await send({'type': 'http.response.body', 'body': b'x'})

    async def test(
        connect: collections.abc.Callable[
            [], collections.abc.Awaitable[_Connection]
        ],
    ) -> None:
        connection = await connect()
        connection.write(b'GET / HTTP/1.1\r\nhost: x\r\n\r\n')
        assert await connection.answer() is not None

    _run(app, test)
    assert found and found[0]
