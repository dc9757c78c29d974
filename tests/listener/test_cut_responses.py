"""Responses of the listener that end early, at each byte.

A part of a response must not look complete: its head states the length of the
body, so that the end of the connection never counts as the end of the body.
"""

import asyncio
import collections.abc
import contextlib
import socket
import struct

import httptools
import pytest

from godwitstall.http import listener as http_listener
from godwitstall.http import messages as http_messages
from loadtool import addresses

_TIMEOUT_S = 10.0
_RESET = struct.pack('ii', 1, 0)

# More than the buffers of two sockets hold.
_LARGE_BODY = b'x' * 16 * 1024 * 1024

_SIGNED = b'x-id: 7\r\nx-signature: 3e1b.07\r\n'
_RESPONSES: dict[str, http_messages.Response] = {
    'of an upstream': http_messages.Response(
        200, [], b'the own body', encoded_headers=_SIGNED
    ),
    'empty': http_messages.Response(200, [], b'', encoded_headers=_SIGNED),
    'error': http_messages.Response(502, [(b'retry-after', b'1')], b'{}'),
    'no content': http_messages.Response(204, encoded_headers=_SIGNED),
    'not modified': http_messages.Response(304, encoded_headers=_SIGNED),
}

_Handler = collections.abc.Callable[
    [http_messages.Request], collections.abc.Awaitable[http_messages.Response]
]


@contextlib.asynccontextmanager
async def _listening(
    handler: _Handler,
) -> collections.abc.AsyncIterator[
    tuple[http_listener.Listener, asyncio.StreamReader, asyncio.StreamWriter]
]:
    """Yield a listener and the ends of a connection to it."""
    address = addresses.free_address()
    listener = http_listener.Listener({address: handler})
    await listener.start()
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        yield listener, reader, writer
    finally:
        writer.close()
        await listener.close()


class _Collector:
    """Parser callbacks that note how far a response has come."""

    def __init__(self) -> None:
        self.has_head = False
        self.is_complete = False
        self.names: list[bytes] = []
        self.parser = httptools.HttpResponseParser(self)

    def on_header(self, name: bytes, value: bytes) -> None:
        self.names.append(name)

    def on_headers_complete(self) -> None:
        self.has_head = True

    def on_message_complete(self) -> None:
        self.is_complete = True


@pytest.mark.parametrize('closing', [b'', b'connection: close\r\n'])
@pytest.mark.parametrize('name', _RESPONSES)
def test_no_part_of_a_response_looks_complete(
    name: str, closing: bytes
) -> None:
    """Guards against a body without a length, whose end cannot be missed."""

    async def handler(
        request: http_messages.Request,
    ) -> http_messages.Response:
        return _RESPONSES[name]

    async def scenario() -> bytes:
        async with _listening(handler) as (_, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n%s\r\n' % closing)
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                return head + await reader.readexactly(
                    len(_RESPONSES[name].body)
                )

    response = asyncio.run(scenario())
    for cut in range(len(response) + 1):
        collector = _Collector()
        collector.parser.feed_data(response[:cut])
        assert collector.is_complete is (cut == len(response))
        if collector.has_head and not collector.is_complete:
            assert b'content-length' in collector.names


@pytest.mark.parametrize('is_closed_first', [False, True])
def test_response_cut_by_the_end_of_the_process(is_closed_first: bool) -> None:
    """Guards against a response that is whole although its rest was unsent.

    The kernel closes the connections of a process that ends, after a planned
    close or at once.
    """

    async def handler(
        request: http_messages.Request,
    ) -> http_messages.Response:
        return http_messages.Response(200, [], _LARGE_BODY)

    async def scenario() -> None:
        async with _listening(handler) as (listener, reader, writer):
            writer.write(b'GET / HTTP/1.1\r\nhost: a\r\n\r\n')
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                [connection] = listener.connections
                if is_closed_first:
                    await listener.close()
                connection.transport.abort()
                body = await reader.read()
            assert b'content-length: %d\r\n' % len(_LARGE_BODY) in head
            assert len(body) < len(_LARGE_BODY)

    asyncio.run(scenario())


@pytest.mark.parametrize('is_reset', [False, True])
def test_client_that_leaves_before_its_response(is_reset: bool) -> None:
    """Guards against responses out of order to a client that is leaving."""
    targets: list[str] = []
    is_done = asyncio.Event()

    async def handler(
        request: http_messages.Request,
    ) -> http_messages.Response:
        targets.append(request.target)
        if request.target == '/slow':
            await is_done.wait()
        return http_messages.Response(200, [], request.target.encode())

    async def scenario() -> None:
        async with _listening(handler) as (listener, reader, writer):
            writer.write(
                b'GET /slow HTTP/1.1\r\nhost: a\r\n\r\n'
                b'GET /fast HTTP/1.1\r\nhost: a\r\n\r\n'
            )
            async with asyncio.timeout(_TIMEOUT_S):
                while len(targets) < 2:
                    await asyncio.sleep(0.001)
                if is_reset:
                    client_socket: socket.socket
                    client_socket = writer.get_extra_info('socket')
                    client_socket.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                    )
                    writer.transport.abort()
                else:
                    writer.write_eof()
                while listener.connections:
                    await asyncio.sleep(0.001)
                is_done.set()
                # The answer that is ready must not take the place of the
                # first one.
                assert await reader.read() == b''
            assert not listener.active_requests

    asyncio.run(scenario())
