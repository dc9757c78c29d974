"""Counters of what a listener reads and does not answer."""

import asyncio

from godwitstall.http import connection as http_connection
from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_GET = b'GET / HTTP/1.1\r\nhost: a\r\n'


def _discarded(is_answered: str) -> float:
    return http_connection._DISCARDED_BYTES.value(is_answered=is_answered)


def test_bytes_behind_the_last_response_are_counted() -> None:
    """Guards against requests that are read and dropped unnoticed."""

    async def scenario() -> float:
        is_released = asyncio.Event()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            await is_released.wait()
            return http_messages.Response(200)

        async with connections.listening(serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET + b'connection: close\r\n\r\n')
            async with asyncio.timeout(_TIMEOUT_S):
                while not listener.active_requests:
                    await asyncio.sleep(0.01)
                before = _discarded('false')
                writer.write(b'x' * 10)
                while _discarded('false') != before + 10:
                    await asyncio.sleep(0.01)
                is_released.set()
                await reader.readuntil(b'\r\n\r\n')
                before = _discarded('true')
                writer.write(b'x' * 20)
                while _discarded('true') == before:
                    await asyncio.sleep(0.01)
            writer.close()
        return _discarded('true') - before

    assert asyncio.run(scenario()) == 20
