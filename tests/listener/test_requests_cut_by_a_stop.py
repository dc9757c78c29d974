"""Requests that are still pending when the time for a graceful close is over.

Responses are sent in the order of the requests, so one that is ready waits
behind a request that is still running.
"""

import asyncio

import pytest

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_GET_ENDLESS = b'GET /endless HTTP/1.1\r\nhost: a\r\n\r\n'
_GET_SHORT = b'GET /short HTTP/1.1\r\nhost: a\r\n\r\n'

# Time that the listener has to finish its requests, seconds.
_CLOSE_TIMEOUT_S = 0.2

# Time after the end of a close at which a client goes on reading, seconds.
_LATE_READ_S = 0.1


class _Handler:
    """Answers all requests but the endless ones."""

    def __init__(self) -> None:
        self.completed: list[str] = []
        self.cancelled: list[str] = []

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        if request.target == '/endless':
            try:
                await asyncio.sleep(_TIMEOUT_S * 2)
            except asyncio.CancelledError:
                self.cancelled.append(request.target)
                raise
        self.completed.append(request.target)
        return http_messages.Response(200, [], b'answer of the handler')


async def _close_behind(
    requests: bytes, handler: _Handler, limit: int = 32
) -> bytes:
    """Send requests and close the listener; return all that is received."""
    async with connections.listening(handler.serve) as (listener, address):
        listener.limits.max_pipelined_requests = limit
        reader, writer = await connections.connect(address)
        writer.write(requests)
        async with asyncio.timeout(_TIMEOUT_S):
            while listener.active_requests == 0:
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            await listener.close_gracefully(_CLOSE_TIMEOUT_S)
            received = await reader.read()
        writer.close()
    return received


def test_request_that_a_stop_cuts_gets_a_final_response() -> None:
    """Guards against a request that was read and gets no response at all."""
    handler = _Handler()
    received = asyncio.run(_close_behind(_GET_ENDLESS, handler))
    # The status must not claim that the request was not run.
    assert received.startswith(b'HTTP/1.1 504 ')
    assert received.count(b'connection: close') == 1
    assert handler.cancelled == ['/endless']


@pytest.mark.parametrize('short_count', [1, 5])
def test_response_behind_a_request_that_a_stop_cuts_is_delivered(
    short_count: int,
) -> None:
    """Guards against a ready response that is lost with the request before it.

    The stop cuts that request.
    """
    handler = _Handler()
    received = asyncio.run(
        _close_behind(_GET_ENDLESS + _GET_SHORT * short_count, handler)
    )
    assert handler.completed == ['/short'] * short_count
    responses = received.split(b'HTTP/1.1 ')[1:]
    statuses = [response[:3] for response in responses]
    assert statuses == [b'504'] + [b'200'] * short_count
    assert [b'connection: close' in r for r in responses] == [
        False
    ] * short_count + [True]


def test_responses_between_requests_that_a_stop_cuts_keep_their_order() -> (
    None
):
    """Guards against a ready response that is lost between cut requests."""
    handler = _Handler()
    received = asyncio.run(
        _close_behind(
            _GET_SHORT + _GET_ENDLESS + _GET_SHORT + _GET_ENDLESS, handler
        )
    )
    statuses = [r[:3] for r in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'200', b'504', b'200', b'504']
    assert handler.cancelled == ['/endless', '/endless']


def test_request_that_is_cut_before_its_handler_starts_gets_a_response() -> (
    None
):
    """Guards against a lost request whose handler has not started yet."""

    async def scenario() -> bytes:
        handler = _Handler()
        async with connections.listening(handler.serve) as (listener, address):
            reader, writer = await connections.connect(address)
            async with asyncio.timeout(_TIMEOUT_S):
                while not listener.connections:
                    await asyncio.sleep(0.01)
                (connection,) = listener.connections
                connection.data_received(_GET_SHORT)
                connection.close()
                received = await reader.read()
            writer.close()
        assert handler.completed == []
        return received

    assert asyncio.run(scenario()).startswith(b'HTTP/1.1 504 ')


