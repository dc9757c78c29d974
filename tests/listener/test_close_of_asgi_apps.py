"""Connections that are closed after a response of an ASGI application."""

import asyncio
import contextlib
import typing

from godwitstall.http import asgi
from godwitstall.http import listener as http_listener
from godwitstall import link
from loadtool import addresses

_TIMEOUT_S = 10.0

# More than the socket buffers of both sides hold.
_LARGE_BODY = b'x' * 20_000_000


async def _respond(
    scope: dict[str, typing.Any], receive: typing.Any, send: typing.Any
) -> None:
    """ASGI application whose large response closes the connection."""
    await send(
        {
            'type': 'http.response.start',
            'status': 200,
            'headers': [
                (b'content-length', b'%d' % len(_LARGE_BODY)),
                (b'connection', b'close'),
            ],
        }
    )
    await send({'type': 'http.response.body', 'body': _LARGE_BODY})


def test_answer_is_whole_although_a_request_crosses_the_close() -> None:
    """Guards against a reset that destroys a response on its way.

    The kernel resets a connection that is closed with unread bytes, and a
    reset discards what the client has not received.
    """

    async def scenario() -> None:
        address = addresses.free_address()
        listener = http_listener.Listener({address: asgi.handler(_respond)})
        # A stopping listener closes each connection after its response.
        listener.is_stopping = True
        await listener.start()
        reader, writer = await asyncio.open_connection(
            *link.split_address(address)
        )
        try:
            request = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
            writer.write(request)
            body = b''
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
                # The server closes the connection after its last write.
                await asyncio.sleep(0.1)
                writer.write(request)
                with contextlib.suppress(ConnectionResetError):
                    while chunk := await reader.read(65536):
                        body += chunk
        finally:
            writer.close()
            await listener.close()
        assert len(body) == len(_LARGE_BODY)

    asyncio.run(scenario())
