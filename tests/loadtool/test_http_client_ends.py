"""Servers that end their side of a connection while a request is sent."""

import asyncio

import pytest

from loadtool import http_client

# More than the buffers of two sockets hold, and how long it is not read.
_LONG_BODY = b'x' * 16 * 1024 * 1024
_UNREAD_S = 0.05
_READ_BYTES = 1024 * 1024
_WAIT_S = 10.0


def test_end_before_the_request_is_sent() -> None:
    """Guards against an unexpected error that ends a run of the load tool."""

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\ncontent-le')
            writer.write_eof()
            await asyncio.sleep(_UNREAD_S)
            while await reader.read(_READ_BYTES):
                pass
        finally:
            writer.close()

    async def scenario() -> None:
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        host, port = server.sockets[0].getsockname()
        client = http_client.Client(f'{host}:{port}', 1)
        with pytest.raises(http_client.CallError) as caught:
            await client.request('POST', '/', [], _LONG_BODY, _WAIT_S)
        assert caught.value.reason == 'cut'
        assert not client.connection_count
        server.close()

    asyncio.run(scenario())