@pytest.mark.parametrize('limit', [1, 2, 32])
def test_requests_beyond_the_limit_of_pending_ones_get_a_response(
    limit: int,
) -> None:
    """Guards against requests that are received and dropped at the end.

    The listener has not parsed them, as too many were pending.
    """
    late_count = 40
    body = b'x' * 1000
    late = (
        f'POST /short HTTP/1.1\r\nhost: a\r\ncontent-length: {len(body)}'
        '\r\n\r\n'.encode()
        + body
    )
    handler = _Handler()
    received = asyncio.run(
        _close_behind(_GET_ENDLESS * limit + late * late_count, handler, limit)
    )
    statuses = [r[:3] for r in received.split(b'HTTP/1.1 ')[1:]]
    assert statuses == [b'504'] * limit + [b'503'] * late_count
    assert handler.completed == []


def test_empty_line_behind_a_request_is_no_half_read_request() -> None:
    """Guards against a stop that waits for a request that nobody sent.

    A client may send an empty line behind a request (RFC 9112, section 2.2).
    """

    async def scenario() -> None:
        handler = _Handler()
        async with connections.listening(handler.serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_SHORT)
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readuntil(b'answer of the handler')
                writer.write(b'\r\n')
                await asyncio.sleep(_LATE_READ_S)
                # The end of the stream comes long before the end of the stop.
                close = asyncio.create_task(
                    listener.close_gracefully(_TIMEOUT_S * 2)
                )
                assert await reader.read() == b''
                writer.close()
                await close

    asyncio.run(scenario())


@pytest.mark.parametrize('method', ['POST', 'HEAD'])
def test_request_that_is_half_read_at_the_end_gets_an_answer(
    method: str,
) -> None:
    """Guards against a request that a stop reads in part and drops.

    The rest may be on its way. It must not reset the connection, which would
    discard the responses.
    """

    async def scenario() -> bytes:
        handler = _Handler()
        async with connections.listening(handler.serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_SHORT)
            async with asyncio.timeout(_TIMEOUT_S):
                received = await reader.readuntil(b'answer of the handler')
                writer.write(
                    f'{method} /half HTTP/1.1\r\nhost: a\r\n'.encode()
                )
                (connection,) = listener.connections
                while not connection.parser.request_started_at:
                    await asyncio.sleep(0.01)
                is_closed = asyncio.create_task(
                    listener.close_gracefully(_CLOSE_TIMEOUT_S)
                )
                # The end of the stream comes before the close.
                received += await reader.read()
                assert not is_closed.done()
                assert not connection.transport.is_closing()
                writer.write(b'content-length: 0\r\n\r\n')
                await is_closed
            writer.close()
        assert handler.completed == ['/short']
        return received

    _, _, response = asyncio.run(scenario()).partition(b'handler')
    assert response.startswith(b'HTTP/1.1 503 ')
    assert b'connection: close' in response
    assert response.endswith(b'\r\n\r\n')


def test_graceful_close_waits_until_a_client_that_is_late_has_read() -> None:
    """Guards against a process that exits with responses in its buffers."""
    body = b'x' * 8_000_000

    async def scenario() -> int:
        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            return http_messages.Response(200, [], body)

        async with connections.listening(serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_SHORT)
            async with asyncio.timeout(_TIMEOUT_S):
                await reader.readuntil(b'\r\n\r\n')
                (connection,) = listener.connections
                close = asyncio.create_task(listener.close_gracefully(0.0))
                # The time for the requests is over before the client reads on.
                await asyncio.sleep(_LATE_READ_S)
                read = asyncio.create_task(reader.readexactly(len(body)))
                await close
                unsent: int = connection.transport.get_write_buffer_size()
                assert await read == body
            writer.close()
        return unsent

    assert asyncio.run(scenario()) == 0
