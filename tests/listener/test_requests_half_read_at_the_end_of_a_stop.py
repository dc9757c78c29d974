"""Requests of which the end of a stop has read a part only."""

import asyncio

import pytest

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0

_FIRST = b'GET / HTTP/1.1\r\nhost: a\r\n\r\n'
_SECOND = b'POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nall of it'

# Sizes of the part that is read before the stop ends: in the headers, and in
# the body.
_PART_SIZES = [20, len(_SECOND) - 4]


async def _serve(request: http_messages.Request) -> http_messages.Response:
    return http_messages.Response(200, body=request.body)


@pytest.mark.parametrize('is_completed', [False, True])
@pytest.mark.parametrize('part_size', _PART_SIZES)
def test_request_that_is_half_read_when_a_stop_ends_is_answered(
    part_size: int, is_completed: bool
) -> None:
    """Guards against a request that the end of a stop reads and drops.

    What arrives of it later is discarded, and its client learns only of the
    close, which does not say that the request was not run.
    """

    async def scenario() -> None:
        async with connections.listening(_serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_FIRST + _SECOND[:part_size])
            async with asyncio.timeout(_TIMEOUT_S):
                head = await reader.readuntil(b'\r\n\r\n')
                assert head[9:12] == b'200'
                [connection] = listener.connections
                while not connection.parser.request_started_at:
                    await asyncio.sleep(0.01)
                stop = asyncio.create_task(listener.close_gracefully(0.0))
                while not connection.parser.is_stopped:
                    await asyncio.sleep(0)
                if is_completed:
                    writer.write(_SECOND[part_size:])
                received = await reader.read()
                await stop
            writer.close()
            assert received[9:12] == b'503'
            assert b'connection: close' in received

    asyncio.run(scenario())
