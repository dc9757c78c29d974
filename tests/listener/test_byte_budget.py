"""Many clients that each keep within their limits, together."""

import asyncio
import collections.abc

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_LIMIT_BYTES = 1024 * 1024
_BODY_BYTES = 128 * 1024
_CLIENTS = 32

_POST = b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n'
_GET = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'


async def _serve(request: http_messages.Request) -> http_messages.Response:
    return http_messages.Response(200, [], request.body)


async def _read_status(reader: asyncio.StreamReader) -> bytes:
    """Return the status of the next response, or b'' if there is none."""
    try:
        async with asyncio.timeout(_TIMEOUT_S):
            head = await reader.readuntil(b'\r\n\r\n')
    except (asyncio.IncompleteReadError, ConnectionError):
        return b''
    return head.split(b' ')[1]


def test_half_read_bodies_together_are_bounded() -> None:
    """Guards against memory that grows with clients that stop in a body."""

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.budget.limit_bytes = _LIMIT_BYTES
            clients = []
            for _ in range(_CLIENTS):
                reader, writer = await connections.connect(address)
                writer.write(_POST % _BODY_BYTES + b'x' * (_BODY_BYTES - 1))
                await writer.drain()
                clients.append((reader, writer))
            async with asyncio.timeout(_TIMEOUT_S):
                await connections.until(
                    lambda: 0 < listener.budget.held_bytes() <= _LIMIT_BYTES
                )
            # A client that keeps within the limits notices nothing.
            reader, writer = await connections.connect(address)
            writer.write(_POST % _BODY_BYTES + b'x' * _BODY_BYTES)
            assert await _read_status(reader) == b'200'
            writer.close()
            # Each of the others gets an answer: its own, or that of the limit.
            statuses = []
            for reader, writer in clients:
                if not writer.transport.is_closing():
                    writer.write(b'x')
                statuses.append(await _read_status(reader))
                writer.close()
        assert set(statuses) == {b'200', b'503'}

    asyncio.run(scenario())


def _large_response(
    size: int,
) -> collections.abc.Callable[
    [http_messages.Request], collections.abc.Awaitable[http_messages.Response]
]:
    async def serve(request: http_messages.Request) -> http_messages.Response:
        return http_messages.Response(200, [], bytes(size))

    return serve


def test_unread_responses_together_are_bounded() -> None:
    """Guards against memory that grows with responses that are not read."""

    async def scenario() -> None:
        serve = _large_response(1024 * 1024)
        async with connections.listening(serve) as (listener, address):
            listener.budget.limit_bytes = 16 * _LIMIT_BYTES
            clients = []
            for _ in range(8):
                reader, writer = await connections.connect(address)
                # The stream reader stops reading at its limit.
                writer.write(_GET * 16)
                await writer.drain()
                clients.append(writer)
            async with asyncio.timeout(_TIMEOUT_S):
                await connections.until(
                    lambda: (
                        not listener.active_requests
                        and listener.budget.held_bytes() <= 16 * _LIMIT_BYTES
                    )
                )
            # A client that reads its response gets it.
            reader, writer = await connections.connect(address)
            writer.write(_GET)
            assert await _read_status(reader) == b'200'
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readexactly(1024 * 1024)
            for client in (*clients, writer):
                client.close()

    asyncio.run(scenario())


def test_rejected_request_is_not_held_while_others_run() -> None:
    """Guards against bytes that are kept, or counted, for no request."""
    body = b'%x\r\n' % _BODY_BYTES + b'x' * _BODY_BYTES + b'\r\n'

    async def scenario() -> None:
        is_released = asyncio.Event()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            await is_released.wait()
            return http_messages.Response(200)

        async with connections.listening(serve) as (listener, address):
            listener.limits.max_header_bytes = 1024
            reader, writer = await connections.connect(address)
            writer.write(
                _GET + b'POST /a HTTP/1.1\r\nhost: a\r\n'
                b'transfer-encoding: chunked\r\n\r\n' + body
            )
            async with asyncio.timeout(_TIMEOUT_S):
                await connections.until(
                    lambda: listener.budget.held_bytes() >= _BODY_BYTES
                )
                writer.write(b'0\r\nx-a: ' + b'x' * 2048)
                await connections.until(
                    lambda: listener.budget.held_bytes() < 1024
                )
            (connection,) = listener.connections
            assert not connection.parser.body
            is_released.set()
            assert await _read_status(reader) == b'200'
            assert await _read_status(reader) == b'431'
            writer.close()

    asyncio.run(scenario())
