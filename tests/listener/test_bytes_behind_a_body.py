"""Requests whose bytes go on without an end behind a part of the body."""

import asyncio

import pytest

from godwitstall.http import messages as http_messages
from tests.listener import connections

_MAX_HEADER_BYTES = 4096
_PIECE_BYTES = 1024
_TIMEOUT_S = 10.0

_BODY = (
    b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
    b'4\r\nbody\r\n'
)

# Start of the endless part, and the piece that follows again and again.
_ENDLESS_PARTS = {
    'trailer value': (b'0\r\nx-a: ', b'x' * _PIECE_BYTES),
    'trailer name': (b'0\r\n', b'x' * _PIECE_BYTES),
    'trailer lines': (b'0\r\n', b'x-a: b\r\n' * (_PIECE_BYTES // 8)),
    'chunk extension': (b'5;', b'x' * _PIECE_BYTES),
    'chunk size': (b'', b'0' * _PIECE_BYTES),
}


async def _serve(request: http_messages.Request) -> http_messages.Response:
    return http_messages.Response(200, [], request.body)


@pytest.mark.parametrize('name', _ENDLESS_PARTS)
def test_bytes_behind_a_body_are_bounded(name: str) -> None:
    """Guards against a trailer that a listener buffers without a limit."""
    start, piece = _ENDLESS_PARTS[name]

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.limits.max_header_bytes = _MAX_HEADER_BYTES
            reader, writer = await connections.connect(address)
            writer.write(_BODY + start)
            connection = None
            for _ in range(2 * _MAX_HEADER_BYTES // _PIECE_BYTES):
                writer.write(piece)
                await writer.drain()
                await asyncio.sleep(0.01)
                connection = next(iter(listener.connections))
                if connection.parser.is_stopped:
                    break
            assert connection is not None and connection.parser.is_stopped
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
            writer.close()
        assert head.startswith((b'HTTP/1.1 431 ', b'HTTP/1.1 400 '))

    asyncio.run(scenario())


def test_small_chunks_and_a_trailer_are_read() -> None:
    """Guards against a limit that rejects the framing of a long body."""

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.limits.max_header_bytes = _MAX_HEADER_BYTES
            reader, writer = await connections.connect(address)
            writer.write(_BODY)
            for _ in range(10):
                writer.write(b'1\r\nx\r\n' * _PIECE_BYTES)
                await writer.drain()
            writer.write(b'0\r\nx-sum: 1\r\n\r\n')
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                body = await reader.readexactly(4 + 10 * _PIECE_BYTES)
            writer.close()
        assert head.startswith(b'HTTP/1.1 200 ')
        assert body == b'body' + b'x' * 10 * _PIECE_BYTES

    asyncio.run(scenario())
