"""Answers of upstreams that return request ids and omit lengths."""

import asyncio
import collections.abc
import contextlib
import socket
import struct

import pytest

from godwitstall import clock
from godwitstall import errors
from godwitstall.node.upstreams import upstream_answer
from godwitstall.node.upstreams import upstream_client

_FRAMING = upstream_answer.Framing(b'attempt-id', True)
_WAIT_S = 10.0

_Respond = collections.abc.Callable[
    [int, asyncio.StreamWriter], collections.abc.Awaitable[None]
]


@contextlib.asynccontextmanager
async def _client(
    respond: _Respond,
) -> collections.abc.AsyncIterator[upstream_client.UpstreamClient]:
    """Yield a client of an upstream that answers with respond."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        count = 0
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                await reader.readuntil(b'\r\n\r\n')
                count += 1
                await respond(count, writer)
        writer.close()

    server = await asyncio.start_server(serve, '127.0.0.1', 0)
    host, port = server.sockets[0].getsockname()
    client = upstream_client.UpstreamClient(host, port, 4, 4096, _FRAMING)
    try:
        yield client
    finally:
        client.close()
        server.close()


async def _send(
    client: upstream_client.UpstreamClient, request_id: bytes
) -> upstream_answer.UpstreamAnswer:
    return await client.send(
        'GET', '/', b'', b'', clock.now() + _WAIT_S, b'a', request_id
    )


def _answer(request_id: bytes, body: bytes) -> bytes:
    return (
        b'HTTP/1.1 200 OK\r\nattempt-id: %s\r\ncontent-length: %d\r\n\r\n'
        % (
            request_id,
            len(body),
        )
        + body
    )


def test_answer_to_another_request_is_passed_over() -> None:
    """Guards against a late answer that is returned for the next request."""

    async def respond(count: int, writer: asyncio.StreamWriter) -> None:
        writer.write(_answer(b'old', b'late') + _answer(b'new', b'own'))

    async def scenario() -> None:
        async with _client(respond) as client:
            answer = await _send(client, b'new')
            assert answer.body == b'own'
            assert not client.idle

    asyncio.run(scenario())


def test_answer_without_length_ends_with_its_connection() -> None:
    """Guards against a complete answer that is treated as truncated."""

    async def respond(count: int, writer: asyncio.StreamWriter) -> None:
        writer.write(b'HTTP/1.1 200 OK\r\nattempt-id: x\r\n\r\nwhole')
        writer.close()

    async def scenario() -> None:
        async with _client(respond) as client:
            assert (await _send(client, b'x')).body == b'whole'

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'start',
    [
        b'HTTP/1.1 200 OK\r\nattempt-id: x\r\n\r\npart',
        b'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart',
        b'HTTP/1.1 200 OK\r\ncontent-le',
    ],
)
def test_answer_that_is_reset_counts_as_cut(start: bytes) -> None:
    """Guards against a truncated answer that is treated as complete."""

    async def respond(count: int, writer: asyncio.StreamWriter) -> None:
        writer.write(start)
        await writer.drain()
        await asyncio.sleep(0.05)
        connection_socket: socket.socket = writer.get_extra_info('socket')
        connection_socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
        writer.transport.abort()

    async def scenario() -> None:
        async with _client(respond) as client:
            with pytest.raises(errors.RequestError) as caught:
                await _send(client, b'x')
            assert caught.value.kind is errors.ErrorKind.ANSWER_CUT

    asyncio.run(scenario())


def test_idle_time_of_the_upstream_is_kept() -> None:
    """Guards against requests on connections that the upstream closes.

    The upstream announces its idle timeout in the Keep-Alive header.
    """

    async def respond(count: int, writer: asyncio.StreamWriter) -> None:
        writer.write(
            b'HTTP/1.1 200 OK\r\nattempt-id: x\r\n'
            b'keep-alive: timeout=10, max=5\r\ncontent-length: 0\r\n\r\n'
        )

    async def scenario() -> None:
        async with _client(respond) as client:
            await _send(client, b'x')
            [connection] = client.idle
            assert 5.0 < connection.idle_limit_s < 10.0

    asyncio.run(scenario())
