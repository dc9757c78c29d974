"""Clients that stop in the middle of a request, or of a response."""

import asyncio
import collections.abc

import pytest

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_IDLE_TIMEOUT_S = 0.3

_GET = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'
_CHUNKED = b'POST /a HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n'
_HALF_REQUESTS = {
    'body with a length': (
        b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nbody'
    ),
    'no byte of the body': (
        b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\n'
    ),
    'chunk': _CHUNKED + b'9\r\nbody',
    'trailer': _CHUNKED + b'4\r\nbody\r\n0\r\nx-a: ',
}


async def _serve(request: http_messages.Request) -> http_messages.Response:
    return http_messages.Response(200, [], request.body)


@pytest.mark.parametrize('name', _HALF_REQUESTS)
def test_request_that_stops_in_its_body_is_ended(name: str) -> None:
    """Guards against half-read requests that are kept for good."""

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.limits.idle_timeout_s = _IDLE_TIMEOUT_S
            reader, writer = await connections.connect(address)
            writer.write(_HALF_REQUESTS[name])
            async with asyncio.timeout(_TIMEOUT_S):
                answer = await reader.read()
                writer.close()
                await connections.until(lambda: not listener.connections)
        assert answer.startswith(b'HTTP/1.1 408 ')

    asyncio.run(scenario())


def test_slow_body_is_read_to_its_end() -> None:
    """Guards against a timeout that ends a body which still arrives."""

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.limits.idle_timeout_s = 1.0
            reader, writer = await connections.connect(address)
            writer.write(
                b'POST /a HTTP/1.1\r\nhost: a\r\ncontent-length: 8\r\n\r\n'
            )
            for _ in range(8):
                await asyncio.sleep(0.25)
                writer.write(b'x')
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
            writer.close()
        assert head.startswith(b'HTTP/1.1 200 ')

    asyncio.run(scenario())


def test_body_behind_a_running_request_does_not_time_out() -> None:
    """Guards against 408 for a client that waits for an earlier response."""

    async def scenario() -> None:
        is_released = asyncio.Event()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            await is_released.wait()
            return http_messages.Response(200)

        async with connections.listening(serve) as (listener, address):
            listener.limits.idle_timeout_s = _IDLE_TIMEOUT_S
            reader, writer = await connections.connect(address)
            writer.write(
                b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
                b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4\r\n'
                b'expect: 100-continue\r\n\r\n'
            )
            # Longer than the timeout, and than the interval of its checks.
            await asyncio.sleep(1.0)
            is_released.set()
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200 ')
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 100 ')
                writer.write(b'body')
                head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200 ')
            writer.close()

    asyncio.run(scenario())


def _large_response(
    size: int,
) -> collections.abc.Callable[
    [http_messages.Request], collections.abc.Awaitable[http_messages.Response]
]:
    async def serve(request: http_messages.Request) -> http_messages.Response:
        return http_messages.Response(200, [], bytes(size))

    return serve


def test_response_that_is_never_read_ends_at_its_timeout() -> None:
    """Guards against responses that are kept for a client for good."""

    async def scenario() -> None:
        serve = _large_response(32 * 1024 * 1024)
        async with connections.listening(serve) as (listener, address):
            listener.limits.delivery_timeout_s = 0.3
            _, writer = await connections.connect(address)
            writer.write(_GET)
            async with asyncio.timeout(_TIMEOUT_S):
                await connections.until(lambda: bool(listener.connections))
                await connections.until(lambda: not listener.connections)
            writer.close()

    asyncio.run(scenario())


def test_response_that_is_read_slowly_is_whole() -> None:
    """Guards against a timeout that cuts a response which is still read."""

    async def scenario() -> None:
        size = 16 * 1024 * 1024
        async with connections.listening(_large_response(size)) as (
            listener,
            address,
        ):
            listener.limits.delivery_timeout_s = 1.0
            reader, writer = await connections.connect(address)
            writer.write(_GET)
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
            for _ in range(16):
                await asyncio.sleep(0.25)
                async with asyncio.timeout(_TIMEOUT_S):
                    await reader.readexactly(size // 16)
            writer.close()

    asyncio.run(scenario())
