"""Clients that read a response for longer than they may be idle."""

import asyncio
import socket

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 20.0
_IDLE_TIMEOUT_S = 1.0
_SIZE = 2_000_000
_READ_BYTES = 200_000
_READ_PAUSE_S = 0.4
_GET = b'GET /a HTTP/1.1\r\nhost: a\r\n\r\n'


async def _serve(request: http_messages.Request) -> http_messages.Response:
    return http_messages.Response(200, [], bytes(_SIZE))


async def _connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    client_socket = socket.socket()
    client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 64 * 1024)
    client_socket.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(client_socket, (host, int(port)))
    return await asyncio.open_connection(sock=client_socket)


async def _read_slowly(reader: asyncio.StreamReader) -> None:
    await reader.readuntil(b'\r\n\r\n')
    left = _SIZE
    while left:
        size = min(left, _READ_BYTES)
        await reader.readexactly(size)
        left -= size
        await asyncio.sleep(_READ_PAUSE_S)


def test_response_that_is_read_is_not_cut_by_the_idle_timeout() -> None:
    """Guards against a close that resets what the kernel still delivers.

    The process has passed the response to the kernel long before the client
    has read it, and the next request of the client meets a closed socket.
    """

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.limits.idle_timeout_s = _IDLE_TIMEOUT_S
            reader, writer = await _connect(address)
            writer.write(_GET)
            async with asyncio.timeout(_TIMEOUT_S):
                reading = asyncio.create_task(_read_slowly(reader))
                await asyncio.sleep(2.5 * _IDLE_TIMEOUT_S)
                assert not reading.done()
                writer.write(_GET)
                await reading
                await _read_slowly(reader)
            writer.close()

    asyncio.run(scenario())


def test_response_that_is_not_read_is_closed_by_the_idle_timeout() -> None:
    """Guards against clients that stay because the kernel has their bytes."""

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            listener.limits.idle_timeout_s = _IDLE_TIMEOUT_S
            reader, writer = await _connect(address)
            writer.write(_GET)
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
                (connection,) = listener.connections
                while listener.connections:
                    await asyncio.sleep(0.05)
            writer.close()

    asyncio.run(scenario())


def test_stop_waits_for_a_response_that_is_read() -> None:
    """Guards against a planned stop that cuts what the kernel delivers."""

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            reader, writer = await _connect(address)
            writer.write(_GET)
            async with asyncio.timeout(_TIMEOUT_S):
                reading = asyncio.create_task(_read_slowly(reader))
                await asyncio.sleep(0.5)
                closing = asyncio.create_task(
                    listener.close_gracefully(_TIMEOUT_S)
                )
                await asyncio.sleep(2.0)
                # A request that crosses the close resets the connection if it
                # is closed already.
                writer.write(_GET)
                await reading
                await closing
            writer.close()

    asyncio.run(scenario())


def test_interim_response_waits_for_the_one_before_it() -> None:
    """Guards against bytes inside of a response that is sent in parts."""

    async def scenario() -> None:
        size = 16_000_000
        is_released = asyncio.Event()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            if request.method == 'GET':
                await is_released.wait()
                return http_messages.Response(200, [], bytes(size))
            return http_messages.Response(200, [], request.body)

        async with connections.listening(serve) as (_, address):
            reader, writer = await _connect(address)
            writer.write(
                _GET + b'POST /a HTTP/1.1\r\nhost: a\r\n'
                b'content-length: 4\r\nexpect: 100-continue\r\n\r\n'
            )
            async with asyncio.timeout(_TIMEOUT_S):
                await asyncio.sleep(0.1)
                is_released.set()
                # The response does not fit into the buffers of the kernel.
                await asyncio.sleep(0.2)
                await reader.readuntil(b'\r\n\r\n')
                assert await reader.readexactly(size) == bytes(size)
                interim = await reader.readuntil(b'\r\n\r\n')
                assert interim.startswith(b'HTTP/1.1 100 ')
                writer.write(b'body')
                head = await reader.readuntil(b'\r\n\r\n')
                assert head.startswith(b'HTTP/1.1 200 ')
                assert await reader.readexactly(4) == b'body'
            writer.close()

    asyncio.run(scenario())
