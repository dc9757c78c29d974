"""Connections that a listener closes while answers are on their way."""

import asyncio
import contextlib

import pytest

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_GET_1 = b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
_GET_2 = b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n'

# More than the socket buffers of both sides hold.
_LARGE_BODY = b'x' * 20_000_000

# Time for which a client does not read, seconds.
_WAIT_S = 0.5


async def _read_to_the_end(reader: asyncio.StreamReader) -> bytes:
    """Read until the peer closes or resets the connection."""
    received = b''
    with contextlib.suppress(ConnectionResetError):
        while chunk := await reader.read(65536):
            received += chunk
    return received


def test_answer_of_a_kept_connection_is_whole_after_a_graceful_close() -> None:
    """Guards against a reset that destroys a response on its way.

    The response was written before the stop, so that it did not announce a
    close, and the next request of the client crosses the close.
    """

    async def scenario() -> None:
        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            return http_messages.Response(200, [], _LARGE_BODY)

        async with connections.listening(serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_1)
            async with asyncio.timeout(_TIMEOUT_S):
                response = await reader.readuntil(b'\r\n\r\n')
                close = asyncio.create_task(
                    listener.close_gracefully(_TIMEOUT_S)
                )
                # The listener stops listening, and then closes connections.
                await asyncio.sleep(0.2)
                writer.write(_GET_2)
                response += await _read_to_the_end(reader)
            writer.close()
            await close
        _, _, body = response.partition(b'\r\n\r\n')
        assert len(body) >= len(_LARGE_BODY)

    asyncio.run(scenario())


def test_pipelining_client_hears_of_a_planned_stop() -> None:
    """Guards against a connection that a stopping listener keeps.

    The client sends each request while the one before it is running, so that
    the listener never sees the connection without a pending request. Each of
    them is answered before the connection is closed.
    """

    async def scenario() -> None:
        arrivals: asyncio.Queue[asyncio.Event] = asyncio.Queue()

        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            is_released = asyncio.Event()
            arrivals.put_nowait(is_released)
            await is_released.wait()
            return http_messages.Response(200)

        async with connections.listening(serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_1)
            sent = 1
            oldest = await arrivals.get()
            listener.is_stopping = True
            responses: list[bytes] = []
            async with asyncio.timeout(_TIMEOUT_S):
                for _ in range(20):
                    writer.write(_GET_2)
                    sent += 1
                    # The listener may refuse the request.
                    newest = asyncio.create_task(arrivals.get())
                    await asyncio.wait({newest}, timeout=0.2)
                    oldest.set()
                    responses.append(await reader.readuntil(b'\r\n\r\n'))
                    if not newest.done():
                        newest.cancel()
                        responses.append(await reader.readuntil(b'\r\n\r\n'))
                    if b'connection: close' in responses[-1]:
                        break
                    oldest = newest.result()
            writer.close()
        assert b'connection: close' in responses[-1]
        assert len(responses) == sent

    asyncio.run(scenario())


@pytest.mark.parametrize('cause', ['graceful close', 'idle timeout'])
def test_request_that_waits_for_a_slow_reader_gets_an_answer(
    cause: str,
) -> None:
    """Guards against a request that is read, and dropped by a close.

    It was not parsed, as the client is slow to read the response before it,
    which does not announce the close.
    """

    async def scenario() -> list[bytes]:
        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            return http_messages.Response(200, [], _LARGE_BODY)

        async with connections.listening(serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_1)
            await connections.until(lambda: bool(listener.connections))
            (connection,) = listener.connections
            await connections.until(lambda: connection.is_write_paused)
            writer.write(_GET_1)
            await connections.until(lambda: bool(connection.unparsed))
            if cause == 'idle timeout':
                listener.limits.idle_timeout_s = _WAIT_S
                close = asyncio.create_task(asyncio.sleep(3 * _WAIT_S))
            else:
                close = asyncio.create_task(
                    listener.close_gracefully(_TIMEOUT_S)
                )
            await asyncio.sleep(3 * _WAIT_S)
            listener.limits.idle_timeout_s = _TIMEOUT_S
            received = b''
            async with asyncio.timeout(_TIMEOUT_S):
                while received.count(b'HTTP/1.1 ') < 2 and (
                    chunk := await reader.read(65536)
                ):
                    received += chunk.replace(b'x', b'')
                writer.close()
                await close
        return received.split(b'HTTP/1.1 ')[1:]

    responses = asyncio.run(scenario())
    # A client may send the request again if the close was announced.
    assert len(responses) == 2 or b'connection: close' in responses[0]
