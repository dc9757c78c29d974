"""Pipelined requests on a connection that the listener closes.

A client takes a request behind a closing response for unprocessed and sends
it again, so no such request may reach a handler.
"""

import asyncio
import contextlib

import pytest

from godwitstall.http import messages as http_messages
from tests.listener import connections

_TIMEOUT_S = 10.0
_GET_1 = b'GET /1 HTTP/1.1\r\nhost: a\r\n\r\n'
_GET_2 = b'GET /2 HTTP/1.1\r\nhost: a\r\n\r\n'


class _Handler:
    """Holds every request until it is released, then echoes its target."""

    def __init__(self) -> None:
        self.started: list[str] = []
        self.cancelled: list[str] = []
        self.is_released = asyncio.Event()
        # Whether the response to /1 closes its connection.
        self.closes_after_first = False

    async def serve(
        self, request: http_messages.Request
    ) -> http_messages.Response:
        self.started.append(request.target)
        try:
            await self.is_released.wait()
            if request.target != '/1':
                # The response to /1 is written first.
                await asyncio.sleep(0.05)
        except asyncio.CancelledError:
            self.cancelled.append(request.target)
            raise
        return http_messages.Response(
            200,
            [],
            b'answer to ' + request.target.encode(),
            closes_connection=(
                self.closes_after_first and request.target == '/1'
            ),
        )

    async def wait_until_started(self, count: int) -> None:
        async with asyncio.timeout(_TIMEOUT_S):
            while len(self.started) < count:
                await asyncio.sleep(0.01)


@pytest.mark.parametrize('cause', ['planned stop', 'closing response'])
def test_request_behind_a_closing_answer_is_not_cut_while_it_runs(
    cause: str,
) -> None:
    """Guards against a running request that gets no response.

    It was pipelined behind another request whose response announced the close
    of the connection.
    """

    async def scenario() -> None:
        handler = _Handler()
        async with connections.listening(handler.serve) as (listener, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_1 + _GET_2)
            await handler.wait_until_started(2)
            if cause == 'planned stop':
                listener.is_stopping = True
            handler.closes_after_first = cause == 'closing response'
            handler.is_released.set()
            async with asyncio.timeout(_TIMEOUT_S):
                responses = await reader.read()
            writer.close()
        assert handler.cancelled == []
        assert responses.count(b'answer to /1') == 1
        assert responses.count(b'answer to /2') == 1
        # Only the last response announces the close.
        assert responses.count(b'connection: close') == 1
        assert responses.index(b'connection: close') > responses.index(b'/1')

    asyncio.run(scenario())


def test_request_after_a_closing_answer_is_not_served() -> None:
    """Guards against work for a request that the client sends again."""

    async def scenario() -> None:
        handler = _Handler()
        handler.closes_after_first = True
        handler.is_released.set()
        async with connections.listening(handler.serve) as (_, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_1)
            async with asyncio.timeout(_TIMEOUT_S):
                response = await reader.readuntil(b'answer to /1')
                writer.write(_GET_2)
                with contextlib.suppress(ConnectionResetError):
                    assert await reader.read() == b''
            writer.close()
        assert b'connection: close' in response
        assert handler.started == ['/1']

    asyncio.run(scenario())


def test_answer_is_whole_although_a_request_crosses_the_close() -> None:
    """Guards against a reset that destroys a response on its way.

    The kernel resets a connection that is closed with unread bytes, and a
    reset discards what the client has not received.
    """
    body = b'x' * 3_000_000

    async def scenario() -> None:
        async def serve(
            request: http_messages.Request,
        ) -> http_messages.Response:
            return http_messages.Response(
                200, [], body, closes_connection=True
            )

        async with connections.listening(serve) as (_, address):
            reader, writer = await connections.connect(address)
            writer.write(_GET_1)
            async with asyncio.timeout(_TIMEOUT_S):
                response = await reader.readuntil(b'\r\n\r\n')
                writer.write(_GET_2)
                # Time in which a close can meet the unread request.
                await asyncio.sleep(0.1)
                while chunk := await reader.read(65536):
                    response += chunk
            writer.close()
        assert response.endswith(body)

    asyncio.run(scenario())
